//! What neighbours are told of the store's objects, so that they needn't ask the store themselves.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sagespool_types::{ClockTime, IncarnationId, StoreRevision};

use crate::engine::mix;

/// Instances of a data centre that ask the store for the others of it.
const FOLLOWERS: usize = 2;
/// A neighbour that didn't answer, or had old word, isn't asked again for so long.
const AVOID_TIME: Duration = Duration::from_millis(1500);
/// Removals that are remembered at most.
const MOST_REMOVALS: usize = 4096;

/// An object, or its removal.
#[derive(Debug, Clone, PartialEq)]
pub struct FeedObject {
    /// Its key.
    pub key: String,
    /// The store's revision of its last change that matters.
    pub revision: StoreRevision,
    /// Its value as the store has it; nothing if it was removed.
    pub value: Option<Arc<str>>,
}

/// What is new after a revision.
#[derive(Debug, Clone, PartialEq)]
pub struct FeedPage {
    /// Everything up to this revision is in it.
    pub revision: StoreRevision,
    /// True if these are all objects there are, whatever the reader knew.
    pub whole: bool,
    /// The objects.
    pub objects: Vec<FeedObject>,
}

/// A copy of the store's objects of one kind, and of when it was true.
///
/// Times are by a clock that runs on while the machine is suspended: a process that slept must not
/// take what it knew before for new.
#[derive(Debug, Default)]
pub struct ChangeFeed {
    /// Removals before this revision are forgotten.
    since: StoreRevision,
    revision: StoreRevision,
    /// The latest time at which the copy was known to be what the store had.
    valid_at: Option<ClockTime>,
    objects: BTreeMap<String, FeedObject>,
}

impl ChangeFeed {
    /// Takes a whole listing.
    pub fn apply_listing(
        &mut self,
        revision: StoreRevision,
        objects: Vec<FeedObject>,
        valid_at: ClockTime,
    ) {
        self.since = revision;
        self.revision = revision;
        self.objects = objects.into_iter().map(|object| (object.key.clone(), object)).collect();
        self.valid_at = Some(valid_at);
    }

    /// Takes a change that matters to readers. Changes that don't are left out, so that nobody is
    /// woken by an upstream that only renews its entry.
    pub fn apply_change(&mut self, change: FeedObject) {
        self.objects.insert(change.key.clone(), change);
        let removed = |object: &&FeedObject| object.value.is_none();
        if self.objects.values().filter(removed).count() > MOST_REMOVALS {
            self.objects.retain(|_, object| object.value.is_some());
            self.since = self.revision;
        }
    }

    /// Notes that all changes up to a revision are in, as of a time.
    pub fn advance(&mut self, revision: StoreRevision, valid_at: ClockTime) {
        self.revision = self.revision.max(revision);
        self.valid_at = self.valid_at.max(Some(valid_at));
    }

    /// The revision up to which this is complete.
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// How old the word of this copy is; nothing if there is none.
    pub fn age(&self, now: ClockTime) -> Option<Duration> {
        self.valid_at.map(|at| now.since(at))
    }

    /// Whether a reader who knows everything up to a revision has something to learn.
    pub fn has_changes_after(&self, revision: StoreRevision) -> bool {
        self.valid_at.is_some()
            && (revision < self.since
                || self.objects.values().any(|object| object.revision > revision))
    }

    /// What a reader has to learn who knows everything up to a revision.
    pub fn page(&self, after: StoreRevision) -> FeedPage {
        let whole = after < self.since;
        let wanted = |object: &&FeedObject| match whole {
            true => object.value.is_some(),
            false => object.revision > after,
        };
        let objects = self.objects.values().filter(wanted).cloned().collect();
        FeedPage { revision: self.revision, whole, objects }
    }
}

/// How old word may be, so that a change is in force in time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FeedTiming {
    /// Older word isn't taken from a neighbour.
    pub max_age: Duration,
    /// How long a neighbour may keep a question that it has nothing new for.
    pub poll_wait: Duration,
    /// How long the store may keep a question of an instance that others follow.
    pub watch_wait: Duration,
}

/// Of the time in which a change must be in force, a question to a neighbour may wait for this part.
const ASK_SHARE: f64 = 0.2;
/// Kept for requests that are on their way when the change arrives, and for slow timers.
const SPARE_SHARE: f64 = 0.15;
/// How long a neighbour's answer may take beside the wait.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(250);
/// Before the next answer of the store, word is as old as the store's wait, and what the answer and
/// a busy follower take: the wait is this part of the age.
const WATCH_SHARE: f64 = 0.6;
/// With less than this, instances would ask the store as often for each other as for themselves.
const LEAST_AGE: Duration = Duration::from_millis(1200);
const LONGEST_WATCH: Duration = Duration::from_millis(2000);

impl FeedTiming {
    /// The terms under which a change is in force within a time; nothing if that is too short to
    /// go by a neighbour's word.
    ///
    /// A neighbour may fall silent right after an answer. Until the question after it is given up,
    /// the reader goes by word as old as may be taken, and the wait, and the answer's time.
    pub fn within(in_force: Duration) -> Option<Self> {
        let poll_wait = in_force.mul_f64(ASK_SHARE);
        let spent = poll_wait + REPLY_TIMEOUT + in_force.mul_f64(SPARE_SHARE);
        let max_age = in_force.saturating_sub(spent);
        if max_age < LEAST_AGE {
            return None;
        }
        let watch_wait = max_age.mul_f64(WATCH_SHARE).min(LONGEST_WATCH);
        Some(Self { max_age, poll_wait, watch_wait })
    }
}

/// Where an instance learns of changes next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FeedSource {
    /// The store itself.
    Store,
    /// A neighbour that follows the store.
    Neighbour(IncarnationId),
}

/// Whom an instance asks for changes: the neighbours that all agree on without a word, or the store
/// where they can't be relied on.
#[derive(Debug, Default)]
pub struct FeedSourceSelector {
    avoided: Vec<(IncarnationId, ClockTime)>,
}

impl FeedSourceSelector {
    /// Chooses among the instances of the own data centre that can be reached. `own_age` is how old
    /// this instance's own word is.
    ///
    /// A neighbour that falls silent costs the time of a question. Word that is already as old as
    /// may be taken leaves no time for a second one: the store is asked then.
    pub fn choose(
        &mut self,
        own: IncarnationId,
        neighbours: &[IncarnationId],
        own_age: Option<Duration>,
        terms: FeedTiming,
        now: ClockTime,
    ) -> FeedSource {
        if own_age.is_none_or(|age| age > terms.max_age) {
            return FeedSource::Store;
        }
        self.avoided.retain(|(_, until)| *until > now);
        let mut ranked: Vec<IncarnationId> = neighbours.to_vec();
        ranked.push(own);
        ranked.sort_by_key(|instance| mix(low_bits(*instance)));
        ranked.truncate(FOLLOWERS);
        if ranked.contains(&own) {
            return FeedSource::Store;
        }
        let is_avoided =
            |instance: &IncarnationId| self.avoided.iter().any(|(avoided, _)| avoided == instance);
        // Readers are spread over the followers.
        if low_bits(own) % 2 == 1 {
            ranked.reverse();
        }
        let follower = ranked.into_iter().find(|instance| !is_avoided(instance));
        follower.map_or(FeedSource::Store, FeedSource::Neighbour)
    }

    /// Notes that a neighbour didn't answer, or had nothing that could be taken.
    pub fn avoid(&mut self, instance: IncarnationId, now: ClockTime) {
        self.avoided.push((instance, now.after(AVOID_TIME)));
    }
}

fn low_bits(instance: IncarnationId) -> u64 {
    instance.0
}
