//! A home's memory of keys.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use sagespool_messages::KeyState;
use sagespool_types::{ClockTime, ContentDigest, IncarnationId, KeyDigest, RequestId};

use crate::KeyPolicy;
use crate::key_record::{KeyPlace, KeyRecord};

const SHARD_COUNT: usize = 16;

/// What a home says to a request with a key.
#[derive(Debug, Clone, PartialEq)]
pub enum KeyDecision {
    /// It was not run under this key, as far as a home can know: it now holds the key.
    New,
    /// The key stands for something else, or for a request that runs or ran.
    Attach(KeyState),
    /// This home has not been home for long enough to know: ask the sidecars.
    /// The request holds the key meanwhile.
    Unsure,
}

/// How a request under a key ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyOutcome {
    /// Its answer is whole, and kept where it ran.
    Answered,
    /// It surely never ran: the key is free again.
    NotRun,
    /// It ran or may have, and its answer can't be had.
    Broken,
}

type KeyShard = HashMap<KeyDigest, KeyRecord>;

fn lock(shard: &Mutex<KeyShard>) -> MutexGuard<'_, KeyShard> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A home's memory of the keys of its branches, in shards under their own locks.
///
/// It spares callers a second run and the sidecars most questions. At-most-once
/// doesn't rest on it: two processes that both think they are home each have a
/// board, and the store's claims decide between them.
#[derive(Debug)]
pub struct KeyRegistry {
    policy: KeyPolicy,
    started: ClockTime,
    shards: Vec<Mutex<KeyShard>>,
}

impl KeyRegistry {
    /// A board of the default policy.
    pub fn new(started: ClockTime) -> Self {
        Self::with_policy(KeyPolicy::default(), started)
    }

    /// A board that knows nothing of what was before `started`.
    pub fn with_policy(policy: KeyPolicy, started: ClockTime) -> Self {
        let shards = (0..SHARD_COUNT).map(|_| Mutex::default()).collect();
        Self { policy, started, shards }
    }

