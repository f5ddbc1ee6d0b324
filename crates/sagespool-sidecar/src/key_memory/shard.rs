//! A part of the keys.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;

use sagespool_messages::{AttachRequest, KeyRequest};
use sagespool_types::{AttemptNumber, ByteCount, ClockTime, ContentDigest, KeyDigest, RequestId};

use super::{KeyAdmission, KeyEnding, KeyFound, KeyRefusal, KeyRetention, KeyWish};
use crate::AnswerLog;

#[derive(Debug, Default)]
pub(super) struct KeyShard {
    keys: HashMap<KeyDigest, KeyEntry>,
    /// Kept answers, the oldest first, and their size in all.
    kept: VecDeque<(ClockTime, KeyDigest, RequestId)>,
    kept_bytes: ByteCount,
    /// Keys remembered without their answer, the oldest first.
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
    Kept { log: Arc<AnswerLog>, bytes: ByteCount },
    Lost,
}

impl KeyEntry {
    fn answer(&self) -> Result<&Arc<AnswerLog>, KeyRefusal> {
        match &self.answer {
            AnswerState::Running(log) | AnswerState::Kept { log, .. } if log.is_from_start() => {
                Ok(log)
            }
            _ => Err(KeyRefusal::AnswerLost { request: self.request }),
        }
    }
}

impl KeyShard {
    pub(super) fn begin(&mut self, wish: &KeyWish, log: &Arc<AnswerLog>) -> KeyAdmission {
        if self.fences.contains(&(wish.key, wish.request)) {
            return KeyAdmission::Refused(KeyRefusal::Fenced);
        }
        if let Some(entry) = self.keys.get(&wish.key) {
            return Self::admit_known(entry, wish);
        }
        let entry = KeyEntry {
            request: wish.request,
            attempt: wish.attempt,
            content: wish.content,
            non_idempotent: wish.non_idempotent,
            ended: ClockTime::default(),
            answer: AnswerState::Running(Arc::clone(log)),
        };
        self.keys.insert(wish.key, entry);
        KeyAdmission::Run
    }

    fn admit_known(entry: &KeyEntry, wish: &KeyWish) -> KeyAdmission {
        if entry.content != wish.content {
            return KeyAdmission::Refused(KeyRefusal::OtherContent);
        }
        match entry.answer() {
            Ok(log) => KeyAdmission::Known { log: Arc::clone(log), request: entry.request },
            Err(refusal) => KeyAdmission::Refused(refusal),
        }
    }

    pub(super) fn attach(&self, request: &AttachRequest) -> Result<Arc<AnswerLog>, KeyRefusal> {
        let entry = self.keys.get(&request.key).ok_or(KeyRefusal::NeverSeen)?;
        if entry.content != request.content {
            return Err(KeyRefusal::OtherContent);
        }
        entry.answer().cloned()
    }

    pub(super) fn end(&mut self, wish: &KeyWish, ending: KeyEnding, now: ClockTime) {
        let Some(entry) = self.keys.get_mut(&wish.key) else { return };
        let AnswerState::Running(log) = &entry.answer else { return };
        if (entry.request, entry.attempt) != (wish.request, wish.attempt) {
            return;
        }
        entry.ended = now;
        let place = (now, wish.key, wish.request);
        if ending == KeyEnding::Whole && log.is_from_start() {
            let bytes = log.bytes();
            entry.answer = AnswerState::Kept { log: Arc::clone(log), bytes };
            self.kept_bytes += bytes;
            self.kept.push_back(place);
        } else if ending != KeyEnding::NotRun && entry.non_idempotent {
            entry.answer = AnswerState::Lost;
            self.lost.push_back(place);
        } else {
            self.keys.remove(&wish.key);
        }
    }

    /// Drops the oldest answers until the rest fits. How many were dropped.
    pub(super) fn evict(&mut self, most: ByteCount) -> u64 {
        let mut evicted = 0;
        while self.kept_bytes > most {
            let Some((_, key, request)) = self.kept.pop_front() else { break };
            self.drop_answer(key, request);
            evicted += 1;
        }
        evicted
    }

    pub(super) fn find(&mut self, request: &KeyRequest, now: ClockTime) -> Option<KeyFound> {
        let Some(entry) = self.keys.get(&request.key) else {
            if let Some(fenced) = request.fence {
                self.fence(request.key, fenced, now);
            }
            return None;
        };
        Some(match entry.answer() {
            Ok(_) => KeyFound::At { request: entry.request, content: entry.content },
            Err(_) => KeyFound::Lost { request: entry.request },
        })
    }

    fn fence(&mut self, key: KeyDigest, request: RequestId, now: ClockTime) {
        if self.fences.insert((key, request)) {
            self.fence_order.push_back((now, key, request));
        }
    }

    pub(super) fn expire(&mut self, retention: &KeyRetention, now: ClockTime) {
        while let Some((_, key, request)) = pop_older(&mut self.kept, retention.answers, now) {
            self.drop_answer(key, request);
        }
        while let Some((_, key, request)) = pop_older(&mut self.lost, retention.keys, now) {
            if self.keys.get(&key).is_some_and(|entry| entry.request == request) {
                self.keys.remove(&key);
            }
        }
        while let Some((_, key, request)) = pop_older(&mut self.fence_order, retention.keys, now) {
            self.fences.remove(&(key, request));
        }
    }

    /// An idempotent key is forgotten with its answer, since it may run again.
    fn drop_answer(&mut self, key: KeyDigest, request: RequestId) {
        let Some(entry) = self.keys.get_mut(&key) else { return };
        let AnswerState::Kept { bytes, .. } = entry.answer else { return };
        if entry.request != request {
            return;
        }
        self.kept_bytes = self.kept_bytes.saturating_sub(bytes);
        if entry.non_idempotent {
            entry.answer = AnswerState::Lost;
            self.lost.push_back((entry.ended, key, request));
        } else {
            self.keys.remove(&key);
        }
    }
}

type KeyOrder = VecDeque<(ClockTime, KeyDigest, RequestId)>;

fn pop_older(
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
