//! The follower: what came is put in force here, in order, and neighbours are told.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use event_listener::Event;
use sagespool_link::LinkEndpoint;
use sagespool_log::log_event;
use sagespool_membership::{MemberTable, WatchPolicy};
use sagespool_messages::{
    ConfigAsk, ConfigNotice, ConfigObject, ConfigReply, ConfigScope, FLEET_OBJECT_KEY, MemberInfo,
    MemberRole, PeerReply,
};
use sagespool_platform::ObjectClient;
use sagespool_types::{ClockTime, IncarnationId, StoreRevision};

use crate::neighbours;
use crate::state::{FollowerState, VersionHint};

/// Most bytes of objects in one answer, beside its last object: a frame holds 8 MiB, an object 1 MiB.
const MAX_REPLY_BYTES: usize = 1 << 20;

/// What a follower works with. `apply` puts one object in force; it is called for one at a time.
#[derive(Clone, Copy)]
pub struct FollowerContext<'a> {
    /// Who is in the fleet.
    pub members: &'a MemberTable,
    /// The store.
    pub objects: &'a ObjectClient,
    /// The link to neighbours.
    pub link: &'a LinkEndpoint,
    /// Puts an object in force, or takes it back if it has no value.
    pub apply: &'a (dyn Fn(&ConfigObject) + Send + Sync),
}

impl FollowerContext<'_> {
    /// The other members that can be reached.
    pub(crate) fn live(&self, now: ClockTime) -> Vec<MemberInfo> {
        let mut live = self.members.live(MemberRole::Entry, now);
        live.extend(self.members.live(MemberRole::Sidecar, now));
        live
    }
}

/// Follows the configuration's objects for one process.
pub struct ConfigFollower {
    pub(crate) scope: ConfigScope,
    pub(crate) own: IncarnationId,
    pub(crate) policy: WatchPolicy,
    pub(crate) started: ClockTime,
    state: Mutex<FollowerState>,
    pub(crate) hint_added: Event,
}

impl ConfigFollower {
    /// A follower that knows nothing yet.
    pub fn new(scope: ConfigScope, own: IncarnationId, now: ClockTime) -> Self {
        Self {
            scope,
            own,
            policy: WatchPolicy::default(),
            started: now,
            state: Mutex::new(FollowerState::new(scope)),
            hint_added: Event::new(),
        }
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, FollowerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Follows the configuration; never returns.
    pub async fn run(&self, context: FollowerContext<'_>) {
        futures_lite::future::zip(self.watch(context), self.query_neighbours(context)).await;
    }

    /// Takes in what a member's heartbeat says of its configuration.
    pub fn observe_member(&self, member: &MemberInfo) {
        if neighbours::can_answer(self.scope, member.role) {
            self.add_hint(VersionHint {
                address: member.address,
                newest: StoreRevision(member.config.0),
            });
        }
    }

    /// Takes in a neighbour's notice.
    pub fn handle_notice(&self, notice: &ConfigNotice) {
        self.add_hint(VersionHint { address: notice.from, newest: notice.newest });
    }

    fn add_hint(&self, hint: VersionHint) {
        if self.state().record_hint(hint) {
            self.hint_added.notify(usize::MAX);
        }
    }

    /// The answer to a neighbour; that there is none, if this process doesn't have all that is asked
    /// for.
    pub fn handle_query(&self, ask: &ConfigAsk, now: ClockTime) -> PeerReply {
        let absent = "this process doesn't have the configuration that is asked for";
        let reply = self.reply(ask, now).map(PeerReply::Configuration);
        reply.unwrap_or_else(|| PeerReply::Unsupported(absent.to_owned()))
    }

    /// A process that has nothing in force yet doesn't answer, even if its book is filled: it may
    /// still find out that what it was told is old.
    fn reply(&self, ask: &ConfigAsk, now: ClockTime) -> Option<ConfigReply> {
        let state = self.state();
        if !state.in_force {
            return None;
        }
        let mut reply = state.replica.reply(ask, MAX_REPLY_BYTES)?;
        reply.word = state.newest_contact(self.own, now);
        Some(reply)
    }

    /// Takes objects in, puts in force what is new, and tells neighbours.
    ///
    /// Guards against two ways that meet: a watch and a neighbour bring two versions of one object
    /// at the same time, and the older one, found new a moment before, would be put in force last.
    /// So one lock is held from the decision until the object is in force.
    pub(crate) fn apply(
        &self,
        context: FollowerContext<'_>,
        take: impl FnOnce(&mut FollowerState) -> Vec<ConfigObject>,
    ) {
        let mut state = self.state();
        let mut news = take(&mut state);
        if !state.in_force {
            if !self.can_begin(&mut state, context) {
                return;
            }
            state.in_force = true;
            news = state.replica.objects().cloned().collect();
            let complete = state.replica.complete();
            log_event!(
                info,
                "configuration-begun",
                complete = complete,
                store = state.confirmed_by_store
            );
        }
        // Without the fleet's object no other can be in force.
        news.sort_by_key(|object| object.key != FLEET_OBJECT_KEY);
        for object in &news {
            (context.apply)(object);
        }
        let newest = state.replica.newest();
        drop(state);
        if !news.is_empty() {
            let is_fleet = news.iter().any(|object| object.key == FLEET_OBJECT_KEY);
            self.notify_neighbours(context, newest, is_fleet);
        }
    }

    /// Puts a configuration in force that was read before the members were known.
    pub(crate) fn try_begin(&self, context: FollowerContext<'_>) {
        if !self.state().in_force {
            self.apply(context, |_| Vec::new());
        }
    }

    /// Whether a process that has started may put its first configuration in force.
    ///
    /// Guards against a neighbour with an old view: while the store is away, a process that starts
    /// finds first whoever was cut off, and would bring back what its own predecessor had seen
    /// replaced. Each member's heartbeat tells what it has in force, sidecars' too, so nothing older
    /// than the newest of them is taken, and the view has to be settled to know them. What nobody
    /// in reach has ever seen can't be known here.
    fn can_begin(&self, state: &mut FollowerState, context: FollowerContext<'_>) -> bool {
        if !state.has_configuration() || !(state.confirmed_by_store || context.members.is_settled())
        {
            return false;
        }
        let live = context.live(ClockTime::now());
        let wanted = live.iter().map(|member| StoreRevision(member.config.0)).max();
        let (wanted, complete) = (wanted.unwrap_or_default(), state.replica.complete());
        if complete < wanted && state.logged_wait != Some(wanted) {
            state.logged_wait = Some(wanted);
            log_event!(warn, "configuration-waits", complete = complete, wanted = wanted);
        }
        complete >= wanted
    }

    /// For how long no other process is known to have had a word of the store.
    pub(crate) fn store_silence(&self, now: ClockTime) -> Duration {
        self.state().store_silence(now).unwrap_or_else(|| now.since(self.started))
    }
}
