//! Counts an answer's tokens and cuts it at what was reserved.

use sagespool_messages::{DispatchEvent, FinishReason};
use sagespool_types::TokenCount;

use crate::EngineEvent;

/// Counts the tokens of one attempt.
///
/// A charge covers the prompt and the whole answer, so an attempt that resumes
/// starts with the tokens that the caller has already.
#[derive(Debug, Clone)]
pub struct TokenMeter {
    prompt: TokenCount,
    tokens: u32,
    most: u32,
}

/// What follows from an event.
#[derive(Debug, Clone, PartialEq)]
pub enum MeterStep {
    /// Pass a piece on.
    Piece(DispatchEvent),
    /// Pass a piece on, the last that fits in the reservation: the answer ends.
    LastPiece(DispatchEvent),
    /// The engine finished by itself.
    Finished(FinishReason),
    /// Nothing to do.
    Nothing,
    /// The stream closed, or jumped: what was passed on isn't a whole answer.
    Broken(String),
}

impl TokenMeter {
    /// A meter for a prompt of so many tokens, of which an answer of `resumed`
    /// tokens is there already, and `max_tokens` may come in all. None if the
    /// reservation doesn't even cover the prompt and what is there.
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
        Some(Self { prompt, tokens: resumed, most: left.min(max_tokens) })
    }

    /// The most tokens that the whole answer may have.
    pub fn most(&self) -> u32 {
        self.most
    }

    /// True if no token more may come.
    pub fn is_full(&self) -> bool {
        self.tokens >= self.most
    }

    /// What the attempt has used: the prompt and every token of the answer.
    pub fn used(&self) -> TokenCount {
        self.prompt + TokenCount(self.tokens.into())
    }

    /// Takes in the engine's next event.
    ///
    /// A token out of its place means that the engine lost or repeated some.
    /// The caller would get an answer with a hole in it and pay for it, so the
    /// attempt counts as broken.
    pub fn take(&mut self, event: EngineEvent) -> MeterStep {
        match event {
            EngineEvent::Token { index, text } => self.take_token(index, text),
            EngineEvent::Finished { stop, completion_tokens } => {
                self.take_finish(stop, completion_tokens)
            }
            EngineEvent::Aborted(reason) => {
                MeterStep::Broken(format!("the engine gave the request up: {reason}"))
            }
            EngineEvent::Done => MeterStep::Broken("the stream closed unfinished".to_owned()),
            EngineEvent::Empty => MeterStep::Nothing,
        }
    }

    fn take_token(&mut self, index: Option<u32>, text: String) -> MeterStep {
        let at = self.tokens;
        if let Some(index) = index.filter(|index| *index != at) {
            return MeterStep::Broken(format!("token {index} came in the place of {at}"));
        }
        if self.is_full() {
            return MeterStep::Broken(format!("the engine went on after {at} tokens"));
        }
        self.tokens += 1;
        let piece = DispatchEvent::Piece { at, tokens: 1, data: text.into_bytes() };
        if self.is_full() { MeterStep::LastPiece(piece) } else { MeterStep::Piece(piece) }
    }

    fn take_finish(&self, stop: FinishReason, completion_tokens: Option<u32>) -> MeterStep {
        match completion_tokens.filter(|made| *made != self.tokens) {
            Some(made) => {
                let came = self.tokens;
                MeterStep::Broken(format!("the engine made {made} tokens but sent {came}"))
            }
            None => MeterStep::Finished(stop),
        }
    }
}
