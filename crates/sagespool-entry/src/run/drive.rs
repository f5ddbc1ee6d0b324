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
use super::{RequestOrder, homes};
use crate::state::EntryState;

/// Pieces buffered for a slow caller before backpressure reaches the upstream.
const ANSWER_BACKLOG: usize = 256;
/// Reservations per request. A sidecar that started after a grant was made may refuse it; each
/// further reservation comes from a newer grant, so more than a few in a row show another fault.
const MOST_RESERVATIONS: u32 = 8;
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
        let retry_after = retry_hint(reason);
        let notice = RefusalNotice { reason, run_state, message: message.into(), retry_after };
        Self::Refused { notice, billed: TokenCount::ZERO }
    }

    /// The same end with run state `unknown`, for a key whose earlier request may have run or may
    /// still be running. A caller that receives `not-run` would send a non-idempotent request again
    /// under a new key, and it would run twice. A refusal for a reused key keeps `not-run`: this
    /// request did not run.
    fn unsure(mut self) -> Self {
        if let Self::Refused { notice, .. } = &mut self
            && notice.reason != RefusalReason::KeyReused
        {
            notice.run_state = RunState::Unknown;
        }
        self
    }
}

fn retry_hint(reason: RefusalReason) -> Option<Duration> {
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
pub fn start_run(state: Arc<EntryState>, order: RequestOrder) -> AnswerReceiver {
    let (sender, receiver) = async_channel::bounded(ANSWER_BACKLOG);
    state.run_started();
    smol::spawn(async move {
        let end = drive(&state, &order, &sender).await;
        report_end(&state, &order, &end);
        state.run_ended();
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

fn report_end(state: &EntryState, order: &RequestOrder, end: &RunEnd) {
    let took = ClockTime::now().since(order.arrived);
    let millis = took.as_millis();
    match end {
        RunEnd::Whole { billed, .. } => {
            state.metrics.observe_whole(&order.class, &order.branch, took);
            state.metrics.billed(&order.branch, *billed);
            log_event!(
                debug,
                "request-answered",
                request = order.request,
                branch = order.branch,
                billed = billed,
                millis = millis
            );
        }
        RunEnd::Refused { notice, billed } => {
            state.metrics.refused(notice.reason, &order.branch);
            state.metrics.billed(&order.branch, *billed);
            log_event!(
                info,
                "request-refused",
                request = order.request,
                branch = order.branch,
                reason = notice.reason,
                run_state = notice.run_state,
                billed = billed,
                millis = millis,
                detail = notice.message
            );
        }
    }
}

async fn drive(
    state: &Arc<EntryState>,
    order: &RequestOrder,
    answers: &Sender<AnswerEvent>,
) -> RunEnd {
    let _slot = match admit(state, order).await {
        Ok(slot) => slot,
        Err(notice) => {
            let end = RunEnd::Refused { notice, billed: TokenCount::ZERO };
            return if order.key.is_some() { end.unsure() } else { end };
        }
    };
    let mut key_taken = false;
    let end = run_admitted(state, order, answers, &mut key_taken).await;
    if key_taken { end.unsure() } else { end }
}

/// Reserves and runs until the request has ended. `key_taken` is set once the key turns out to
/// belong to another request, even if the run continues.
async fn run_admitted(
    state: &Arc<EntryState>,
    order: &RequestOrder,
    answers: &Sender<AnswerEvent>,
    key_taken: &mut bool,
) -> RunEnd {
    let mut reservations = 0;
    while reservations < MOST_RESERVATIONS {
        let now = ClockTime::now();
        if order.time_left(now).is_zero() {
            return RunEnd::refused(
                RefusalReason::DeadlineExceeded,
                RunState::NotRun,
                "the deadline passed before the request could run",
            );
        }
        let question = order.reserve_request(state.incarnation, now);
        let (reply, reserved_at) = homes::reserve(state, &question).await;
        match reply {
            ReserveReply::Reserved(reserved) => {
                reservations += 1;
                match run_reserved(state, order, answers, reserved, reserved_at).await {
                    ReservedEnd::Ended(end) => return end,
                    ReservedEnd::Again => {}
                    ReservedEnd::KeyTaken => *key_taken = true,
                }
            }
            ReserveReply::Known(known) => {
                *key_taken = true;
                match attach(state, order, answers, known).await {
                    AttachEnd::Ended(end) => return end,
                    AttachEnd::AskAgain => {
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
    Again,
    /// It has to be reserved again, and its key belongs to another request.
    KeyTaken,
}

/// Runs a reserved request and reports its end to the home.
async fn run_reserved(
    state: &Arc<EntryState>,
    order: &RequestOrder,
    answers: &Sender<AnswerEvent>,
    reserved: ReservedCharge,
    reserved_at: Option<SocketAddr>,
) -> ReservedEnd {
    let charge = reserved.charge;
    let mut run = AttemptRun::new(state, order, answers, reserved, reserved_at);
    let end = run.drive().await;
    let rerun_tokens = run.rerun_tokens;
    let finish = |finish_state: FinishState| FinishReport {
        request: order.request,
        branch: order.branch.clone(),
        charge,
        state: finish_state,
        key: order.key,
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
        AttemptEnd::Unsure { notice } => {
            let end = RunEnd::Refused { notice, billed: TokenCount::ZERO };
            (finish(FinishState::Unknown), ReservedEnd::Ended(end))
        }
        AttemptEnd::GrantUnusable => (finish(FinishState::GrantUnusable), ReservedEnd::Again),
        AttemptEnd::Known(known) => {
            homes::finish(state, reserved_at, &finish(FinishState::NotRun)).await;
            return match attach(state, order, answers, known).await {
                AttachEnd::Ended(end) => ReservedEnd::Ended(end),
                AttachEnd::AskAgain => ReservedEnd::KeyTaken,
            };
        }
    };
    homes::finish(state, reserved_at, &report).await;
    end
}
