//! A home's in-memory index of idempotency keys.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use sagespool_messages::KeyState;
use sagespool_types::{ClockTime, ContentDigest, IncarnationId, KeyDigest, RequestId};

use crate::KeyPolicy;
use crate::key_record::{KeyLocation, KeyRecord};

const SHARD_COUNT: usize = 16;

/// A home's decision on a request that carries a key.
#[derive(Debug, Clone, PartialEq)]
pub enum KeyDecision {
    /// This home has seen no run under the key. The request now holds the key.
    New,
    /// The key belongs to other content, or to a request that is pending, runs or ran.
    Attach(KeyState),
    /// This process became home too recently to decide; the sidecars must be queried.
    /// The request holds the key meanwhile.
    Unsure,
}

/// How a request under a key ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyOutcome {
    /// The response is complete and kept by the sidecar that ran the request.
    Answered,
    /// The request never ran; the key is free again.
    NotRun,
    /// The request ran or may have run, and its response is not available.
    Broken,
}

type KeyShard = HashMap<KeyDigest, KeyRecord>;

fn lock(shard: &Mutex<KeyShard>) -> MutexGuard<'_, KeyShard> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A home's index of the keys of its branches, in shards with a lock each.
///
/// It prevents repeated runs and saves most queries to sidecars, but at-most-once
/// execution does not depend on it: two processes that both act as home have an
/// index each, and the claims in the store decide between them.
#[derive(Debug)]
pub struct KeyRegistry {
    policy: KeyPolicy,
    started: ClockTime,
    shards: Vec<Mutex<KeyShard>>,
}

impl KeyRegistry {
    /// An empty index with the default policy. `started` is the process start.
    pub fn new(started: ClockTime) -> Self {
        Self::with_policy(KeyPolicy::default(), started)
    }

    /// An empty index; runs before `started` are unknown to it.
    pub fn with_policy(policy: KeyPolicy, started: ClockTime) -> Self {
        let shards = (0..SHARD_COUNT).map(|_| Mutex::default()).collect();
        Self { policy, started, shards }
    }

