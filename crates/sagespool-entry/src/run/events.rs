//! Events of an answer, from a run to the HTTP response.

use async_channel::Receiver;
use sagespool_messages::{FinishReason, HeaderPair, RefusalNotice};
use sagespool_types::TokenCount;

/// One step of an answer, in order. The last is `Whole` or `Refused`.
#[derive(Debug, Clone, PartialEq)]
pub enum AnswerEvent {
    /// A plain service's status and headers.
    Head {
        /// HTTP status.
        status: u16,
        /// Headers.
        headers: Vec<HeaderPair>,
    },
    /// A piece of the answer, each byte once and in order.
    Piece {
        /// Number of tokens; 0 for a plain service.
        tokens: u32,
        /// Its bytes.
        data: Vec<u8>,
    },
    /// The answer is complete.
    Whole {
        /// Tokens billed.
        billed: TokenCount,
        /// Why it ended.
        stop: FinishReason,
    },
    /// There is no complete answer.
    Refused {
        /// The reason, and whether the request ran.
        notice: RefusalNotice,
        /// Tokens billed nevertheless.
        billed: TokenCount,
    },
}

/// The channel from which the HTTP response reads the answer.
pub type AnswerReceiver = Receiver<AnswerEvent>;
