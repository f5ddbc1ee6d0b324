//! An admitted attempt and its outcome.

use std::pin::Pin;
use std::sync::Arc;

use futures_lite::{FutureExt, future};
use sagespool_messages::{CallTarget, ChargeRecord, DispatchEnd, DispatchRequest, FinishReason};
use sagespool_metrics::{FleetMetrics, RequestTimings};
use sagespool_types::{AttemptNumber, BranchName, ChargeId, ClockTime, RequestId, TokenCount};
use smol::Timer;

use crate::idempotency_cache::{KeyedAttempt, KeyedOutcome};
use crate::running::{RunningRegistration, StopReason};
use crate::{AnswerLog, UpstreamCallError};

/// An attempt that may run.
pub(crate) struct AdmittedAttempt {
    pub(crate) request: RequestId,
    pub(crate) attempt: AttemptNumber,
    pub(crate) branch: BranchName,
    pub(crate) charge: ChargeId,
    pub(crate) reserved: TokenCount,
    pub(crate) priority: u8,
    pub(crate) target: CallTarget,
    pub(crate) body: Vec<u8>,
    pub(crate) key: Option<KeyedAttempt>,
    pub(crate) log: Arc<AnswerLog>,
    pub(crate) registration: RunningRegistration,
    pub(crate) arrived: ClockTime,
    pub(crate) timings: RequestTimings,
    deadline: ClockTime,
}

impl AdmittedAttempt {
    pub(crate) fn new(
        dispatch: DispatchRequest,
        log: Arc<AnswerLog>,
        registration: RunningRegistration,
        metrics: &FleetMetrics,
        now: ClockTime,
    ) -> Self {
        Self {
            arrived: now,
            timings: metrics.timings(&dispatch.class, &dispatch.branch),
            key: KeyedAttempt::of(&dispatch),
            request: dispatch.request,
            attempt: dispatch.attempt,
            branch: dispatch.branch,
            charge: dispatch.reserved.charge,
            reserved: dispatch.reserved.amount,
            priority: dispatch.priority,
            target: dispatch.target,
            body: dispatch.body,
            log,
            registration,
            deadline: now.after(dispatch.time_left),
        }
    }

    /// Resolves when the attempt must stop before its end.
    ///
    /// Without a key, no caller can attach to the answer once the requester has
    /// disconnected. With one, the caller may reconnect through another entry,
    /// so the attempt goes on.
    pub(crate) async fn stopped(&self) -> StopReason {
        let deadline = async {
            Timer::after(self.deadline.since(ClockTime::now())).await;
            StopReason::Deadline
        };
        let requester_gone = async {
            match self.key {
                Some(_) => future::pending().await,
                None => self.log.readers_gone().await,
            }
            StopReason::RequesterGone
        };
        self.registration.attempt.stopped().or(requester_gone).or(deadline).await
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum AttemptCompletion {
    /// With a complete answer.
    Whole(FinishReason),
    /// The call to the upstream failed.
    Broken {
        /// False if it certainly did not run.
        ran: bool,
        /// Whether the upstream itself went down.
        crashed: bool,
        /// Description of the failure, for logs and callers.
        detail: String,
    },
    /// The sidecar stopped the attempt.
    Stopped {
        /// False if it certainly did not run.
        ran: bool,
        /// Why it was stopped.
        reason: StopReason,
    },
}

impl AttemptCompletion {
    /// The outcome of a call that failed.
    pub(crate) fn from_call_error(error: &UpstreamCallError, crashed: bool) -> Self {
        Self::Broken { ran: error.may_have_run(), crashed, detail: error.to_string() }
    }

    pub(crate) fn may_have_run(&self) -> bool {
        match self {
            Self::Whole(_) => true,
            Self::Broken { ran, .. } | Self::Stopped { ran, .. } => *ran,
        }
    }

    pub(crate) fn keyed_outcome(&self) -> KeyedOutcome {
        match self {
            Self::Whole(_) => KeyedOutcome::Whole,
            _ if self.may_have_run() => KeyedOutcome::MayHaveRun,
            _ => KeyedOutcome::NotRun,
        }
    }

    pub(crate) fn as_str(&self) -> &'static str {
        match self {
            Self::Whole(_) => "whole",
            Self::Broken { .. } => "broken",
            Self::Stopped { reason, .. } => reason.as_str(),
        }
    }

    pub(crate) fn detail(&self) -> &str {
        match self {
            Self::Broken { detail, .. } => detail,
            Self::Whole(_) | Self::Stopped { .. } => "",
        }
    }

    /// The end that is sent to the requester. If the sidecar stops, the request
    /// may continue on another upstream, as after any other failure.
    pub(crate) fn into_dispatch_end(self, charge: Option<ChargeRecord>) -> DispatchEnd {
        match (self, charge) {
            (Self::Whole(reason), Some(charge)) => DispatchEnd::Whole { charge, stop: reason },
            (Self::Whole(_), None) => DispatchEnd::Broken {
                ran: None,
                crashed: false,
                detail: "the charge of a complete answer is missing".to_owned(),
            },
            (Self::Broken { crashed, detail, .. }, ran) => {
                DispatchEnd::Broken { ran, crashed, detail }
            }
            (Self::Stopped { reason: StopReason::SidecarStops, .. }, ran) => {
                let detail = "the sidecar stopped before the end of the answer".to_owned();
                DispatchEnd::Broken { ran, crashed: false, detail }
            }
            (Self::Stopped { .. }, ran) => DispatchEnd::Cancelled { ran },
        }
    }
}

/// The result of `work`, or the reason if the attempt is stopped first.
pub(crate) async fn unless_stopped<T>(
    stopped: Pin<&mut impl Future<Output = StopReason>>,
    work: impl Future<Output = T>,
) -> Result<T, StopReason> {
    let stop = async { Err(stopped.await) };
    let done = async { Ok(work.await) };
    stop.or(done).await
}
