//! Decides the next step after a dispatch: the end, or another attempt.

use std::time::Duration;

use sagespool_log::log_event;
use sagespool_messages::{ChargeRecord, CrashReport, DispatchEnd, RefusalNotice};
use sagespool_routing::{AttemptOutcome, AttemptResult, UpstreamPlacement};
use sagespool_types::{ClockTime, RefusalReason, RequestId, RunState, TokenCount};

use super::attempt::{AttemptEnd, AttemptRun, DispatchOutcome};

/// Every request in flight at a crash is reported within this time. Only then do all entries
/// compute the same ranks of suspects, so that none runs again beside the one that crashed the
/// upstream.
const SUSPECT_PAUSE: Duration = Duration::from_millis(150);

/// The next step after a dispatch.
pub(super) enum Judgement {
    /// No further attempt.
    Ended(AttemptEnd),
    /// Another attempt, for this reason, counted against the retry budget.
    TryElsewhere(String),
    /// Another attempt, for this reason, not counted against the retry budget, since the process
    /// that had the request is gone.
    ///
    /// The retry budget protects upstreams that fail under overload. One that crashed or is
    /// unreachable receives no more load, and loses each request in flight once. When these retries
    /// counted, requests beside one that crashed the upstream were refused.
    RunAgain(String),
}

