//! Records of runs.

use std::time::Duration;

use sagespool_messages::UpstreamKind;
use sagespool_types::{AttemptNumber, ClockTime, TokenCount, UpstreamName};

use super::RunMarker;

/// What is known at the start of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunStart {
    /// Upstream that runs the request.
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
    /// Prompt tokens; zero for a plain service.
    pub prompt_tokens: TokenCount,
    /// Answer tokens before the run, if it resumes a broken answer; otherwise zero.
    pub resumed_from: TokenCount,
    /// When the upstream received the request.
    pub arrived_at: ClockTime,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RunEnd {
    /// It completed.
    Finished,
    /// It completed, but the upstream broke the connection instead of answering.
    Unanswered,
    /// A cancel call stopped it.
    Cancelled,
    /// It was stopped because its caller closed the connection.
    Dropped,
    /// The upstream crashed.
    Crashed,
    /// The upstream broke the connection in the middle of the answer and kept running.
    Broken,
}

/// One run of a request at an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRecord {
    /// Number in the log, in order of the starts.
    pub number: u64,
    /// What was known at the start.
    pub start: RunStart,
    /// When it occupied a slot of its upstream.
    pub started_at: ClockTime,
    /// Tokens generated so far.
    pub produced: TokenCount,
    /// When the first token was generated.
    pub first_at: Option<ClockTime>,
    /// When the newest token was generated.
    pub newest_at: Option<ClockTime>,
    /// How and when it ended; none while it runs.
    pub ended: Option<(RunEnd, ClockTime)>,
}

impl RunRecord {
    /// True if it was in progress at this time.
    pub fn running_at(&self, at: ClockTime) -> bool {
        self.started_at <= at && self.ended.is_none_or(|(_, ended_at)| ended_at > at)
    }

    /// Token usage up to a time.
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

    /// Tokens generated up to a time: lower bound, estimate and upper bound. Times of single tokens
    /// are not recorded; the estimate assumes a constant rate, as engines have.
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

/// At least 1 µs, as it is a divisor.
fn span(first_at: ClockTime, newest_at: ClockTime) -> Duration {
    newest_at.since(first_at).max(Duration::from_micros(1))
}

/// Token usage up to a time: the prompts of all runs started by then and the tokens generated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TokenUsage {
    /// Lower bound.
    pub least: TokenCount,
    /// Estimate for a constant rate of each run.
    pub estimate: TokenCount,
    /// Upper bound.
    pub most: TokenCount,
    /// Number of runs started by then.
    pub runs: u64,
}

impl TokenUsage {
    /// The sum of two usages.
    pub fn plus(self, other: Self) -> Self {
        Self {
            least: self.least + other.least,
            estimate: self.estimate + other.estimate,
            most: self.most + other.most,
            runs: self.runs + other.runs,
        }
    }
}
