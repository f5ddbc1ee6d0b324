//! Counts the tokens of an answer and ends it at the reservation.

use sagespool_messages::{DispatchEvent, FinishReason};
use sagespool_types::TokenCount;

use crate::EngineEvent;

/// Counts the tokens of one attempt.
///
/// A charge covers the prompt and the whole answer, so a resumed attempt starts
/// with the tokens that the caller already has.
#[derive(Debug, Clone)]
pub struct TokenMeter {
    prompt: TokenCount,
    tokens: u32,
    max_tokens: u32,
}

/// What to do after an event.
#[derive(Debug, Clone, PartialEq)]
pub enum MeterStep {
    /// Forward a piece.
    Piece(DispatchEvent),
    /// Forward the last piece that fits in the reservation and end the answer.
    LastPiece(DispatchEvent),
    /// The engine finished the answer.
    Finished(FinishReason),
    /// The event needs no action.
    Nothing,
    /// The stream closed early or skipped tokens: the forwarded answer is incomplete.
    Broken(String),
}

impl TokenMeter {
    /// A meter for a prompt of `prompt` tokens and an answer of at most
    /// `max_tokens`, of which the caller already has `resumed`. `None` if the
    /// reservation does not cover the prompt and the resumed tokens.
    pub fn new(
        reserved: TokenCount,
        prompt: TokenCount,
        resumed: u32,
        max_tokens: u32,
    ) -> Option<Self> {
        if prompt + TokenCount(resumed.into()) > reserved {
            return None;
        }
        let left = u32::try_from(reserved.saturating_sub(prompt).0).unwrap_or(u32::MAX);
        Some(Self { prompt, tokens: resumed, max_tokens: left.min(max_tokens) })
    }

    /// Most tokens of the whole answer.
    pub fn max_tokens(&self) -> u32 {
        self.max_tokens
    }

    /// Whether the answer has reached its limit.
    pub fn is_full(&self) -> bool {
        self.tokens >= self.max_tokens
    }

    /// Tokens used by the attempt: the prompt and the answer so far.
    pub fn used(&self) -> TokenCount {
        self.prompt + TokenCount(self.tokens.into())
    }

    /// Applies the engine's next event.
    ///
    /// A token out of sequence means that the engine lost or repeated tokens.
    /// The caller would be billed for an answer with a gap, so the attempt
    /// counts as broken.
    pub fn apply(&mut self, event: EngineEvent) -> MeterStep {
        match event {
            EngineEvent::Token { index, text } => self.apply_token(index, text),
            EngineEvent::Finished { reason, completion_tokens } => {
                self.apply_finish(reason, completion_tokens)
            }
            EngineEvent::Aborted(reason) => {
                MeterStep::Broken(format!("the engine aborted the request: {reason}"))
            }
            EngineEvent::Done => {
                MeterStep::Broken("the stream closed before the answer was finished".to_owned())
            }
            EngineEvent::Empty => MeterStep::Nothing,
        }
    }

    fn apply_token(&mut self, index: Option<u32>, text: String) -> MeterStep {
        let at = self.tokens;
        if let Some(index) = index.filter(|index| *index != at) {
            return MeterStep::Broken(format!("expected token {at} but received token {index}"));
        }
        if self.is_full() {
            return MeterStep::Broken(format!(
                "the engine sent more than the limit of {at} tokens"
            ));
        }
        self.tokens += 1;
        let piece = DispatchEvent::Piece { at, tokens: 1, data: text.into_bytes() };
        if self.is_full() { MeterStep::LastPiece(piece) } else { MeterStep::Piece(piece) }
    }

    fn apply_finish(&self, reason: FinishReason, completion_tokens: Option<u32>) -> MeterStep {
        match completion_tokens.filter(|made| *made != self.tokens) {
            Some(made) => {
                let received = self.tokens;
                MeterStep::Broken(format!("the engine reports {made} tokens but sent {received}"))
            }
            None => MeterStep::Finished(reason),
        }
    }
}
