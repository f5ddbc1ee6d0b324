//! A request in an engine: as received, waiting, and running.

use std::sync::Arc;

use sagespool_types::{AttemptNumber, ClockTime, TokenCount};

use super::request::CompletionRequest;
use super::stream::RunStream;
use crate::run_log::RunRecorder;

/// Number of a run, unique within one engine start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RunNumber(pub(super) u64);

/// A request as received.
pub(crate) struct ArrivedRequest {
    pub(crate) completion: CompletionRequest,
    pub(crate) request: Option<String>,
    pub(crate) attempt: Option<AttemptNumber>,
    pub(crate) key: Option<String>,
    pub(crate) at: ClockTime,
}

impl ArrivedRequest {
    /// True for the given attempt of the request, or for any attempt if none is given.
    pub(super) fn matches(&self, request: &str, attempt: Option<AttemptNumber>) -> bool {
        let attempt_fits = attempt.is_none() || self.attempt == attempt;
        self.request.as_deref() == Some(request) && attempt_fits
    }
}

/// A request that waits for a slot.
pub(super) struct WaitingRun {
    pub(super) arrived: ArrivedRequest,
    pub(super) stream: Arc<RunStream>,
}

/// A running request.
pub(super) struct ActiveRun {
    pub(super) arrived: ArrivedRequest,
    pub(super) stream: Arc<RunStream>,
    pub(super) recorder: RunRecorder,
    /// Remaining prefill time before the first token, in seconds.
    pub(super) prefill_left: f64,
    /// Fractional tokens earned but not generated yet.
    pub(super) credit: f64,
    /// Index of the next token in the whole answer.
    pub(super) next: u32,
    /// Token index at which the stream breaks, if a break is injected.
    pub(super) breaks_at: Option<u32>,
}

impl ActiveRun {
    /// Performs some seconds of work; returns true if that completed the prefill.
    pub(super) fn advance(&mut self, work: f64, rate: f64, now: ClockTime) -> bool {
        let was_prefilling = self.prefill_left > 0.0;
        let left = self.prefill_left - work;
        self.prefill_left = left.max(0.0);
        if left > 0.0 {
            return false;
        }
        if was_prefilling {
            // The first token is available as soon as the prefill ends.
            self.credit = 1.0 - left * rate;
        } else {
            self.credit += work * rate;
        }
        self.generate_tokens(now);
        was_prefilling
    }

    fn generate_tokens(&mut self, now: ClockTime) {
        let completion = &self.arrived.completion;
        let whole = self.credit.floor();
        let until = self.breaks_at.or(completion.crashes_at).unwrap_or(completion.length);
        let until = until.min(completion.length);
        let generated = (whole as u32).min(until - self.next);
        if generated == 0 {
            return;
        }
        self.credit -= whole;
        self.next += generated;
        let total = self.next - completion.resumed_from;
        self.recorder.produced(TokenCount(total.into()), now);
        self.stream.make_available(self.next);
    }

    /// True once the run has reached the token at which it crashes the engine.
    pub(super) fn crashes_engine(&self) -> bool {
        let completion = &self.arrived.completion;
        let has_started = completion.crashes_at == Some(completion.resumed_from);
        completion.crashes_at.is_some_and(|index| self.next >= index)
            && (has_started || self.prefill_left <= 0.0)
    }

    /// True once the stream has reached its injected break.
    pub(super) fn is_broken(&self) -> bool {
        self.prefill_left <= 0.0 && self.breaks_at.is_some_and(|index| self.next >= index)
    }

    /// True once the whole answer is generated.
    pub(super) fn is_finished(&self) -> bool {
        self.prefill_left <= 0.0 && self.next >= self.arrived.completion.length
    }
}