    fn shard(&self, key: KeyDigest) -> MutexGuard<'_, KeyShard> {
        let index = (key.0 >> 64) as usize % SHARD_COUNT;
        lock(&self.shards[index])
    }

    /// Decides on a request with a key, for a process that has been home of the
    /// branch since it started.
    pub fn begin(
        &self,
        key: KeyDigest,
        request: RequestId,
        content: ContentDigest,
        now: ClockTime,
    ) -> KeyDecision {
        self.begin_since(key, request, content, self.started, now)
    }

    /// Decides on a request with a key, for a process that has been home of the
    /// branch since `home_since`. The previous home's keys are unknown here, so
    /// the sidecars must be queried until the responses of that time have expired.
    /// Otherwise a caller whose entry failed would get a second run.
    pub fn begin_since(
        &self,
        key: KeyDigest,
        request: RequestId,
        content: ContentDigest,
        home_since: ClockTime,
        now: ClockTime,
    ) -> KeyDecision {
        let mut shard = self.shard(key);
        if let Some(decision) = self.existing_decision(&shard, key, request, content, now) {
            return decision;
        }
        shard.insert(key, KeyRecord::pending(request, content, now));
        let since = home_since.max(self.started);
        if now.since(since) < self.policy.answer_retention {
            return KeyDecision::Unsure;
        }
        KeyDecision::New
    }

    /// Lets a request take a key after the sidecars were queried and either none
    /// has seen it, or the response to the earlier run is lost and the request may
    /// run again. False if another request holds the key.
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
            .is_none_or(|record| record.request == request || record.is_expired(&self.policy, now));
        if is_free {
            shard.insert(key, KeyRecord::pending(request, content, now));
        }
        is_free
    }

    /// Records that a queried sidecar runs the request of a key or has its response.
    pub fn record_found(
        &self,
        key: KeyDigest,
        request: RequestId,
        content: ContentDigest,
        sidecar: IncarnationId,
        now: ClockTime,
    ) {
        let location = KeyLocation::Kept(sidecar);
        self.shard(key).insert(key, KeyRecord { request, content, location, since: now });
    }

    /// False while a request holds the key or runs under it.
    pub fn run_ended(&self, key: KeyDigest) -> bool {
        let shard = self.shard(key);
        let ended = |record: &KeyRecord| {
            matches!(record.location, KeyLocation::Kept(_) | KeyLocation::Lost)
        };
        shard.get(&key).is_none_or(ended)
    }

    fn existing_decision(
        &self,
        shard: &KeyShard,
        key: KeyDigest,
        request: RequestId,
        content: ContentDigest,
        now: ClockTime,
    ) -> Option<KeyDecision> {
        let record = shard.get(&key)?;
        if record.is_expired(&self.policy, now) {
            return None;
        }
        if record.content != content {
            return Some(KeyDecision::Attach(KeyState::OtherContent));
        }
        if record.request == request && record.location == KeyLocation::Pending {
            // A retransmission: the reply to the first message was lost.
            return None;
        }
        Some(KeyDecision::Attach(record.state()))
    }

    /// Records the sidecar on which a request is about to run. False if another
    /// request holds the key; this one must not run then.
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
                record.location = KeyLocation::Running(sidecar);
                record.since = now;
                true
            }
            _ => false,
        }
    }

    /// Records how a request under a key ended. Ignored if another request holds the key.
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
        match (outcome, record.location) {
            (KeyOutcome::NotRun, _) => {
                shard.remove(&key);
                return;
            }
            (KeyOutcome::Answered, KeyLocation::Running(sidecar) | KeyLocation::Kept(sidecar)) => {
                record.location = KeyLocation::Kept(sidecar);
            }
            (KeyOutcome::Answered | KeyOutcome::Broken, _) => record.location = KeyLocation::Lost,
        }
        record.since = now;
    }

    /// Frees the key of a request that did not run.
    pub fn forget(&self, key: KeyDigest, request: RequestId) {
        let mut shard = self.shard(key);
        if shard.get(&key).is_some_and(|record| record.request == request) {
            shard.remove(&key);
        }
    }

    /// Frees the key of a request whose entry may not have received the permission
    /// to run it, unless a sidecar has been assigned since.
    pub fn release(&self, key: KeyDigest, request: RequestId) {
        let mut shard = self.shard(key);
        let is_pending = |record: &KeyRecord| {
            record.request == request && record.location == KeyLocation::Pending
        };
        if shard.get(&key).is_some_and(is_pending) {
            shard.remove(&key);
        }
    }

    /// Marks the responses that a sidecar kept as lost, after its process ended.
    pub fn sidecar_gone(&self, sidecar: IncarnationId, now: ClockTime) {
        for shard in &self.shards {
            let mut shard = lock(shard);
            for record in shard.values_mut() {
                let on_sidecar = [KeyLocation::Running(sidecar), KeyLocation::Kept(sidecar)];
                if on_sidecar.contains(&record.location) {
                    record.location = KeyLocation::Lost;
                    record.since = now;
                }
            }
        }
    }

    /// The state of a key, without taking it.
    pub fn find(&self, key: KeyDigest, now: ClockTime) -> Option<KeyState> {
        let shard = self.shard(key);
        let record = shard.get(&key)?;
        (!record.is_expired(&self.policy, now)).then(|| record.state())
    }

    /// Removes expired keys; to be called every few seconds.
    pub fn expire(&self, now: ClockTime) {
        for shard in &self.shards {
            let mut shard = lock(shard);
            shard.retain(|_, record| !record.is_expired(&self.policy, now));
        }
    }

    /// The number of keys in the index.
    pub fn len(&self) -> usize {
        let key_count = |shard| lock(shard).len();
        self.shards.iter().map(key_count).sum()
    }

    /// True if the index has no keys.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
