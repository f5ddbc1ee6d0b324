//! The checks that a dispatch passes before it runs.

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
use crate::key_memory::{KeyAdmission, KeyEnding, KeyWish};
use crate::run_completion::CompletionTarget;
use crate::run_service::ServiceTarget;
use crate::running::StopReason;
use crate::{AnswerLog, AnswerReader, ChargeRefusal, ChargeWish, Dispatcher, KeyRefusal};

/// How long a new attempt waits for the engine to be free of an earlier one:
/// an engine answers a cancel call in milliseconds, or is down.
const SUPERSEDE_LIMIT: Duration = Duration::from_secs(2);

/// Why a dispatch starts no attempt.
#[derive(Debug)]
pub(crate) enum AdmissionEnd {
    /// Its answer runs or is kept already.
    Known(AnswerReader),
    /// This sidecar doesn't run it.
    Place(PlaceRefusal),
    /// Its charge can't be used here.
    Charge(ChargeRefusal),
    /// Its key can't.
    Key(KeyRefusal),
}

/// Why a dispatch is refused whatever its charge and key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlaceRefusal {
    OtherIncarnation,
    Leaving,
    DeadlinePassed,
    OtherKind,
    NotCovered,
}

impl PlaceRefusal {
    fn reason(self) -> RefusalReason {
        match self {
            Self::OtherIncarnation | Self::OtherKind => RefusalReason::NoUpstream,
            Self::Leaving => RefusalReason::Leaving,
            Self::DeadlinePassed => RefusalReason::DeadlineExceeded,
            Self::NotCovered => RefusalReason::LimitReached,
        }
    }
}

impl fmt::Display for PlaceRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::OtherIncarnation => "another incarnation of the sidecar was meant",
            Self::Leaving => "the sidecar takes nothing new",
            Self::DeadlinePassed => "the deadline passed before the request came",
            Self::OtherKind => "the upstream is of another kind",
            Self::NotCovered => "the reservation doesn't cover the call",
        })
    }
}

impl AdmissionEnd {
    /// The answer's reader for who asked.
    pub(crate) fn reader(self) -> AnswerReader {
        match self {
            Self::Known(reader) => reader,
            Self::Place(refusal) => {
                refusal_reader(refused(refusal.reason(), RunState::NotRun, refusal.to_string()))
            }
            Self::Charge(refusal) => refusal_reader(charge_refused(refusal)),
            Self::Key(refusal) => refusal_reader(key_refused(refusal)),
        }
    }
}

impl Dispatcher {
    /// Lets a dispatch in, with the reader of its answer, or says why not.
    pub(crate) async fn admit(
        &self,
        dispatch: DispatchRequest,
        now: ClockTime,
    ) -> Result<(AdmittedAttempt, AnswerReader), AdmissionEnd> {
        // Listed before the check of `leaving`: a stop sets that first and then
        // waits until nothing is listed, so none slips in between.
        let place = self.running.add(&dispatch, now);
        self.check_place(&dispatch).map_err(AdmissionEnd::Place)?;
        let wish = KeyWish::of(&dispatch);
        let longest = wish.map_or(ByteCount::ZERO, |_| self.keys.longest_answer());
        let log = AnswerLog::new(longest);
        match wish {
            Some(wish) => self.take_key(&wish, &dispatch, &log).await?,
            None => self.supersede(&dispatch).await,
        }
        if let Err(refusal) = self.charges.open(&charge_wish(&dispatch), now) {
            self.give_up_key(wish, &log, refusal, now);
            return Err(AdmissionEnd::Charge(refusal));
        }
        let reader = begin_log(&log, &dispatch);
        Ok((AdmittedAttempt::new(dispatch, log, place, &self.metrics, now), reader))
    }

    /// The checks that need no state but the sidecar's own.
    fn check_place(&self, dispatch: &DispatchRequest) -> Result<(), PlaceRefusal> {
        if dispatch.sidecar != self.sidecar {
            return Err(PlaceRefusal::OtherIncarnation);
        }
        if self.is_closed() {
            return Err(PlaceRefusal::Leaving);
        }
        if dispatch.time_left.is_zero() {
            return Err(PlaceRefusal::DeadlinePassed);
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
            return Err(PlaceRefusal::OtherKind);
        }
        if is_covered { Ok(()) } else { Err(PlaceRefusal::NotCovered) }
    }

    /// Takes a request's key, or finds the answer that an earlier attempt at
    /// the same request makes or has made. Another request's answer belongs to
    /// another charge, so its asker has to attach to it.
    async fn take_key(
        &self,
        wish: &KeyWish,
        dispatch: &DispatchRequest,
        log: &Arc<AnswerLog>,
    ) -> Result<(), AdmissionEnd> {
        let mut admission = self.keys.begin(wish, log);
        if let KeyAdmission::Known { log: known, request } = &admission
            && *request == wish.request
        {
            if let Some(reader) = known_reader(known, dispatch) {
                return Err(AdmissionEnd::Known(reader));
            }
            if !wish.non_idempotent {
                self.supersede(dispatch).await;
                admission = self.keys.begin(wish, log);
            }
        }
        match admission {
            KeyAdmission::Run => Ok(()),
            KeyAdmission::Known { request, .. } => {
                Err(AdmissionEnd::Key(KeyRefusal::OfOther { request }))
            }
            KeyAdmission::Refused(refusal) => Err(AdmissionEnd::Key(refusal)),
        }
    }

