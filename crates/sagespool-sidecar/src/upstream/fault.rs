//! How a call to the upstream can fail.

use std::error::Error;
use std::fmt;

/// Why a call gave no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallFault {
    /// The upstream never got the call: it surely did not run.
    NotSent {
        /// What happened.
        detail: String,
        /// True if nothing listens where the upstream should be.
        refused: bool,
    },
    /// The upstream answered that it won't run the call, and didn't.
    Declined {
        /// The HTTP status.
        status: u16,
        /// The start of what it said.
        detail: String,
    },
    /// The call broke after the upstream may have got it: it may have run.
    Lost {
        /// What happened.
        detail: String,
    },
    /// The upstream answered another call: this one may have run, and its answer is lost.
    Crossed {
        /// Whose answer it was.
        detail: String,
    },
}

impl CallFault {
    /// True if the call may have run.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::Lost { .. } | Self::Crossed { .. })
    }
}

impl fmt::Display for CallFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent { detail, .. } => write!(f, "the upstream was not reached: {detail}"),
            Self::Declined { status, detail } => {
                write!(f, "the upstream declined with status {status}: {detail}")
            }
            Self::Crossed { detail } => write!(f, "the answer was another call's: {detail}"),
            Self::Lost { detail } => write!(f, "the call to the upstream broke: {detail}"),
        }
    }
}

impl Error for CallFault {}
