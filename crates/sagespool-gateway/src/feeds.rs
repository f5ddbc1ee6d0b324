//! Replication of store contents between neighbours, the gateways of one data centre.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use event_listener::Event;
use rustix::time::{ClockId, clock_gettime};
use sagespool_forward::{
    ChangeFeed, FeedObject, FeedPage, FeedPeer, FeedSource, FeedSourceSelector, FeedTiming,
    REPLY_TIMEOUT,
};
use sagespool_link::within;
use sagespool_log::log_event;
use sagespool_messages::{
    ChangedObject, FeedKind, FeedQuery, FeedReply, MemberInfo, MemberRole, PeerReply, PeerRequest,
};
use sagespool_settings::PropagationSettings;
use sagespool_types::{ClockTime, StoreRevision};

use crate::fleet::FleetClient;

/// The timing of the quarantined contents, which change rarely. A change ends each wait at once; the
/// time limits only bound how long a stalled neighbour goes unnoticed.
const QUARANTINE_TIMING: FeedTiming = FeedTiming {
    max_age: Duration::from_secs(20),
    poll_wait: Duration::from_secs(5),
    watch_wait: Duration::from_secs(10),
};
const MICROS_IN_SECOND: u64 = 1_000_000;
const NANOS_IN_MICRO: u64 = 1_000;

/// The time of a clock that includes the time in which the machine is suspended.
pub(crate) fn boot_time_now() -> ClockTime {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let micros = u64::try_from(time.tv_nsec).unwrap_or(0) / NANOS_IN_MICRO;
    ClockTime(seconds * MICROS_IN_SECOND + micros)
}

/// A local copy of one followed prefix, and the neighbours' requests that wait for its changes.
#[derive(Debug, Default)]
pub(crate) struct FeedReplica {
    state: Mutex<ReplicaState>,
    changed: Event,
    interrupted: Event,
}

#[derive(Debug, Default)]
struct ReplicaState {
    feed: ChangeFeed,
    /// Why the store can't be read; `None` while it can.
    store_error: Option<String>,
}

impl FeedReplica {
    fn state(&self) -> MutexGuard<'_, ReplicaState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the copy by a full listing of the store that was current at `valid_at`, or at an
    /// unknown time.
    pub(crate) fn apply_listing(
        &self,
        revision: StoreRevision,
        objects: Vec<FeedObject>,
        valid_at: Option<ClockTime>,
    ) {
        self.state().feed.apply_listing(revision, objects, valid_at);
        self.changed.notify(usize::MAX);
    }

    /// Applies relevant changes. The copy is then complete up to `revision` as of `valid_at`, or of an
    /// unknown time.
    pub(crate) fn apply_changes(
        &self,
        changes: Vec<FeedObject>,
        revision: StoreRevision,
        valid_at: Option<ClockTime>,
    ) {
        let mut state = self.state();
        // Neighbours that start together with this process wait for its first confirmed copy.
        let is_first = !state.feed.is_confirmed();
        let has_changes = !changes.is_empty() || is_first;
        for change in changes {
            state.feed.apply_change(change);
        }
        match valid_at {
            Some(valid_at) => state.feed.advance(revision, valid_at),
            None => state.feed.advance_unconfirmed(revision),
        }
        drop(state);
        if has_changes {
            self.changed.notify(usize::MAX);
        }
    }

    /// Whether the copy has been complete at a known time.
    pub(crate) fn is_loaded(&self) -> bool {
        self.age().is_some()
    }

    /// Records why the store can't be read, or that it can be.
    pub(crate) fn note_store_error(&self, error: Option<String>) {
        self.state().store_error = error;
    }

    /// Why the store couldn't be read last, if it can't be read now.
    pub(crate) fn store_error(&self) -> Option<String> {
        self.state().store_error.clone()
    }

    /// Ends a wait for changes, so that they are requested again at once.
    pub(crate) fn interrupt(&self) {
        self.interrupted.notify(usize::MAX);
    }

    /// Waits for [`Self::interrupt`].
    pub(crate) async fn wait_for_interrupt(&self) {
        self.interrupted.listen().await;
    }

    pub(crate) fn revision(&self) -> StoreRevision {
        self.state().feed.revision()
    }

    /// Time since the copy was known to match the store; `None` if it never was.
    pub(crate) fn age(&self) -> Option<Duration> {
        self.state().feed.age(boot_time_now())
    }

    /// Replies to a neighbour's long poll as soon as there are changes after its revision, or when
    /// its wait time is over.
    async fn handle_query(&self, query: FeedQuery) -> FeedReply {
        let changed = self.changed.listen();
        let has_changes = self.state().feed.has_changes_after(query.after);
        if !has_changes {
            within(query.wait, changed).await;
        }
        let state = self.state();
        let FeedPage { revision, whole, objects } = state.feed.page(query.after);
        FeedReply {
            revision,
            age: state.feed.age(boot_time_now()),
            store_lost: state.store_error.is_some(),
            whole,
            objects: objects.into_iter().map(wire_object).collect(),
        }
    }
}

fn wire_object(object: FeedObject) -> ChangedObject {
    let value = object.value.map(|value| value.to_string());
    ChangedObject { key: object.key, revision: object.revision, value }
}

