//! Registry of the commands that run on this entry.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use event_listener::Event;
use futures_lite::FutureExt;
use sagespool_operations::CommandRecord;
use sagespool_types::{ClockTime, CommandId};

/// A command that runs on this entry.
#[derive(Debug)]
pub(super) struct ActiveCommand {
    record: Mutex<CommandRecord>,
    ended: AtomicBool,
    changed: Event,
}

impl ActiveCommand {
    /// A copy of the newest record.
    pub fn record(&self) -> CommandRecord {
        self.record.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Publishes a newer record.
    pub fn publish(&self, record: &CommandRecord) {
        *self.record.lock().unwrap_or_else(PoisonError::into_inner) = record.clone();
        self.changed.notify(usize::MAX);
    }

    /// Resolves when this entry has stopped executing the command, or at the deadline.
    pub async fn ended(&self, deadline: ClockTime) {
        let waited = async {
            loop {
                let changed = self.changed.listen();
                if self.ended.load(Ordering::SeqCst) {
                    return;
                }
                changed.await;
            }
        };
        let left = deadline.since(ClockTime::now());
        let timeout = async {
            smol::Timer::after(left).await;
        };
        waited.or(timeout).await;
    }
}

/// The commands that run on this entry, by id.
#[derive(Debug, Default)]
pub(crate) struct CommandRegistry {
    active: Mutex<HashMap<CommandId, Arc<ActiveCommand>>>,
}

impl CommandRegistry {
    /// A command that runs on this entry.
    pub(super) fn find(&self, command: CommandId) -> Option<Arc<ActiveCommand>> {
        self.active.lock().unwrap_or_else(PoisonError::into_inner).get(&command).cloned()
    }

    /// Registers a command; None if it already runs here, so that two concurrent requests with one
    /// id can't both start it.
    pub(super) fn begin(&self, record: &CommandRecord) -> Option<Arc<ActiveCommand>> {
        let mut active = self.active.lock().unwrap_or_else(PoisonError::into_inner);
        if active.contains_key(&record.command) {
            return None;
        }
        let command = Arc::new(ActiveCommand {
            record: Mutex::new(record.clone()),
            ended: AtomicBool::new(false),
            changed: Event::new(),
        });
        active.insert(record.command, Arc::clone(&command));
        Some(command)
    }

    /// Removes a command and notifies its waiters.
    pub(super) fn end(&self, command: CommandId) {
        let active = self.active.lock().unwrap_or_else(PoisonError::into_inner).remove(&command);
        if let Some(active) = active {
            active.ended.store(true, Ordering::SeqCst);
            active.changed.notify(usize::MAX);
        }
    }
}
