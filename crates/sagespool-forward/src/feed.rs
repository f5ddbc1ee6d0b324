//! Change feed between the instances of a data centre, so that most of them needn't watch the
//! store.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sagespool_types::{ClockTime, IncarnationId, StoreRevision};

use crate::feed_tree::{FeedPeer, FeedTree};

/// A neighbour that didn't reply, or replied with stale state, is not queried again for this long.
const AVOID_PERIOD: Duration = Duration::from_millis(1500);
/// Limit on the removals that a feed keeps.
const MAX_REMOVALS: usize = 4096;

/// An object, or its removal.
#[derive(Debug, Clone, PartialEq)]
pub struct FeedObject {
    /// Its key.
    pub key: String,
    /// Store revision of its last relevant change.
    pub revision: StoreRevision,
    /// Its value as stored; None if it was removed.
    pub value: Option<Arc<str>>,
}

/// The changes after a revision.
#[derive(Debug, Clone, PartialEq)]
pub struct FeedPage {
    /// The page includes all changes up to this revision.
    pub revision: StoreRevision,
    /// True if the page is a full listing, independent of what the reader has.
    pub whole: bool,
    /// The changed objects, or all objects of a full listing.
    pub objects: Vec<FeedObject>,
}

/// A copy of the store's objects of one kind, with the time at which it was valid.
///
/// Times are by a clock that continues while the machine is suspended. Otherwise a process would
/// take its state from before a suspension for fresh.
#[derive(Debug, Default)]
pub struct ChangeFeed {
    /// Removals before this revision are no longer kept.
    history_start: StoreRevision,
    revision: StoreRevision,
    /// The latest time at which the copy was known to match the store.
    valid_at: Option<ClockTime>,
    objects: BTreeMap<String, FeedObject>,
}

impl ChangeFeed {
    /// Replaces the copy by a full listing. Without the time at which it was valid, the copy has no
    /// age until the next change or confirmation.
    pub fn apply_listing(
        &mut self,
        revision: StoreRevision,
        objects: Vec<FeedObject>,
        valid_at: Option<ClockTime>,
    ) {
        self.history_start = revision;
        self.revision = revision;
        self.objects = objects.into_iter().map(|object| (object.key.clone(), object)).collect();
        self.valid_at = valid_at;
    }

    /// Applies a change that is relevant to readers. Other changes are left out, so that an
    /// upstream that only renews its entry wakes no reader.
    pub fn apply_change(&mut self, change: FeedObject) {
        self.objects.insert(change.key.clone(), change);
        let removed = |object: &&FeedObject| object.value.is_none();
        if self.objects.values().filter(removed).count() > MAX_REMOVALS {
            self.objects.retain(|_, object| object.value.is_some());
            self.history_start = self.revision;
        }
    }

    /// Notes that the copy includes all changes up to a revision, as of `valid_at`.
    pub fn advance(&mut self, revision: StoreRevision, valid_at: ClockTime) {
        self.advance_unconfirmed(revision);
        self.valid_at = self.valid_at.max(Some(valid_at));
    }

    /// Notes that the copy includes all changes up to a revision, as of an unknown time.
    pub fn advance_unconfirmed(&mut self, revision: StoreRevision) {
        self.revision = self.revision.max(revision);
    }

    /// The revision up to which the copy is complete.
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Whether the copy has been known to match the store at some time.
    pub fn is_confirmed(&self) -> bool {
        self.valid_at.is_some()
    }

    /// Age of the copy; None while the time of its listing is unknown.
    pub fn age(&self, now: ClockTime) -> Option<Duration> {
        self.valid_at.map(|at| now.since(at))
    }

    /// Whether there are changes after a revision.
    pub fn has_changes_after(&self, revision: StoreRevision) -> bool {
        self.is_confirmed()
            && (revision < self.history_start
                || self.objects.values().any(|object| object.revision > revision))
    }

    /// The changes after a revision, or a full listing if the feed doesn't go back that far.
    pub fn page(&self, after: StoreRevision) -> FeedPage {
        let whole = after < self.history_start;
        let wanted = |object: &&FeedObject| match whole {
            true => object.value.is_some(),
            false => object.revision > after,
        };
        let objects = self.objects.values().filter(wanted).cloned().collect();
        FeedPage { revision: self.revision, whole, objects }
    }
}

/// Time limits that bring a change into force in time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FeedTiming {
    /// Maximum age of state from a neighbour.
    pub max_age: Duration,
    /// How long a neighbour may hold a query while it has no changes.
    pub poll_wait: Duration,
    /// How long the store may hold a watch of an instance that others follow.
    pub watch_wait: Duration,
}

