//! Faults and byte counters of each pair of names.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use event_listener::{Event, EventListener};
use sagespool_types::ByteCount;

/// Faults in one direction between two names.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct PairFaults {
    pub(super) cut: bool,
    pub(super) delay: Duration,
    pub(super) drop_share: f64,
    pub(super) reorder_share: f64,
    pub(super) duplicate_share: f64,
}

/// Traffic from one name to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PairBytes {
    /// Payload bytes received by the proxy. Those neither carried nor lost are in flight.
    pub entered: ByteCount,
    /// Payload bytes delivered; duplicates count again.
    pub carried: ByteCount,
    /// Payload bytes dropped by a fault or a full buffer.
    pub lost: ByteCount,
}

/// One direction between two names, shared by all links and connections between them.
#[derive(Debug, Default)]
pub(super) struct DirectedPair {
    faults: Mutex<PairFaults>,
    breaks: AtomicU64,
    entered: AtomicU64,
    carried: AtomicU64,
    lost: AtomicU64,
}

impl DirectedPair {
    pub(super) fn faults(&self) -> PairFaults {
        *self.faults.lock().expect("no holder of a pair's lock panics")
    }

    pub(super) fn is_cut(&self) -> bool {
        self.faults().cut
    }

    /// Number of `break_connections` calls for the pair.
    pub(super) fn breaks(&self) -> u64 {
        self.breaks.load(Ordering::SeqCst)
    }

    pub(super) fn count_entered(&self, bytes: usize) {
        self.entered.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(super) fn count_carried(&self, bytes: usize) {
        self.carried.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(super) fn count_lost(&self, bytes: usize) {
        self.lost.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(super) fn bytes(&self) -> PairBytes {
        PairBytes {
            entered: ByteCount(self.entered.load(Ordering::Relaxed)),
            carried: ByteCount(self.carried.load(Ordering::Relaxed)),
            lost: ByteCount(self.lost.load(Ordering::Relaxed)),
        }
    }

    fn change(&self, change: impl FnOnce(&mut PairFaults)) {
        change(&mut self.faults.lock().expect("no holder of a pair's lock panics"));
    }
}

type PairNames = (Arc<str>, Arc<str>);

/// All pairs in use, by their names.
#[derive(Debug, Default)]
pub(super) struct FaultTable {
    pairs: Mutex<HashMap<PairNames, Arc<DirectedPair>>>,
    changed: Event,
}

impl FaultTable {
    /// The pair in one direction; created on first use.
    pub(super) fn pair(&self, from: &str, to: &str) -> Arc<DirectedPair> {
        let mut pairs = self.pairs.lock().expect("no holder of the table's lock panics");
        pairs.entry((from.into(), to.into())).or_default().clone()
    }

    /// Completes after the next change of any pair.
    pub(super) fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    pub(super) fn change(&self, from: &str, to: &str, change: impl FnOnce(&mut PairFaults)) {
        self.pair(from, to).change(change);
        self.changed.notify(usize::MAX);
    }

    pub(super) fn change_both(&self, a: &str, b: &str, change: impl Fn(&mut PairFaults)) {
        self.pair(a, b).change(&change);
        self.pair(b, a).change(&change);
        self.changed.notify(usize::MAX);
    }

    pub(super) fn clear(&self) {
        let pairs = self.pairs.lock().expect("no holder of the table's lock panics");
        for pair in pairs.values() {
            pair.change(|faults| *faults = PairFaults::default());
        }
        drop(pairs);
        self.changed.notify(usize::MAX);
    }

    pub(super) fn break_both(&self, a: &str, b: &str) {
        for pair in [self.pair(a, b), self.pair(b, a)] {
            pair.breaks.fetch_add(1, Ordering::SeqCst);
        }
        self.changed.notify(usize::MAX);
    }
}
