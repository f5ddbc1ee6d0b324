//! Attempts at a reserved request: choose an upstream, dispatch, forward the answer, retry
//! elsewhere.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use sagespool_link::EventStream;
use sagespool_log::log_event;
use sagespool_messages::{
    CallTarget, CancelRequest, ChargeRecord, ClaimReply, ClaimRequest, DispatchEnd, DispatchEvent,
    DispatchRequest, FinishReason, KeyState, MemberRole, PeerRequest, RefusalNotice,
    ReservedCharge,
};
use sagespool_metrics::DropCause;
use sagespool_routing::{PlacementQuery, UpstreamPlacement};
use sagespool_types::{AttemptNumber, ClockTime, IncarnationId, RefusalReason, TokenCount};

use super::cache_updates::apply_cache_updates;
use super::forwarder::{AnswerForwarder, PieceOutcome};
use super::next_step::NextStep;
use super::{AnswerEvent, RequestSpec, home_client};
use crate::state::EntryState;

/// Attempts per request, including the first.
const MAX_ATTEMPTS: u32 = 4;
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between checks for an available upstream.
const UPSTREAM_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long a suspect waits for other suspects to complete.
const SUSPECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a request waits for any upstream to become available.
const UPSTREAM_TIMEOUT: Duration = Duration::from_secs(3);

/// Outcome of all attempts at a reserved request.
pub(super) enum AttemptEnd {
    /// The caller has the complete answer.
    Whole {
        /// The charge to bill.
        charge: ChargeRecord,
        /// Why it ended.
        stop: FinishReason,
    },
    /// Refused; `ran` is billed.
    Refused {
        /// The reason.
        notice: RefusalNotice,
        /// The charge of what ran, if anything did.
        ran: Option<ChargeRecord>,
    },
    /// Whether the request ran is unknown to this entry.
    OutcomeUnknown {
        /// The refusal for the caller.
        notice: RefusalNotice,
    },
    /// The sidecar can't use the grant; the request has to be reserved again.
    GrantUnusable,
    /// The key is claimed by another request.
    Known(KeyState),
}

/// Where a request may be placed, depending on crashes in which it was in flight.
enum SuspectPlacement {
    /// Not a suspect: any upstream.
    Anywhere,
    /// Only this placement.
    At(UpstreamPlacement),
    /// Other suspects have to complete first.
    Wait,
}

/// Outcome of one dispatch, before the next step is decided.
pub(super) enum DispatchOutcome {
    Ended(DispatchEnd),
    /// The link failed; `definitely_not_handled` is true if the request certainly did not reach the
    /// sidecar.
    LinkLost {
        definitely_not_handled: bool,
        detail: String,
    },
    /// The caller disconnected and the request has no key.
    CallerGone,
    /// The deadline passed while it ran.
    TimedOut,
}

/// The attempts at one reserved request.
pub(super) struct AttemptRun<'a> {
    pub(super) state: &'a Arc<EntryState>,
    pub(super) spec: &'a RequestSpec,
    pub(super) reserved: ReservedCharge,
    reserved_at: Option<SocketAddr>,
    pub(super) attempt: AttemptNumber,
    pub(super) tried: Vec<IncarnationId>,
    pub(super) forwarder: AnswerForwarder<'a>,
    /// The charge of the newest attempt that is known to have run.
    pub(super) ran: Option<ChargeRecord>,
    /// True once an attempt may have run and its usage was not reported.
    pub(super) maybe_ran: bool,
    /// Tokens used by attempts whose work was lost.
    pub(super) rerun_tokens: TokenCount,
}

impl<'a> AttemptRun<'a> {
    pub(super) fn new(
        state: &'a Arc<EntryState>,
        spec: &'a RequestSpec,
        answers: &'a Sender<AnswerEvent>,
        reserved: ReservedCharge,
        reserved_at: Option<SocketAddr>,
    ) -> Self {
        Self {
            state,
            spec,
            reserved,
            reserved_at,
            attempt: AttemptNumber(0),
            tried: Vec::new(),
            forwarder: AnswerForwarder::new(answers),
            ran: None,
            maybe_ran: false,
            rerun_tokens: TokenCount::ZERO,
        }
    }

