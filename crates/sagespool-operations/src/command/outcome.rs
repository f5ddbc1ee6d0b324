//! How an item of a command went.

use std::fmt;

use bon::Builder;
use sagespool_types::{ConfigVersion, FenceNumber, TokenCount, derives};

use crate::FieldChange;

derives! { value;
    /// How an item went.
    #[serde(rename_all = "kebab-case")]
    pub enum OutcomeState {
        /// Done by this command.
        Done,
        /// It was so already; nothing changed.
        Already,
        /// Not done, and it won't be as it stands.
        Refused,
        /// Not done: what it changes has changed since the version that the operator saw.
        Conflict,
        /// Not done, for now: a new command may do it.
        Failed,
        /// It may have been done.
        Unknown,
        /// Not begun when the command was cancelled.
        Cancelled,
    }
}

impl OutcomeState {
    /// The state as programs read it.
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

    /// True if what was wanted is so.
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
    /// How an item went, and what a person has to know of it.
    #[derive(Builder)]
    pub struct ItemOutcome {
        /// How it went.
        pub state: OutcomeState,
        /// What happened, and what to do about it.
        #[builder(into)]
        pub message: String,
        /// The known name that may have been meant.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub nearest: Option<String>,
        /// What changed: by this item if it was done, since the version that the operator saw if it
        /// is a conflict.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        #[builder(default)]
        pub changes: Vec<FieldChange>,
        /// The version of the configuration's object that has the change, or stands in its way.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub version: Option<ConfigVersion>,
        /// The fencing number that the order carried.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub fence: Option<FenceNumber>,
        /// Tokens that were added or released.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub tokens: Option<TokenCount>,
    }
}

impl ItemOutcome {
    /// An outcome that a message says all of.
    pub fn new(state: OutcomeState, message: impl Into<String>) -> Self {
        Self::builder().state(state).message(message).build()
    }
}
