//! The store as all its calls share it.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use async_channel::Receiver;
use futures_lite::FutureExt;
use sagespool_types::{ClockTime, StoreRevision};
use smol::Timer;

use super::faults::StoreFaults;
use super::gate::{CallGate, CallKind, GateDecision};
use super::records::{ObjectChange, StoreCounts};
use super::state::{StoreState, WatchOutcome};

/// The objects under one lock, the gate before them under another. Neither is
/// held while the other is taken.
pub(super) struct SharedStore {
    state: Mutex<StoreState>,
    gate: Mutex<CallGate>,
}

impl SharedStore {
    pub(super) fn new(history_limit: usize, faults: StoreFaults, now: ClockTime) -> Self {
        Self {
            state: Mutex::new(StoreState::new(history_limit)),
            gate: Mutex::new(CallGate::new(faults, now)),
        }
    }

    pub(super) fn state(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().expect("no holder of the store's lock panics")
    }

    fn gate(&self) -> MutexGuard<'_, CallGate> {
        self.gate.lock().expect("no holder of the gate's lock panics")
    }

    pub(super) fn revision(&self) -> StoreRevision {
        self.state().revision()
    }

    /// A read, and the revision at which it was made.
    pub(super) fn read<T>(&self, read: impl FnOnce(&StoreState) -> T) -> (T, StoreRevision) {
        let state = self.state();
        (read(&state), state.revision())
    }

    /// A write, and the revision after it.
    pub(super) fn write<T>(&self, write: impl FnOnce(&mut StoreState) -> T) -> (T, StoreRevision) {
        let mut state = self.state();
        let outcome = write(&mut state);
        (outcome, state.revision())
    }

    pub(super) fn admit(&self, kind: CallKind, now: ClockTime) -> GateDecision {
        self.gate().admit(kind, now)
    }

    pub(super) fn loses_answer(&self) -> bool {
        self.gate().loses_answer()
    }

    pub(super) fn count_conflict(&self) {
        self.gate().counts.conflicts += 1;
    }

    pub(super) fn is_serving(&self) -> bool {
        self.gate().is_serving()
    }

    pub(super) fn faults(&self) -> StoreFaults {
        self.gate().faults().clone()
    }

    pub(super) fn set_faults(&self, faults: StoreFaults, now: ClockTime) {
        self.gate().set_faults(faults, now);
        self.state().wake_all();
    }

    /// From now on every call is out of service, and no watch waits.
    pub(super) fn stop(&self) {
        self.gate().stop();
        self.state().wake_all();
    }

    pub(super) fn counts(&self) -> StoreCounts {
        let mut counts = self.gate().counts;
        let state = self.state();
        counts.waiting_watches = state.waiting_watches();
        counts.most_waiting_watches = state.most_waiting_watches();
        counts
    }
}

/// A watch that waits, until it is dropped.
pub(super) struct WaitingGuard {
    store: Arc<SharedStore>,
    number: u64,
    woken: Receiver<()>,
}

impl WaitingGuard {
    /// Returns at the next change under the prefix, or after this time.
    pub(super) async fn woken_within(&self, time: Duration) {
        let woken = async {
            let _ = self.woken.recv().await;
        };
        let passed = async {
            Timer::after(time).await;
        };
        woken.or(passed).await;
    }
}

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        self.store.state().leave_watch(self.number);
    }
}

/// What a watch sees when it looks.
pub(super) enum WatchLook {
    /// These changes came after its revision.
    Changed(Vec<ObjectChange>),
    /// Changes after its revision are forgotten already.
    HistoryGone,
    /// Nothing yet: it has entered and is woken by the next change.
    Waiting(WaitingGuard),
}

impl WatchLook {
    /// Looks, and enters under the same lock, so that no change falls between the two.
    pub(super) fn take(
        store: &Arc<SharedStore>,
        prefix: &str,
        after: StoreRevision,
    ) -> (Self, StoreRevision) {
        store.write(|state| match state.changes(prefix, after) {
            WatchOutcome::HistoryGone => Self::HistoryGone,
            WatchOutcome::Changes(changes) if !changes.is_empty() => Self::Changed(changes),
            WatchOutcome::Changes(_) => {
                let (number, woken) = state.enter_watch(prefix);
                Self::Waiting(WaitingGuard { store: store.clone(), number, woken })
            }
        })
    }
}