    /// Retries until the answer is complete or no further attempt is allowed or useful.
    pub(super) async fn attempt_all(&mut self) -> AttemptEnd {
        let mut last_failure = String::from("no upstream accepted the request");
        while self.attempt.0 < MAX_ATTEMPTS {
            let placement = match self.choose().await {
                Ok(placement) => placement,
                Err(end) => return end,
            };
            self.attempt = self.attempt.next();
            if let Some(end) = self.claim(&placement).await {
                return end;
            }
            let outcome = self.dispatch(&placement).await;
            match self.next_step(&placement, outcome).await {
                NextStep::Ended(end) => return end,
                NextStep::RetryUncounted(detail) => {
                    last_failure = detail;
                    continue;
                }
                NextStep::Retry(detail) => last_failure = detail,
            }
            if self.attempt.0 < MAX_ATTEMPTS && !self.state.may_retry(&self.spec.service) {
                last_failure = format!("{last_failure}; the retry budget is exhausted");
                break;
            }
        }
        self.end_refused(RefusalReason::UpstreamFailed, last_failure)
    }

    fn time_left(&self) -> Duration {
        self.spec.time_left(ClockTime::now())
    }

    fn query(&self) -> PlacementQuery {
        let model = match &self.spec.target {
            CallTarget::Completion { model, .. } => Some(model.clone()),
            CallTarget::Service { .. } => None,
        };
        PlacementQuery::builder()
            .service(self.spec.service.clone())
            .maybe_model(model)
            .maybe_prefix(self.spec.prefix)
            .exclude(self.tried.clone())
            .may_probe(!self.spec.non_idempotent)
            .build()
    }

    /// The placement of a request that was in flight when an upstream crashed. Each suspect runs on
    /// an upstream without other suspects, so that the one that crashes upstreams does so alone,
    /// and the others complete and are cleared. If there are more suspects than upstreams, the
    /// later ones wait for the earlier ones, for a bounded time.
    fn place_suspect(&self, waited: Duration, now: ClockTime) -> SuspectPlacement {
        let Some(rank) = self.state.crashes.rerun_rank(self.spec.content, now) else {
            return SuspectPlacement::Anywhere;
        };
        let mut sidecars = self.state.members.live(MemberRole::Sidecar, now);
        sidecars.retain(|member| {
            let serves = member.serves.as_ref();
            let may_serve = serves.is_some_and(|serves| {
                let is_down = self.state.crashes.crashed_recently(&serves.upstream, now);
                serves.service == self.spec.service && serves.healthy && !is_down
            });
            may_serve && !self.tried.contains(&member.incarnation)
        });
        sidecars.sort_by(|one, other| one.instance.cmp(&other.instance));
        if rank >= sidecars.len() && waited < SUSPECT_TIMEOUT {
            return SuspectPlacement::Wait;
        }
        let Some(chosen) = sidecars.get(rank % sidecars.len().max(1)) else {
            return SuspectPlacement::Anywhere;
        };
        let chosen = chosen.incarnation;
        let mut query = self.query();
        let others = sidecars.iter().map(|member| member.incarnation);
        query.exclude.extend(others.filter(|incarnation| *incarnation != chosen));
        let placement = self.state.upstreams.choose(&query, now);
        placement.map_or(SuspectPlacement::Anywhere, SuspectPlacement::At)
    }

    /// Chooses an upstream: one not tried yet, else any, after a short wait for one to become
    /// available.
    async fn choose(&mut self) -> Result<UpstreamPlacement, AttemptEnd> {
        let started = ClockTime::now();
        loop {
            let now = ClockTime::now();
            if self.spec.time_left(now).is_zero() {
                return Err(
                    self.end_refused(RefusalReason::DeadlineExceeded, "the deadline passed".into())
                );
            }
            match self.place_suspect(now.since(started), now) {
                SuspectPlacement::At(placement) => return Ok(placement),
                SuspectPlacement::Anywhere => {
                    if let Some(placement) = self.state.upstreams.choose(&self.query(), now) {
                        return Ok(placement);
                    }
                }
                SuspectPlacement::Wait => {
                    smol::Timer::after(UPSTREAM_POLL_INTERVAL).await;
                    continue;
                }
            }
            self.tried.clear();
            if now.since(started) > UPSTREAM_TIMEOUT {
                let message = format!("no upstream of {} is available", self.spec.service);
                return Err(self.end_refused(RefusalReason::NoUpstream, message));
            }
            smol::Timer::after(UPSTREAM_POLL_INTERVAL).await;
        }
    }

