//! Forwards an answer to the caller: each token and byte once and in order, across attempts.

use async_channel::Sender;
use sagespool_messages::{HeaderPair, ResumePoint};

use super::AnswerEvent;

/// The result of forwarding a piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PieceOutcome {
    /// Sent to the caller.
    Passed,
    /// The caller already has all of it.
    Repeated,
    /// It begins after the end of what was sent: a part in between is missing.
    Gap,
    /// The caller has disconnected.
    CallerGone,
}

/// The part of the answer that was sent to the caller.
pub(super) struct AnswerForwarder<'a> {
    answers: &'a Sender<AnswerEvent>,
    tokens: u32,
    text: Vec<u8>,
    /// Number of bytes of a plain service's answer.
    bytes: u32,
    head_sent: bool,
}

impl<'a> AnswerForwarder<'a> {
    pub(super) fn new(answers: &'a Sender<AnswerEvent>) -> Self {
        Self { answers, tokens: 0, text: Vec::new(), bytes: 0, head_sent: false }
    }

    /// Number of tokens sent to the caller.
    pub(super) fn tokens(&self) -> u32 {
        self.tokens
    }

    /// The point at which another attempt resumes.
    pub(super) fn resume_point(&self) -> Option<ResumePoint> {
        (self.tokens > 0).then(|| ResumePoint {
            tokens: self.tokens,
            text: String::from_utf8_lossy(&self.text).into_owned(),
        })
    }

    /// Sends a plain service's status and headers once. Returns false if the caller is gone.
    pub(super) async fn forward_head(&mut self, status: u16, headers: Vec<HeaderPair>) -> bool {
        if self.head_sent {
            return true;
        }
        self.head_sent = true;
        self.answers.send(AnswerEvent::Head { status, headers }).await.is_ok()
    }

    /// Sends the part of a piece that the caller does not have yet. A resumed or repeated attempt
    /// may start at or before the point reached; a piece that starts after it would leave a gap.
    pub(super) async fn forward_piece(
        &mut self,
        at: u32,
        tokens: u32,
        data: Vec<u8>,
    ) -> PieceOutcome {
        let data = match tokens {
            0 => self.new_bytes(at, data),
            _ => self.new_text(at, tokens, data),
        };
        match data {
            Ok(data) if data.is_empty() => PieceOutcome::Repeated,
            Ok(data) => match self.answers.send(AnswerEvent::Piece { tokens, data }).await {
                Ok(()) => PieceOutcome::Passed,
                Err(_) => PieceOutcome::CallerGone,
            },
            Err(taken) => taken,
        }
    }

    fn new_text(&mut self, at: u32, tokens: u32, data: Vec<u8>) -> Result<Vec<u8>, PieceOutcome> {
        let end = at.saturating_add(tokens);
        if end <= self.tokens {
            return Ok(Vec::new());
        }
        // A piece of several tokens can't be split; sidecars send one token per piece.
        if at != self.tokens {
            return Err(PieceOutcome::Gap);
        }
        self.tokens = end;
        self.text.extend_from_slice(&data);
        Ok(data)
    }

    fn new_bytes(&mut self, at: u32, data: Vec<u8>) -> Result<Vec<u8>, PieceOutcome> {
        if at > self.bytes {
            return Err(PieceOutcome::Gap);
        }
        let known = (self.bytes - at) as usize;
        let new = data.get(known..).unwrap_or_default().to_vec();
        self.bytes += new.len() as u32;
        Ok(new)
    }
}
