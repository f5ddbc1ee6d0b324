//! Decides for each call whether it comes through, before it touches an object.

use std::time::Duration;

use sagespool_types::{ClockTime, RequestRate};

use super::faults::{RateBucket, StoreFaults};
use super::records::StoreCounts;

/// The kinds of calls, as they are counted.
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

/// What happens to a call at the door.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GateDecision {
    /// It takes effect after this delay.
    Pass(Duration),
    /// It is answered 503.
    OutOfService,
    /// It is answered 429; the next call is due in this time.
    OverRate(Duration),
    /// Its connection breaks.
    Lose,
}

/// The faults in force, the rate limits and the counters.
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

    /// Puts other faults in force. A rate that stays the same keeps what is used of it.
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

    /// From now on every call is out of service.
    pub(super) fn stop(&mut self) {
        self.stopping = true;
    }

    pub(super) fn is_serving(&self) -> bool {
        !self.stopping && !self.faults.outage
    }

    /// Counts a call and decides what happens to it.
    pub(super) fn admit(&mut self, kind: CallKind, now: ClockTime) -> GateDecision {
        self.count(kind);
        if !self.is_serving() {
            self.counts.out_of_service += 1;
            return GateDecision::OutOfService;
        }
        if let Err(wait) = self.take_rate(kind, now) {
            self.counts.over_rate += 1;
            return GateDecision::OverRate(wait);
        }
        if happens(self.faults.lose_call_share) {
            self.counts.lost_calls += 1;
            return GateDecision::Lose;
        }
        GateDecision::Pass(self.faults.delay)
    }

    /// Whether the answer of a write that took effect is lost.
    pub(super) fn loses_answer(&mut self) -> bool {
        let loses = happens(self.faults.lose_answer_share);
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

fn happens(share: f64) -> bool {
    share > 0.0 && fastrand::f64() < share
}
