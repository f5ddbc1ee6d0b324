//! One attempt, from its admission to its end.

use std::pin::Pin;
use std::sync::Arc;

use futures_lite::{FutureExt, future};
use sagespool_messages::{CallTarget, ChargeRecord, DispatchEnd, DispatchRequest, FinishReason};
use sagespool_metrics::{FleetMetrics, RequestTimings};
use sagespool_types::{AttemptNumber, BranchName, ChargeId, ClockTime, RequestId, TokenCount};
use smol::Timer;

use crate::key_memory::{KeyEnding, KeyWish};
use crate::running::{RunningPlace, StopReason};
use crate::{AnswerLog, CallFault};

/// An admitted attempt.
pub(crate) struct AdmittedAttempt {
    pub(crate) request: RequestId,
    pub(crate) attempt: AttemptNumber,
    pub(crate) branch: BranchName,
    pub(crate) charge: ChargeId,
    pub(crate) reserved: TokenCount,
    pub(crate) priority: u8,
    pub(crate) target: CallTarget,
    pub(crate) body: Vec<u8>,
    pub(crate) key: Option<KeyWish>,
    pub(crate) log: Arc<AnswerLog>,
    pub(crate) place: RunningPlace,
    pub(crate) arrived: ClockTime,
    pub(crate) timings: RequestTimings,
    deadline: ClockTime,
}

impl AdmittedAttempt {
    pub(crate) fn new(
        dispatch: DispatchRequest,
        log: Arc<AnswerLog>,
        place: RunningPlace,
        metrics: &FleetMetrics,
        now: ClockTime,
    ) -> Self {
        Self {
            arrived: now,
            timings: metrics.timings(&dispatch.class, &dispatch.branch),
            key: KeyWish::of(&dispatch),
            request: dispatch.request,
            attempt: dispatch.attempt,
            branch: dispatch.branch,
            charge: dispatch.reserved.charge,
            reserved: dispatch.reserved.amount,
            priority: dispatch.priority,
            target: dispatch.target,
            body: dispatch.body,
            log,
            place,
            deadline: now.after(dispatch.time_left),
        }
    }

    /// Resolves when the attempt is to stop before its end.
    ///
    /// Without a key nobody can come back for the answer once its asker is
    /// gone. With one, the caller may come back through another entry, so the
    /// attempt goes on.
    pub(crate) async fn stopped(&self) -> StopReason {
        let deadline = async {
            Timer::after(self.deadline.since(ClockTime::now())).await;
            StopReason::Deadline
        };
        let asker_gone = async {
            match self.key {
                Some(_) => future::pending().await,
                None => self.log.abandoned().await,
            }
            StopReason::AskerGone
        };
        self.place.attempt.stopped().or(asker_gone).or(deadline).await
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum AttemptEnd {
    /// With a whole answer.
    Whole(FinishReason),
    /// The upstream failed.
    Broken {
        /// False if it surely did not run.
        ran: bool,
        /// True if the upstream itself is down.
        crashed: bool,
        /// For people.
        detail: String,
    },
    /// It was stopped.
    Stopped {
        /// False if it surely did not run.
        ran: bool,
        /// Why.
        reason: StopReason,
    },
}

impl AttemptEnd {
    /// The end of a call that failed.
    pub(crate) fn of_fault(fault: &CallFault, crashed: bool) -> Self {
        Self::Broken { ran: fault.may_have_run(), crashed, detail: fault.to_string() }
    }

    pub(crate) fn may_have_run(&self) -> bool {
        match self {
            Self::Whole(_) => true,
            Self::Broken { ran, .. } | Self::Stopped { ran, .. } => *ran,
        }
    }

    pub(crate) fn key_ending(&self) -> KeyEnding {
        match self {
            Self::Whole(_) => KeyEnding::Whole,
            _ if self.may_have_run() => KeyEnding::MayHaveRun,
            _ => KeyEnding::NotRun,
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

    /// The end as the asker is told. Where the sidecar stops, the request may
    /// go on elsewhere, as after any other failure.
    pub(crate) fn tell(self, charge: Option<ChargeRecord>) -> DispatchEnd {
        match (self, charge) {
            (Self::Whole(stop), Some(charge)) => DispatchEnd::Whole { charge, stop },
            (Self::Whole(_), None) => DispatchEnd::Broken {
                ran: None,
                crashed: false,
                detail: "the charge of a whole answer is missing".to_owned(),
            },
            (Self::Broken { crashed, detail, .. }, ran) => {
                DispatchEnd::Broken { ran, crashed, detail }
            }
            (Self::Stopped { reason: StopReason::SidecarStops, .. }, ran) => {
                let detail = "the sidecar stopped before the answer's end".to_owned();
                DispatchEnd::Broken { ran, crashed: false, detail }
            }
            (Self::Stopped { .. }, ran) => DispatchEnd::Cancelled { ran },
        }
    }
}

/// The work's result, unless the attempt is stopped first.
pub(crate) async fn unless_stopped<T>(
    stopped: Pin<&mut impl Future<Output = StopReason>>,
    work: impl Future<Output = T>,
) -> Result<T, StopReason> {
    let stop = async { Err(stopped.await) };
    let done = async { Ok(work.await) };
    stop.or(done).await
}
