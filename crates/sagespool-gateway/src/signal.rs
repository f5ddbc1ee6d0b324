//! A one-time notification.

use std::sync::atomic::{AtomicBool, Ordering};

use event_listener::Event;

/// A flag that is set once and that tasks can wait for.
#[derive(Debug, Default)]
pub(crate) struct OnceSignal {
    is_set: AtomicBool,
    event: Event,
}

impl OnceSignal {
    pub(crate) fn set(&self) {
        self.is_set.store(true, Ordering::SeqCst);
        self.event.notify(usize::MAX);
    }

    pub(crate) fn is_set(&self) -> bool {
        self.is_set.load(Ordering::SeqCst)
    }

    /// Waits until the flag is set.
    pub(crate) async fn wait(&self) {
        // Register the listener before the check, so that a concurrent notification isn't missed.
        let event = self.event.listen();
        if !self.is_set() {
            event.await;
        }
    }
}
