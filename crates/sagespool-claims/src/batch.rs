//! Group commit: many claims in one write.

use std::collections::VecDeque;
use std::time::Duration;

use bon::Builder;
use sagespool_types::{ClockTime, KeyDigest, WallTime};

use crate::entry::{ClaimEntry, ClaimIntent};
use crate::record::{ClaimOutcome, ClaimsRecord};

/// When a batch of claims is written.
#[derive(Debug, Clone, PartialEq, Builder)]
pub struct BatchPolicy {
    /// Longest time that a claim waits for others to share its write.
    #[builder(default = Duration::from_millis(20))]
    pub most_delay: Duration,
    /// So many claims are written without waiting for more.
    #[builder(default = 64)]
    pub most_claims: usize,
    /// Time between the beginnings of two writes. It costs a claim nothing
    /// while they are rare, and bounds the writes however many there are.
    #[builder(default = Duration::from_millis(150))]
    pub least_gap: Duration,
    /// Time until the next try after the store failed; doubled by each further failure.
    #[builder(default = Duration::from_millis(100))]
    pub first_retry: Duration,
    /// Longest time between two tries.
    #[builder(default = Duration::from_secs(2))]
    pub longest_retry: Duration,
    /// How long a claim is kept.
    #[builder(default = Duration::from_secs(24 * 3600))]
    pub retention: Duration,
}

impl Default for BatchPolicy {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// What became of a intent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The claim is in the store.
    Durable,
    /// Another claim is. Its sidecar knows more.
    Taken(ClaimEntry),
    /// The key was claimed long ago: the outcome is unknown.
    Aged,
    /// The shard has no room.
    Full,
    /// The intent's time is up, and the store has not confirmed it. Its request
    /// must not be dispatched; the claim may be found in the store later.
    Expired,
}

/// A intent with what became of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimResult {
    /// The intent.
    pub intent: ClaimIntent,
    /// What became of it.
    pub verdict: ClaimVerdict,
}

#[derive(Debug, Clone)]
struct WaitingWish {
    intent: ClaimIntent,
    since: ClockTime,
    until: ClockTime,
}

/// The wishes of one home for one shard of claims.
///
/// The owner waits until [`Self::due_at`], calls [`Self::begin_write`], then reads the
/// record, calls [`Self::apply`] on it and writes it on condition that it has
/// not changed, again and again on conflicts; then [`Self::complete_write`] with the
/// record as it is in the store, or [`Self::record_failure`]. A write whose answer was
/// lost is treated like a conflict: the record is read again, and what took
/// effect is found in it.
#[derive(Debug)]
pub struct ClaimBatch {
    policy: BatchPolicy,
    waiting: VecDeque<WaitingWish>,
    writing: Vec<WaitingWish>,
    is_writing: bool,
    failures: u32,
    not_before: ClockTime,
    /// The record as last seen, and when.
    copy: Option<(ClaimsRecord, ClockTime)>,
}

impl ClaimBatch {
    /// An empty batch.
    pub fn new(policy: BatchPolicy) -> Self {
        Self {
            policy,
            waiting: VecDeque::new(),
            writing: Vec::new(),
            is_writing: false,
            failures: 0,
            not_before: ClockTime::default(),
            copy: None,
        }
    }

    /// Adds a intent. The same intent again, as when its asker lost the answer,
    /// takes the place of the first.
    pub fn add(&mut self, intent: ClaimIntent, now: ClockTime) {
        self.waiting.retain(|waiting| waiting.intent.request != intent.request);
        let until = now.after(intent.time_left);
        self.waiting.push_back(WaitingWish { intent, since: now, until });
    }

    /// When the next write should begin; nothing while one is on its way or no intent waits.
    pub fn due_at(&self) -> Option<ClockTime> {
        if self.is_writing {
            return None;
        }
        let oldest = self.waiting.front()?;
        let full = self.waiting.len() >= self.policy.most_claims;
        let wanted = if full { oldest.since } else { oldest.since.after(self.policy.most_delay) };
        Some(wanted.max(self.not_before))
    }

