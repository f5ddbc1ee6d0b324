//! The lifecycle of a run: reserve, make attempts, report the end to the home.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use sagespool_log::log_event;
use sagespool_messages::{
    ChargeRecord, FinishReason, FinishReport, FinishState, RefusalNotice, ReserveReply,
    ReservedCharge,
};
use sagespool_types::{ClockTime, RefusalReason, RunState, TokenCount};

use super::admission::admit;
use super::attach::{AttachEnd, attach};
use super::attempt::{AttemptEnd, AttemptRun};
use super::events::{AnswerEvent, AnswerReceiver};
use super::{RequestSpec, home_client};
use crate::state::EntryState;

/// Pieces buffered for a slow caller before backpressure reaches the upstream.
const ANSWER_BUFFER_EVENTS: usize = 256;
/// Reservations per request. A sidecar that started after a grant was made may refuse it; each
/// further reservation comes from a newer grant, so more than a few in a row show another fault.
const MAX_RESERVATIONS: u32 = 8;
const PENDING_PAUSE: Duration = Duration::from_millis(20);

/// How a run ended.
pub(super) enum RunEnd {
    /// The caller has its complete answer.
    Whole {
        /// What is billed.
        billed: TokenCount,
        /// Why it ended.
        stop: FinishReason,
    },
    /// The caller is refused.
    Refused {
        /// The reason, and whether the request ran.
        notice: RefusalNotice,
        /// What is billed.
        billed: TokenCount,
    },
}

impl RunEnd {
    /// A refusal of a request that used no tokens.
    pub(super) fn refused(
        reason: RefusalReason,
        run_state: RunState,
        message: impl Into<String>,
    ) -> Self {
        let retry_after = retry_after_for(reason);
        let notice = RefusalNotice { reason, run_state, message: message.into(), retry_after };
        Self::Refused { notice, billed: TokenCount::ZERO }
    }

    /// The same end with run state `unknown`, for a key whose earlier request may have run or may
    /// still be running. A caller that receives `not-run` would send a non-idempotent request again
    /// under a new key, and it would run twice. A refusal for a reused key keeps `not-run`: this
    /// request did not run.
    fn with_unknown_run_state(mut self) -> Self {
        if let Self::Refused { notice, .. } = &mut self
            && notice.reason != RefusalReason::KeyReused
        {
            notice.run_state = RunState::Unknown;
        }
        self
    }
}

fn retry_after_for(reason: RefusalReason) -> Option<Duration> {
    match reason {
        RefusalReason::NoUpstream | RefusalReason::UpstreamFailed => Some(Duration::from_secs(1)),
        RefusalReason::Overloaded | RefusalReason::LimitReached => Some(Duration::from_secs(1)),
        RefusalReason::ClaimUnreachable | RefusalReason::BudgetUnreachable => {
            Some(Duration::from_secs(5))
        }
        RefusalReason::Leaving | RefusalReason::NotReady => Some(Duration::from_millis(200)),
        _ => None,
    }
}

/// Starts a request's run in the background and returns the receiver of its answer. If the receiver
/// is dropped, a run with a key continues, since the caller may retry for the answer; a run without
/// one is cancelled.
pub fn start_run(state: Arc<EntryState>, spec: RequestSpec) -> AnswerReceiver {
    let (sender, receiver) = async_channel::bounded(ANSWER_BUFFER_EVENTS);
    state.request_started();
    smol::spawn(async move {
        let end = run_request(&state, &spec, &sender).await;
        report_end(&state, &spec, &end);
        state.request_ended();
        let event = match end {
            RunEnd::Whole { billed, stop } => AnswerEvent::Whole { billed, stop },
            RunEnd::Refused { notice, billed } => AnswerEvent::Refused { notice, billed },
        };
        // The caller may have disconnected.
        let _ = sender.send(event).await;
    })
    .detach();
    receiver
}

fn report_end(state: &EntryState, spec: &RequestSpec, end: &RunEnd) {
    let took = ClockTime::now().since(spec.arrived);
    let millis = took.as_millis();
    match end {
        RunEnd::Whole { billed, .. } => {
            state.metrics.observe_whole(&spec.class, &spec.branch, took);
            state.metrics.add_billed_tokens(&spec.branch, *billed);
            log_event!(
                debug,
                "request-answered",
                request = spec.request,
                branch = spec.branch,
                billed = billed,
                millis = millis
            );
        }
        RunEnd::Refused { notice, billed } => {
            state.metrics.count_refused(notice.reason, &spec.branch);
            state.metrics.add_billed_tokens(&spec.branch, *billed);
            log_event!(
                info,
                "request-refused",
                request = spec.request,
                branch = spec.branch,
                reason = notice.reason,
                run_state = notice.run_state,
                billed = billed,
                millis = millis,
                detail = notice.message
            );
        }
    }
}

