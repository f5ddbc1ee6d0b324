//! HTTP requests and responses between an operator's client and an entry.

use std::fmt;

use sagespool_types::{CommandId, derives};

use crate::LineError;

/// The path to which operator lines are sent with `POST`.
pub const LINE_PATH: &str = "/operator/line";

derives! { record;
    /// The body of a request with one line.
    #[serde(deny_unknown_fields)]
    pub struct LineRequest {
        /// The query or command.
        pub line: String,
        /// The command's id: submitting a command again with the same id executes it once. Queries need
        /// none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub command: Option<CommandId>,
        /// `Some(false)` for an answer as plain-text tables; otherwise the answer is JSON.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub json: Option<bool>,
        /// How long to wait until the command has ended, in milliseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub wait_ms: Option<u64>,
    }
}

derives! { record;
    /// The body of an error response.
    pub struct ErrorReply {
        /// The error.
        pub error: OperatorError,
    }
}

derives! { record;
    /// Why a line was neither answered nor executed.
    pub struct OperatorError {
        /// The error code for programs: `unknown-key`, `bad-line`, `store-unreachable`, …
        pub code: String,
        /// The message for people.
        pub message: String,
        /// What the operator can do.
        pub help: String,
        /// The position of the error, if the line itself is invalid.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub line: Option<LineError>,
        /// True if the command may be executing despite the error: submit it again with the same id.
        #[serde(default)]
        pub may_be_under_way: bool,
    }
}

impl OperatorError {
    /// An error before anything was executed.
    pub fn new(
        code: impl Into<String>,
        message: impl Into<String>,
        help: impl Into<String>,
    ) -> Self {
        let (code, message, help) = (code.into(), message.into(), help.into());
        Self { code, message, help, line: None, may_be_under_way: false }
    }
}

impl From<LineError> for OperatorError {
    fn from(error: LineError) -> Self {
        let (message, help) = (error.message.clone(), error.help.clone());
        Self { line: Some(error), ..Self::new("bad-line", message, help) }
    }
}

impl fmt::Display for OperatorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.line {
            Some(error) => error.fmt(f),
            None => write!(f, "{}\nhelp: {}", self.message, self.help),
        }
    }
}
