//! Carrying a recorded command out, item by item.
//!
//! The record's turn says who may. Whoever takes a command up raises it by a conditional update, and an
//! executor that was only paused finds that before it changes anything more in the store: see
//! [`CommandRun::state_in_store`] and [`super::store::change`].

use std::sync::Arc;
use std::time::Duration;

use sagespool_log::log_event;
use sagespool_operations::{
    COMMAND_FLOOR_KEY, CommandFloor, CommandRecord, CommandState, ItemOutcome, command_key,
};
use sagespool_platform::StoreError;
use sagespool_types::{ClockTime, StoreRevision};

use super::desk::ActiveCommand;
use super::{perform, prune, record};
use crate::state::EntryState;

/// How long an outcome is tried to be recorded before the command is left to whoever gives it again.
const SAVE_LIMIT: Duration = Duration::from_secs(20);
const SAVE_PAUSE: Duration = Duration::from_millis(200);

/// A command that this entry carries out.
pub(super) struct CommandRun {
    pub state: Arc<EntryState>,
    /// As this executor last wrote or read it.
    pub record: CommandRecord,
    version: StoreRevision,
    active: Arc<ActiveCommand>,
}

/// What became of an item in the hands of this executor.
pub(super) enum ItemEnd {
    /// It has its outcome.
    Ended(ItemOutcome),
    /// Another has taken the command up.
    Relieved,
}

/// Whose a command is, by its record in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunState {
    /// This executor's.
    Mine,
    /// This executor's, and somebody wants it cancelled.
    Cancelled,
    /// Another has taken it up, or it is forgotten.
    Others,
}

/// Whether the record is as this executor wants it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SaveEnd {
    Saved,
    Relieved,
    StoreAway,
}

/// Carries a command out in a task of its own: an operator who goes away doesn't stop it.
pub(super) fn start(
    state: Arc<EntryState>,
    active: Arc<ActiveCommand>,
    record: CommandRecord,
    version: StoreRevision,
) {
    let mut run = CommandRun { state, record, version, active };
    smol::spawn(async move {
        let end = run.carry_out().await;
        let command = run.record.command;
        run.active.show(&run.record);
        run.state.operator.end(command);
        if end == SaveEnd::StoreAway {
            log_event!(warn, "command-left", command = command, cause = "the store is away");
        }
        if run.record.state() == CommandState::Ended {
            prune::prune_now_and_then(&run.state, command).await;
        }
    })
    .detach();
}

impl CommandRun {
    async fn carry_out(&mut self) -> SaveEnd {
        let admitted = self.admit().await;
        if admitted != SaveEnd::Saved {
            return admitted;
        }
        loop {
            if self.record.cancel.is_some() {
                return self.save(CommandRecord::cancel_rest).await;
            }
            let Some(next) = self.record.next_item() else {
                return SaveEnd::Saved;
            };
            let outcome = match perform::perform(self, &next).await {
                ItemEnd::Ended(outcome) => outcome,
                ItemEnd::Relieved => return SaveEnd::Relieved,
            };
            let saved = self.save(|record| record.note(next.index, outcome.clone())).await;
            if saved != SaveEnd::Saved {
                return saved;
            }
        }
    }

    /// Makes sure that the id isn't one of a command that was done and forgotten.
    ///
    /// The floor is read after the record is in the store. Whoever forgets commands raises the floor
    /// before it deletes one, so a record that could be made anew because the old one was deleted finds
    /// the floor raised.
    async fn admit(&mut self) -> SaveEnd {
        if self.record.admitted {
            return SaveEnd::Saved;
        }
        let deadline = ClockTime::now().after(SAVE_LIMIT);
        let floor = loop {
            match self.state.objects.get::<CommandFloor>(COMMAND_FLOOR_KEY).await {
                Ok(stored) => break stored.map(|stored| stored.value).unwrap_or_default(),
                Err(_) if ClockTime::now() >= deadline => return SaveEnd::StoreAway,
                Err(_) => smol::Timer::after(SAVE_PAUSE).await,
            };
        };
        if !floor.covers(self.record.command) {
            return SaveEnd::Saved;
        }
        self.save(CommandRecord::refuse_forgotten).await
    }

    /// Whether this executor still is the one that may carry the command out, and is to.
    ///
    /// # Errors
    /// If the record can't be read.
    pub async fn state_in_store(&self) -> Result<RunState, StoreError> {
        let stored = record::read(&self.state, self.record.command).await?;
        let own = stored.filter(|stored| stored.value.executor == self.record.executor);
        Ok(match own {
            None => RunState::Others,
            Some(stored) if stored.value.cancel.is_some() => RunState::Cancelled,
            Some(_) => RunState::Mine,
        })
    }

    /// Brings a change into the record in the store; making it twice must be as making it once.
    async fn save(&mut self, change: impl Fn(&mut CommandRecord)) -> SaveEnd {
        let deadline = ClockTime::now().after(SAVE_LIMIT);
        loop {
            let mut changed = self.record.clone();
            change(&mut changed);
            if changed == self.record {
                return SaveEnd::Saved;
            }
            match self.write(&changed).await {
                Ok(()) => return SaveEnd::Saved,
                Err(SaveEnd::Saved) => {}
                Err(SaveEnd::Relieved) => return SaveEnd::Relieved,
                Err(SaveEnd::StoreAway) if ClockTime::now() >= deadline => {
                    // The operator who waits is told what is known, though it isn't recorded.
                    self.record = changed;
                    return SaveEnd::StoreAway;
                }
                Err(SaveEnd::StoreAway) => {
                    smol::Timer::after(SAVE_PAUSE).await;
                }
            }
        }
    }

    /// One try; the error says whether the record was read anew, is another's, or is out of reach.
    async fn write(&mut self, changed: &CommandRecord) -> Result<(), SaveEnd> {
        let key = command_key(self.record.command);
        match self.state.objects.put(&key, self.version, changed).await {
            Ok(version) => {
                self.version = version;
                self.record = changed.clone();
                self.active.show(&self.record);
                Ok(())
            }
            Err(StoreError::Conflict { .. } | StoreError::Uncertain) => Err(self.read_anew().await),
            Err(_) => Err(SaveEnd::StoreAway),
        }
    }

    async fn read_anew(&mut self) -> SaveEnd {
        match record::read(&self.state, self.record.command).await {
            Err(_) => SaveEnd::StoreAway,
            Ok(Some(stored)) if stored.value.executor == self.record.executor => {
                self.record = stored.value;
                self.version = stored.version;
                SaveEnd::Saved
            }
            Ok(_) => SaveEnd::Relieved,
        }
    }
}