    /// Stops earlier attempts at the same request, whose entry has given them
    /// up, and waits until the engine is free of them: its cancel call names
    /// the request only and would hit the new attempt. An earlier attempt at a
    /// non-idempotent request stays, and the charge book refuses the new one.
    async fn supersede(&self, dispatch: &DispatchRequest) {
        if dispatch.non_idempotent {
            return;
        }
        for earlier in self.running.earlier(dispatch.request, dispatch.attempt) {
            earlier.stop(StopReason::Superseded);
            let limit = async {
                Timer::after(dispatch.time_left.min(SUPERSEDE_LIMIT)).await;
            };
            earlier.over().or(limit).await;
        }
    }

    /// Frees a key whose attempt was refused; who attached meanwhile is told.
    fn give_up_key(
        &self,
        wish: Option<KeyWish>,
        log: &AnswerLog,
        refusal: ChargeRefusal,
        now: ClockTime,
    ) {
        if let Some(wish) = wish {
            self.keys.end(&wish, KeyEnding::NotRun, now);
        }
        let detail = refusal.to_string();
        let end = DispatchEnd::Broken { ran: None, crashed: false, detail };
        log.push(DispatchEvent::End(end));
    }
}

fn charge_wish(dispatch: &DispatchRequest) -> ChargeWish {
    ChargeWish {
        reserved: dispatch.reserved.clone(),
        branch: dispatch.branch.clone(),
        request: dispatch.request,
        key: dispatch.key,
        attempt: dispatch.attempt,
        non_idempotent: dispatch.non_idempotent,
    }
}

/// Begins a new attempt's log, with the reader for its asker.
///
/// A resumed attempt makes only the rest of an answer. Who attaches to its key
/// wants all of it, so the part that the asker has goes into the log first.
fn begin_log(log: &Arc<AnswerLog>, dispatch: &DispatchRequest) -> AnswerReader {
    if let (Some(_), CallTarget::Completion { resume: Some(resume), .. }) =
        (dispatch.key, &dispatch.target)
    {
        let data = resume.text.clone().into_bytes();
        log.push(DispatchEvent::Piece { at: 0, tokens: resume.tokens, data });
    }
    let reader = log.follower();
    log.push(DispatchEvent::Started);
    reader
}

/// A reader of an answer that runs or is kept, from where the asker stands.
fn known_reader(log: &Arc<AnswerLog>, dispatch: &DispatchRequest) -> Option<AnswerReader> {
    match &dispatch.target {
        CallTarget::Completion { resume: Some(resume), .. } if resume.tokens > 0 => {
            log.reader_from(resume.tokens, &resume.text)
        }
        _ => log.reader(),
    }
}

/// The reader for who attaches to a key that gives no answer.
pub(crate) fn attach_refused(refusal: KeyRefusal) -> AnswerReader {
    refusal_reader(key_refused(refusal))
}

fn refusal_reader(end: DispatchEnd) -> AnswerReader {
    let log = AnswerLog::ended(DispatchEvent::End(end));
    log.reader().expect("a log of one event is kept")
}

fn refused(reason: RefusalReason, run_state: RunState, message: String) -> DispatchEnd {
    DispatchEnd::Refused(RefusalNotice { reason, run_state, message, retry_after: None })
}

/// A charge that ran here before is no matter of the grant: another one would
/// run the request twice. Nor is a sidecar that has yet to start: the home
/// would drop a grant that is good elsewhere.
fn charge_refused(refusal: ChargeRefusal) -> DispatchEnd {
    let message = refusal.to_string();
    match refusal {
        ChargeRefusal::NotStarted => refused(RefusalReason::NotReady, RunState::NotRun, message),
        ChargeRefusal::GrantTooOld { .. }
        | ChargeRefusal::GrantSealed
        | ChargeRefusal::ChargeSealed => DispatchEnd::GrantUnusable(message),
        ChargeRefusal::RunBefore { .. } => {
            refused(RefusalReason::OutcomeUnknown, RunState::Unknown, message)
        }
    }
}

fn key_refused(refusal: KeyRefusal) -> DispatchEnd {
    let (reason, run_state) = match refusal {
        KeyRefusal::Fenced => (RefusalReason::NoUpstream, RunState::NotRun),
        KeyRefusal::OtherContent => (RefusalReason::KeyReused, RunState::NotRun),
        KeyRefusal::AnswerLost { .. } | KeyRefusal::OfOther { .. } | KeyRefusal::NeverSeen => {
            (RefusalReason::OutcomeUnknown, RunState::Unknown)
        }
    };
    refused(reason, run_state, refusal.to_string())
}
