//! The stored record of one command.
//!
//! A command is recorded before its first item is executed, and each outcome
//! when it is known. Submitting the same id again, through any entry, returns
//! the recorded outcomes. If an entry stops in the middle, another entry can
//! take over the record.

use std::fmt;

use sagespool_types::{
    BranchName, CommandId, ConfigVersion, IncarnationId, StoreRevision, WallTime, derives,
};

use super::{CommandItem, ItemOutcome, OperatorCommand, OutcomeState};

/// Key prefix of command records; no other object has it.
pub const COMMANDS_PREFIX: &str = "commands/";

/// The store key of a command's record.
pub fn command_key(command: CommandId) -> String {
    format!("{COMMANDS_PREFIX}{command}")
}

derives! { value;
    /// The process that executes a command.
    pub struct CommandExecutor {
        /// The executing entry.
        pub incarnation: IncarnationId,
        /// Incremented at each take-over, so that an earlier executor that was only paused detects
        /// that it has been replaced.
        pub turn: u32,
    }
}

derives! { record;
    /// A recorded request to start no further items.
    pub struct CancelRecord {
        /// The command that requested it.
        pub command: CommandId,
        /// When it was requested, by the wall clock of the entry that received it.
        pub at: WallTime,
    }
}

derives! { record;
    /// One item and its outcome.
    pub struct ItemRecord {
        /// The item.
        pub item: CommandItem,
        /// The outcome; `None` until it is known.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub outcome: Option<ItemOutcome>,
        /// For a top-up: the newest command in the branch's account before this one was recorded.
        /// While the account still lists that command, a top-up that isn't listed after it was not
        /// applied.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub account_mark: Option<CommandId>,
    }
}

derives! { value;
    /// Whether a command is still being executed.
    #[serde(rename_all = "kebab-case")]
    pub enum CommandState {
        /// Some items have no outcome yet.
        Running,
        /// Every item has an outcome.
        Ended,
    }
}

impl fmt::Display for CommandState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Running => "running",
            Self::Ended => "ended",
        })
    }
}

/// The result of a request to cancel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelOutcome {
    /// Recorded: no further item is started.
    Noted,
    /// A cancellation was recorded before.
    Already,
    /// Every item has an outcome already.
    Ended,
}

/// The item to execute next.
#[derive(Debug, Clone, PartialEq)]
pub struct NextItem {
    /// Its index among the items.
    pub index: usize,
    /// The item.
    pub item: CommandItem,
    /// Set if an earlier executor may have started it: only after this store revision.
    pub begun_after: Option<StoreRevision>,
}

derives! { value;
    /// An item that an earlier executor may have started.
    pub struct BegunItem {
        /// Its index among the items.
        pub index: usize,
        /// The record's version at the take-over. All writes of the earlier executor for this item
        /// have a later store revision, so it has not changed an object whose revision is not later.
        pub after: StoreRevision,
    }
}

derives! { record;
    /// The stored form of a command.
    pub struct CommandRecord {
        /// Its id.
        pub command: CommandId,
        /// The submitted line.
        pub line: String,
        /// The operator's branch.
        pub by: BranchName,
        /// When it was recorded, by the recording entry's wall clock.
        pub at: WallTime,
        /// The configuration version that the operator saw; `None` for no condition.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub seen: Option<ConfigVersion>,
        /// The current executor.
        pub executor: CommandExecutor,
        /// The item that an earlier executor may have started without recording its outcome.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub begun: Option<BegunItem>,
        /// Set with the first outcome, after the id was found to be above the floor. Until then each
        /// executor must check the floor: the record may be a second one, of a command that was
        /// executed and pruned.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        pub admitted: bool,
        /// Set once cancellation was requested.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub cancel: Option<CancelRecord>,
        /// Its items.
        pub items: Vec<ItemRecord>,
    }
}

impl CommandRecord {
    /// Creates the record of a command that is not started.
    pub fn new(
        command: CommandId,
        line: &str,
        by: &BranchName,
        operator_command: OperatorCommand,
        executor: IncarnationId,
        at: WallTime,
    ) -> Self {
        let items = operator_command.items.into_iter();
        let items = items.map(|item| ItemRecord { item, outcome: None, account_mark: None });
        Self {
            command,
            line: line.to_owned(),
            by: by.clone(),
            at,
            seen: operator_command.seen,
            executor: CommandExecutor { incarnation: executor, turn: 0 },
            begun: None,
            admitted: false,
            cancel: None,
            items: items.collect(),
        }
    }

