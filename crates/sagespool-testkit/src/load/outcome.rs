//! The outcome of a call as its caller saw it.

use std::time::Duration;

use sagespool_types::{ClockTime, TokenCount};

use super::PlannedCall;

/// The outcome of one send of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum CallOutcome {
    /// A complete answer.
    Whole {
        /// Tokens billed.
        billed: TokenCount,
        /// Whether it has the content expected for this call.
        is_own: bool,
    },
    /// A refusal.
    Refused {
        /// The reason code.
        reason: String,
        /// Whether the request ran: `not-run` or `unknown`.
        run_state: String,
        /// Tokens billed in spite of the refusal.
        billed: TokenCount,
    },
    /// The request was rejected as invalid.
    Invalid {
        /// HTTP status.
        status: u16,
        /// The error code.
        code: String,
    },
    /// The connection broke or timed out; the text is the cause.
    Broken(String),
}

/// One send of a call.
#[derive(Debug, Clone, PartialEq)]
pub struct SendRecord {
    /// Index of the entry.
    pub entry: usize,
    /// When it was sent.
    pub sent: ClockTime,
    /// When the outcome was received.
    pub ended: ClockTime,
    /// Time to the first token of a streamed answer; none otherwise.
    pub first_token: Option<Duration>,
    /// The request id that the entry assigned; none if no response head arrived.
    pub request: Option<String>,
    /// The outcome.
    pub outcome: CallOutcome,
}

/// A call and all its sends.
#[derive(Debug, Clone, PartialEq)]
pub struct CallRecord {
    /// The call.
    pub call: PlannedCall,
    /// The sends in order.
    pub sends: Vec<SendRecord>,
}

impl CallRecord {
    /// The last send; none if the call was never sent.
    pub fn last(&self) -> Option<&SendRecord> {
        self.sends.last()
    }

    /// Whether any send got a complete answer.
    pub fn is_answered(&self) -> bool {
        self.sends.iter().any(|send| matches!(send.outcome, CallOutcome::Whole { .. }))
    }

    /// Tokens billed according to the answers: the maximum over the sends, since a repeated answer
    /// carries the same bill again.
    pub fn billed(&self) -> TokenCount {
        let billed = self.sends.iter().map(|send| match send.outcome {
            CallOutcome::Whole { billed, .. } | CallOutcome::Refused { billed, .. } => billed,
            CallOutcome::Invalid { .. } | CallOutcome::Broken(_) => TokenCount::ZERO,
        });
        billed.max().unwrap_or_default()
    }

    /// Whether the bill may not have reached the caller.
    pub fn is_bill_unknown(&self) -> bool {
        !self.is_answered()
            && self.sends.iter().any(|send| match &send.outcome {
                CallOutcome::Broken(_) => true,
                CallOutcome::Refused { run_state, .. } => run_state == "unknown",
                _ => false,
            })
    }
}
