//! The store's state, shared by all calls.

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

/// The objects and the admission state, under one lock each. A thread never holds both.
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

    /// Reads the state; also returns the revision at that point.
    pub(super) fn read<T>(&self, read: impl FnOnce(&StoreState) -> T) -> (T, StoreRevision) {
        let state = self.state();
        (read(&state), state.revision())
    }

    /// Changes the state; also returns the revision after the change.
    pub(super) fn write<T>(&self, write: impl FnOnce(&mut StoreState) -> T) -> (T, StoreRevision) {
        let mut state = self.state();
        let outcome = write(&mut state);
        (outcome, state.revision())
    }

    pub(super) fn admit(&self, kind: CallKind, now: ClockTime) -> GateDecision {
        self.gate().admit(kind, now)
    }

    pub(super) fn drops_answer(&self) -> bool {
        self.gate().drops_answer()
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

    /// Answers all later calls 503 and wakes all waiting watches.
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

/// A registered watch; dropping it removes the registration.
pub(super) struct WatchGuard {
    store: Arc<SharedStore>,
    number: u64,
    woken: Receiver<()>,
}

impl WatchGuard {
    /// Returns at the next change under the prefix or after this time.
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

impl Drop for WatchGuard {
    fn drop(&mut self) {
        self.store.state().remove_watch(self.number);
    }
}

/// The result of checking a watch.
pub(super) enum WatchPoll {
    /// Changes after the watch's revision.
    Changed(Vec<ObjectChange>),
    /// The history no longer covers the watch's revision.
    HistoryTrimmed,
    /// No change yet; the watch is registered and woken by the next change.
    Waiting(WatchGuard),
}

impl WatchPoll {
    /// Checks and registers under one lock, so that no change is missed in between.
    pub(super) fn start(
        store: &Arc<SharedStore>,
        prefix: &str,
        after: StoreRevision,
    ) -> (Self, StoreRevision) {
        store.write(|state| match state.changes(prefix, after) {
            WatchOutcome::HistoryTrimmed => Self::HistoryTrimmed,
            WatchOutcome::Changes(changes) if !changes.is_empty() => Self::Changed(changes),
            WatchOutcome::Changes(_) => {
                let (number, woken) = state.add_watch(prefix);
                Self::Waiting(WatchGuard { store: store.clone(), number, woken })
            }
        })
    }
}
