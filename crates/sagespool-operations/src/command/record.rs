//! The store's object of one command.
//!
//! A command is written down before its first item is carried out, and each
//! outcome as it is known. Whoever gives the same id again, through whichever
//! entry, finds what became of it; an entry that died in the middle leaves a
//! record that another can take up.

use std::fmt;

use sagespool_types::{
    BranchName, CommandId, ConfigVersion, IncarnationId, StoreRevision, WallTime, derives,
};

use super::{CommandItem, ItemOutcome, OperatorCommand, OutcomeState};

/// Every command's object, and nothing else, has a key that begins so.
pub const COMMANDS_PREFIX: &str = "commands/";

/// The key of a command's object.
pub fn command_key(command: CommandId) -> String {
    format!("{COMMANDS_PREFIX}{command}")
}

derives! { value;
    /// Who carries a command out.
    pub struct CommandExecutor {
        /// The entry.
        pub incarnation: IncarnationId,
        /// Raised whenever the command is taken up anew, so that one that was only paused sees that
        /// it has been relieved.
        pub turn: u32,
    }
}

derives! { record;
    /// An operator's wish that no further item be begun.
    pub struct CancelRecord {
        /// The command that said so.
        pub command: CommandId,
        /// By the wall clock of the entry that took it.
        pub at: WallTime,
    }
}

derives! { record;
    /// One item, and how it went.
    pub struct ItemRecord {
        /// The item.
        pub item: CommandItem,
        /// How it went; nothing until it is known.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub outcome: Option<ItemOutcome>,
        /// For a top-up: the newest command in the branch's account before this one was recorded.
        /// While the account still lists it, one that isn't listed after it was surely not applied.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub account_mark: Option<CommandId>,
    }
}

