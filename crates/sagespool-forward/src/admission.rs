//! Turning requests away at an instance that is short of processor time.

use std::collections::HashMap;
use std::time::Duration;

use sagespool_types::{BranchName, ClockTime};

/// Times that a request waits for its turn at the processor until its first event is on its way to
/// the caller: its head, its body, its budget, its upstream's connection, and its answer.
const TURNS_AHEAD: u32 = 6;
/// Of the latency target, waiting for the processor may take this share for the most urgent rank.
const MOST_SHARE: f64 = 0.6;
/// By how much the share falls with each rank, down to a least.
const RANK_STEP: f64 = 0.1;
const LEAST_SHARE: f64 = 0.4;
/// Weight of a new observation of the wait.
const NEW_WEIGHT: f64 = 0.25;
/// What is longer is no wait for the processor: the process, or its machine, stood still.
const LONGEST_SEEN: Duration = Duration::from_millis(500);
/// An observation that is older says nothing any more: a burst may be over.
const LONGEST_BELIEF: Duration = Duration::from_millis(500);

/// A request whose head has arrived.
#[derive(Debug, Clone, Copy)]
pub struct ArrivedRequest<'a> {
    /// Its client account.
    pub branch: Option<&'a BranchName>,
    /// Its rank, 0 is the most urgent.
    pub rank: u8,
    /// Within this time its answer is worth most.
    pub latency_target: Duration,
    /// What is left until its deadline.
    pub time_left: Duration,
}

/// What an instance knows of its own load, and the choice of what it takes in.
///
/// Guards against an instance that takes in more than its processor can answer: all requests then
/// wait for each other, each is late, and a caller whose account is bound to this instance waits
/// until its deadline though others have room. It shows in how long a task that is ready waits for
/// its turn. A request that would spend most of its latency target on such waits is turned away at
/// once, before its body is read, so that its caller finds another instance in time. Urgent ranks
/// are turned away last, and an account that fills the instance is turned away before the others.
#[derive(Debug, Default)]
pub struct AdmissionController {
    /// How long a ready task waits for its turn, in seconds.
    turn_s: f64,
    observed: ClockTime,
    running: HashMap<BranchName, u32>,
    total: u32,
}

impl AdmissionController {
    /// Notes how long a task that was ready has just waited for its turn.
    pub fn note_scheduling_delay(&mut self, waited: Duration, now: ClockTime) {
        // A single late turn, after a pause or a freeze, is no load: it takes several to count.
        let before = self.scheduling_delay(now).as_secs_f64();
        let seen = waited.min(LONGEST_SEEN).as_secs_f64();
        self.turn_s = before * (1.0 - NEW_WEIGHT) + seen * NEW_WEIGHT;
        self.observed = now;
    }

    /// How long a task that is ready waits for its turn.
    pub fn scheduling_delay(&self, now: ClockTime) -> Duration {
        match now.since(self.observed) > LONGEST_BELIEF {
            true => Duration::ZERO,
            false => Duration::from_secs_f64(self.turn_s),
        }
    }

    /// Whether a request can be answered in time, as far as this instance's processor goes.
    pub fn admits(&self, request: ArrivedRequest<'_>, now: ClockTime) -> bool {
        let delay = self.scheduling_delay(now) * TURNS_AHEAD;
        if delay > request.time_left {
            return false;
        }
        let share = (MOST_SHARE - RANK_STEP * f64::from(request.rank)).max(LEAST_SHARE);
        let share = share / request.branch.map_or(1.0, |branch| self.excess(branch));
        delay <= request.latency_target.mul_f64(share)
    }

    /// How many times as much an account has under way as the mean of all accounts, at least 1.
    fn excess(&self, branch: &BranchName) -> f64 {
        let own = self.running.get(branch).copied().unwrap_or(0);
        let mean = f64::from(self.total) / self.running.len().max(1) as f64;
        (f64::from(own) / mean.max(1.0)).max(1.0)
    }

    /// Counts an account's request as under way.
    pub fn begin(&mut self, branch: &BranchName) {
        self.total += 1;
        *self.running.entry(branch.clone()).or_default() += 1;
    }

    /// Takes an account's request off the count.
    pub fn end(&mut self, branch: &BranchName) {
        self.total = self.total.saturating_sub(1);
        if let Some(own) = self.running.get_mut(branch) {
            *own = own.saturating_sub(1);
            if *own == 0 {
                self.running.remove(branch);
            }
        }
    }
}
