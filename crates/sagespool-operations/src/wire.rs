//! What an operator's program and an entry say to each other over HTTP.

use std::fmt;

use sagespool_types::{CommandId, derives};

use crate::LineError;

/// Where an entry takes operators' lines, by `POST`.
pub const LINE_PATH: &str = "/operator/line";

derives! { record;
    /// The body of a request.
    #[serde(deny_unknown_fields)]
    pub struct LineRequest {
        /// The line.
        pub line: String,
        /// The command's id, so that giving it again does it once. A query needs none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub command: Option<CommandId>,
        /// False for an answer as tables, for a person; else it is JSON.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub json: Option<bool>,
        /// How long to wait for a command to end, in milliseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub wait_ms: Option<u64>,
    }
}

derives! { record;
    /// The body of a response that isn't an answer.
    pub struct ErrorReply {
        /// What went wrong.
        pub error: OperatorError,
    }
}

derives! { record;
    /// Why a line was neither answered nor carried out.
    pub struct OperatorError {
        /// For programs: `unknown-key`, `bad-line`, `store-unreachable`, …
        pub code: String,
        /// For a person.
        pub message: String,
        /// What to do.
        pub help: String,
        /// The place in the line, if that is what is wrong.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub line: Option<LineError>,
        /// True if the command may be under way all the same: give it again with the same id.
        #[serde(default)]
        pub may_be_under_way: bool,
    }
}

impl OperatorError {
    /// A fault; surely nothing was done.
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
    fn from(fault: LineError) -> Self {
        let (message, help) = (fault.message.clone(), fault.help.clone());
        Self { line: Some(fault), ..Self::new("bad-line", message, help) }
    }
}

impl fmt::Display for OperatorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.line {
            Some(fault) => fault.fmt(f),
            None => write!(f, "{}\nhelp: {}", self.message, self.help),
        }
    }
}