/// Fraction of the time until a change must be in force that a neighbour may hold a query.
const POLL_WAIT_FRACTION: f64 = 0.2;
/// Fraction kept for requests in flight when the change arrives, and for slow timers.
const MARGIN_FRACTION: f64 = 0.15;
/// How long a neighbour's reply may take in addition to the wait.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(250);
/// Fraction of the maximum age that the store may hold a watch. Before the next response, state is
/// as old as the watch, plus the time that the response and a busy follower take.
const WATCH_WAIT_FRACTION: f64 = 0.6;
/// With a shorter maximum age, instances would query the store as often for each other as for
/// themselves.
const MIN_AGE_LIMIT: Duration = Duration::from_millis(1200);
const MAX_WATCH_WAIT: Duration = Duration::from_millis(2000);

impl FeedTiming {
    /// The time limits that bring a change into force within `in_force`. None if that is too short
    /// to use neighbours.
    ///
    /// A neighbour may stall right after a reply. Until the next query times out, the reader uses
    /// state that is older than the maximum age by the poll wait and the reply timeout.
    pub fn within(in_force: Duration) -> Option<Self> {
        let poll_wait = in_force.mul_f64(POLL_WAIT_FRACTION);
        let reserved = poll_wait + REPLY_TIMEOUT + in_force.mul_f64(MARGIN_FRACTION);
        let max_age = in_force.saturating_sub(reserved);
        if max_age < MIN_AGE_LIMIT {
            return None;
        }
        let watch_wait = max_age.mul_f64(WATCH_WAIT_FRACTION).min(MAX_WATCH_WAIT);
        Some(Self { max_age, poll_wait, watch_wait })
    }
}

/// A query to the store for changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreQuery {
    /// Pause before it, in which changes collect.
    pub pause: Duration,
    /// How long the store may hold it while there are no changes.
    pub wait: Duration,
}

impl StoreQuery {
    /// Returns what has changed so far, at once.
    pub const IMMEDIATE: Self = Self { pause: Duration::ZERO, wait: Duration::ZERO };
}

impl FeedTiming {
    /// The next query to the store of an instance whose copy has an age. `pause` is the preferred
    /// pause, and `wait` the time from one response to the next.
    ///
    /// Pause and wait share that time: a change may come right after a response, and the call that
    /// would return it may be lost. A copy that would become too old meanwhile, such as one whose
    /// source hasn't replied, leaves no time for either.
    pub fn store_query(self, own_age: Duration, pause: Duration, wait: Duration) -> StoreQuery {
        if own_age + wait > self.max_age {
            return StoreQuery::IMMEDIATE;
        }
        let pause = pause.min(wait / 2);
        StoreQuery { pause, wait: wait - pause }
    }
}

/// Where an instance queries changes next, and how long the source may hold the query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FeedSource {
    /// The store.
    Store {
        /// How long it may hold the watch.
        wait: Duration,
    },
    /// A neighbour.
    Neighbour {
        /// Its run.
        id: IncarnationId,
        /// How long it may hold the query.
        wait: Duration,
    },
}

/// Selects the source of changes: the neighbours that [`FeedTree`] assigns, or the store if they
/// are unreliable.
#[derive(Debug, Default)]
pub struct FeedSourceSelector {
    avoided: Vec<(IncarnationId, ClockTime)>,
}

impl FeedSourceSelector {
    /// Chooses among the reachable instances of the own data centre. `own_age` is the age of this
    /// instance's own copy, None before it was first confirmed.
    ///
    /// A neighbour that stalls costs the time of one query. A copy that has reached the maximum age
    /// leaves no time for a second one, so the store is queried. A starting instance has time: it
    /// isn't ready yet.
    pub fn choose(
        &mut self,
        own: FeedPeer,
        neighbours: &[FeedPeer],
        own_age: Option<Duration>,
        timing: FeedTiming,
        now: ClockTime,
    ) -> FeedSource {
        let tree = FeedTree::new(own, neighbours);
        let store = FeedSource::Store { wait: tree.watch_wait(timing) };
        if own_age.is_some_and(|age| age > timing.max_age) {
            return store;
        }
        self.avoided.retain(|(_, until)| *until > now);
        let is_avoided =
            |instance: &IncarnationId| self.avoided.iter().any(|(avoided, _)| avoided == instance);
        let neighbour = tree.sources().into_iter().find(|instance| !is_avoided(instance));
        neighbour.map_or(store, |id| FeedSource::Neighbour { id, wait: tree.poll_wait(timing) })
    }

    /// Notes that a neighbour didn't reply, or replied with nothing usable.
    pub fn avoid(&mut self, instance: IncarnationId, now: ClockTime) {
        self.avoided.push((instance, now.after(AVOID_PERIOD)));
    }
}
