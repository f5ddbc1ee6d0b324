//! Decides the next step after a dispatch: the end, or another attempt.

use std::collections::BTreeSet;
use std::time::Duration;

use sagespool_log::log_event;
use sagespool_messages::{ChargeRecord, CrashReport, DispatchEnd, RefusalNotice};
use sagespool_routing::{AttemptOutcome, AttemptResult, UpstreamPlacement};
use sagespool_types::{ClockTime, CrashWeight, RefusalReason, RequestId, RunState, TokenCount};

use super::attempt::{AttemptEnd, AttemptRun, DispatchOutcome};

/// Every request in flight at a crash is reported within this time. Only then do all entries
/// compute the same ranks of suspects, so that none runs again beside the one that crashed the
/// upstream.
const CRASH_REPORT_DELAY: Duration = Duration::from_millis(150);

/// The next step after a dispatch.
pub(super) enum NextStep {
    /// No further attempt.
    Ended(AttemptEnd),
    /// Another attempt, for this reason, counted against the retry budget.
    Retry(String),
    /// Another attempt, for this reason, not counted against the retry budget, since the process
    /// that had the request is gone.
    ///
    /// The retry budget protects upstreams that fail under overload. One that crashed or is
    /// unreachable receives no more load, and loses each request in flight once. When these retries
    /// counted, requests beside one that crashed the upstream were refused.
    RetryUncounted(String),
}

