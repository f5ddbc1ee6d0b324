//! Rejects requests at an instance that is short of processor time.

use std::collections::HashMap;
use std::time::Duration;

use sagespool_types::{BranchName, ClockTime};

/// How often a request is scheduled until its first event is on the way to the caller: for its
/// header, body, budget, upstream connection and response.
const SCHEDULING_STEPS: u32 = 6;
/// Fraction of the latency target that scheduling delays may take, for the most urgent rank.
const MAX_DELAY_FRACTION: f64 = 0.6;
/// Decrease of the fraction per rank, down to `MIN_DELAY_FRACTION`.
const RANK_FRACTION_STEP: f64 = 0.1;
const MIN_DELAY_FRACTION: f64 = 0.4;
/// Weight of a new sample in the exponential average.
const SAMPLE_WEIGHT: f64 = 0.25;
/// A longer delay isn't caused by load: the process or its machine was paused.
const MAX_SAMPLE: Duration = Duration::from_millis(500);
/// An older average is no longer significant, since a burst may be over.
const SAMPLE_LIFETIME: Duration = Duration::from_millis(500);

/// A request whose header has arrived.
#[derive(Debug, Clone, Copy)]
pub struct ArrivedRequest<'a> {
    /// Its client account.
    pub branch: Option<&'a BranchName>,
    /// Its rank, 0 is the most urgent.
    pub rank: u8,
    /// Target time of its response.
    pub latency_target: Duration,
    /// Time left until its deadline.
    pub time_left: Duration,
}

/// Admission control by the scheduling delay of this instance.
///
/// An instance that admits more than its processor can handle delays all of its requests. A caller
/// whose account is bound to this instance then waits until its deadline although other instances
/// have capacity. The overload shows in how long a ready task waits for the processor. A request
/// that would spend most of its latency target on such delays is rejected at once, before its body
/// is read, so that its caller finds another instance in time. Urgent ranks are rejected last, and
/// an account that fills the instance is rejected before the others.
#[derive(Debug, Default)]
pub struct AdmissionController {
    /// Exponential average of the scheduling delay, in seconds.
    delay_s: f64,
    sampled_at: ClockTime,
    running: HashMap<BranchName, u32>,
    total: u32,
}

impl AdmissionController {
    /// Notes how long a ready task has just waited for the processor.
    pub fn note_scheduling_delay(&mut self, waited: Duration, now: ClockTime) {
        // A single late wake-up, after a pause or a freeze, is no load. It takes several to have an
        // effect.
        let before = self.scheduling_delay(now).as_secs_f64();
        let sample = waited.min(MAX_SAMPLE).as_secs_f64();
        self.delay_s = before * (1.0 - SAMPLE_WEIGHT) + sample * SAMPLE_WEIGHT;
        self.sampled_at = now;
    }

    /// How long a ready task waits for the processor.
    pub fn scheduling_delay(&self, now: ClockTime) -> Duration {
        match now.since(self.sampled_at) > SAMPLE_LIFETIME {
            true => Duration::ZERO,
            false => Duration::from_secs_f64(self.delay_s),
        }
    }

    /// How long a request waits for the processor in all its steps.
    pub fn processor_wait(&self, now: ClockTime) -> Duration {
        self.scheduling_delay(now) * SCHEDULING_STEPS
    }

    /// Whether this instance's processor is expected to answer the request in time.
    pub fn admits(&self, request: ArrivedRequest<'_>, now: ClockTime) -> bool {
        let delay = self.processor_wait(now);
        if delay > request.time_left {
            return false;
        }
        let excess_ratio = request.branch.map_or(1.0, |branch| self.excess_ratio(branch));
        delay <= request.latency_target.mul_f64(delay_fraction(request.rank) / excess_ratio)
    }

    /// Whether a request that waits so long for the link is expected to be answered in time.
    ///
    /// Answers a burst of large bodies at a small link. What is refused is refused by its head, while another
    /// instance can still answer it in time. A body that takes most of its target on an idle link is admitted:
    /// another instance of this size wouldn't be faster.
    pub fn admits_link_wait(&self, request: ArrivedRequest<'_>, wait: Duration) -> bool {
        wait <= request.time_left
            && wait <= request.latency_target.mul_f64(delay_fraction(request.rank))
    }

    /// Ratio of an account's running requests to the mean over all accounts, at least 1.
    fn excess_ratio(&self, branch: &BranchName) -> f64 {
        let own = self.running.get(branch).copied().unwrap_or(0);
        let mean = f64::from(self.total) / self.running.len().max(1) as f64;
        (f64::from(own) / mean.max(1.0)).max(1.0)
    }

    /// Counts a request of an account as running.
    pub fn begin(&mut self, branch: &BranchName) {
        self.total += 1;
        *self.running.entry(branch.clone()).or_default() += 1;
    }

    /// Removes a request of an account from the count.
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

/// The fraction of the latency target that a wait may take, by rank.
fn delay_fraction(rank: u8) -> f64 {
    (MAX_DELAY_FRACTION - RANK_FRACTION_STEP * f64::from(rank)).max(MIN_DELAY_FRACTION)
}
