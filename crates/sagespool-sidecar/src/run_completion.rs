//! Runs a completion on an engine.

use std::pin::Pin;
use std::time::Duration;

use futures_lite::FutureExt;
use sagespool_messages::{CallTarget, FinishReason, ResumePoint};
use sagespool_metrics::{DropCause, RequestTimings};
use sagespool_types::{ClockTime, ModelName, TokenCount};
use smol::Timer;

use crate::attempt::{AdmittedAttempt, AttemptCompletion, unless_stopped};
use crate::dispatcher::Dispatcher;
use crate::engine_body::{EngineOverrides, engine_body};
use crate::running::StopReason;
use crate::token_meter::{MeterStep, TokenMeter};
use crate::upstream::{CompletionStream, RunCall};
use crate::{EngineEvent, UpstreamCallError, UpstreamHealth};

/// After the last token of the reservation, an engine must close its stream within
/// this time or is cancelled.
const STREAM_CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// The target of a completion.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CompletionTarget<'a> {
    model: &'a ModelName,
    max_tokens: u32,
    prompt_tokens: u32,
    resume: Option<&'a ResumePoint>,
}

impl<'a> CompletionTarget<'a> {
    pub(crate) fn of(target: &'a CallTarget) -> Option<Self> {
        let CallTarget::Completion { model, max_tokens, prompt_tokens, resume } = target else {
            return None;
        };
        let resume = resume.as_ref().filter(|resume| resume.tokens > 0);
        Some(Self { model, max_tokens: *max_tokens, prompt_tokens: *prompt_tokens, resume })
    }

    /// The token meter of the answer; `None` if the reservation does not cover the request.
    pub(crate) fn meter(&self, reserved: TokenCount) -> Option<TokenMeter> {
        let prompt = TokenCount(self.prompt_tokens.into());
        let resumed = self.resume.map_or(0, |resume| resume.tokens);
        TokenMeter::new(reserved, prompt, resumed, self.max_tokens)
    }
}

/// Measures the time to the first token and between tokens.
#[derive(Debug)]
struct TokenTimer {
    last: ClockTime,
    has_first: bool,
}

impl TokenTimer {
    fn new(arrived: ClockTime) -> Self {
        Self { last: arrived, has_first: false }
    }

    fn record_token(&mut self, timings: &RequestTimings, now: ClockTime) {
        let elapsed = now.since(self.last);
        match self.has_first {
            true => timings.observe_between_tokens(elapsed),
            false => timings.observe_first_token(elapsed),
        }
        self.has_first = true;
        self.last = now;
    }
}

/// What remains to be done at the engine after an attempt.
#[derive(Debug)]
pub(crate) enum EngineCleanup {
    /// Nothing: the engine has released the request.
    Nothing,
    /// Cancel the request.
    Cancel,
    /// Cancel the request unless the engine closes its stream.
    AwaitClose(Box<CompletionStream>),
}

impl Dispatcher {
    /// Runs a completion and forwards its tokens as they arrive.
    pub(crate) async fn run_completion(
        &self,
        attempt: &AdmittedAttempt,
        target: CompletionTarget<'_>,
        mut meter: TokenMeter,
        mut stopped: Pin<&mut impl Future<Output = StopReason>>,
    ) -> (AttemptCompletion, EngineCleanup) {
        if meter.is_full() {
            self.record_used(attempt, meter.used());
            return (AttemptCompletion::Whole(FinishReason::Length), EngineCleanup::Nothing);
        }
        let call = self.upstream.new_call(attempt.request, attempt.attempt);
        let opened = self.open_completion(&call, attempt, target, &meter, stopped.as_mut()).await;
        let mut stream = match opened {
            Ok(stream) => Box::new(stream),
            Err(end) => {
                let cleanup =
                    if end.may_have_run() { EngineCleanup::Cancel } else { EngineCleanup::Nothing };
                return (end, cleanup);
            }
        };
        self.record_charged(attempt, meter.used());
        let end = self.forward_tokens(attempt, &mut stream, &mut meter, stopped).await;
        let cleanup = match end {
            AttemptCompletion::Whole(_) if meter.is_full() => EngineCleanup::AwaitClose(stream),
            AttemptCompletion::Whole(_) => EngineCleanup::Nothing,
            _ => EngineCleanup::Cancel,
        };
        (end, cleanup)
    }

