//! Group commit of claims: several claims share one write of the store's record.

use std::collections::VecDeque;
use std::time::Duration;

use bon::Builder;
use sagespool_types::{ClockTime, KeyDigest, WallTime};

use crate::entry::{ClaimEntry, ClaimIntent};
use crate::record::{ClaimOutcome, ClaimsRecord};

/// When a batch of claims is written.
#[derive(Debug, Clone, PartialEq, Builder)]
pub struct BatchPolicy {
    /// Longest time that a claim waits for others before its write begins.
    #[builder(default = Duration::from_millis(20))]
    pub max_delay: Duration,
    /// Number of claims at which a write begins without further delay.
    #[builder(default = 64)]
    pub max_claims: usize,
    /// Minimum time between the starts of two writes. It bounds the write rate at any
    /// rate of claims, and doesn't delay claims that are rare.
    #[builder(default = Duration::from_millis(150))]
    pub min_write_interval: Duration,
    /// Delay before the retry of a failed write; doubled by each further failure.
    #[builder(default = Duration::from_millis(100))]
    pub initial_backoff: Duration,
    /// Upper limit of the delay between two retries.
    #[builder(default = Duration::from_secs(2))]
    pub max_backoff: Duration,
    /// Time for which the record keeps a claim.
    #[builder(default = Duration::from_secs(24 * 3600))]
    pub retention: Duration,
}

impl Default for BatchPolicy {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// The result of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The claim is stored.
    Durable,
    /// The store has this other claim. Its sidecar has the state of the request.
    Taken(ClaimEntry),
    /// The key was claimed before the retention of details; the outcome is unknown.
    Aged,
    /// The shard's record has reached its size limit.
    Full,
    /// The claim's deadline passed without confirmation by the store. The request
    /// must not be dispatched, although the claim may be in the store.
    Expired,
}

/// A claim intent with its result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimResult {
    /// The claim that was requested.
    pub intent: ClaimIntent,
    /// Whether it is durable, or why not.
    pub verdict: ClaimVerdict,
}

#[derive(Debug, Clone)]
struct PendingClaim {
    intent: ClaimIntent,
    queued_at: ClockTime,
    expires_at: ClockTime,
}

