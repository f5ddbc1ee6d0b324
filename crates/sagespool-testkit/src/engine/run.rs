//! One request in an engine: as it arrived, while it waits, and while its answer is made.

use std::sync::Arc;

use sagespool_types::{AttemptNumber, ClockTime, TokenCount};

use super::request::CompletionOrder;
use super::stream::RunStream;
use crate::witness::RunTally;

/// The number of a run within one engine stand.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RunNumber(pub(super) u64);

/// A request as it arrived.
pub(crate) struct ArrivedRequest {
    pub(crate) order: CompletionOrder,
    pub(crate) request: Option<String>,
    pub(crate) attempt: Option<AttemptNumber>,
    pub(crate) key: Option<String>,
    pub(crate) at: ClockTime,
}

impl ArrivedRequest {
    /// True if it is this attempt at the request, or any where none is named.
    pub(super) fn is(&self, request: &str, attempt: Option<AttemptNumber>) -> bool {
        let attempt_fits = attempt.is_none() || self.attempt == attempt;
        self.request.as_deref() == Some(request) && attempt_fits
    }
}

/// A request that waits for a slot.
pub(super) struct WaitingRun {
    pub(super) arrived: ArrivedRequest,
    pub(super) stream: Arc<RunStream>,
}

/// A request that runs.
pub(super) struct ActiveRun {
    pub(super) arrived: ArrivedRequest,
    pub(super) stream: Arc<RunStream>,
    pub(super) tally: RunTally,
    /// Seconds of work until the first token.
    pub(super) prefill_left: f64,
    /// Tokens of work that aren't a whole token yet.
    pub(super) credit: f64,
    /// The next token's place in the whole answer.
    pub(super) next: u32,
    /// The place at which its stream breaks, if it is to break.
    pub(super) breaks_at: Option<u32>,
}

impl ActiveRun {
    /// Does some seconds of work; whether that made the first token.
    pub(super) fn advance(&mut self, work: f64, rate: f64, now: ClockTime) -> bool {
        let was_prefilling = self.prefill_left > 0.0;
        let left = self.prefill_left - work;
        self.prefill_left = left.max(0.0);
        if left > 0.0 {
            return false;
        }
        if was_prefilling {
            // The first token is there as soon as the prompt is read.
            self.credit = 1.0 - left * rate;
        } else {
            self.credit += work * rate;
        }
        self.make_tokens(now);
        was_prefilling
    }

    fn make_tokens(&mut self, now: ClockTime) {
        let order = &self.arrived.order;
        let whole = self.credit.floor();
        let until = self.breaks_at.unwrap_or(order.length);
        let made = (whole as u32).min(until - self.next);
        if made == 0 {
            return;
        }
        self.credit -= whole;
        self.next += made;
        let total = self.next - order.resumed_from;
        self.tally.produced(TokenCount(total.into()), now);
        self.stream.make_available(self.next);
    }

    /// True once its stream has come to the place at which it breaks.
    pub(super) fn is_broken(&self) -> bool {
        self.prefill_left <= 0.0 && self.breaks_at.is_some_and(|place| self.next >= place)
    }

    /// True once its whole answer is made.
    pub(super) fn is_finished(&self) -> bool {
        self.prefill_left <= 0.0 && self.next >= self.arrived.order.length
    }
}
