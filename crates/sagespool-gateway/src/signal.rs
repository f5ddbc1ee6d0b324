//! Something that happens once.

use std::sync::atomic::{AtomicBool, Ordering};

use event_listener::Event;

/// Something that happens once, and that tasks may wait for.
#[derive(Debug, Default)]
pub(crate) struct OnceSignal {
    given: AtomicBool,
    told: Event,
}

impl OnceSignal {
    pub(crate) fn give(&self) {
        self.given.store(true, Ordering::SeqCst);
        self.told.notify(usize::MAX);
    }

    pub(crate) fn is_given(&self) -> bool {
        self.given.load(Ordering::SeqCst)
    }

    /// Waits until it is given.
    pub(crate) async fn wait(&self) {
        // Listening comes first: it may be given between the look and the wait.
        let told = self.told.listen();
        if !self.is_given() {
            told.await;
        }
    }
}
