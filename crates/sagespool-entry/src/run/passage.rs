//! Passing an answer on: each token and byte once, in order, over several attempts.

use async_channel::Sender;
use sagespool_messages::{HeaderPair, ResumePoint};

use super::AnswerEvent;

/// What became of a piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PieceTaken {
    /// The caller has it.
    Passed,
    /// The caller had it all before.
    Repeated,
    /// It lies beyond what the caller has: something is missing between.
    Gap,
    /// The caller is gone.
    CallerGone,
}

/// What the caller has of the answer so far.
pub(super) struct AnswerPassage<'a> {
    answers: &'a Sender<AnswerEvent>,
    tokens: u32,
    text: Vec<u8>,
    /// Bytes of a plain service's answer.
    bytes: u32,
    head_sent: bool,
}

impl<'a> AnswerPassage<'a> {
    pub(super) fn new(answers: &'a Sender<AnswerEvent>) -> Self {
        Self { answers, tokens: 0, text: Vec::new(), bytes: 0, head_sent: false }
    }

    /// Tokens that the caller has.
    pub(super) fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Where another attempt goes on.
    pub(super) fn resume_point(&self) -> Option<ResumePoint> {
        (self.tokens > 0).then(|| ResumePoint {
            tokens: self.tokens,
            text: String::from_utf8_lossy(&self.text).into_owned(),
        })
    }

    /// Passes a plain service's head on, once. False if the caller is gone.
    pub(super) async fn take_head(&mut self, status: u16, headers: Vec<HeaderPair>) -> bool {
        if self.head_sent {
            return true;
        }
        self.head_sent = true;
        self.answers.send(AnswerEvent::Head { status, headers }).await.is_ok()
    }

    /// Passes on what the caller doesn't have yet. A resumed or repeated attempt may start at or
    /// before the point reached; a piece beyond it would leave a hole in the answer.
    pub(super) async fn take_piece(&mut self, at: u32, tokens: u32, data: Vec<u8>) -> PieceTaken {
        let data = match tokens {
            0 => self.new_bytes(at, data),
            _ => self.new_text(at, tokens, data),
        };
        match data {
            Ok(data) if data.is_empty() => PieceTaken::Repeated,
            Ok(data) => match self.answers.send(AnswerEvent::Piece { tokens, data }).await {
                Ok(()) => PieceTaken::Passed,
                Err(_) => PieceTaken::CallerGone,
            },
            Err(taken) => taken,
        }
    }

    fn new_text(&mut self, at: u32, tokens: u32, data: Vec<u8>) -> Result<Vec<u8>, PieceTaken> {
        let end = at.saturating_add(tokens);
        if end <= self.tokens {
            return Ok(Vec::new());
        }
        // A piece of several tokens can't be cut inside; sidecars send one token a piece.
        if at != self.tokens {
            return Err(PieceTaken::Gap);
        }
        self.tokens = end;
        self.text.extend_from_slice(&data);
        Ok(data)
    }

    fn new_bytes(&mut self, at: u32, data: Vec<u8>) -> Result<Vec<u8>, PieceTaken> {
        if at > self.bytes {
            return Err(PieceTaken::Gap);
        }
        let known = (self.bytes - at) as usize;
        let new = data.get(known..).unwrap_or_default().to_vec();
        self.bytes += new.len() as u32;
        Ok(new)
    }
}