    /// Places a keyed request at its sidecar before dispatch, so that a caller's retry through any
    /// entry finds it there instead of running it again.
    async fn claim(&mut self, placement: &UpstreamPlacement) -> Option<AttemptEnd> {
        let key = self.spec.key?;
        let claim = ClaimRequest {
            request: self.spec.request,
            branch: self.spec.branch.clone(),
            key,
            content: self.spec.content,
            charge: self.reserved.charge,
            attempt: self.attempt,
            sidecar: placement.sidecar,
            upstream: placement.upstream.clone(),
            durable: self.spec.non_idempotent,
            time_left: self.time_left(),
        };
        match home_client::claim(self.state, self.reserved_at, &claim).await {
            ClaimReply::Durable => None,
            ClaimReply::Known(known) => Some(AttemptEnd::Known(known)),
            ClaimReply::Refused(notice) => {
                Some(AttemptEnd::Refused { notice, ran: self.ran.take() })
            }
        }
    }

    fn request(&self, placement: &UpstreamPlacement) -> DispatchRequest {
        let mut target = self.spec.target.clone();
        if let CallTarget::Completion { resume, .. } = &mut target {
            *resume = self.forwarder.resume_point();
        }
        DispatchRequest {
            request: self.spec.request,
            attempt: self.attempt,
            sidecar: placement.sidecar,
            branch: self.spec.branch.clone(),
            reserved: self.reserved.clone(),
            key: self.spec.key,
            content: self.spec.content,
            non_idempotent: self.spec.non_idempotent,
            class: self.spec.class.clone(),
            priority: self.spec.priority,
            time_left: self.time_left(),
            target,
            body: self.spec.body.as_ref().clone(),
        }
    }

    async fn dispatch(&mut self, placement: &UpstreamPlacement) -> DispatchOutcome {
        let started = ClockTime::now();
        self.state.upstreams.started(placement, started);
        let request = PeerRequest::Dispatch(self.request(placement));
        let opened =
            self.state.link().open_stream(placement.address, &request, self.time_left()).await;
        let mut stream = match opened {
            Ok(stream) => stream,
            Err(error) => {
                let definitely_not_handled = error.definitely_not_handled();
                return DispatchOutcome::LinkLost {
                    definitely_not_handled,
                    detail: error.to_string(),
                };
            }
        };
        let outcome = self.forward_events(&mut stream, placement, started).await;
        let dropped = match outcome {
            DispatchOutcome::CallerGone => Some(DropCause::CallerGone),
            DispatchOutcome::TimedOut => Some(DropCause::Late),
            DispatchOutcome::Ended(_) | DispatchOutcome::LinkLost { .. } => None,
        };
        if let Some(cause) = dropped {
            self.note_dropped(cause, "the rest of the answer is discarded");
            self.cancel(placement).await;
        }
        outcome
    }

    async fn cancel(&self, placement: &UpstreamPlacement) {
        let cancel = CancelRequest { request: self.spec.request, attempt: self.attempt };
        let request = PeerRequest::Cancel(cancel);
        let sent = self.state.link().request(placement.address, &request, CANCEL_TIMEOUT).await;
        if let Err(error) = sent {
            log_event!(warn, "cancel-failed", request = self.spec.request, error = error);
        }
    }