impl AttemptRun<'_> {
    /// Ends the run with a refusal whose run state reflects the attempts so far.
    pub(super) fn give_up(&mut self, reason: RefusalReason, message: String) -> AttemptEnd {
        let run_state = match (&self.ran, self.maybe_ran) {
            (None, false) => RunState::NotRun,
            _ => RunState::Unknown,
        };
        let retry_after = Some(Duration::from_secs(1));
        let notice = RefusalNotice { reason, run_state, message, retry_after };
        if self.maybe_ran && self.ran.is_none() {
            return AttemptEnd::Unsure { notice };
        }
        AttemptEnd::Refused { notice, ran: self.ran.take() }
    }

    /// Decides the next step after a dispatch.
    pub(super) async fn judge(
        &mut self,
        placement: &UpstreamPlacement,
        outcome: DispatchOutcome,
    ) -> Judgement {
        match outcome {
            DispatchOutcome::Ended(end) => self.judge_end(placement, end).await,
            DispatchOutcome::LinkLost { surely_not_sent, detail } => {
                self.judge_loss(placement, surely_not_sent, detail).await
            }
            DispatchOutcome::CallerGone => {
                self.note_end(placement, AttemptOutcome::Cancelled);
                self.maybe_ran = true;
                Judgement::Ended(
                    self.give_up(RefusalReason::OutcomeUnknown, "the caller disconnected".into()),
                )
            }
            DispatchOutcome::TimedOut => {
                self.note_end(placement, AttemptOutcome::Failed);
                self.maybe_ran = true;
                let message = "the deadline passed while the request was running".into();
                Judgement::Ended(self.give_up(RefusalReason::DeadlineExceeded, message))
            }
        }
    }

    async fn judge_end(&mut self, placement: &UpstreamPlacement, end: DispatchEnd) -> Judgement {
        match end {
            DispatchEnd::Whole { charge, stop } => {
                self.note_end(placement, AttemptOutcome::Whole);
                crate::home::clear_suspect(self.state, self.order.content);
                Judgement::Ended(AttemptEnd::Whole { charge, stop })
            }
            DispatchEnd::GrantUnusable(detail) => {
                self.note_end(placement, AttemptOutcome::Refused);
                log_event!(
                    info,
                    "grant-unusable",
                    request = self.order.request,
                    charge = self.reserved.charge,
                    detail = detail
                );
                if self.ran.is_some() || self.maybe_ran {
                    // Something may have run under this charge, so it can't be returned.
                    self.tried.push(placement.sidecar);
                    return Judgement::TryElsewhere(detail);
                }
                Judgement::Ended(AttemptEnd::GrantUnusable)
            }
            DispatchEnd::Refused(notice) => self.judge_refusal(placement, notice),
            DispatchEnd::Broken { ran, crashed, detail } => {
                self.judge_break(placement, ran, crashed, detail).await
            }
            DispatchEnd::Cancelled { ran } => {
                self.note_end(placement, AttemptOutcome::Cancelled);
                self.keep_ran(ran);
                let message = "the request was stopped at its deadline or cancelled".into();
                Judgement::Ended(self.give_up(RefusalReason::DeadlineExceeded, message))
            }
        }
    }

    fn judge_refusal(&mut self, placement: &UpstreamPlacement, notice: RefusalNotice) -> Judgement {
        let elsewhere = matches!(
            notice.reason,
            RefusalReason::Leaving
                | RefusalReason::Overloaded
                | RefusalReason::NotReady
                | RefusalReason::NoUpstream
                | RefusalReason::LimitReached
        );
        if !elsewhere {
            self.note_end(placement, AttemptOutcome::Refused);
        }
        if elsewhere && notice.run_state == RunState::NotRun {
            self.note_end(placement, AttemptOutcome::Refused);
            self.tried.push(placement.sidecar);
            return Judgement::TryElsewhere(notice.message);
        }
        if self.ran.is_some() || self.maybe_ran {
            return Judgement::Ended(self.give_up(notice.reason, notice.message));
        }
        if notice.run_state == RunState::Unknown {
            // The sidecar has a run under this charge or key, so nothing may be returned for it.
            return Judgement::Ended(AttemptEnd::Unsure { notice });
        }
        Judgement::Ended(AttemptEnd::Refused { notice, ran: None })
    }

    fn keep_ran(&mut self, ran: Option<ChargeRecord>) {
        let Some(record) = ran else {
            return;
        };
        if let Some(older) = self.ran.replace(record) {
            self.rerun_tokens += older.used;
        }
    }

    /// Reports an attempt's end to the routing table. Its first token was reported when it arrived.
    fn note_end(&self, placement: &UpstreamPlacement, outcome: AttemptOutcome) {
        let tokens = TokenCount(u64::from(self.passage.tokens()));
        let result = AttemptResult { first_token: None, tokens, outcome };
        self.state.upstreams.ended(placement, &result, ClockTime::now());
    }

    async fn judge_break(
        &mut self,
        placement: &UpstreamPlacement,
        ran: Option<ChargeRecord>,
        crashed: bool,
        detail: String,
    ) -> Judgement {
        let outcome = if crashed { AttemptOutcome::Unreachable } else { AttemptOutcome::Failed };
        self.note_end(placement, outcome);
        let did_run = ran.is_some();
        self.keep_ran(ran);
        if crashed && did_run {
            self.report_crash(placement).await;
            smol::Timer::after(SUSPECT_PAUSE).await;
        }
        if self.state.crashes.is_stopped(self.order.content) {
            let message = "the request crashed its upstream more than once and is quarantined";
            return Judgement::Ended(self.give_up(RefusalReason::Quarantined, message.into()));
        }
        if did_run && self.order.non_idempotent {
            let message = format!("the upstream failed after the request may have run: {detail}");
            return Judgement::Ended(self.give_up(RefusalReason::OutcomeUnknown, message));
        }
        self.tried.push(placement.sidecar);
        match crashed {
            true => Judgement::RunAgain(detail),
            false => Judgement::TryElsewhere(detail),
        }
    }

    async fn report_crash(&self, placement: &UpstreamPlacement) {
        let report = CrashReport {
            content: self.order.content,
            crash: RequestId(self.order.request.0 ^ u128::from(self.attempt.0)),
            upstream: placement.upstream.clone(),
            attempt: self.attempt,
        };
        crate::home::spread_crash(self.state, &report).await;
    }

    /// Handles a failed link to the sidecar. Unless the request certainly did not arrive, it may be
    /// running, and a non-idempotent request is not retried.
    async fn judge_loss(
        &mut self,
        placement: &UpstreamPlacement,
        surely_not_sent: bool,
        detail: String,
    ) -> Judgement {
        self.note_end(placement, AttemptOutcome::Unreachable);
        self.tried.push(placement.sidecar);
        if surely_not_sent {
            return Judgement::RunAgain(detail);
        }
        self.maybe_ran = true;
        if self.order.non_idempotent {
            let message =
                format!("the link to the upstream failed after the request may have run: {detail}");
            return Judgement::Ended(self.give_up(RefusalReason::OutcomeUnknown, message));
        }
        Judgement::RunAgain(detail)
    }
}