    /// Whether items without an outcome remain.
    pub fn state(&self) -> CommandState {
        match self.next_index() {
            Some(_) => CommandState::Running,
            None => CommandState::Ended,
        }
    }

    /// True if the same command was submitted again: the same line by the same operator. Otherwise two
    /// commands share an id, and only the recorded one may be executed.
    pub fn is_same(&self, line: &str, by: &BranchName) -> bool {
        self.line == line && self.by == *by
    }

    fn next_index(&self) -> Option<usize> {
        self.items.iter().position(|item| item.outcome.is_none())
    }

    /// The item to execute next; `None` if all items have an outcome.
    pub fn next_item(&self) -> Option<NextItem> {
        let index = self.next_index()?;
        let item = self.items[index].item.clone();
        let begun = self.begun.filter(|begun| begun.index == index);
        Some(NextItem { index, item, begun_after: begun.map(|begun| begun.after) })
    }

    /// Makes `incarnation` the executor of a record that was read at `version`. An earlier executor that
    /// is only paused detects the higher turn before its next change in the store.
    pub fn take_over(
        &mut self,
        incarnation: IncarnationId,
        version: StoreRevision,
    ) -> CommandExecutor {
        let next = self.next_index();
        // If several executors may have started the same item, the first one's revision counts.
        if self.begun.map(|begun| begun.index) != next {
            self.begun = next.map(|index| BegunItem { index, after: version });
        }
        self.executor = CommandExecutor { incarnation, turn: self.executor.turn + 1 };
        self.executor
    }

    /// Records an item's outcome, unless it has one. The caller has checked the id against the floor.
    pub fn set_outcome(&mut self, index: usize, outcome: ItemOutcome) {
        self.admitted = true;
        if let Some(item) = self.items.get_mut(index) {
            item.outcome.get_or_insert(outcome);
        }
    }

    /// Ends every item without an outcome, because the id is at or below the floor.
    ///
    /// A record without a take-over was created by the current submission, which has executed nothing;
    /// what an earlier, pruned submission did is unknown.
    pub fn refuse_pruned(&mut self) {
        let outcome = match self.executor.turn {
            0 => ItemOutcome::new(OutcomeState::Refused, PRUNED),
            _ => ItemOutcome::new(OutcomeState::Unknown, PRUNED),
        };
        for item in &mut self.items {
            item.outcome.get_or_insert_with(|| outcome.clone());
        }
    }

    /// Records a request to cancel.
    pub fn request_cancel(&mut self, note: CancelRecord) -> CancelOutcome {
        if self.state() == CommandState::Ended {
            return CancelOutcome::Ended;
        }
        if self.cancel.is_some() {
            return CancelOutcome::Already;
        }
        self.cancel = Some(note);
        CancelOutcome::Noted
    }

    /// Ends the items that have not started, if cancellation was requested.
    ///
    /// An item that an earlier executor may have started gets the state `unknown` instead of
    /// `cancelled`, since it may have been executed.
    pub fn cancel_remaining(&mut self) {
        if self.cancel.is_none() {
            return;
        }
        let begun = self.begun.map(|begun| begun.index);
        for (index, item) in self.items.iter_mut().enumerate() {
            let outcome =
                if begun == Some(index) { cancelled_in_doubt() } else { cancelled_unstarted() };
            item.outcome.get_or_insert(outcome);
        }
    }

    /// The highest version that this command's own edits gave a configuration object.
    pub fn own_version(&self, object: &str) -> Option<ConfigVersion> {
        let edits = self.items.iter().filter(|item| match &item.item {
            CommandItem::Edit(edit) => edit.object_key() == object,
            _ => false,
        });
        let done = edits.filter_map(|item| item.outcome.as_ref());
        done.filter(|outcome| outcome.state == OutcomeState::Done)
            .filter_map(|outcome| outcome.version)
            .max()
    }
}

const PRUNED: &str = "the command's id is as old as commands whose records are deleted, so it is unknown \
                      whether it was executed before; it was not executed now. Check the state, and \
                      submit a new command if it is still needed";

fn cancelled_unstarted() -> ItemOutcome {
    ItemOutcome::new(
        OutcomeState::Cancelled,
        "the command was cancelled before this item was started",
    )
}

fn cancelled_in_doubt() -> ItemOutcome {
    let message = "the entry that started this item was lost and the command was cancelled: the item \
                   may have been executed; check its state";
    ItemOutcome::new(OutcomeState::Unknown, message)
}
