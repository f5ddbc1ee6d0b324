//! Runs a completion on an engine.

use std::pin::Pin;
use std::time::Duration;

use futures_lite::FutureExt;
use sagespool_messages::{CallTarget, FinishReason, ResumePoint};
use sagespool_metrics::{DropCause, RequestTimings};
use sagespool_types::{ClockTime, ModelName, TokenCount};
use smol::Timer;

use crate::attempt::{AdmittedAttempt, AttemptEnd, unless_stopped};
use crate::dispatcher::Dispatcher;
use crate::engine_body::{EngineTerms, engine_body};
use crate::running::StopReason;
use crate::token_meter::{MeterStep, TokenMeter};
use crate::upstream::{CompletionStream, RunCall};
use crate::{CallFault, EngineEvent, UpstreamHealth};

/// After the last token that may come, an engine closes its stream within
/// this time, or it is told to stop.
const CLOSING_GRACE: Duration = Duration::from_millis(100);

/// A completion's particulars.
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

    /// Counts the answer; none if the reservation can't cover it.
    pub(crate) fn meter(&self, reserved: TokenCount) -> Option<TokenMeter> {
        let prompt = TokenCount(self.prompt_tokens.into());
        let resumed = self.resume.map_or(0, |resume| resume.tokens);
        TokenMeter::new(reserved, prompt, resumed, self.max_tokens)
    }
}

/// Times an attempt's tokens.
#[derive(Debug)]
struct TokenClock {
    last: ClockTime,
    has_first: bool,
}

impl TokenClock {
    fn new(arrived: ClockTime) -> Self {
        Self { last: arrived, has_first: false }
    }

    fn note_token(&mut self, timings: &RequestTimings, now: ClockTime) {
        let took = now.since(self.last);
        match self.has_first {
            true => timings.between_tokens(took),
            false => timings.first_token(took),
        }
        self.has_first = true;
        self.last = now;
    }
}

/// What the engine has still to be told.
#[derive(Debug)]
pub(crate) enum EngineRest {
    /// Nothing: it is free of the request.
    Nothing,
    /// To give the request up.
    Cancel,
    /// To give the request up, unless it closes its stream by itself.
    Close(Box<CompletionStream>),
}

impl Dispatcher {
    /// Runs a completion and passes its tokens on as they come.
    pub(crate) async fn run_completion(
        &self,
        attempt: &AdmittedAttempt,
        target: CompletionTarget<'_>,
        mut meter: TokenMeter,
        mut stopped: Pin<&mut impl Future<Output = StopReason>>,
    ) -> (AttemptEnd, EngineRest) {
        if meter.is_full() {
            self.note_used(attempt, meter.used());
            return (AttemptEnd::Whole(FinishReason::Length), EngineRest::Nothing);
        }
        let call = self.upstream.name_call(attempt.request, attempt.attempt);
        let opened = self.open_completion(&call, attempt, target, &meter, stopped.as_mut()).await;
        let mut stream = match opened {
            Ok(stream) => Box::new(stream),
            Err(end) => {
                let rest =
                    if end.may_have_run() { EngineRest::Cancel } else { EngineRest::Nothing };
                return (end, rest);
            }
        };
        self.note_charged(attempt, meter.used());
        let end = self.pass_tokens(attempt, &mut stream, &mut meter, stopped).await;
        let rest = match end {
            AttemptEnd::Whole(_) if meter.is_full() => EngineRest::Close(stream),
            AttemptEnd::Whole(_) => EngineRest::Nothing,
            _ => EngineRest::Cancel,
        };
        (end, rest)
    }

