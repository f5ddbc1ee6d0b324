//! One shard of the idempotency cache.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;

use sagespool_messages::{AttachRequest, KeyRequest};
use sagespool_types::{AttemptNumber, ByteCount, ClockTime, ContentDigest, KeyDigest, RequestId};

use super::{FoundKey, KeyAdmission, KeyRefusal, KeyRetention, KeyedAttempt, KeyedOutcome};
use crate::AnswerLog;

#[derive(Debug, Default)]
pub(super) struct KeyShard {
    keys: HashMap<KeyDigest, KeyEntry>,
    /// Cached answers, the oldest first.
    cached: VecDeque<(ClockTime, KeyDigest, RequestId)>,
    /// Total size of the cached answers.
    cached_bytes: ByteCount,
    /// Non-idempotent keys without an answer, the oldest first.
    lost: VecDeque<(ClockTime, KeyDigest, RequestId)>,
    fences: HashSet<(KeyDigest, RequestId)>,
    fence_order: VecDeque<(ClockTime, KeyDigest, RequestId)>,
}

#[derive(Debug)]
struct KeyEntry {
    request: RequestId,
    attempt: AttemptNumber,
    content: ContentDigest,
    non_idempotent: bool,
    ended: ClockTime,
    answer: AnswerState,
}

#[derive(Debug)]
enum AnswerState {
    Running(Arc<AnswerLog>),
    Cached { log: Arc<AnswerLog>, bytes: ByteCount },
    Lost,
}

impl KeyEntry {
    fn answer(&self) -> Result<&Arc<AnswerLog>, KeyRefusal> {
        match &self.answer {
            AnswerState::Running(log) | AnswerState::Cached { log, .. } if log.has_start() => {
                Ok(log)
            }
            _ => Err(KeyRefusal::AnswerLost { request: self.request }),
        }
    }
}

impl KeyShard {
    pub(super) fn admit(&mut self, keyed: &KeyedAttempt, log: &Arc<AnswerLog>) -> KeyAdmission {
        if self.fences.contains(&(keyed.key, keyed.request)) {
            return KeyAdmission::Refused(KeyRefusal::Fenced);
        }
        if let Some(entry) = self.keys.get(&keyed.key) {
            return Self::admit_known(entry, keyed);
        }
        let entry = KeyEntry {
            request: keyed.request,
            attempt: keyed.attempt,
            content: keyed.content,
            non_idempotent: keyed.non_idempotent,
            ended: ClockTime::default(),
            answer: AnswerState::Running(Arc::clone(log)),
        };
        self.keys.insert(keyed.key, entry);
        KeyAdmission::Admitted
    }

    fn admit_known(entry: &KeyEntry, keyed: &KeyedAttempt) -> KeyAdmission {
        if entry.content != keyed.content {
            return KeyAdmission::Refused(KeyRefusal::OtherContent);
        }
        match entry.answer() {
            Ok(log) => KeyAdmission::Known { log: Arc::clone(log), request: entry.request },
            Err(refusal) => KeyAdmission::Refused(refusal),
        }
    }

    pub(super) fn attach(&self, request: &AttachRequest) -> Result<Arc<AnswerLog>, KeyRefusal> {
        let entry = self.keys.get(&request.key).ok_or(KeyRefusal::UnknownKey)?;
        if entry.content != request.content {
            return Err(KeyRefusal::OtherContent);
        }
        entry.answer().cloned()
    }

    pub(super) fn end_attempt(
        &mut self,
        keyed: &KeyedAttempt,
        outcome: KeyedOutcome,
        now: ClockTime,
    ) {
        let Some(entry) = self.keys.get_mut(&keyed.key) else { return };
        let AnswerState::Running(log) = &entry.answer else { return };
        if (entry.request, entry.attempt) != (keyed.request, keyed.attempt) {
            return;
        }
        entry.ended = now;
        let expiry = (now, keyed.key, keyed.request);
        if outcome == KeyedOutcome::Whole && log.has_start() {
            let bytes = log.bytes();
            entry.answer = AnswerState::Cached { log: Arc::clone(log), bytes };
            self.cached_bytes += bytes;
            self.cached.push_back(expiry);
        } else if outcome != KeyedOutcome::NotRun && entry.non_idempotent {
            entry.answer = AnswerState::Lost;
            self.lost.push_back(expiry);
        } else {
            self.keys.remove(&keyed.key);
        }
    }

    /// Evicts the oldest answers until the others fit in `capacity`. Returns the number evicted.
    pub(super) fn evict(&mut self, capacity: ByteCount) -> u64 {
        let mut evicted = 0;
        while self.cached_bytes > capacity {
            let Some((_, key, request)) = self.cached.pop_front() else { break };
            self.drop_answer(key, request);
            evicted += 1;
        }
        evicted
    }

    pub(super) fn find(&mut self, request: &KeyRequest, now: ClockTime) -> Option<FoundKey> {
        let Some(entry) = self.keys.get(&request.key) else {
            if let Some(fenced) = request.fence {
                self.fence(request.key, fenced, now);
            }
            return None;
        };
        Some(match entry.answer() {
            Ok(_) => FoundKey::At { request: entry.request, content: entry.content },
            Err(_) => FoundKey::Lost { request: entry.request },
        })
    }

    fn fence(&mut self, key: KeyDigest, request: RequestId, now: ClockTime) {
        if self.fences.insert((key, request)) {
            self.fence_order.push_back((now, key, request));
        }
    }

    pub(super) fn expire(&mut self, retention: &KeyRetention, now: ClockTime) {
        while let Some((_, key, request)) = pop_expired(&mut self.cached, retention.answers, now) {
            self.drop_answer(key, request);
        }
        while let Some((_, key, request)) = pop_expired(&mut self.lost, retention.keys, now) {
            if self.keys.get(&key).is_some_and(|entry| entry.request == request) {
                self.keys.remove(&key);
            }
        }
        while let Some((_, key, request)) = pop_expired(&mut self.fence_order, retention.keys, now)
        {
            self.fences.remove(&(key, request));
        }
    }

    /// Drops a cached answer, and its key too if the request may run again.
    fn drop_answer(&mut self, key: KeyDigest, request: RequestId) {
        let Some(entry) = self.keys.get_mut(&key) else { return };
        let AnswerState::Cached { bytes, .. } = entry.answer else { return };
        if entry.request != request {
            return;
        }
        self.cached_bytes = self.cached_bytes.saturating_sub(bytes);
        if entry.non_idempotent {
            entry.answer = AnswerState::Lost;
            self.lost.push_back((entry.ended, key, request));
        } else {
            self.keys.remove(&key);
        }
    }
}

type KeyOrder = VecDeque<(ClockTime, KeyDigest, RequestId)>;

fn pop_expired(
    order: &mut KeyOrder,
    retention: std::time::Duration,
    now: ClockTime,
) -> Option<(ClockTime, KeyDigest, RequestId)> {
    let (since, ..) = *order.front()?;
    if now.since(since) < retention {
        return None;
    }
    order.pop_front()
}
