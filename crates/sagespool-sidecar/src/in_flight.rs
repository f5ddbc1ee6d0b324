//! A counter of work in flight that can be waited on.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use event_listener::Event;

/// Counts work in flight. Clones share the count.
#[derive(Debug, Clone, Default)]
pub(crate) struct InFlightCounter {
    shared: Arc<CounterState>,
}

#[derive(Debug, Default)]
struct CounterState {
    count: AtomicUsize,
    changed: Event,
}

impl InFlightCounter {
    /// Counts one more until the guard is dropped.
    pub(crate) fn start(&self) -> InFlightGuard {
        self.shared.count.fetch_add(1, Ordering::SeqCst);
        InFlightGuard { shared: Arc::clone(&self.shared) }
    }

    pub(crate) fn count(&self) -> usize {
        self.shared.count.load(Ordering::SeqCst)
    }

    /// Resolves when nothing is in flight.
    pub(crate) async fn wait_until_idle(&self) {
        loop {
            let changed = self.shared.changed.listen();
            if self.count() == 0 {
                return;
            }
            changed.await;
        }
    }
}

/// Counts one unit of work until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    shared: Arc<CounterState>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.shared.count.fetch_sub(1, Ordering::SeqCst);
        self.shared.changed.notify(usize::MAX);
    }
}