    async fn open_completion(
        &self,
        call: &RunCall,
        attempt: &AdmittedAttempt,
        target: CompletionTarget<'_>,
        meter: &TokenMeter,
        stopped: Pin<&mut impl Future<Output = StopReason>>,
    ) -> Result<CompletionStream, AttemptEnd> {
        let terms = EngineTerms {
            model: target.model,
            max_tokens: meter.most(),
            priority: attempt.priority,
            resume: target.resume,
        };
        let body = engine_body(&attempt.body, &terms).map_err(|error| AttemptEnd::Broken {
            ran: false,
            crashed: false,
            detail: format!("the body is no JSON object: {error}"),
        })?;
        match unless_stopped(stopped, self.upstream.complete(call, body)).await {
            Ok(Ok(stream)) => Ok(stream),
            Ok(Err(fault)) => Err(self.end_of_fault(&fault).await),
            Err(reason) => Err(AttemptEnd::Stopped { ran: call.may_have_run(), reason }),
        }
    }

    async fn pass_tokens(
        &self,
        attempt: &AdmittedAttempt,
        stream: &mut CompletionStream,
        meter: &mut TokenMeter,
        mut stopped: Pin<&mut impl Future<Output = StopReason>>,
    ) -> AttemptEnd {
        let mut clock = TokenClock::new(attempt.arrived);
        loop {
            let next = async {
                attempt.log.room().await;
                stream.next().await
            };
            let event = match unless_stopped(stopped.as_mut(), next).await {
                Ok(Ok(event)) => event,
                Ok(Err(fault)) => return self.end_of_fault(&fault).await,
                Err(reason) => return AttemptEnd::Stopped { ran: true, reason },
            };
            let step = meter.take(event);
            self.note_charged(attempt, meter.used());
            if matches!(step, MeterStep::Piece(_) | MeterStep::LastPiece(_)) {
                self.note_used(attempt, meter.used());
                clock.note_token(&attempt.timings, ClockTime::now());
            }
            match step {
                MeterStep::Piece(piece) => attempt.log.push(piece),
                MeterStep::LastPiece(piece) => {
                    attempt.log.push(piece);
                    return AttemptEnd::Whole(FinishReason::Length);
                }
                MeterStep::Finished(stop) => return AttemptEnd::Whole(stop),
                MeterStep::Nothing => {}
                MeterStep::Broken(detail) => {
                    return AttemptEnd::Broken { ran: true, crashed: false, detail };
                }
            }
        }
    }

    /// How an attempt ends whose call failed.
    pub(crate) async fn end_of_fault(&self, fault: &CallFault) -> AttemptEnd {
        let crashed = match fault {
            CallFault::NotSent { refused, .. } => *refused,
            CallFault::Declined { .. } => false,
            CallFault::Crossed { .. } => false,
            CallFault::Lost { .. } => self.went_down().await,
        };
        if let CallFault::Crossed { detail } = fault {
            self.note_dropped(DropCause::Crossed, detail);
        }
        if crashed {
            self.load.upstream_down();
        }
        AttemptEnd::of_fault(fault, crashed)
    }

    /// Whether the upstream went down under a call that broke.
    ///
    /// The call itself doesn't say, so the upstream is asked. One that was
    /// started again at once answers, but counts its load from the beginning.
    async fn went_down(&self) -> bool {
        if self.upstream.health().await != UpstreamHealth::Well {
            return true;
        }
        let load = self.upstream.load().await;
        load.is_some_and(|load| self.load.is_restarted(&load))
    }

    /// Makes sure that the engine is free of an attempt that has ended.
    pub(crate) async fn free_engine(&self, attempt: &AdmittedAttempt, rest: EngineRest) {
        let must_cancel = match rest {
            EngineRest::Nothing => false,
            EngineRest::Cancel => true,
            EngineRest::Close(stream) => !closes(*stream).await,
        };
        if must_cancel {
            self.upstream.cancel(attempt.request, attempt.attempt).await;
        }
    }
}

/// True if a stream comes to its end by itself, with no token more.
async fn closes(mut stream: CompletionStream) -> bool {
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
    let late = async {
        Timer::after(CLOSING_GRACE).await;
        false
    };
    closing.or(late).await
}