    fn shard(&self, key: KeyDigest) -> MutexGuard<'_, KeyShard> {
        let place = (key.0 >> 64) as usize % SHARD_COUNT;
        lock(&self.shards[place])
    }

    /// A request with a key arrives at a process that has been home of its
    /// branch ever since it started.
    pub fn begin(
        &self,
        key: KeyDigest,
        request: RequestId,
        content: ContentDigest,
        now: ClockTime,
    ) -> KeyDecision {
        self.begin_since(key, request, content, self.started, now)
    }

    /// A request with a key arrives at a process that has been home of its
    /// branch since `home_since`. What the home before it knew is not known
    /// here, so that until the answers of its time have lapsed the sidecars
    /// must be asked: else a caller whose entry died would get a second run.
    pub fn begin_since(
        &self,
        key: KeyDigest,
        request: RequestId,
        content: ContentDigest,
        home_since: ClockTime,
        now: ClockTime,
    ) -> KeyDecision {
        let mut shard = self.shard(key);
        if let Some(decision) = self.known(&shard, key, request, content, now) {
            return decision;
        }
        shard.insert(key, KeyRecord::pending(request, content, now));
        let since = home_since.max(self.started);
        if now.since(since) < self.policy.answer_retention {
            return KeyDecision::Unsure;
        }
        KeyDecision::New
    }

    /// A request takes a key: the sidecars were asked, and none knows it, or
    /// what ran under it is lost and may run again. False if another request
    /// holds the key meanwhile.
    pub fn try_acquire(
        &self,
        key: KeyDigest,
        request: RequestId,
        content: ContentDigest,
        now: ClockTime,
    ) -> bool {
        let mut shard = self.shard(key);
        let is_free = shard
            .get(&key)
            .is_none_or(|record| record.request == request || record.has_lapsed(&self.policy, now));
        if is_free {
            shard.insert(key, KeyRecord::pending(request, content, now));
        }
        is_free
    }

    /// The sidecars were asked, and one runs the key or has its answer.
    pub fn record_found(
        &self,
        key: KeyDigest,
        request: RequestId,
        content: ContentDigest,
        sidecar: IncarnationId,
        now: ClockTime,
    ) {
        let place = KeyPlace::Kept(sidecar);
        self.shard(key).insert(key, KeyRecord { request, content, place, since: now });
    }

    /// False while a request is known to hold the key, or to run under it.
    pub fn run_ended(&self, key: KeyDigest) -> bool {
        let shard = self.shard(key);
        let ended = |record: &KeyRecord| matches!(record.place, KeyPlace::Kept(_) | KeyPlace::Lost);
        shard.get(&key).is_none_or(ended)
    }

    fn known(
        &self,
        shard: &KeyShard,
        key: KeyDigest,
        request: RequestId,
        content: ContentDigest,
        now: ClockTime,
    ) -> Option<KeyDecision> {
        let record = shard.get(&key)?;
        if record.has_lapsed(&self.policy, now) {
            return None;
        }
        if record.content != content {
            return Some(KeyDecision::Attach(KeyState::OtherContent));
        }
        if record.request == request && record.place == KeyPlace::Pending {
            // The same message again: the answer to the first was lost.
            return None;
        }
        Some(KeyDecision::Attach(record.state()))
    }

    /// A request is about to run on a sidecar. False if another request holds
    /// the key meanwhile: this one must not run.
    pub fn assign_sidecar(
        &self,
        key: KeyDigest,
        request: RequestId,
        sidecar: IncarnationId,
        now: ClockTime,
    ) -> bool {
        let mut shard = self.shard(key);
        match shard.get_mut(&key) {
            Some(record) if record.request == request => {
                record.place = KeyPlace::Running(sidecar);
                record.since = now;
                true
            }
            _ => false,
        }
    }

    /// A request under a key ended.
    pub fn record_outcome(
        &self,
        key: KeyDigest,
        request: RequestId,
        outcome: KeyOutcome,
        now: ClockTime,
    ) {
        let mut shard = self.shard(key);
        let Some(record) = shard.get_mut(&key) else { return };
        if record.request != request {
            return;
        }
        match (outcome, record.place) {
            (KeyOutcome::NotRun, _) => {
                shard.remove(&key);
                return;
            }
            (KeyOutcome::Answered, KeyPlace::Running(sidecar) | KeyPlace::Kept(sidecar)) => {
                record.place = KeyPlace::Kept(sidecar);
            }
            (KeyOutcome::Answered | KeyOutcome::Broken, _) => record.place = KeyPlace::Lost,
        }
        record.since = now;
    }

    /// A request gives its key back without having run.
    pub fn forget(&self, key: KeyDigest, request: RequestId) {
        let mut shard = self.shard(key);
        if shard.get(&key).is_some_and(|record| record.request == request) {
            shard.remove(&key);
        }
    }

    /// A request whose entry may never have heard that it may run gives its key
    /// back, unless it has been placed since.
    pub fn release(&self, key: KeyDigest, request: RequestId) {
        let mut shard = self.shard(key);
        let waits =
            |record: &KeyRecord| record.request == request && record.place == KeyPlace::Pending;
        if shard.get(&key).is_some_and(waits) {
            shard.remove(&key);
        }
    }

    /// A sidecar's process is gone, and the answers that it kept with it.
    pub fn sidecar_gone(&self, sidecar: IncarnationId, now: ClockTime) {
        for shard in &self.shards {
            let mut shard = lock(shard);
            for record in shard.values_mut() {
                let here = [KeyPlace::Running(sidecar), KeyPlace::Kept(sidecar)];
                if here.contains(&record.place) {
                    record.place = KeyPlace::Lost;
                    record.since = now;
                }
            }
        }
    }

    /// What is known of a key, without taking it.
    pub fn find(&self, key: KeyDigest, now: ClockTime) -> Option<KeyState> {
        let shard = self.shard(key);
        let record = shard.get(&key)?;
        (!record.has_lapsed(&self.policy, now)).then(|| record.state())
    }

    /// Forgets what has lapsed; to be called every few seconds.
    pub fn expire(&self, now: ClockTime) {
        for shard in &self.shards {
            let mut shard = lock(shard);
            shard.retain(|_, record| !record.has_lapsed(&self.policy, now));
        }
    }

    /// How many keys are known.
    pub fn len(&self) -> usize {
        let count = |shard| lock(shard).len();
        self.shards.iter().map(count).sum()
    }

    /// True if no key is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
