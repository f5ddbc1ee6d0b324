//! Outcomes of a command's items.

use std::fmt;

use bon::Builder;
use sagespool_types::{ConfigVersion, FenceNumber, TokenCount, derives};

use crate::FieldChange;

derives! { value;
    /// The result of an item.
    #[serde(rename_all = "kebab-case")]
    pub enum OutcomeState {
        /// Executed by this command.
        Done,
        /// The requested state existed already; nothing changed.
        Already,
        /// Not executed; the same item would be refused again.
        Refused,
        /// Not executed: the object has changed since the version that the operator saw.
        Conflict,
        /// Not executed because of a temporary failure; a new command may succeed.
        Failed,
        /// It may have been executed.
        Unknown,
        /// Not started when the command was cancelled.
        Cancelled,
    }
}

impl OutcomeState {
    /// The state's name in JSON and in tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Already => "already",
            Self::Refused => "refused",
            Self::Conflict => "conflict",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
            Self::Cancelled => "cancelled",
        }
    }

    /// True if the requested state holds.
    pub fn is_success(self) -> bool {
        matches!(self, Self::Done | Self::Already)
    }
}

impl fmt::Display for OutcomeState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

derives! { record;
    /// The result of an item with its details.
    #[derive(Builder)]
    pub struct ItemOutcome {
        /// The result.
        pub state: OutcomeState,
        /// What happened and what the operator can do about it.
        #[builder(into)]
        pub message: String,
        /// The known name closest to one that was not found.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub nearest: Option<String>,
        /// For an executed edit: the fields that it changed. For a conflict: the fields that changed
        /// since the version that the operator saw.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        #[builder(default)]
        pub changes: Vec<FieldChange>,
        /// The version of the configuration object with the change, or with the conflicting one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub version: Option<ConfigVersion>,
        /// The fencing number of the order.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub fence: Option<FenceNumber>,
        /// Tokens that were added or released.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub tokens: Option<TokenCount>,
    }
}

impl ItemOutcome {
    /// An outcome with a message and no further details.
    pub fn new(state: OutcomeState, message: impl Into<String>) -> Self {
        Self::builder().state(state).message(message).build()
    }
}
