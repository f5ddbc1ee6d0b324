//! The checks that a dispatch must pass before it runs.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use sagespool_messages::{
    CallTarget, DispatchEnd, DispatchEvent, DispatchRequest, RefusalNotice, UpstreamKind,
};
use sagespool_types::{ByteCount, ClockTime, RefusalReason, RunState};
use smol::Timer;

use crate::attempt::AdmittedAttempt;
use crate::idempotency_cache::{KeyAdmission, KeyedAttempt, KeyedOutcome};
use crate::run_completion::CompletionTarget;
use crate::run_service::ServiceTarget;
use crate::running::StopReason;
use crate::{AnswerLog, AnswerReader, ChargeRefusal, ChargeRequest, Dispatcher, KeyRefusal};

/// How long a new attempt waits until the engine has released an earlier one.
/// An engine answers a cancel call within milliseconds unless it is down.
const SUPERSEDE_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a dispatch starts no new attempt.
#[derive(Debug)]
pub(crate) enum NotAdmitted {
    /// An attempt at the request is running or its answer is cached.
    Known(AnswerReader),
    /// The sidecar does not accept the dispatch.
    Dispatch(DispatchRefusal),
    /// Its charge cannot be opened.
    Charge(ChargeRefusal),
    /// Its idempotency key is refused.
    Key(KeyRefusal),
}

/// Why a dispatch is refused regardless of its charge and key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DispatchRefusal {
    OtherIncarnation,
    Leaving,
    DeadlinePassed,
    OtherKind,
    NotCovered,
}

impl DispatchRefusal {
    fn reason(self) -> RefusalReason {
        match self {
            Self::OtherIncarnation | Self::OtherKind => RefusalReason::NoUpstream,
            Self::Leaving => RefusalReason::Leaving,
            Self::DeadlinePassed => RefusalReason::DeadlineExceeded,
            Self::NotCovered => RefusalReason::LimitReached,
        }
    }
}

impl fmt::Display for DispatchRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::OtherIncarnation => {
                "the request is addressed to another incarnation of the sidecar"
            }
            Self::Leaving => "the sidecar accepts no new requests",
            Self::DeadlinePassed => "the deadline passed before the request arrived",
            Self::OtherKind => "the request is for another kind of upstream",
            Self::NotCovered => "the reservation does not cover the request",
        })
    }
}

impl NotAdmitted {
    /// The reader of the known answer, or of the refusal.
    pub(crate) fn into_reader(self) -> AnswerReader {
        match self {
            Self::Known(reader) => reader,
            Self::Dispatch(refusal) => {
                refusal_reader(refused(refusal.reason(), RunState::NotRun, refusal.to_string()))
            }
            Self::Charge(refusal) => refusal_reader(charge_refused(refusal)),
            Self::Key(refusal) => refusal_reader(key_refused(refusal)),
        }
    }
}

impl Dispatcher {
    /// Admits a dispatch and returns its attempt with a reader of the answer.
    pub(crate) async fn admit(
        &self,
        dispatch: DispatchRequest,
        now: ClockTime,
    ) -> Result<(AdmittedAttempt, AnswerReader), NotAdmitted> {
        // Registered before `leaving` is checked. A stop sets `leaving` first and
        // then waits until no attempt is registered, so it misses none.
        let registration = self.running.add(&dispatch, now);
        self.check_dispatch(&dispatch).map_err(NotAdmitted::Dispatch)?;
        let keyed = KeyedAttempt::of(&dispatch);
        let max_bytes = keyed.map_or(ByteCount::ZERO, |_| self.keys.max_answer_bytes());
        let log = AnswerLog::new(max_bytes);
        match keyed {
            Some(keyed) => self.admit_key(&keyed, &dispatch, &log).await?,
            None => self.supersede(&dispatch).await,
        }
        if let Err(refusal) = self.charges.open(&charge_request(&dispatch), now) {
            self.release_key(keyed, &log, refusal, now);
            return Err(NotAdmitted::Charge(refusal));
        }
        let reader = begin_log(&log, &dispatch);
        Ok((AdmittedAttempt::new(dispatch, log, registration, &self.metrics, now), reader))
    }

    /// The checks that use neither the charge registry nor the idempotency cache.
    fn check_dispatch(&self, dispatch: &DispatchRequest) -> Result<(), DispatchRefusal> {
        if dispatch.sidecar != self.sidecar {
            return Err(DispatchRefusal::OtherIncarnation);
        }
        if self.rejects_new() {
            return Err(DispatchRefusal::Leaving);
        }
        if dispatch.time_left.is_zero() {
            return Err(DispatchRefusal::DeadlinePassed);
        }
        let reserved = dispatch.reserved.amount;
        let (kind, is_covered) = match &dispatch.target {
            CallTarget::Completion { .. } => {
                let meter =
                    CompletionTarget::of(&dispatch.target).map(|target| target.meter(reserved));
                (UpstreamKind::Engine, meter.flatten().is_some())
            }
            CallTarget::Service { .. } => {
                let price = ServiceTarget::of(&dispatch.target).map(|target| target.price());
                (UpstreamKind::Service, price.is_some_and(|price| price <= reserved))
            }
        };
        if kind != self.kind {
            return Err(DispatchRefusal::OtherKind);
        }
        if is_covered { Ok(()) } else { Err(DispatchRefusal::NotCovered) }
    }

