//! What fault scripts did to processes and upstreams, and when: what the judgement holds against
//! the upstreams' own log.

use std::sync::{Arc, Mutex, MutexGuard};

use sagespool_types::{ClockTime, UpstreamName};

/// A time in which an upstream was to be given nothing new.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeavingSpan {
    /// The upstream.
    pub upstream: UpstreamName,
    /// When it began to leave: before anybody was told.
    pub began: ClockTime,
    /// When it could be given work again, at the earliest; nothing if it never was.
    pub ended: Option<ClockTime>,
    /// Whether work is expected to come to it after that.
    pub resumed: bool,
    /// What made it leave, for findings.
    pub cause: &'static str,
}

/// Notes of what was done to the fleet. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct FleetNotes {
    spans: Arc<Mutex<Vec<LeavingSpan>>>,
    findings: Arc<Mutex<Vec<String>>>,
    restarts: Arc<Mutex<u64>>,
    race_faults: Arc<Mutex<u64>>,
    races: Arc<Mutex<u64>>,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the notes' lock panics")
}

impl FleetNotes {
    /// Notes that an upstream begins to leave; a number to tell its end by.
    pub fn begin(&self, upstream: &UpstreamName, cause: &'static str, at: ClockTime) -> usize {
        let mut spans = locked(&self.spans);
        let upstream = upstream.clone();
        spans.push(LeavingSpan { upstream, began: at, ended: None, resumed: false, cause });
        spans.len() - 1
    }

    /// Notes that an upstream may be given work again, and will be if `resumed`.
    pub fn end(&self, number: usize, at: ClockTime, resumed: bool) {
        if let Some(span) = locked(&self.spans).get_mut(number) {
            (span.ended, span.resumed) = (Some(at), resumed);
        }
    }

    /// Notes that a process was stopped gracefully and runs again.
    pub fn restarted(&self) {
        *locked(&self.restarts) += 1;
    }

    /// Notes that operators commanded against each other once more.
    pub fn raced(&self) {
        *locked(&self.races) += 1;
    }

    /// Notes that what operators were told or what is in the store is wrong.
    pub fn race_fault(&self, finding: String) {
        *locked(&self.race_faults) += 1;
        self.find(format!("race: {finding}"));
    }

    /// Races, and what was wrong in them.
    pub fn race_counts(&self) -> (u64, u64) {
        (*locked(&self.races), *locked(&self.race_faults))
    }

    /// Notes something that went wrong in a script itself.
    pub fn find(&self, finding: String) {
        locked(&self.findings).push(finding);
    }

    /// The times in which upstreams left.
    pub fn spans(&self) -> Vec<LeavingSpan> {
        locked(&self.spans).clone()
    }

    /// What went wrong in scripts.
    pub fn findings(&self) -> Vec<String> {
        locked(&self.findings).clone()
    }

    /// Processes that were stopped gracefully and run again.
    pub fn restarts(&self) -> u64 {
        *locked(&self.restarts)
    }
}
