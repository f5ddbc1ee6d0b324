//! How many calls went to the platform.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::StoreError;

/// Calls of one client since it was made. Each counts against the platform's rates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StoreCounters {
    /// Gets and lists.
    pub reads: u64,
    /// Puts and deletes.
    pub writes: u64,
    /// Watches, of objects and of the instance list.
    pub watches: u64,
    /// Writes that found another version.
    pub conflicts: u64,
    /// Calls that the platform turned away over its rate.
    pub rate_limited: u64,
    /// Calls that got no answer that could be used.
    pub failures: u64,
}

/// What a call counts as.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallKind {
    Read,
    Write,
    Watch,
}

/// The counters while they count.
#[derive(Debug, Default)]
pub(crate) struct CallMeter {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    conflicts: AtomicU64,
    rate_limited: AtomicU64,
    failures: AtomicU64,
}

impl CallMeter {
    pub(crate) fn call(&self, kind: CallKind) {
        let counter = match kind {
            CallKind::Read => &self.reads,
            CallKind::Write => &self.writes,
            CallKind::Watch => &self.watches,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn error(&self, error: &StoreError) {
        let counter = match error {
            StoreError::Conflict { .. } => &self.conflicts,
            StoreError::RateLimited { .. } => &self.rate_limited,
            // A true answer to what was asked.
            StoreError::TooLarge | StoreError::HistoryGone => return,
            StoreError::Unavailable | StoreError::Uncertain | StoreError::Malformed(_) => {
                &self.failures
            }
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn counters(&self) -> StoreCounters {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        StoreCounters {
            reads: read(&self.reads),
            writes: read(&self.writes),
            watches: read(&self.watches),
            conflicts: read(&self.conflicts),
            rate_limited: read(&self.rate_limited),
            failures: read(&self.failures),
        }
    }
}