    /// Forwards a sidecar's events until its end.
    async fn forward_events(
        &mut self,
        stream: &mut EventStream,
        placement: &UpstreamPlacement,
        started: ClockTime,
    ) -> DispatchOutcome {
        let mut first_token = None;
        let mut last_piece = started;
        loop {
            // The sidecar ends the attempt at its deadline by itself. The margin leaves time for
            // that event to arrive, and bounds the wait for a sidecar that does not respond.
            let limit = self.time_left() + Duration::from_millis(500);
            let next = futures_lite::future::or(async { Some(stream.next().await) }, async {
                smol::Timer::after(limit).await;
                None
            })
            .await;
            let Some(next) = next else {
                return DispatchOutcome::TimedOut;
            };
            let event = match next {
                Some(Ok(event)) => event,
                Some(Err(error)) => {
                    return DispatchOutcome::LinkLost {
                        definitely_not_handled: error.definitely_not_handled(),
                        detail: error.to_string(),
                    };
                }
                None => {
                    return DispatchOutcome::LinkLost {
                        definitely_not_handled: false,
                        detail: "the stream ended before the end event".into(),
                    };
                }
            };
            let now = ClockTime::now();
            let taken = match event {
                DispatchEvent::Started => true,
                DispatchEvent::CacheNews(update) => {
                    apply_cache_updates(&self.state.upstreams, placement.sidecar, &update, now);
                    true
                }
                DispatchEvent::Beside(count) => {
                    self.state.upstreams.observe_in_flight(placement.sidecar, count, now);
                    true
                }
                DispatchEvent::Head { status, headers } => {
                    self.forwarder.forward_head(status, headers).await
                }
                DispatchEvent::Piece { at, tokens, data } => {
                    if tokens > 0 {
                        self.observe_tokens(
                            &mut first_token,
                            &mut last_piece,
                            placement,
                            started,
                            now,
                        );
                    }
                    match self.forwarder.forward_piece(at, tokens, data).await {
                        PieceOutcome::Passed => true,
                        PieceOutcome::Repeated => {
                            self.note_dropped(DropCause::Duplicate, "duplicate piece");
                            true
                        }
                        PieceOutcome::Gap => {
                            return DispatchOutcome::LinkLost {
                                definitely_not_handled: false,
                                detail: "missing piece".into(),
                            };
                        }
                        PieceOutcome::CallerGone => false,
                    }
                }
                DispatchEvent::End(end) if !self.is_own(&end) => {
                    let detail = "received the end of another request's answer";
                    self.note_dropped(DropCause::WrongRequest, detail);
                    return DispatchOutcome::LinkLost {
                        definitely_not_handled: false,
                        detail: detail.into(),
                    };
                }
                DispatchEvent::End(end) => return DispatchOutcome::Ended(end),
            };
            if !taken && self.spec.key.is_none() {
                return DispatchOutcome::CallerGone;
            }
        }
    }

    /// True if an attempt's end belongs to this request's own charge.
    fn is_own(&self, end: &DispatchEnd) -> bool {
        let charge = match end {
            DispatchEnd::Whole { charge, .. } => Some(charge),
            DispatchEnd::Broken { ran, .. } | DispatchEnd::Cancelled { ran } => ran.as_ref(),
            DispatchEnd::Refused(_) | DispatchEnd::GrantUnusable(_) => None,
        };
        charge.is_none_or(|charge| charge.charge == self.reserved.charge)
    }

    /// Counts and logs an answer, or a part of one, that is discarded.
    fn note_dropped(&self, cause: DropCause, detail: &str) {
        self.state.metrics.count_dropped_answer(cause);
        let (request, attempt) = (self.spec.request, self.attempt);
        log_event!(
            warn,
            "answer-dropped",
            cause = cause,
            request = request,
            attempt = attempt,
            detail = detail
        );
    }

    fn observe_tokens(
        &self,
        first_token: &mut Option<Duration>,
        last_piece: &mut ClockTime,
        placement: &UpstreamPlacement,
        started: ClockTime,
        now: ClockTime,
    ) {
        if first_token.is_none() {
            let waited = now.since(started);
            *first_token = Some(waited);
            let whole_wait = now.since(self.spec.arrived);
            self.state.metrics.observe_first_token(&self.spec.class, &self.spec.branch, whole_wait);
            self.state.upstreams.first_token(placement, waited, now);
        } else {
            let gap = now.since(*last_piece);
            self.state.metrics.observe_between_tokens(&self.spec.class, &self.spec.branch, gap);
        }
        *last_piece = now;
    }
}