    /// Begins a write of all wishes that wait. False if there are none, or a
    /// write is on its way.
    pub fn begin_write(&mut self, now: ClockTime) -> bool {
        if self.is_writing || self.waiting.is_empty() {
            return false;
        }
        self.not_before = now.after(self.policy.least_gap);
        self.writing = self.waiting.drain(..).collect();
        self.is_writing = true;
        true
    }

    /// Puts the wishes of the present write into a freshly read record. True
    /// if that changed it, so that it must be written. Wishes whose time is up
    /// are left out: their askers have been told so.
    pub fn apply(&self, record: &mut ClaimsRecord, now: WallTime) -> bool {
        let mut changed = false;
        for waiting in &self.writing {
            let outcome = record.claim(&waiting.intent, now, self.policy.retention);
            changed |= outcome == ClaimOutcome::Claimed;
        }
        changed
    }

    /// The record as it is in the store: the present write ended. Says what
    /// became of each of its wishes.
    pub fn complete_write(&mut self, record: ClaimsRecord, now: ClockTime) -> Vec<ClaimResult> {
        self.is_writing = false;
        self.failures = 0;
        let answer = |waiting: WaitingWish| {
            let verdict = match record.outcome_of(&waiting.intent) {
                ClaimOutcome::Claimed | ClaimOutcome::AlreadyMine => ClaimVerdict::Durable,
                ClaimOutcome::Taken(entry) => ClaimVerdict::Taken(entry),
                ClaimOutcome::Aged => ClaimVerdict::Aged,
                ClaimOutcome::Full => ClaimVerdict::Full,
            };
            ClaimResult { intent: waiting.intent, verdict }
        };
        let answers = self.writing.drain(..).map(answer).collect();
        self.read(record, now);
        answers
    }

    /// The record was read, at the start or now and then: what it doesn't hold
    /// was not claimed before (see [`crate::earlier_run`]).
    pub fn read(&mut self, record: ClaimsRecord, now: ClockTime) {
        self.copy = Some((record, now));
    }

    /// When the record was last seen, if the key was not in it.
    pub fn absent_at(&self, key: KeyDigest) -> Option<ClockTime> {
        let (record, seen_at) = self.copy.as_ref()?;
        (!record.is_claimed(key)).then_some(*seen_at)
    }

    /// The store is out of reach, or its answer was lost: the wishes wait for
    /// the next try.
    pub fn record_failure(&mut self, now: ClockTime) {
        self.is_writing = false;
        let wait = self.policy.first_retry * 2_u32.saturating_pow(self.failures.min(16));
        self.failures += 1;
        self.not_before = self.not_before.max(now.after(wait.min(self.policy.longest_retry)));
        for waiting in self.writing.drain(..).rev() {
            self.waiting.push_front(waiting);
        }
    }

    /// Removes the wishes whose time is up, also from the present write.
    ///
    /// A claim that took effect although its intent lapsed does no harm: the
    /// request is never dispatched, its sidecar says so, and a later request
    /// for the key overturns it.
    pub fn expire(&mut self, now: ClockTime) -> Vec<ClaimResult> {
        let mut lapsed = Vec::new();
        let mut is_up = |waiting: &WaitingWish| {
            let up = waiting.until <= now;
            if up {
                let intent = waiting.intent.clone();
                lapsed.push(ClaimResult { intent, verdict: ClaimVerdict::Expired });
            }
            !up
        };
        self.waiting.retain(&mut is_up);
        self.writing.retain(&mut is_up);
        lapsed
    }

    /// When the first intent lapses.
    pub fn next_lapse(&self) -> Option<ClockTime> {
        self.waiting.iter().chain(&self.writing).map(|waiting| waiting.until).min()
    }

    /// True if the last write failed: the store is out of reach.
    pub fn is_store_away(&self) -> bool {
        self.failures > 0
    }

    /// Wishes that wait or are being written.
    pub fn len(&self) -> usize {
        self.waiting.len() + self.writing.len()
    }

    /// True if there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
