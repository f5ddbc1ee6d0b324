//! Errors of calls to the platform, by whether the call may have taken effect.

use std::error::Error;
use std::fmt;
use std::time::Duration;

use sagespool_types::StoreRevision;

/// Why a call to the platform failed. Only [`Self::Uncertain`] may have taken effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The object is at another version than expected.
    Conflict {
        /// The present version, 0 if the object doesn't exist.
        present: StoreRevision,
    },
    /// Refused by the platform's rate limit.
    RateLimited {
        /// The time after which to retry.
        retry_after: Duration,
    },
    /// The platform is unreachable or out of service; the call had no effect.
    Unavailable,
    /// The response to a write was lost: it may have taken effect, or may still do so.
    Uncertain,
    /// The value is over the platform's limit of 1 MB.
    TooLarge,
    /// The changes after the requested revision are no longer kept: list the prefix again.
    HistoryGone,
    /// The platform rejected the call, or its response to a read can't be decoded; the text has the
    /// details.
    Malformed(String),
}

impl StoreError {
    /// Whether the call may have taken effect.
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::Uncertain)
    }

    /// Advice for an operator.
    pub fn help(&self) -> &'static str {
        match self {
            Self::Conflict { .. } => {
                "read the object again and apply the change to its present value"
            }
            Self::RateLimited { .. } => "retry later, or raise the platform's rate limit",
            Self::Unavailable => {
                "check that the platform is up, and `platform.object_api` in the settings"
            }
            Self::Uncertain => "read the object again to see whether the change took effect",
            Self::TooLarge => "split the data over more objects",
            Self::HistoryGone => "list the prefix again and watch from the listing's revision",
            Self::Malformed(_) => "check the platform's version and the token in the settings",
        }
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict { present } => {
                write!(f, "the object is at version {present} instead of the expected one")
            }
            Self::RateLimited { retry_after } => {
                write!(
                    f,
                    "the platform's rate limit is exceeded; retry after {} ms",
                    retry_after.as_millis()
                )
            }
            Self::Unavailable => f.write_str("the platform is unreachable; the call had no effect"),
            Self::Uncertain => {
                f.write_str("the platform's response was lost; the write may have taken effect")
            }
            Self::TooLarge => f.write_str("the value exceeds the platform's limit of 1 MB"),
            Self::HistoryGone => {
                f.write_str("the changes since the requested revision are no longer kept")
            }
            Self::Malformed(detail) => {
                write!(f, "the platform rejected the call or sent an invalid response: {detail}")
            }
        }
    }
}

impl Error for StoreError {}
