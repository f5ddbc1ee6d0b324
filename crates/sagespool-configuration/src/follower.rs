//! The follower: applies received objects in order and notifies neighbours.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use event_listener::Event;
use sagespool_link::LinkEndpoint;
use sagespool_log::log_event;
use sagespool_membership::{MemberTable, WatchPolicy};
use sagespool_messages::{
    ConfigNotice, ConfigObject, ConfigQuery, ConfigReply, ConfigScope, FLEET_OBJECT_KEY,
    MemberInfo, MemberRole, PeerReply,
};
use sagespool_platform::ObjectClient;
use sagespool_types::{ClockTime, IncarnationId, StoreRevision};

use crate::neighbours;
use crate::state::{FollowerState, VersionHint};

/// Limit of objects in one reply, except its last one: a frame holds 8 MiB, an object 1 MiB.
const MAX_REPLY_BYTES: usize = 1 << 20;

/// What a follower works with. `apply` is called for one object at a time.
#[derive(Clone, Copy)]
pub struct FollowerContext<'a> {
    /// The view of the fleet.
    pub members: &'a MemberTable,
    /// The client of the store's objects.
    pub objects: &'a ObjectClient,
    /// The link to neighbours.
    pub link: &'a LinkEndpoint,
    /// Applies an object, or removes it if it has no value.
    pub apply: &'a (dyn Fn(&ConfigObject) + Send + Sync),
}

impl FollowerContext<'_> {
    /// The other members that are reachable.
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
    /// A follower without any objects.
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

    /// Handles the configuration version in a member's heartbeat.
    pub fn observe_member(&self, member: &MemberInfo) {
        if neighbours::can_answer(self.scope, member.role) {
            self.add_hint(VersionHint {
                address: member.address,
                newest: StoreRevision(member.config.0),
            });
        }
    }

    /// Handles a neighbour's notice of a newer version.
    pub fn handle_notice(&self, notice: &ConfigNotice) {
        self.add_hint(VersionHint { address: notice.from, newest: notice.newest });
    }

    fn add_hint(&self, hint: VersionHint) {
        if self.state().record_hint(hint) {
            self.hint_added.notify(usize::MAX);
        }
    }

    /// The reply to a neighbour's query; `Unsupported` if this process doesn't hold everything
    /// that is queried.
    pub fn handle_query(&self, query: &ConfigQuery, now: ClockTime) -> PeerReply {
        let absent = "the queried configuration is not available in this process";
        let reply = self.reply(query, now).map(PeerReply::Configuration);
        reply.unwrap_or_else(|| PeerReply::Unsupported(absent.to_owned()))
    }

    /// A process without a configuration in force doesn't reply, even if its replica is filled:
    /// the replica may turn out to be outdated.
    fn reply(&self, query: &ConfigQuery, now: ClockTime) -> Option<ConfigReply> {
        let state = self.state();
        if !state.in_force {
            return None;
        }
        let mut reply = state.replica.reply(query, MAX_REPLY_BYTES)?;
        reply.word = state.newest_contact(self.own, now);
        Some(reply)
    }

    /// Stores objects, applies the changed ones and notifies neighbours.
    ///
    /// Guards against a race between a watch and a neighbour that bring two versions of one object
    /// at the same time: the older one, found to be new a moment before, could be applied last. So
    /// one lock is held from the decision until the object is applied.
    pub(crate) fn apply(
        &self,
        context: FollowerContext<'_>,
        update: impl FnOnce(&mut FollowerState) -> Vec<ConfigObject>,
    ) {
        let mut state = self.state();
        let mut changed = update(&mut state);
        if !state.in_force {
            if !self.can_begin(&mut state, context) {
                return;
            }
            state.in_force = true;
            changed = state.replica.objects().cloned().collect();
            let complete = state.replica.complete();
            log_event!(
                info,
                "configuration-begun",
                complete = complete,
                store = state.confirmed_by_store
            );
        }
        // No other object can be applied without the fleet's object.
        changed.sort_by_key(|object| object.key != FLEET_OBJECT_KEY);
        for object in &changed {
            (context.apply)(object);
        }
        let newest = state.replica.newest();
        drop(state);
        if !changed.is_empty() {
            let is_fleet = changed.iter().any(|object| object.key == FLEET_OBJECT_KEY);
            self.notify_neighbours(context, newest, is_fleet);
        }
    }

    /// Applies a configuration that was read before the members were known.
    pub(crate) fn try_begin(&self, context: FollowerContext<'_>) {
        if !self.state().in_force {
            self.apply(context, |_| Vec::new());
        }
    }

    /// Whether a starting process may apply its first configuration.
    ///
    /// Guards against an outdated neighbour: while the store is unavailable, a starting process
    /// may first reach a member that was cut off, and would restore versions that its own
    /// predecessor had replaced. The heartbeats of all members, sidecars included, carry the
    /// version in force, so nothing older than the newest of them is applied, and the view has to
    /// be settled to cover all of them. A version that no reachable member has can't be detected.
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

    /// The time since any other process is known to have reached the store.
    pub(crate) fn store_silence(&self, now: ClockTime) -> Duration {
        self.state().store_silence(now).unwrap_or_else(|| now.since(self.started))
    }
}
