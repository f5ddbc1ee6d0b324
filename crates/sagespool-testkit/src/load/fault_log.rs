//! A log of what fault scripts did to processes and upstreams. The oracles compare it with the
//! upstreams' run log.

use std::sync::{Arc, Mutex, MutexGuard};

use sagespool_types::{ClockTime, UpstreamName};

/// A time in which an upstream must receive no new work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeavingSpan {
    /// The upstream.
    pub upstream: UpstreamName,
    /// When it began to leave, taken before any process was notified.
    pub began: ClockTime,
    /// The earliest time at which it could receive work again; none if it never could.
    pub ended: Option<ClockTime>,
    /// Whether it is expected to receive work after that.
    pub resumed: bool,
    /// Why it left, for findings.
    pub cause: &'static str,
}

/// Log of the fault scripts' actions. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct FaultLog {
    spans: Arc<Mutex<Vec<LeavingSpan>>>,
    findings: Arc<Mutex<Vec<String>>>,
    restarts: Arc<Mutex<u64>>,
    race_faults: Arc<Mutex<u64>>,
    races: Arc<Mutex<u64>>,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no thread panics while it holds the lock")
}

impl FaultLog {
    /// Records that an upstream begins to leave; returns the number of the span.
    pub fn begin_leaving(
        &self,
        upstream: &UpstreamName,
        cause: &'static str,
        at: ClockTime,
    ) -> usize {
        let mut spans = locked(&self.spans);
        let upstream = upstream.clone();
        spans.push(LeavingSpan { upstream, began: at, ended: None, resumed: false, cause });
        spans.len() - 1
    }

    /// Ends a span: the upstream may receive work again, and is expected to if `resumed`.
    pub fn end_leaving(&self, number: usize, at: ClockTime, resumed: bool) {
        if let Some(span) = locked(&self.spans).get_mut(number) {
            (span.ended, span.resumed) = (Some(at), resumed);
        }
    }

    /// Counts a process that was stopped gracefully and is running again.
    pub fn count_restart(&self) {
        *locked(&self.restarts) += 1;
    }

    /// Counts a round of concurrent operator commands.
    pub fn count_race(&self) {
        *locked(&self.races) += 1;
    }

    /// Records that an operator got a wrong answer or the store has a wrong state after a race.
    pub fn record_race_fault(&self, finding: String) {
        *locked(&self.race_faults) += 1;
        self.add_finding(format!("race: {finding}"));
    }

    /// The number of races, and of faults in them.
    pub fn race_counts(&self) -> (u64, u64) {
        (*locked(&self.races), *locked(&self.race_faults))
    }

    /// Records a failure within a script.
    pub fn add_finding(&self, finding: String) {
        locked(&self.findings).push(finding);
    }

    /// The spans in which upstreams were leaving, in the order of their start.
    pub fn spans(&self) -> Vec<LeavingSpan> {
        locked(&self.spans).clone()
    }

    /// Human-readable details, one line each.
    pub fn findings(&self) -> Vec<String> {
        locked(&self.findings).clone()
    }

    /// The number of processes that were stopped gracefully and are running again.
    pub fn restarts(&self) -> u64 {
        *locked(&self.restarts)
    }
}
