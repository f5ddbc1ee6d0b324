//! Errors of calls to the upstream.

use std::error::Error;
use std::fmt;

/// Why a call has no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpstreamCallError {
    /// The call was not sent, so it certainly did not run.
    NotSent {
        /// Description of the failure.
        detail: String,
        /// Whether the connection was refused.
        refused: bool,
    },
    /// The upstream declined the call and did not run it.
    Declined {
        /// The HTTP status.
        status: u16,
        /// The start of the response body.
        detail: String,
    },
    /// The call failed after the upstream may have received it, so it may have run.
    Lost {
        /// Description of the failure.
        detail: String,
    },
    /// The answer belongs to another call. This one may have run, and its answer is lost.
    Crossed {
        /// Request and attempt that the answer names.
        detail: String,
    },
}

impl UpstreamCallError {
    /// Whether the call may have run.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::Lost { .. } | Self::Crossed { .. })
    }
}

impl fmt::Display for UpstreamCallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent { detail, .. } => write!(f, "could not reach the upstream: {detail}"),
            Self::Declined { status, detail } => {
                write!(f, "the upstream declined the call with status {status}: {detail}")
            }
            Self::Crossed { detail } => write!(f, "the answer belongs to another call: {detail}"),
            Self::Lost { detail } => write!(f, "the call to the upstream failed: {detail}"),
        }
    }
}

impl Error for UpstreamCallError {}