    /// Registers a request's key, or finds the answer of an earlier attempt at
    /// the same request. The answer of another request belongs to another
    /// charge, so a caller has to attach to it.
    async fn admit_key(
        &self,
        keyed: &KeyedAttempt,
        dispatch: &DispatchRequest,
        log: &Arc<AnswerLog>,
    ) -> Result<(), NotAdmitted> {
        let mut admission = self.keys.admit(keyed, log);
        if let KeyAdmission::Known { log: known, request } = &admission
            && *request == keyed.request
        {
            if let Some(reader) = known_reader(known, dispatch) {
                return Err(NotAdmitted::Known(reader));
            }
            if !keyed.non_idempotent {
                self.supersede(dispatch).await;
                admission = self.keys.admit(keyed, log);
            }
        }
        match admission {
            KeyAdmission::Admitted => Ok(()),
            KeyAdmission::Known { request, .. } => {
                Err(NotAdmitted::Key(KeyRefusal::HeldByOther { request }))
            }
            KeyAdmission::Refused(refusal) => Err(NotAdmitted::Key(refusal)),
        }
    }

    /// Stops earlier attempts at the same request, which its entry has abandoned,
    /// and waits until the engine has released them. The engine's cancel call
    /// names only the request and would cancel the new attempt. Earlier attempts
    /// at a non-idempotent request go on; the charge registry refuses the new one.
    async fn supersede(&self, dispatch: &DispatchRequest) {
        if dispatch.non_idempotent {
            return;
        }
        for earlier in self.running.earlier_attempts(dispatch.request, dispatch.attempt) {
            earlier.stop(StopReason::Superseded);
            let timeout = async {
                Timer::after(dispatch.time_left.min(SUPERSEDE_TIMEOUT)).await;
            };
            earlier.released().or(timeout).await;
        }
    }

    /// Releases the key of a refused attempt, and ends the log for callers that attached meanwhile.
    fn release_key(
        &self,
        keyed: Option<KeyedAttempt>,
        log: &AnswerLog,
        refusal: ChargeRefusal,
        now: ClockTime,
    ) {
        if let Some(keyed) = keyed {
            self.keys.end_attempt(&keyed, KeyedOutcome::NotRun, now);
        }
        let detail = refusal.to_string();
        let end = DispatchEnd::Broken { ran: None, crashed: false, detail };
        log.push(DispatchEvent::End(end));
    }
}

fn charge_request(dispatch: &DispatchRequest) -> ChargeRequest {
    ChargeRequest {
        reserved: dispatch.reserved.clone(),
        branch: dispatch.branch.clone(),
        request: dispatch.request,
        key: dispatch.key,
        attempt: dispatch.attempt,
        non_idempotent: dispatch.non_idempotent,
    }
}

/// Begins the log of a new attempt and returns a reader for its requester.
///
/// A resumed attempt produces only the remainder of an answer. Callers that
/// attach to its key need all of it, so the part that the requester already has
/// is logged first.
fn begin_log(log: &Arc<AnswerLog>, dispatch: &DispatchRequest) -> AnswerReader {
    if let (Some(_), CallTarget::Completion { resume: Some(resume), .. }) =
        (dispatch.key, &dispatch.target)
    {
        let data = resume.text.clone().into_bytes();
        log.push(DispatchEvent::Piece { at: 0, tokens: resume.tokens, data });
    }
    let reader = log.reader_of_new();
    log.push(DispatchEvent::Started);
    reader
}

/// A reader of a known answer from the requester's resume point; `None` if it cannot start there.
fn known_reader(log: &Arc<AnswerLog>, dispatch: &DispatchRequest) -> Option<AnswerReader> {
    match &dispatch.target {
        CallTarget::Completion { resume: Some(resume), .. } if resume.tokens > 0 => {
            log.resume_reader(resume.tokens, &resume.text)
        }
        _ => log.reader(),
    }
}

/// A reader of the refusal for an attach to a key without an answer.
pub(crate) fn attach_refused(refusal: KeyRefusal) -> AnswerReader {
    refusal_reader(key_refused(refusal))
}

fn refusal_reader(end: DispatchEnd) -> AnswerReader {
    let log = AnswerLog::with_end(DispatchEvent::End(end));
    log.reader().expect("a log of one event is never trimmed")
}

fn refused(reason: RefusalReason, run_state: RunState, message: String) -> DispatchEnd {
    DispatchEnd::Refused(RefusalNotice { reason, run_state, message, retry_after: None })
}

/// Only the refusals that concern the grant report it as unusable. If the charge
/// has already run, a retry with another grant would run the request twice. If
/// the sidecar is not ready, the home would drop a grant that is valid elsewhere.
fn charge_refused(refusal: ChargeRefusal) -> DispatchEnd {
    let message = refusal.to_string();
    match refusal {
        ChargeRefusal::NotStarted => refused(RefusalReason::NotReady, RunState::NotRun, message),
        ChargeRefusal::GrantTooOld { .. }
        | ChargeRefusal::GrantSealed
        | ChargeRefusal::ChargeSealed => DispatchEnd::GrantUnusable(message),
        ChargeRefusal::AlreadyRun { .. } => {
            refused(RefusalReason::OutcomeUnknown, RunState::Unknown, message)
        }
    }
}

fn key_refused(refusal: KeyRefusal) -> DispatchEnd {
    let (reason, run_state) = match refusal {
        KeyRefusal::Fenced => (RefusalReason::NoUpstream, RunState::NotRun),
        KeyRefusal::OtherContent => (RefusalReason::KeyReused, RunState::NotRun),
        KeyRefusal::AnswerLost { .. } | KeyRefusal::HeldByOther { .. } | KeyRefusal::UnknownKey => {
            (RefusalReason::OutcomeUnknown, RunState::Unknown)
        }
    };
    refused(reason, run_state, refusal.to_string())
}