impl AttemptRun<'_> {
    /// Ends the run with a refusal whose run state reflects the attempts so far.
    pub(super) fn end_refused(&mut self, reason: RefusalReason, message: String) -> AttemptEnd {
        let run_state = match (&self.ran, self.maybe_ran) {
            (None, false) => RunState::NotRun,
            _ => RunState::Unknown,
        };
        let retry_after = Some(Duration::from_secs(1));
        let notice = RefusalNotice { reason, run_state, message, retry_after };
        if self.maybe_ran && self.ran.is_none() {
            return AttemptEnd::OutcomeUnknown { notice };
        }
        AttemptEnd::Refused { notice, ran: self.ran.take() }
    }

    /// Decides the next step after a dispatch.
    pub(super) async fn next_step(
        &mut self,
        placement: &UpstreamPlacement,
        outcome: DispatchOutcome,
    ) -> NextStep {
        match outcome {
            DispatchOutcome::Ended(end) => self.step_after_end(placement, end).await,
            DispatchOutcome::LinkLost { definitely_not_handled, detail } => {
                self.step_after_link_loss(placement, definitely_not_handled, detail).await
            }
            DispatchOutcome::CallerGone => {
                self.note_end(placement, AttemptOutcome::Cancelled);
                self.maybe_ran = true;
                NextStep::Ended(
                    self.end_refused(
                        RefusalReason::OutcomeUnknown,
                        "the caller disconnected".into(),
                    ),
                )
            }
            DispatchOutcome::TimedOut => {
                self.note_end(placement, AttemptOutcome::Failed);
                self.maybe_ran = true;
                let message = "the deadline passed while the request was running".into();
                NextStep::Ended(self.end_refused(RefusalReason::DeadlineExceeded, message))
            }
        }
    }

    async fn step_after_end(
        &mut self,
        placement: &UpstreamPlacement,
        end: DispatchEnd,
    ) -> NextStep {
        match end {
            DispatchEnd::Whole { charge, stop } => {
                self.note_end(placement, AttemptOutcome::Whole);
                crate::home::clear_suspect(self.state, self.spec.content);
                NextStep::Ended(AttemptEnd::Whole { charge, stop })
            }
            DispatchEnd::GrantUnusable(detail) => {
                self.note_end(placement, AttemptOutcome::Refused);
                log_event!(
                    info,
                    "grant-unusable",
                    request = self.spec.request,
                    charge = self.reserved.charge,
                    detail = detail
                );
                if self.ran.is_some() || self.maybe_ran {
                    // Something may have run under this charge, so it can't be returned.
                    self.tried.push(placement.sidecar);
                    return NextStep::Retry(detail);
                }
                NextStep::Ended(AttemptEnd::GrantUnusable)
            }
            DispatchEnd::Refused(notice) => self.step_after_refusal(placement, notice),
            DispatchEnd::Broken { ran, crashed, detail } => {
                self.step_after_failure(placement, ran, crashed, detail).await
            }
            DispatchEnd::Cancelled { ran } => {
                self.note_end(placement, AttemptOutcome::Cancelled);
                self.note_ran(ran);
                let message = "the request was stopped at its deadline or cancelled".into();
                NextStep::Ended(self.end_refused(RefusalReason::DeadlineExceeded, message))
            }
        }
    }

    fn step_after_refusal(
        &mut self,
        placement: &UpstreamPlacement,
        notice: RefusalNotice,
    ) -> NextStep {
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
            return NextStep::Retry(notice.message);
        }
        if self.ran.is_some() || self.maybe_ran {
            return NextStep::Ended(self.end_refused(notice.reason, notice.message));
        }
        if notice.run_state == RunState::Unknown {
            // The sidecar has a run under this charge or key, so nothing may be returned for it.
            return NextStep::Ended(AttemptEnd::OutcomeUnknown { notice });
        }
        NextStep::Ended(AttemptEnd::Refused { notice, ran: None })
    }

    fn note_ran(&mut self, ran: Option<ChargeRecord>) {
        let Some(record) = ran else {
            return;
        };
        if let Some(older) = self.ran.replace(record) {
            self.rerun_tokens += older.used;
        }
    }

    /// Reports an attempt's end to the routing table. Its first token was reported when it arrived.
    fn note_end(&self, placement: &UpstreamPlacement, outcome: AttemptOutcome) {
        let tokens = TokenCount(u64::from(self.forwarder.tokens()));
        let result = AttemptResult { first_token: None, tokens, outcome };
        self.state.upstreams.ended(placement, &result, ClockTime::now());
    }

    async fn step_after_failure(
        &mut self,
        placement: &UpstreamPlacement,
        ran: Option<ChargeRecord>,
        crashed: bool,
        detail: String,
    ) -> NextStep {
        let outcome = if crashed { AttemptOutcome::Unreachable } else { AttemptOutcome::Failed };
        self.note_end(placement, outcome);
        let did_run = ran.is_some();
        self.note_ran(ran);
        if crashed && did_run {
            self.report_crash(placement).await;
            smol::Timer::after(CRASH_REPORT_DELAY).await;
        }
        if self.state.crashes.is_stopped(self.spec.content) {
            let message = "the request crashed its upstream more than once and is quarantined";
            return NextStep::Ended(self.end_refused(RefusalReason::Quarantined, message.into()));
        }
        if did_run && self.spec.non_idempotent {
            let message = format!("the upstream failed after the request may have run: {detail}");
            return NextStep::Ended(self.end_refused(RefusalReason::OutcomeUnknown, message));
        }
        self.tried.push(placement.sidecar);
        match crashed {
            true => NextStep::RetryUncounted(detail),
            false => NextStep::Retry(detail),
        }
    }

    async fn report_crash(&self, placement: &UpstreamPlacement) {
        let report = CrashReport {
            content: self.spec.content,
            crash: RequestId(self.spec.request.0 ^ u128::from(self.attempt.0)),
            upstream: placement.upstream.clone(),
            attempt: self.attempt,
            weight: CrashWeight::FULL,
            company: BTreeSet::new(),
            age: Duration::ZERO,
        };
        crate::home::broadcast_crash(self.state, &report).await;
    }

    /// Handles a failed link to the sidecar. Unless the request certainly did not arrive, it may be
    /// running, and a non-idempotent request is not retried.
    async fn step_after_link_loss(
        &mut self,
        placement: &UpstreamPlacement,
        definitely_not_handled: bool,
        detail: String,
    ) -> NextStep {
        self.note_end(placement, AttemptOutcome::Unreachable);
        self.tried.push(placement.sidecar);
        if definitely_not_handled {
            return NextStep::RetryUncounted(detail);
        }
        self.maybe_ran = true;
        if self.spec.non_idempotent {
            let message =
                format!("the link to the upstream failed after the request may have run: {detail}");
            return NextStep::Ended(self.end_refused(RefusalReason::OutcomeUnknown, message));
        }
        NextStep::RetryUncounted(detail)
    }
}
