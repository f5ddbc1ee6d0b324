//! Counts what is under way, for who waits until nothing is.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use event_listener::Event;

/// How many of something are under way. Clones count together.
#[derive(Debug, Clone, Default)]
pub(crate) struct WorkTally {
    shared: Arc<TallyState>,
}

#[derive(Debug, Default)]
struct TallyState {
    count: AtomicUsize,
    changed: Event,
}

impl WorkTally {
    /// Counts one more until what is returned is dropped.
    pub(crate) fn enter(&self) -> TallyMark {
        self.shared.count.fetch_add(1, Ordering::SeqCst);
        TallyMark { shared: Arc::clone(&self.shared) }
    }

    /// How many there are.
    pub(crate) fn count(&self) -> usize {
        self.shared.count.load(Ordering::SeqCst)
    }

    /// Resolves when there is none.
    pub(crate) async fn empty(&self) {
        loop {
            let changed = self.shared.changed.listen();
            if self.count() == 0 {
                return;
            }
            changed.await;
        }
    }
}

/// One that is under way.
#[derive(Debug)]
pub(crate) struct TallyMark {
    shared: Arc<TallyState>,
}

impl Drop for TallyMark {
    fn drop(&mut self) {
        self.shared.count.fetch_sub(1, Ordering::SeqCst);
        self.shared.changed.notify(usize::MAX);
    }
}