async fn run_request(
    state: &Arc<EntryState>,
    spec: &RequestSpec,
    answers: &Sender<AnswerEvent>,
) -> RunEnd {
    let _slot = match admit(state, spec).await {
        Ok(slot) => slot,
        Err(notice) => {
            let end = RunEnd::Refused { notice, billed: TokenCount::ZERO };
            return if spec.key.is_some() { end.with_unknown_run_state() } else { end };
        }
    };
    let mut key_taken = false;
    let end = run_admitted(state, spec, answers, &mut key_taken).await;
    if key_taken { end.with_unknown_run_state() } else { end }
}

/// Reserves and runs until the request has ended. `key_taken` is set once the key turns out to
/// belong to another request, even if the run continues.
async fn run_admitted(
    state: &Arc<EntryState>,
    spec: &RequestSpec,
    answers: &Sender<AnswerEvent>,
    key_taken: &mut bool,
) -> RunEnd {
    let mut reservations = 0;
    while reservations < MAX_RESERVATIONS {
        let now = ClockTime::now();
        if spec.time_left(now).is_zero() {
            return RunEnd::refused(
                RefusalReason::DeadlineExceeded,
                RunState::NotRun,
                "the deadline passed before the request could run",
            );
        }
        let reserve_request = spec.reserve_request(state.incarnation, now);
        let (reply, reserved_at) = home_client::reserve(state, &reserve_request).await;
        match reply {
            ReserveReply::Reserved(reserved) => {
                reservations += 1;
                match run_reserved(state, spec, answers, reserved, reserved_at).await {
                    ReservedEnd::Ended(end) => return end,
                    ReservedEnd::Retry => {}
                    ReservedEnd::KeyTaken => *key_taken = true,
                }
            }
            ReserveReply::Known(known) => {
                *key_taken = true;
                match attach(state, spec, answers, known).await {
                    AttachEnd::Ended(end) => return end,
                    AttachEnd::Retry => {
                        smol::Timer::after(PENDING_PAUSE).await;
                    }
                }
            }
            ReserveReply::Refused(notice) => {
                return RunEnd::Refused { notice, billed: TokenCount::ZERO };
            }
            ReserveReply::NotHome => {
                smol::Timer::after(PENDING_PAUSE).await;
            }
        }
    }
    RunEnd::refused(
        RefusalReason::BudgetUnreachable,
        RunState::NotRun,
        "no upstream could use any of the branch's grants",
    )
}

/// Outcome of a reserved request's run.
enum ReservedEnd {
    /// The request has ended.
    Ended(RunEnd),
    /// It has to be reserved again.
    Retry,
    /// It has to be reserved again, and its key belongs to another request.
    KeyTaken,
}

/// Runs a reserved request and reports its end to the home.
async fn run_reserved(
    state: &Arc<EntryState>,
    spec: &RequestSpec,
    answers: &Sender<AnswerEvent>,
    reserved: ReservedCharge,
    reserved_at: Option<SocketAddr>,
) -> ReservedEnd {
    let charge = reserved.charge;
    let mut run = AttemptRun::new(state, spec, answers, reserved, reserved_at);
    let end = run.attempt_all().await;
    let rerun_tokens = run.rerun_tokens;
    let finish = |finish_state: FinishState| FinishReport {
        request: spec.request,
        branch: spec.branch.clone(),
        charge,
        state: finish_state,
        key: spec.key,
        rerun_tokens,
    };
    let (report, end) = match end {
        AttemptEnd::Whole { charge, stop } => {
            let billed = charge.used;
            (finish(FinishState::Ran(charge)), ReservedEnd::Ended(RunEnd::Whole { billed, stop }))
        }
        AttemptEnd::Refused { notice, ran } => {
            let billed = ran.as_ref().map_or(TokenCount::ZERO, |record: &ChargeRecord| record.used);
            let state = ran.map_or(FinishState::NotRun, FinishState::Ran);
            (finish(state), ReservedEnd::Ended(RunEnd::Refused { notice, billed }))
        }
        AttemptEnd::OutcomeUnknown { notice } => {
            let end = RunEnd::Refused { notice, billed: TokenCount::ZERO };
            (finish(FinishState::Unknown), ReservedEnd::Ended(end))
        }
        AttemptEnd::GrantUnusable => (finish(FinishState::GrantUnusable), ReservedEnd::Retry),
        AttemptEnd::Known(known) => {
            home_client::finish(state, reserved_at, &finish(FinishState::NotRun)).await;
            return match attach(state, spec, answers, known).await {
                AttachEnd::Ended(end) => ReservedEnd::Ended(end),
                AttachEnd::Retry => ReservedEnd::KeyTaken,
            };
        }
    };
    home_client::finish(state, reserved_at, &report).await;
    end
}