/// Where to request changes next.
#[derive(Debug)]
pub(crate) struct ChangeSource {
    /// The neighbour to query; `None` for the store.
    pub(crate) neighbour: Option<MemberInfo>,
    /// How long the source may hold the request while it has no changes.
    pub(crate) wait: Duration,
}

fn feed_peer(member: &MemberInfo) -> FeedPeer {
    FeedPeer { id: member.incarnation, capacity: member.capacity }
}

/// The copies of all followed prefixes, and the choice of their sources.
#[derive(Debug)]
pub(crate) struct FeedRegistry {
    timing: Option<FeedTiming>,
    evacuation_timing: Option<FeedTiming>,
    source_selector: Mutex<FeedSourceSelector>,
    configuration: FeedReplica,
    upstreams: FeedReplica,
    evacuations: FeedReplica,
    quarantine: FeedReplica,
}

impl FeedRegistry {
    pub(crate) fn new(in_force: Option<PropagationSettings>) -> Self {
        let evacuations = in_force.and_then(|times| times.evacuations);
        Self {
            timing: in_force.and_then(|times| FeedTiming::within(times.changes)),
            evacuation_timing: evacuations.and_then(FeedTiming::within),
            source_selector: Mutex::default(),
            configuration: FeedReplica::default(),
            upstreams: FeedReplica::default(),
            evacuations: FeedReplica::default(),
            quarantine: FeedReplica::default(),
        }
    }

    /// The timing of following a kind by neighbours; `None` if it always follows the store.
    pub(crate) fn timing(&self, kind: FeedKind) -> Option<FeedTiming> {
        match kind {
            FeedKind::Configuration | FeedKind::Upstreams => self.timing,
            FeedKind::Evacuations => self.evacuation_timing,
            FeedKind::Quarantine => self.timing.map(|_| QUARANTINE_TIMING),
        }
    }

    pub(crate) fn replica(&self, kind: FeedKind) -> &FeedReplica {
        match kind {
            FeedKind::Configuration => &self.configuration,
            FeedKind::Upstreams => &self.upstreams,
            FeedKind::Evacuations => &self.evacuations,
            FeedKind::Quarantine => &self.quarantine,
        }
    }

    fn source_selector(&self) -> MutexGuard<'_, FeedSourceSelector> {
        self.source_selector.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Where to request changes next; `None` if it is always the store.
    pub(crate) fn source(
        &self,
        fleet: &FleetClient,
        kind: FeedKind,
        now: ClockTime,
    ) -> Option<ChangeSource> {
        let timing = self.timing(kind)?;
        let own_age = self.replica(kind).age();
        let local = &fleet.local;
        let mut others = fleet.members.live_in(&local.centre, MemberRole::Entry, now);
        others.retain(|other| !other.leaving);
        let peers: Vec<FeedPeer> = others.iter().map(feed_peer).collect();
        let own = FeedPeer { id: fleet.run, capacity: local.capacity };
        match self.source_selector().choose(own, &peers, own_age, timing, now) {
            FeedSource::Store { wait } => Some(ChangeSource { neighbour: None, wait }),
            FeedSource::Neighbour { id, wait } => {
                let neighbour = others.into_iter().find(|other| other.incarnation == id);
                Some(ChangeSource { neighbour, wait })
            }
        }
    }

    /// Requests changes from a neighbour, which may hold the request for `wait`. `None` if it didn't
    /// reply or its copy is too old; it is then avoided for a while.
    ///
    /// Guards against a neighbour that is partitioned, frozen or slow: its copy is stale, and
    /// changes that the store has accepted wouldn't take effect here.
    pub(crate) async fn query(
        &self,
        fleet: &FleetClient,
        neighbour: &MemberInfo,
        kind: FeedKind,
        wait: Duration,
    ) -> Option<FeedReply> {
        let timing = self.timing(kind)?;
        let after = self.replica(kind).revision();
        let request = PeerRequest::Follow(FeedQuery { kind, after, wait });
        let limit = wait + REPLY_TIMEOUT;
        let reply = match fleet.call(neighbour.address, &request, limit).await {
            Ok(PeerReply::Follow(reply)) => Some(reply),
            _ => None,
        };
        let cause = match reply.as_ref().map(|reply| reply.age) {
            None => "no reply".to_owned(),
            Some(None) => "no copy".to_owned(),
            Some(Some(age)) => format!("copy is {} ms old", age.as_millis()),
        };
        let fresh = reply.filter(|reply| reply.age.is_some_and(|age| age <= timing.max_age));
        if fresh.is_none() {
            log_event!(
                info,
                "neighbour-avoided",
                neighbour = neighbour.instance,
                kind = kind.as_str(),
                cause = cause,
            );
            // Quarantined contents are held for long and aren't urgent: a late reply says nothing about
            // the neighbour's other copies, and the store is asked next.
            if kind != FeedKind::Quarantine {
                self.source_selector().avoid(neighbour.incarnation, ClockTime::now());
            }
        }
        fresh
    }

    /// Replies to a neighbour's long poll.
    pub(crate) async fn handle_query(&self, query: FeedQuery) -> FeedReply {
        let longest = self.timing(query.kind).map_or(REPLY_TIMEOUT, |timing| timing.poll_wait);
        let query = FeedQuery { wait: query.wait.min(longest), ..query };
        self.replica(query.kind).handle_query(query).await
    }
}
