//! Answers to `commands`, to `command` and to each command.

use sagespool_types::{BranchName, CommandId, WallTime, derives};

use super::ConfigRollout;
use crate::{CommandRecord, CommandState, ItemOutcome};

derives! { record;
    /// The newest commands, the newest first.
    pub struct CommandsAnswer {
        /// One row per command; `None` if the store could not be read.
        pub rows: Option<Vec<CommandSummary>>,
    }
}

derives! { record;
    /// Summary of a command.
    pub struct CommandSummary {
        /// The command.
        pub command: CommandId,
        /// The submitted line.
        pub line: String,
        /// The operator's branch.
        pub by: BranchName,
        /// When it was recorded, by the recording entry's wall clock.
        pub at: WallTime,
        /// Whether items without an outcome remain.
        pub state: CommandState,
        /// Whether cancellation was requested.
        pub cancelled: bool,
        /// Number of items with an outcome.
        pub ended: usize,
        /// Number of items that succeeded (see [`crate::OutcomeState::is_success`]).
        pub good: usize,
        /// Number of all items.
        pub items: usize,
    }
}

impl CommandSummary {
    /// Summarizes a record.
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
    /// A command and the outcomes of its items.
    pub struct CommandAnswer {
        /// The command.
        pub command: CommandId,
        /// The submitted line.
        pub line: String,
        /// The operator's branch.
        pub by: BranchName,
        /// When it was recorded, by the recording entry's wall clock.
        pub at: WallTime,
        /// Whether items without an outcome remain.
        pub state: CommandState,
        /// True if it was recorded by an earlier submission.
        pub repeated: bool,
        /// Whether cancellation was requested.
        pub cancelled: bool,
        /// Its items.
        pub items: Vec<ItemAnswer>,
        /// The processes that have applied its newest configuration change, if it made one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub in_force: Option<ConfigRollout>,
    }
}

derives! { record;
    /// An item and its outcome.
    pub struct ItemAnswer {
        /// The item in the syntax of a command line.
        pub item: String,
        /// The outcome; `None` if it is not known yet.
        pub outcome: Option<ItemOutcome>,
    }
}

impl CommandAnswer {
    /// Creates the answer from a record.
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

    /// True if every item has an outcome and succeeded.
    pub fn is_success(&self) -> bool {
        let is_success = |item: &ItemAnswer| {
            item.outcome.as_ref().is_some_and(|outcome| outcome.state.is_success())
        };
        self.items.iter().all(is_success)
    }
}
