//! Fault injection: answers that are delivered to the wrong call.

use sagespool_types::AttemptNumber;

/// An answer, with the request headers of the call that it belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RequestAnswer<T> {
    /// The header `x-request-id` of its call.
    pub(crate) request: Option<String>,
    /// The header `x-attempt` of its call.
    pub(crate) attempt: Option<AttemptNumber>,
    /// The answer's text, or the seed that generates it.
    pub(crate) content: T,
}

/// While on, each call gets the answer of the call previous it.
#[derive(Debug)]
pub(crate) struct MixedAnswers<T> {
    on: bool,
    last: Option<RequestAnswer<T>>,
}

impl<T> Default for MixedAnswers<T> {
    fn default() -> Self {
        Self { on: false, last: None }
    }
}

impl<T: Clone> MixedAnswers<T> {
    /// Turns the fault on or off.
    pub(crate) fn set(&mut self, on: bool) {
        self.on = on;
    }

    /// Records the call's own answer; returns the one to send.
    pub(crate) fn answer_for(&mut self, own: RequestAnswer<T>) -> RequestAnswer<T> {
        let previous = self.last.replace(own.clone());
        match previous {
            Some(previous) if self.on => previous,
            _ => own,
        }
    }
}