    async fn open_completion(
        &self,
        call: &RunCall,
        attempt: &AdmittedAttempt,
        target: CompletionTarget<'_>,
        meter: &TokenMeter,
        stopped: Pin<&mut impl Future<Output = StopReason>>,
    ) -> Result<CompletionStream, AttemptCompletion> {
        let overrides = EngineOverrides {
            model: target.model,
            max_tokens: meter.max_tokens(),
            priority: attempt.priority,
            resume: target.resume,
        };
        let body =
            engine_body(&attempt.body, &overrides).map_err(|error| AttemptCompletion::Broken {
                ran: false,
                crashed: false,
                detail: format!("the request body is not a JSON object: {error}"),
            })?;
        match unless_stopped(stopped, self.upstream.start_completion(call, body)).await {
            Ok(Ok(stream)) => Ok(stream),
            Ok(Err(error)) => Err(self.outcome_of_error(&error).await),
            Err(reason) => Err(AttemptCompletion::Stopped { ran: call.may_have_run(), reason }),
        }
    }

    async fn forward_tokens(
        &self,
        attempt: &AdmittedAttempt,
        stream: &mut CompletionStream,
        meter: &mut TokenMeter,
        mut stopped: Pin<&mut impl Future<Output = StopReason>>,
    ) -> AttemptCompletion {
        let mut timer = TokenTimer::new(attempt.arrived);
        loop {
            let next = async {
                attempt.log.wait_for_room().await;
                stream.next().await
            };
            let event = match unless_stopped(stopped.as_mut(), next).await {
                Ok(Ok(event)) => event,
                Ok(Err(error)) => return self.outcome_of_error(&error).await,
                Err(reason) => return AttemptCompletion::Stopped { ran: true, reason },
            };
            let step = meter.apply(event);
            self.record_charged(attempt, meter.used());
            if matches!(step, MeterStep::Piece(_) | MeterStep::LastPiece(_)) {
                self.record_used(attempt, meter.used());
                timer.record_token(&attempt.timings, ClockTime::now());
            }
            match step {
                MeterStep::Piece(piece) => attempt.log.push(piece),
                MeterStep::LastPiece(piece) => {
                    attempt.log.push(piece);
                    return AttemptCompletion::Whole(FinishReason::Length);
                }
                MeterStep::Finished(reason) => return AttemptCompletion::Whole(reason),
                MeterStep::Nothing => {}
                MeterStep::Broken(detail) => {
                    return AttemptCompletion::Broken { ran: true, crashed: false, detail };
                }
            }
        }
    }

    /// The outcome of an attempt whose call failed.
    pub(crate) async fn outcome_of_error(&self, error: &UpstreamCallError) -> AttemptCompletion {
        let crashed = match error {
            UpstreamCallError::NotSent { refused, .. } => *refused,
            UpstreamCallError::Declined { .. } => false,
            UpstreamCallError::Crossed { .. } => false,
            UpstreamCallError::Lost { .. } => self.is_upstream_down().await,
        };
        if let UpstreamCallError::Crossed { detail } = error {
            self.record_dropped(DropCause::WrongRequest, detail);
        }
        if crashed {
            self.load.mark_down();
        }
        AttemptCompletion::from_call_error(error, crashed)
    }

    /// Whether the upstream went down during a call that broke.
    ///
    /// The failed call does not show it, so the upstream is probed. An upstream
    /// that has restarted meanwhile answers, but numbers its load reports anew.
    async fn is_upstream_down(&self) -> bool {
        if self.upstream.health().await != UpstreamHealth::Healthy {
            return true;
        }
        let load = self.upstream.load().await;
        load.is_some_and(|load| self.load.shows_restart(&load))
    }

    /// Makes sure that the engine releases an attempt that has ended.
    pub(crate) async fn release_engine(&self, attempt: &AdmittedAttempt, cleanup: EngineCleanup) {
        let must_cancel = match cleanup {
            EngineCleanup::Nothing => false,
            EngineCleanup::Cancel => true,
            EngineCleanup::AwaitClose(stream) => !closes_in_time(*stream).await,
        };
        if must_cancel {
            self.upstream.cancel(attempt.request, attempt.attempt).await;
        }
    }
}

/// Whether a stream ends within the timeout without another token.
async fn closes_in_time(mut stream: CompletionStream) -> bool {
    let closing = async {
        loop {
            match stream.next().await {
                Ok(EngineEvent::Finished { .. } | EngineEvent::Aborted(_) | EngineEvent::Done) => {
                    return true;
                }
                Ok(EngineEvent::Empty) => {}
                Ok(EngineEvent::Token { .. }) | Err(_) => return false,
            }
        }
    };
    let timeout = async {
        Timer::after(STREAM_CLOSE_TIMEOUT).await;
        false
    };
    closing.or(timeout).await
}
