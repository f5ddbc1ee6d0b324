//! The faults of each pair of names, and what passed between them.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use event_listener::{Event, EventListener};
use sagespool_types::ByteCount;

/// What is wrong in one direction between two names.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct PairFaults {
    pub(super) cut: bool,
    pub(super) delay: Duration,
    pub(super) drop_share: f64,
    pub(super) reorder_share: f64,
    pub(super) duplicate_share: f64,
}

/// What went from one name to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PairBytes {
    /// Payload bytes that the proxy took in. What is neither carried nor lost is under way.
    pub entered: ByteCount,
    /// Payload bytes that arrived, counted again when delivered twice.
    pub carried: ByteCount,
    /// Payload bytes that a fault or a full buffer kept back.
    pub lost: ByteCount,
}

/// One direction between two names, shared by everything that runs along it.
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

    /// How often its connections were broken.
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

/// All pairs that were ever named.
#[derive(Debug, Default)]
pub(super) struct FaultTable {
    pairs: Mutex<HashMap<PairNames, Arc<DirectedPair>>>,
    changed: Event,
}

impl FaultTable {
    /// The pair in one direction; made at its first mention.
    pub(super) fn pair(&self, from: &str, to: &str) -> Arc<DirectedPair> {
        let mut pairs = self.pairs.lock().expect("no holder of the table's lock panics");
        pairs.entry((from.into(), to.into())).or_default().clone()
    }

    /// Is notified after every change of any pair.
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
