//! What is kept of a run.

use std::time::Duration;

use sagespool_messages::UpstreamKind;
use sagespool_types::{AttemptNumber, ClockTime, TokenCount, UpstreamName};

use super::RunMarker;

/// What is known of a run when it starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunStart {
    /// The upstream that runs it.
    pub upstream: UpstreamName,
    /// Engine or plain service.
    pub kind: UpstreamKind,
    /// The header `x-request-id`.
    pub request: Option<String>,
    /// The header `x-attempt`.
    pub attempt: Option<AttemptNumber>,
    /// The marker found in the prompt, path or body.
    pub marker: Option<RunMarker>,
    /// The header `idempotency-key`.
    pub key: Option<String>,
    /// Tokens of the prompt; none for a plain service.
    pub prompt_tokens: TokenCount,
    /// Tokens that the run goes on after, if it resumes a broken answer.
    pub resumed_from: TokenCount,
    /// When the request reached the upstream.
    pub arrived_at: ClockTime,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RunEnd {
    /// It ran to its end.
    Finished,
    /// It ran to its end, but the stand broke the connection instead of answering.
    Unanswered,
    /// It was cancelled by a call.
    Cancelled,
    /// Its caller closed the connection, and the run was stopped.
    Dropped,
    /// The upstream crashed.
    Crashed,
    /// The upstream broke the connection in the middle of its answer, and is well.
    Broken,
}

/// One run of one request by one upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRecord {
    /// Counted over the whole log, in order of the starts.
    pub number: u64,
    /// What was known at the start.
    pub start: RunStart,
    /// When it took a slot of its upstream.
    pub started_at: ClockTime,
    /// Tokens made so far.
    pub produced: TokenCount,
    /// When the first token was made.
    pub first_at: Option<ClockTime>,
    /// When the newest token was made.
    pub newest_at: Option<ClockTime>,
    /// How and when it ended, if it did.
    pub ended: Option<(RunEnd, ClockTime)>,
}

impl RunRecord {
    /// Whether it ran at a moment.
    pub fn running_at(&self, at: ClockTime) -> bool {
        self.started_at <= at && self.ended.is_none_or(|(_, ended_at)| ended_at > at)
    }

    /// What it had used by a moment.
    pub fn used_at(&self, at: ClockTime) -> TokenUsage {
        if self.started_at > at {
            return TokenUsage::default();
        }
        let prompt = self.start.prompt_tokens;
        let (least, estimate, most) = self.produced_by(at);
        TokenUsage {
            least: prompt + least,
            estimate: prompt + estimate,
            most: prompt + most,
            runs: 1,
        }
    }

    /// Tokens made by a moment. No time of each token is kept, so a moment within the
    /// run's making gives bounds and, as an engine makes tokens evenly, an estimate.
    fn produced_by(&self, at: ClockTime) -> (TokenCount, TokenCount, TokenCount) {
        let (Some(first_at), Some(newest_at)) = (self.first_at, self.newest_at) else {
            return (TokenCount::ZERO, TokenCount::ZERO, TokenCount::ZERO);
        };
        if at >= newest_at {
            return (self.produced, self.produced, self.produced);
        }
        if at < first_at {
            return (TokenCount::ZERO, TokenCount::ZERO, TokenCount::ZERO);
        }
        let share = at.since(first_at).as_secs_f64() / span(first_at, newest_at).as_secs_f64();
        let estimate = TokenCount((self.produced.0 as f64 * share) as u64);
        (TokenCount(1), estimate, self.produced)
    }
}

/// Never zero, as it divides.
fn span(first_at: ClockTime, newest_at: ClockTime) -> Duration {
    newest_at.since(first_at).max(Duration::from_micros(1))
}

/// Tokens used by a moment: the prompt of each run that had started and what it had made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TokenUsage {
    /// Surely used by then.
    pub least: TokenCount,
    /// Used by then if each run made its tokens evenly.
    pub estimate: TokenCount,
    /// Surely not more than this.
    pub most: TokenCount,
    /// Runs that had started by then.
    pub runs: u64,
}

impl TokenUsage {
    /// Both together.
    pub fn plus(self, other: Self) -> Self {
        Self {
            least: self.least + other.least,
            estimate: self.estimate + other.estimate,
            most: self.most + other.most,
            runs: self.runs + other.runs,
        }
    }
}
