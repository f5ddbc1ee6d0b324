//! What can go wrong with a call of the platform, by what is known of its effect.

use std::error::Error;
use std::fmt;
use std::time::Duration;

use sagespool_types::StoreRevision;

/// Why a call of the platform failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The object is at another version; nothing was done.
    Conflict {
        /// Its present version, 0 if it doesn't exist.
        present: StoreRevision,
    },
    /// Over the platform's rate; nothing was done.
    RateLimited {
        /// When to come back.
        retry_after: Duration,
    },
    /// Out of service or out of reach; surely nothing was done.
    Unavailable,
    /// The answer of a write was lost: it may have taken effect, or may yet.
    Uncertain,
    /// The value is over the platform's limit of 1 MB; nothing was done.
    TooLarge,
    /// The changes after that revision are no longer kept: read the prefix again.
    HistoryGone,
    /// The platform turned the call away, or answered a read with what can't be
    /// understood, in words; nothing was done.
    Malformed(String),
}

impl StoreError {
    /// True if the call may have taken effect.
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::Uncertain)
    }

    /// What a person can do about it.
    pub fn help(&self) -> &'static str {
        match self {
            Self::Conflict { .. } => {
                "read the object again and repeat the change on what it is now"
            }
            Self::RateLimited { .. } => "come back later, or raise the platform's rate",
            Self::Unavailable => "check the platform, and `platform.object_api` in the settings",
            Self::Uncertain => "read the object again to see whether the change took effect",
            Self::TooLarge => "spread the data over more objects",
            Self::HistoryGone => "read the prefix again and watch from the revision it gives",
            Self::Malformed(_) => "check the platform's version and the token in the settings",
        }
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict { present } => {
                write!(f, "the object is at version {present}, not at the expected one")
            }
            Self::RateLimited { retry_after } => {
                write!(f, "over the platform's rate for {} ms", retry_after.as_millis())
            }
            Self::Unavailable => f.write_str("the platform is out of reach; nothing was done"),
            Self::Uncertain => {
                f.write_str("the platform's answer was lost; the change may have taken effect")
            }
            Self::TooLarge => f.write_str("the value is over the platform's limit of 1 MB"),
            Self::HistoryGone => f.write_str("the changes since that revision are no longer kept"),
            Self::Malformed(detail) => write!(f, "the platform's answer can't be used: {detail}"),
        }
    }
}

impl Error for StoreError {}
