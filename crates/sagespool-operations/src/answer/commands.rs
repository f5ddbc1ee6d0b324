//! Answers about commands.

use sagespool_types::{BranchName, CommandId, WallTime, derives};

use super::ConfigRollout;
use crate::{CommandRecord, CommandState, ItemOutcome};

derives! { record;
    /// The newest commands, the newest first.
    pub struct CommandsAnswer {
        /// One row a command; nothing if the store couldn't be read.
        pub rows: Option<Vec<CommandSummary>>,
    }
}

derives! { record;
    /// A command in short.
    pub struct CommandSummary {
        /// The command.
        pub command: CommandId,
        /// Its line.
        pub line: String,
        /// The operator's branch.
        pub by: BranchName,
        /// When it was recorded, by the recording entry's wall clock.
        pub at: WallTime,
        /// Whether it goes on.
        pub state: CommandState,
        /// Whether somebody wants it cancelled.
        pub cancelled: bool,
        /// Items with an outcome.
        pub ended: usize,
        /// Items whose outcome is as wished.
        pub good: usize,
        /// Items in all.
        pub items: usize,
    }
}

impl CommandSummary {
    /// A record in short.
    pub fn of(record: &CommandRecord) -> Self {
        let outcomes = record.items.iter().filter_map(|item| item.outcome.as_ref());
        Self {
            command: record.command,
            line: record.line.clone(),
            by: record.by.clone(),
            at: record.at,
            state: record.state(),
            cancelled: record.cancel.is_some(),
            ended: outcomes.clone().count(),
            good: outcomes.filter(|outcome| outcome.state.is_success()).count(),
            items: record.items.len(),
        }
    }
}

derives! { record;
    /// A command, and how each of its items went.
    pub struct CommandAnswer {
        /// The command.
        pub command: CommandId,
        /// Its line.
        pub line: String,
        /// The operator's branch.
        pub by: BranchName,
        /// When it was recorded, by the recording entry's wall clock.
        pub at: WallTime,
        /// Whether it goes on.
        pub state: CommandState,
        /// True if it was recorded before this time of giving it.
        pub repeated: bool,
        /// Whether somebody wants it cancelled.
        pub cancelled: bool,
        /// Its items.
        pub items: Vec<ItemAnswer>,
        /// Where its newest change of the configuration is in force, if it made one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub in_force: Option<ConfigRollout>,
    }
}

derives! { record;
    /// An item, and how it went.
    pub struct ItemAnswer {
        /// The item, as a line would say it.
        pub item: String,
        /// How it went; nothing if that isn't known yet.
        pub outcome: Option<ItemOutcome>,
    }
}

impl CommandAnswer {
    /// A record as an answer.
    pub fn of(record: &CommandRecord, repeated: bool) -> Self {
        let items = record
            .items
            .iter()
            .map(|item| ItemAnswer { item: item.item.to_string(), outcome: item.outcome.clone() });
        Self {
            command: record.command,
            line: record.line.clone(),
            by: record.by.clone(),
            at: record.at,
            state: record.state(),
            repeated,
            cancelled: record.cancel.is_some(),
            items: items.collect(),
            in_force: None,
        }
    }

    /// True if every item has its outcome and all are as wished.
    pub fn is_success(&self) -> bool {
        let is_success = |item: &ItemAnswer| {
            item.outcome.as_ref().is_some_and(|outcome| outcome.state.is_success())
        };
        self.items.iter().all(is_success)
    }
}
