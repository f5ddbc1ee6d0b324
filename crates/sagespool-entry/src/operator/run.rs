//! Execution of a recorded command, item by item.
//!
//! The turn in the record identifies the executor. A takeover raises the turn with a conditional
//! update, and an executor that was only paused finds that before it changes anything more in the
//! store: see [`CommandRun::read_state`] and [`super::store_change::change`].

use std::sync::Arc;
use std::time::Duration;

use sagespool_log::log_event;
use sagespool_operations::{
    COMMAND_FLOOR_KEY, CommandFloor, CommandRecord, CommandState, ItemOutcome, command_key,
};
use sagespool_platform::StoreError;
use sagespool_types::{ClockTime, StoreRevision};

use super::active::ActiveCommand;
use super::{execute, prune, record};
use crate::state::EntryState;

/// How long writing an outcome is retried before the command is left to the next entry that
/// receives it.
const SAVE_TIMEOUT: Duration = Duration::from_secs(20);
const SAVE_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// A command that this entry executes.
pub(super) struct CommandRun {
    pub state: Arc<EntryState>,
    /// The record as this executor last wrote or read it.
    pub record: CommandRecord,
    version: StoreRevision,
    active: Arc<ActiveCommand>,
}

/// The result of an item at this executor.
pub(super) enum ItemResult {
    /// The item has an outcome.
    Ended(ItemOutcome),
    /// Another executor has taken the command over.
    Superseded,
}

/// An executor's standing by the command's record in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ExecutorState {
    /// The command belongs to this executor.
    Current,
    /// It belongs to this executor, and its cancellation was requested.
    Cancelled,
    /// Another executor has taken it over, or it was pruned.
    Superseded,
}

/// Result of writing the record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SaveOutcome {
    Saved,
    Superseded,
    StoreUnreachable,
}

/// Executes a command in a separate task, which continues if the operator disconnects.
pub(super) fn start(
    state: Arc<EntryState>,
    active: Arc<ActiveCommand>,
    record: CommandRecord,
    version: StoreRevision,
) {
    let mut run = CommandRun { state, record, version, active };
    smol::spawn(async move {
        let end = run.execute().await;
        let command = run.record.command;
        run.active.publish(&run.record);
        run.state.commands.end(command);
        if end == SaveOutcome::StoreUnreachable {
            log_event!(warn, "command-abandoned", command = command, cause = "store unreachable");
        }
        if run.record.state() == CommandState::Ended {
            prune::prune_if_due(&run.state, command).await;
        }
    })
    .detach();
}

impl CommandRun {
    async fn execute(&mut self) -> SaveOutcome {
        let admitted = self.admit().await;
        if admitted != SaveOutcome::Saved {
            return admitted;
        }
        loop {
            if self.record.cancel.is_some() {
                return self.save(CommandRecord::cancel_remaining).await;
            }
            let Some(next) = self.record.next_item() else {
                return SaveOutcome::Saved;
            };
            let outcome = match execute::execute_item(self, &next).await {
                ItemResult::Ended(outcome) => outcome,
                ItemResult::Superseded => return SaveOutcome::Superseded,
            };
            let saved = self.save(|record| record.set_outcome(next.index, outcome.clone())).await;
            if saved != SaveOutcome::Saved {
                return saved;
            }
        }
    }

    /// Checks that the id does not belong to a command that was executed and pruned.
    ///
    /// The floor is read after the record is in the store. Pruning raises the floor before it
    /// deletes a record, so a record that could be created again because the old one was deleted
    /// finds the floor raised.
    async fn admit(&mut self) -> SaveOutcome {
        if self.record.admitted {
            return SaveOutcome::Saved;
        }
        let deadline = ClockTime::now().after(SAVE_TIMEOUT);
        let floor = loop {
            match self.state.objects.get::<CommandFloor>(COMMAND_FLOOR_KEY).await {
                Ok(stored) => break stored.map(|stored| stored.value).unwrap_or_default(),
                Err(_) if ClockTime::now() >= deadline => return SaveOutcome::StoreUnreachable,
                Err(_) => smol::Timer::after(SAVE_RETRY_PAUSE).await,
            };
        };
        if !floor.covers(self.record.command) {
            return SaveOutcome::Saved;
        }
        self.save(CommandRecord::refuse_pruned).await
    }

    /// Whether the command still belongs to this executor and is not cancelled.
    ///
    /// # Errors
    /// If the record can't be read.
    pub async fn read_state(&self) -> Result<ExecutorState, StoreError> {
        let stored = record::read(&self.state, self.record.command).await?;
        let own = stored.filter(|stored| stored.value.executor == self.record.executor);
        Ok(match own {
            None => ExecutorState::Superseded,
            Some(stored) if stored.value.cancel.is_some() => ExecutorState::Cancelled,
            Some(_) => ExecutorState::Current,
        })
    }

    /// Writes a change to the record in the store. The change must be idempotent.
    async fn save(&mut self, change: impl Fn(&mut CommandRecord)) -> SaveOutcome {
        let deadline = ClockTime::now().after(SAVE_TIMEOUT);
        loop {
            let mut changed = self.record.clone();
            change(&mut changed);
            if changed == self.record {
                return SaveOutcome::Saved;
            }
            match self.write(&changed).await {
                Ok(()) => return SaveOutcome::Saved,
                Err(SaveOutcome::Saved) => {}
                Err(SaveOutcome::Superseded) => return SaveOutcome::Superseded,
                Err(SaveOutcome::StoreUnreachable) if ClockTime::now() >= deadline => {
                    // The waiting operator receives the known outcome, though it is not recorded.
                    self.record = changed;
                    return SaveOutcome::StoreUnreachable;
                }
                Err(SaveOutcome::StoreUnreachable) => {
                    smol::Timer::after(SAVE_RETRY_PAUSE).await;
                }
            }
        }
    }

    /// One try. The error shows whether the record was read again, belongs to another executor, or
    /// is unreachable.
    async fn write(&mut self, changed: &CommandRecord) -> Result<(), SaveOutcome> {
        let key = command_key(self.record.command);
        match self.state.objects.put(&key, self.version, changed).await {
            Ok(version) => {
                self.version = version;
                self.record = changed.clone();
                self.active.publish(&self.record);
                Ok(())
            }
            Err(StoreError::Conflict { .. } | StoreError::Uncertain) => Err(self.reload().await),
            Err(_) => Err(SaveOutcome::StoreUnreachable),
        }
    }

    async fn reload(&mut self) -> SaveOutcome {
        match record::read(&self.state, self.record.command).await {
            Err(_) => SaveOutcome::StoreUnreachable,
            Ok(Some(stored)) if stored.value.executor == self.record.executor => {
                self.record = stored.value;
                self.version = stored.version;
                SaveOutcome::Saved
            }
            Ok(_) => SaveOutcome::Superseded,
        }
    }
}
