//! What a run passes on to the caller's side.

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
        /// Tokens in it; 0 for a plain service.
        tokens: u32,
        /// Its bytes.
        data: Vec<u8>,
    },
    /// The answer is whole.
    Whole {
        /// What is billed.
        billed: TokenCount,
        /// Why it ended.
        stop: FinishReason,
    },
    /// There is no whole answer.
    Refused {
        /// Why, and whether it ran.
        notice: RefusalNotice,
        /// What is billed all the same.
        billed: TokenCount,
    },
}

/// Where the caller's side takes answers from.
pub type AnswerReceiver = Receiver<AnswerEvent>;
