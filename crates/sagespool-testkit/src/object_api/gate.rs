//! Admission of calls, before they access an object.

use std::time::Duration;

use sagespool_types::{ClockTime, RequestRate};

use super::faults::{RateBucket, StoreFaults};
use super::records::StoreCounts;

/// Call types, each with its own counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallKind {
    Get,
    List,
    Put,
    Delete,
    Watch,
}

impl CallKind {
    fn is_write(self) -> bool {
        matches!(self, Self::Put | Self::Delete)
    }
}

/// The admission decision for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GateDecision {
    /// Proceed after this delay.
    Pass(Duration),
    /// Answer 503.
    OutOfService,
    /// Answer 429; a token is available after this time.
    RateLimited(Duration),
    /// Break the connection.
    Disconnect,
}

/// The injected faults, the rate limits and the counters.
pub(super) struct CallGate {
    faults: StoreFaults,
    reads: Option<RateBucket>,
    writes: Option<RateBucket>,
    stopping: bool,
    pub(super) counts: StoreCounts,
}

impl CallGate {
    pub(super) fn new(faults: StoreFaults, now: ClockTime) -> Self {
        let counts = StoreCounts::default();
        let mut gate = Self {
            faults: StoreFaults::default(),
            reads: None,
            writes: None,
            stopping: false,
            counts,
        };
        gate.set_faults(faults, now);
        gate
    }

    /// Replaces the faults. A rate limit that does not change keeps its bucket.
    pub(super) fn set_faults(&mut self, faults: StoreFaults, now: ClockTime) {
        let bucket = |rate: RequestRate| RateBucket::new(rate, now);
        if faults.reads_per_second != self.faults.reads_per_second {
            self.reads = faults.reads_per_second.map(bucket);
        }
        if faults.writes_per_second != self.faults.writes_per_second {
            self.writes = faults.writes_per_second.map(bucket);
        }
        self.faults = faults;
    }

    pub(super) fn faults(&self) -> &StoreFaults {
        &self.faults
    }

    /// Answers all later calls 503.
    pub(super) fn stop(&mut self) {
        self.stopping = true;
    }

    pub(super) fn is_serving(&self) -> bool {
        !self.stopping && !self.faults.outage
    }

    /// Counts a call and decides whether it is admitted.
    pub(super) fn admit(&mut self, kind: CallKind, now: ClockTime) -> GateDecision {
        self.count(kind);
        if !self.is_serving() {
            self.counts.out_of_service += 1;
            return GateDecision::OutOfService;
        }
        if let Err(wait) = self.take_rate(kind, now) {
            self.counts.over_rate += 1;
            return GateDecision::RateLimited(wait);
        }
        if with_probability(self.faults.lose_call_share) {
            self.counts.lost_calls += 1;
            return GateDecision::Disconnect;
        }
        GateDecision::Pass(self.faults.delay)
    }

    /// Decides whether the answer of a write that took effect is lost, and counts it.
    pub(super) fn drops_answer(&mut self) -> bool {
        let loses = with_probability(self.faults.lose_answer_share);
        self.counts.lost_answers += u64::from(loses);
        loses
    }

    fn count(&mut self, kind: CallKind) {
        let counter = match kind {
            CallKind::Get => &mut self.counts.gets,
            CallKind::List => &mut self.counts.lists,
            CallKind::Put => &mut self.counts.puts,
            CallKind::Delete => &mut self.counts.deletes,
            CallKind::Watch => &mut self.counts.watches,
        };
        *counter += 1;
    }

    fn take_rate(&mut self, kind: CallKind, now: ClockTime) -> Result<(), Duration> {
        let bucket = if kind.is_write() { &mut self.writes } else { &mut self.reads };
        bucket.as_mut().map_or(Ok(()), |bucket| bucket.take(now))
    }
}

fn with_probability(share: f64) -> bool {
    share > 0.0 && fastrand::f64() < share
}
