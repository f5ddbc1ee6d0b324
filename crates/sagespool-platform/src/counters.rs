//! Counters of calls to the platform.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use crate::StoreError;

/// Calls of one client since its creation. Each counts against the platform's rate limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StoreCounters {
    /// Gets and lists.
    pub reads: u64,
    /// Puts and deletes.
    pub writes: u64,
    /// Watches, of objects and of the instance list.
    pub watches: u64,
    /// Writes refused because the object was at another version.
    pub conflicts: u64,
    /// Calls refused by the platform's rate limit.
    pub rate_limited: u64,
    /// Calls without a usable response.
    pub failures: u64,
}

/// The kind of a call, as counted against the platform's rate limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallKind {
    /// A get or a list call.
    Read,
    /// A get or a list call that may return an older state, which platforms bill at a fraction.
    StaleRead,
    /// A put or a delete call.
    Write,
    /// A call that waits for changes.
    Watch,
}

impl CallKind {
    /// The label value in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::StaleRead => "stale-read",
            Self::Write => "write",
            Self::Watch => "watch",
        }
    }
}

/// The category by which sent calls are counted.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallCategory {
    /// The kind of call.
    pub kind: CallKind,
    /// The kind of the requested objects, as the store names it; prefixed with `forwarded-` for calls
    /// made on behalf of other processes.
    pub subject: String,
}

/// The live counters of a client.
#[derive(Debug, Default)]
pub(crate) struct CallMeter {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    conflicts: AtomicU64,
    rate_limited: AtomicU64,
    failures: AtomicU64,
    by_category: Mutex<BTreeMap<CallCategory, u64>>,
}

impl CallMeter {
    /// Counts a call that is sent directly.
    pub(crate) fn count_sent(&self, kind: CallKind, subject: &str) {
        let category = CallCategory { kind, subject: subject.to_owned() };
        let mut counts = self.by_category.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry(category).or_default() += 1;
    }

    pub(crate) fn call_counts(&self) -> Vec<(CallCategory, u64)> {
        let counts = self.by_category.lock().unwrap_or_else(PoisonError::into_inner);
        counts.iter().map(|(category, count)| (category.clone(), *count)).collect()
    }

    /// Counts a call, whether or not it is sent.
    pub(crate) fn count_call(&self, kind: CallKind) {
        let counter = match kind {
            CallKind::Read | CallKind::StaleRead => &self.reads,
            CallKind::Write => &self.writes,
            CallKind::Watch => &self.watches,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_error(&self, error: &StoreError) {
        let counter = match error {
            StoreError::Conflict { .. } => &self.conflicts,
            StoreError::RateLimited { .. } => &self.rate_limited,
            // Valid responses rather than failures.
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