/// The pending claims of one home for one shard.
///
/// The owner waits until [`Self::due_at`], calls [`Self::begin_write`] and reads the
/// record. It calls [`Self::apply`] on the record and writes it conditionally,
/// with a retry on each conflict. Then it calls [`Self::complete_write`] with the stored
/// record, or [`Self::record_failure`]. A write whose reply was lost is handled like a
/// conflict: the record that is read next shows whether the write took effect.
#[derive(Debug)]
pub struct ClaimBatch {
    policy: BatchPolicy,
    waiting: VecDeque<PendingClaim>,
    writing: Vec<PendingClaim>,
    is_writing: bool,
    failures: u32,
    not_before: ClockTime,
    /// The record as last read, with the time of the read.
    last_read: Option<(ClaimsRecord, ClockTime)>,
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
            last_read: None,
        }
    }

    /// Adds a claim. A claim of the same request, such as a retry after a lost reply,
    /// replaces the earlier one.
    pub fn add(&mut self, intent: ClaimIntent, now: ClockTime) {
        self.waiting.retain(|waiting| waiting.intent.request != intent.request);
        let expires_at = now.after(intent.time_left);
        self.waiting.push_back(PendingClaim { intent, queued_at: now, expires_at });
    }

    /// When the next write should begin; `None` while a write is in progress or no claim waits.
    pub fn due_at(&self) -> Option<ClockTime> {
        if self.is_writing {
            return None;
        }
        let oldest = self.waiting.front()?;
        let full = self.waiting.len() >= self.policy.max_claims;
        let due =
            if full { oldest.queued_at } else { oldest.queued_at.after(self.policy.max_delay) };
        Some(due.max(self.not_before))
    }

    /// Begins a write of all waiting claims. False if there are none, or a write is in
    /// progress.
    pub fn begin_write(&mut self, now: ClockTime) -> bool {
        if self.is_writing || self.waiting.is_empty() {
            return false;
        }
        self.not_before = now.after(self.policy.min_write_interval);
        self.writing = self.waiting.drain(..).collect();
        self.is_writing = true;
        true
    }

    /// Applies the claims of the current write to a record that was just read. True if
    /// the record changed and must be written. Expired claims are left out, as their
    /// callers have been refused.
    pub fn apply(&self, record: &mut ClaimsRecord, now: WallTime) -> bool {
        let mut changed = false;
        for waiting in &self.writing {
            let outcome = record.claim(&waiting.intent, now, self.policy.retention);
            changed |= outcome == ClaimOutcome::Claimed;
        }
        changed
    }

    /// Ends the current write with the record as it is stored, and returns the result of
    /// each of its claims.
    pub fn complete_write(&mut self, record: ClaimsRecord, now: ClockTime) -> Vec<ClaimResult> {
        self.is_writing = false;
        self.failures = 0;
        let result = |waiting: PendingClaim| {
            let verdict = match record.outcome_of(&waiting.intent) {
                ClaimOutcome::Claimed | ClaimOutcome::AlreadyMine => ClaimVerdict::Durable,
                ClaimOutcome::Taken(entry) => ClaimVerdict::Taken(entry),
                ClaimOutcome::Aged => ClaimVerdict::Aged,
                ClaimOutcome::Full => ClaimVerdict::Full,
            };
            ClaimResult { intent: waiting.intent, verdict }
        };
        let results = self.writing.drain(..).map(result).collect();
        self.observe_record(record, now);
        results
    }

    /// Keeps a record that was read. Keys that are not in it had not been claimed at that
    /// time (see [`crate::earlier_run`]).
    pub fn observe_record(&mut self, record: ClaimsRecord, now: ClockTime) {
        self.last_read = Some((record, now));
    }

    /// When the record was last read, if the key was not in it.
    pub fn absent_at(&self, key: KeyDigest) -> Option<ClockTime> {
        let (record, read_at) = self.last_read.as_ref()?;
        (!record.is_claimed(key)).then_some(*read_at)
    }

    /// Ends the current write after the store was unreachable or its reply was lost. The
    /// claims wait for the retry.
    pub fn record_failure(&mut self, now: ClockTime) {
        self.is_writing = false;
        let backoff = self.policy.initial_backoff * 2_u32.saturating_pow(self.failures.min(16));
        self.failures += 1;
        self.not_before = self.not_before.max(now.after(backoff.min(self.policy.max_backoff)));
        for waiting in self.writing.drain(..).rev() {
            self.waiting.push_front(waiting);
        }
    }

    /// Removes expired claims, also from the current write.
    ///
    /// An expired claim may still take effect in the store. That is safe: its request is
    /// never dispatched, so its sidecar reports that it has not seen the key, and a later
    /// request with the key replaces the claim.
    pub fn expire(&mut self, now: ClockTime) -> Vec<ClaimResult> {
        let mut expired = Vec::new();
        let mut is_live = |waiting: &PendingClaim| {
            let has_expired = waiting.expires_at <= now;
            if has_expired {
                let intent = waiting.intent.clone();
                expired.push(ClaimResult { intent, verdict: ClaimVerdict::Expired });
            }
            !has_expired
        };
        self.waiting.retain(&mut is_live);
        self.writing.retain(&mut is_live);
        expired
    }

    /// The earliest deadline of a claim that waits or is being written.
    pub fn next_expiry(&self) -> Option<ClockTime> {
        self.waiting.iter().chain(&self.writing).map(|waiting| waiting.expires_at).min()
    }

    /// True if the last write failed.
    pub fn is_store_unreachable(&self) -> bool {
        self.failures > 0
    }

    /// Claims that wait or are being written.
    pub fn len(&self) -> usize {
        self.waiting.len() + self.writing.len()
    }

    /// True if no claim waits or is being written.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
