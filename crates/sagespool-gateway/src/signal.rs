//! A one-time notification.

use std::sync::atomic::{AtomicBool, Ordering};

use event_listener::Event;

/// A flag that is set once and that tasks can wait for.
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

    /// Waits until the flag is set.
    pub(crate) async fn wait(&self) {
        // Register the listener before the check, so that a concurrent notification isn't missed.
        let told = self.told.listen();
        if !self.is_given() {
            told.await;
        }
    }
}
