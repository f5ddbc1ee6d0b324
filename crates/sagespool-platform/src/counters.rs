//! How many calls went to the platform.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

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
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallKind {
    /// A get or a list.
    Read,
    /// A put or a delete.
    Write,
    /// A watch.
    Watch,
}

impl CallKind {
    /// The word that metrics use.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Write => "write",
            Self::Watch => "watch",
        }
    }
}

/// Calls that went out, by their cause.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallCategory {
    /// What kind of call.
    pub kind: CallKind,
    /// The kind of object that it was for, as the store names it, after `forwarded-` for calls that are
    /// made for other processes.
    pub subject: String,
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
    causes: Mutex<BTreeMap<CallCategory, u64>>,
}

impl CallMeter {
    /// Counts a call that goes out.
    pub(crate) fn sent(&self, kind: CallKind, subject: &str) {
        let cause = CallCategory { kind, subject: subject.to_owned() };
        let mut causes = self.causes.lock().unwrap_or_else(PoisonError::into_inner);
        *causes.entry(cause).or_default() += 1;
    }

    pub(crate) fn call_counts(&self) -> Vec<(CallCategory, u64)> {
        let causes = self.causes.lock().unwrap_or_else(PoisonError::into_inner);
        causes.iter().map(|(cause, count)| (cause.clone(), *count)).collect()
    }

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
