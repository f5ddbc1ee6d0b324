//! The commands that this entry carries out now.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use event_listener::Event;
use futures_lite::FutureExt;
use sagespool_operations::CommandRecord;
use sagespool_types::{ClockTime, CommandId};

/// A command that this entry carries out.
#[derive(Debug)]
pub(super) struct ActiveCommand {
    record: Mutex<CommandRecord>,
    ended: AtomicBool,
    changed: Event,
}

impl ActiveCommand {
    /// The command as this entry knows it.
    pub fn record(&self) -> CommandRecord {
        self.record.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Shows what has become of it.
    pub fn show(&self, record: &CommandRecord) {
        *self.record.lock().unwrap_or_else(PoisonError::into_inner) = record.clone();
        self.changed.notify(usize::MAX);
    }

    /// Resolves when this entry does no more about it, at the latest at a time.
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
        let late = async {
            smol::Timer::after(left).await;
        };
        waited.or(late).await;
    }
}

/// The commands that this entry carries out now.
#[derive(Debug, Default)]
pub(crate) struct OperatorDesk {
    active: Mutex<HashMap<CommandId, Arc<ActiveCommand>>>,
}

impl OperatorDesk {
    /// A command that is being carried out here.
    pub(super) fn find(&self, command: CommandId) -> Option<Arc<ActiveCommand>> {
        self.active.lock().unwrap_or_else(PoisonError::into_inner).get(&command).cloned()
    }

    /// Takes a command up; nothing if it is being carried out here already. Two requests with one id
    /// that come at the same time must not both begin.
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

    /// Does no more about a command.
    pub(super) fn end(&self, command: CommandId) {
        let active = self.active.lock().unwrap_or_else(PoisonError::into_inner).remove(&command);
        if let Some(active) = active {
            active.ended.store(true, Ordering::SeqCst);
            active.changed.notify(usize::MAX);
        }
    }
}
