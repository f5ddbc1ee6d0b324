//! Answers that go to the wrong call.

use sagespool_types::AttemptNumber;

/// Whose an answer is, and what it says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct OwnedAnswer<T> {
    /// The header `x-request-id` of its call.
    pub(crate) request: Option<String>,
    /// The header `x-attempt` of its call.
    pub(crate) attempt: Option<AttemptNumber>,
    /// What makes its text.
    pub(crate) content: T,
}

/// A stand's fault of giving each call the answer to the call before it.
#[derive(Debug)]
pub(crate) struct CrossedAnswers<T> {
    on: bool,
    last: Option<OwnedAnswer<T>>,
}

impl<T> Default for CrossedAnswers<T> {
    fn default() -> Self {
        Self { on: false, last: None }
    }
}

impl<T: Clone> CrossedAnswers<T> {
    /// Begins or ends the fault.
    pub(crate) fn set(&mut self, on: bool) {
        self.on = on;
    }

    /// The answer that a call gets, instead of its own.
    pub(crate) fn answer_for(&mut self, own: OwnedAnswer<T>) -> OwnedAnswer<T> {
        let before = self.last.replace(own.clone());
        match before {
            Some(before) if self.on => before,
            _ => own,
        }
    }
}
