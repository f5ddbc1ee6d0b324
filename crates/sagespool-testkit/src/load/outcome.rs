//! What came of a call, as its caller saw it.

use std::time::Duration;

use sagespool_types::{ClockTime, TokenCount};

use super::PlannedCall;

/// What one sending of a call came to.
#[derive(Debug, Clone, PartialEq)]
pub enum CallOutcome {
    /// A whole answer.
    Whole {
        /// What was billed.
        billed: TokenCount,
        /// Whether it is the answer to this call and to no other.
        is_own: bool,
    },
    /// A refusal.
    Refused {
        /// Why.
        reason: String,
        /// Whether it ran: `not-run` or `unknown`.
        run_state: String,
        /// What was billed all the same.
        billed: TokenCount,
    },
    /// The request was found invalid.
    Invalid {
        /// HTTP status.
        status: u16,
        /// For programs.
        code: String,
    },
    /// The connection broke, or no answer came in time.
    Broken(String),
}

/// One sending.
#[derive(Debug, Clone, PartialEq)]
pub struct SendRecord {
    /// The entry, by its place.
    pub entry: usize,
    /// When it was sent.
    pub sent: ClockTime,
    /// When its end was there.
    pub ended: ClockTime,
    /// Time to the first piece of the answer, for events.
    pub first_token: Option<Duration>,
    /// The request id that the entry gave it.
    pub request: Option<String>,
    /// What it came to.
    pub outcome: CallOutcome,
}

/// A call and all its sendings.
#[derive(Debug, Clone, PartialEq)]
pub struct CallRecord {
    /// The call.
    pub call: PlannedCall,
    /// Its sendings, in order.
    pub sends: Vec<SendRecord>,
}

impl CallRecord {
    /// What the last sending came to.
    pub fn last(&self) -> Option<&SendRecord> {
        self.sends.last()
    }

    /// True if some sending brought a whole answer.
    pub fn is_answered(&self) -> bool {
        self.sends.iter().any(|send| matches!(send.outcome, CallOutcome::Whole { .. }))
    }

    /// What the caller was told that it is billed: the greatest of its sendings, since a repeated
    /// answer names the same bill again.
    pub fn billed(&self) -> TokenCount {
        let billed = self.sends.iter().map(|send| match send.outcome {
            CallOutcome::Whole { billed, .. } | CallOutcome::Refused { billed, .. } => billed,
            CallOutcome::Invalid { .. } | CallOutcome::Broken(_) => TokenCount::ZERO,
        });
        billed.max().unwrap_or_default()
    }

    /// True if the caller can't tell what it is billed.
    pub fn is_bill_unknown(&self) -> bool {
        !self.is_answered()
            && self.sends.iter().any(|send| match &send.outcome {
                CallOutcome::Broken(_) => true,
                CallOutcome::Refused { run_state, .. } => run_state == "unknown",
                _ => false,
            })
    }
}