derives! { value;
    /// Whether a command goes on.
    #[serde(rename_all = "kebab-case")]
    pub enum CommandState {
        /// Some items have no outcome yet.
        Running,
        /// Every item has its outcome.
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

/// What became of a wish to cancel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelOutcome {
    /// Noted: no further item is begun.
    Noted,
    /// It was noted before.
    Already,
    /// Every item has its outcome already.
    Ended,
}

/// The item to carry out next.
#[derive(Debug, Clone, PartialEq)]
pub struct NextItem {
    /// Its place among the items.
    pub index: usize,
    /// The item.
    pub item: CommandItem,
    /// Set if an earlier executor may have begun it: after this revision of the store.
    pub begun_after: Option<StoreRevision>,
}

derives! { value;
    /// An item that an earlier executor may have begun.
    pub struct BegunItem {
        /// Its place among the items.
        pub index: usize,
        /// The record's version before: whatever the earlier executor did for the item has a later
        /// revision of the store, so that an object which hasn't changed since wasn't changed by it.
        pub after: StoreRevision,
    }
}

derives! { record;
    /// A command as the store keeps it.
    pub struct CommandRecord {
        /// Its id.
        pub command: CommandId,
        /// The line that it came as.
        pub line: String,
        /// The operator's branch.
        pub by: BranchName,
        /// When it was recorded, by the recording entry's wall clock.
        pub at: WallTime,
        /// The version that the operator saw.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub seen: Option<ConfigVersion>,
        /// Who carries it out.
        pub executor: CommandExecutor,
        /// The item that an earlier executor may have begun without noting its outcome.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub begun: Option<BegunItem>,
        /// True once its id was found to be above the floor, with the first outcome that was noted.
        /// Until then whoever takes it up has to look: the record itself may be one made anew for a
        /// command that was done and forgotten.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        pub admitted: bool,
        /// Set once somebody wants it cancelled.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub cancel: Option<CancelRecord>,
        /// Its items.
        pub items: Vec<ItemRecord>,
    }
}

impl CommandRecord {
    /// A record of a command that nobody has begun to carry out.
    pub fn new(
        command: CommandId,
        line: &str,
        by: &BranchName,
        wish: OperatorCommand,
        executor: IncarnationId,
        at: WallTime,
    ) -> Self {
        let items = wish.items.into_iter();
        let items = items.map(|item| ItemRecord { item, outcome: None, account_mark: None });
        Self {
            command,
            line: line.to_owned(),
            by: by.clone(),
            at,
            seen: wish.seen,
            executor: CommandExecutor { incarnation: executor, turn: 0 },
            begun: None,
            admitted: false,
            cancel: None,
            items: items.collect(),
        }
    }

    /// Whether it goes on.
    pub fn state(&self) -> CommandState {
        match self.next_place() {
            Some(_) => CommandState::Running,
            None => CommandState::Ended,
        }
    }

    /// True if it is the same command given again: the same line by the same operator. The other
    /// case is an id that two commands share, of which only one must be carried out.
    pub fn is_same(&self, line: &str, by: &BranchName) -> bool {
        self.line == line && self.by == *by
    }

    fn next_place(&self) -> Option<usize> {
        self.items.iter().position(|item| item.outcome.is_none())
    }

    /// The item to carry out next; none if all have their outcome.
    pub fn next_item(&self) -> Option<NextItem> {
        let index = self.next_place()?;
        let item = self.items[index].item.clone();
        let begun = self.begun.filter(|begun| begun.index == index);
        Some(NextItem { index, item, begun_after: begun.map(|begun| begun.after) })
    }

    /// Makes another the executor of a record that was read at a version. The earlier one, if it is only
    /// paused, sees the higher turn before it changes anything more in the store.
    pub fn take_over(
        &mut self,
        incarnation: IncarnationId,
        version: StoreRevision,
    ) -> CommandExecutor {
        let next = self.next_place();
        // Of several executors that may have begun the same item, the first counts.
        if self.begun.map(|begun| begun.index) != next {
            self.begun = next.map(|index| BegunItem { index, after: version });
        }
        self.executor = CommandExecutor { incarnation, turn: self.executor.turn + 1 };
        self.executor
    }

    /// Notes how an item went; the first word on it counts. Its id was admitted before.
    pub fn set_outcome(&mut self, index: usize, outcome: ItemOutcome) {
        self.admitted = true;
        if let Some(item) = self.items.get_mut(index) {
            item.outcome.get_or_insert(outcome);
        }
    }

    /// Ends every item that has no outcome, since the id is at or below the floor.
    ///
    /// A record that nobody has taken up before was made by this time of giving the command: it surely
    /// did nothing this time, and what an earlier, forgotten time did can't be known.
    pub fn refuse_pruned(&mut self) {
        let outcome = match self.executor.turn {
            0 => ItemOutcome::new(OutcomeState::Refused, FORGOTTEN),
            _ => ItemOutcome::new(OutcomeState::Unknown, FORGOTTEN),
        };
        for item in &mut self.items {
            item.outcome.get_or_insert_with(|| outcome.clone());
        }
    }

    /// Notes a wish to cancel.
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

    /// If somebody wants it cancelled, ends the items that haven't begun.
    ///
    /// An item that an earlier executor may have begun is not said to be cancelled, since it may
    /// have been done.
    pub fn cancel_remaining(&mut self) {
        if self.cancel.is_none() {
            return;
        }
        let begun = self.begun.map(|begun| begun.index);
        for (index, item) in self.items.iter_mut().enumerate() {
            let outcome =
                if begun == Some(index) { cancelled_while_begun() } else { cancelled_before() };
            item.outcome.get_or_insert(outcome);
        }
    }

    /// The highest version that an edit of this command itself gave an object of the configuration.
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

const FORGOTTEN: &str = "the command's id is as old as commands that are forgotten, so that nobody can \
                         tell whether it was done before; it was not done now. Look, and give a new \
                         command if it is still wanted";

fn cancelled_before() -> ItemOutcome {
    ItemOutcome::new(OutcomeState::Cancelled, "the command was cancelled before this was begun")
}

fn cancelled_while_begun() -> ItemOutcome {
    let message = "the entry that had begun this was lost and the command was cancelled: it may have \
                   been done; ask for its state";
    ItemOutcome::new(OutcomeState::Unknown, message)
}
