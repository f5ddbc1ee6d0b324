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

use super::cache_news::take_cache_news;
use super::judge::Judgement;
use super::passage::{AnswerPassage, PieceTaken};
use super::{AnswerEvent, RequestOrder, homes};
use crate::state::EntryState;

/// Attempts per request, including the first.
const MOST_ATTEMPTS: u32 = 4;
const CANCEL_LIMIT: Duration = Duration::from_secs(2);
/// Pause between checks for an available upstream.
const UPSTREAM_PAUSE: Duration = Duration::from_millis(50);
/// How long a suspect waits for other suspects to complete.
const SUSPECT_PATIENCE: Duration = Duration::from_secs(2);
/// How long a request waits for any upstream to become available.
const UPSTREAM_PATIENCE: Duration = Duration::from_secs(3);

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
    Unsure {
        /// The refusal for the caller.
        notice: RefusalNotice,
    },
    /// The sidecar can't use the grant; the request has to be reserved again.
    GrantUnusable,
    /// The key is claimed by another request.
    Known(KeyState),
}

/// Where a request may be placed, depending on crashes in which it was in flight.
enum ApartPlace {
    /// Not a suspect: any upstream.
    Anywhere,
    /// Only this placement.
    At(UpstreamPlacement),
    /// Other suspects have to complete first.
    Later,
}

/// Outcome of one dispatch, before the next step is decided.
pub(super) enum DispatchOutcome {
    Ended(DispatchEnd),
    /// The link failed; `surely_not_sent` is true if the request certainly did not reach the
    /// sidecar.
    LinkLost {
        surely_not_sent: bool,
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
    pub(super) order: &'a RequestOrder,
    pub(super) reserved: ReservedCharge,
    reserved_at: Option<SocketAddr>,
    pub(super) attempt: AttemptNumber,
    pub(super) tried: Vec<IncarnationId>,
    pub(super) passage: AnswerPassage<'a>,
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
        order: &'a RequestOrder,
        answers: &'a Sender<AnswerEvent>,
        reserved: ReservedCharge,
        reserved_at: Option<SocketAddr>,
    ) -> Self {
        Self {
            state,
            order,
            reserved,
            reserved_at,
            attempt: AttemptNumber(0),
            tried: Vec::new(),
            passage: AnswerPassage::new(answers),
            ran: None,
            maybe_ran: false,
            rerun_tokens: TokenCount::ZERO,
        }
    }

    /// Retries until the answer is complete or no further attempt is allowed or useful.
    pub(super) async fn drive(&mut self) -> AttemptEnd {
        let mut last_failure = String::from("no upstream accepted the request");
        while self.attempt.0 < MOST_ATTEMPTS {
            let placement = match self.choose().await {
                Ok(placement) => placement,
                Err(end) => return end,
            };
            self.attempt = self.attempt.next();
            if let Some(end) = self.claim(&placement).await {
                return end;
            }
            let outcome = self.dispatch(&placement).await;
            match self.judge(&placement, outcome).await {
                Judgement::Ended(end) => return end,
                Judgement::RunAgain(detail) => {
                    last_failure = detail;
                    continue;
                }
                Judgement::TryElsewhere(detail) => last_failure = detail,
            }
            if self.attempt.0 < MOST_ATTEMPTS && !self.state.may_retry(&self.order.service) {
                last_failure = format!("{last_failure}; the retry budget is exhausted");
                break;
            }
        }
        self.give_up(RefusalReason::UpstreamFailed, last_failure)
    }

    fn time_left(&self) -> Duration {
        self.order.time_left(ClockTime::now())
    }

    fn query(&self) -> PlacementQuery {
        let model = match &self.order.target {
            CallTarget::Completion { model, .. } => Some(model.clone()),
            CallTarget::Service { .. } => None,
        };
        PlacementQuery::builder()
            .service(self.order.service.clone())
            .maybe_model(model)
            .maybe_prefix(self.order.prefix)
            .exclude(self.tried.clone())
            .may_probe(!self.order.non_idempotent)
            .build()
    }

    /// The placement of a request that was in flight when an upstream crashed. Each suspect runs on
    /// an upstream without other suspects, so that the one that crashes upstreams does so alone,
    /// and the others complete and are cleared. If there are more suspects than upstreams, the
    /// later ones wait for the earlier ones, for a bounded time.
    fn place_apart(&self, waited: Duration, now: ClockTime) -> ApartPlace {
        let Some(rank) = self.state.crashes.rerun_rank(self.order.content, now) else {
            return ApartPlace::Anywhere;
        };
        let mut sidecars = self.state.members.live(MemberRole::Sidecar, now);
        sidecars.retain(|member| {
            let serves = member.serves.as_ref();
            let may_serve = serves.is_some_and(|serves| {
                let is_down = self.state.crashes.crashed_recently(&serves.upstream, now);
                serves.service == self.order.service && serves.healthy && !is_down
            });
            may_serve && !self.tried.contains(&member.incarnation)
        });
        sidecars.sort_by(|one, other| one.instance.cmp(&other.instance));
        if rank >= sidecars.len() && waited < SUSPECT_PATIENCE {
            return ApartPlace::Later;
        }
        let Some(chosen) = sidecars.get(rank % sidecars.len().max(1)) else {
            return ApartPlace::Anywhere;
        };
        let chosen = chosen.incarnation;
        let mut query = self.query();
        let others = sidecars.iter().map(|member| member.incarnation);
        query.exclude.extend(others.filter(|incarnation| *incarnation != chosen));
        let placement = self.state.upstreams.choose(&query, now);
        placement.map_or(ApartPlace::Anywhere, ApartPlace::At)
    }

    /// Chooses an upstream: one not tried yet, else any, after a short wait for one to become
    /// available.
    async fn choose(&mut self) -> Result<UpstreamPlacement, AttemptEnd> {
        let started = ClockTime::now();
        loop {
            let now = ClockTime::now();
            if self.order.time_left(now).is_zero() {
                return Err(
                    self.give_up(RefusalReason::DeadlineExceeded, "the deadline passed".into())
                );
            }
            match self.place_apart(now.since(started), now) {
                ApartPlace::At(placement) => return Ok(placement),
                ApartPlace::Anywhere => {
                    if let Some(placement) = self.state.upstreams.choose(&self.query(), now) {
                        return Ok(placement);
                    }
                }
                ApartPlace::Later => {
                    smol::Timer::after(UPSTREAM_PAUSE).await;
                    continue;
                }
            }
            self.tried.clear();
            if now.since(started) > UPSTREAM_PATIENCE {
                let message = format!("no upstream of {} is available", self.order.service);
                return Err(self.give_up(RefusalReason::NoUpstream, message));
            }
            smol::Timer::after(UPSTREAM_PAUSE).await;
        }
    }

    /// Places a keyed request at its sidecar before dispatch, so that a caller's retry through any
    /// entry finds it there instead of running it again.
    async fn claim(&mut self, placement: &UpstreamPlacement) -> Option<AttemptEnd> {
        let key = self.order.key?;
        let claim = ClaimRequest {
            request: self.order.request,
            branch: self.order.branch.clone(),
            key,
            content: self.order.content,
            charge: self.reserved.charge,
            attempt: self.attempt,
            sidecar: placement.sidecar,
            upstream: placement.upstream.clone(),
            durable: self.order.non_idempotent,
            time_left: self.time_left(),
        };
        match homes::claim(self.state, self.reserved_at, &claim).await {
            ClaimReply::Durable => None,
            ClaimReply::Known(known) => Some(AttemptEnd::Known(known)),
            ClaimReply::Refused(notice) => {
                Some(AttemptEnd::Refused { notice, ran: self.ran.take() })
            }
        }
    }

    fn request(&self, placement: &UpstreamPlacement) -> DispatchRequest {
        let mut target = self.order.target.clone();
        if let CallTarget::Completion { resume, .. } = &mut target {
            *resume = self.passage.resume_point();
        }
        DispatchRequest {
            request: self.order.request,
            attempt: self.attempt,
            sidecar: placement.sidecar,
            branch: self.order.branch.clone(),
            reserved: self.reserved.clone(),
            key: self.order.key,
            content: self.order.content,
            non_idempotent: self.order.non_idempotent,
            class: self.order.class.clone(),
            priority: self.order.priority,
            time_left: self.time_left(),
            target,
            body: self.order.body.as_ref().clone(),
        }
    }

    async fn dispatch(&mut self, placement: &UpstreamPlacement) -> DispatchOutcome {
        let started = ClockTime::now();
        self.state.upstreams.started(placement, started);
        let request = PeerRequest::Dispatch(self.request(placement));
        let opened = self.state.link().open(placement.address, &request, self.time_left()).await;
        let mut stream = match opened {
            Ok(stream) => stream,
            Err(error) => {
                let surely_not_sent = error.surely_not_sent();
                return DispatchOutcome::LinkLost { surely_not_sent, detail: error.to_string() };
            }
        };
        let outcome = self.pass_on(&mut stream, placement, started).await;
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
        let cancel = CancelRequest { request: self.order.request, attempt: self.attempt };
        let request = PeerRequest::Cancel(cancel);
        let told = self.state.link().ask(placement.address, &request, CANCEL_LIMIT).await;
        if let Err(error) = told {
            log_event!(warn, "cancel-untold", request = self.order.request, error = error);
        }
    }

    /// Forwards a sidecar's events until its end.
    async fn pass_on(
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
                        surely_not_sent: error.surely_not_sent(),
                        detail: error.to_string(),
                    };
                }
                None => {
                    return DispatchOutcome::LinkLost {
                        surely_not_sent: false,
                        detail: "the stream ended before the end event".into(),
                    };
                }
            };
            let now = ClockTime::now();
            let taken = match event {
                DispatchEvent::Started => true,
                DispatchEvent::CacheNews(news) => {
                    take_cache_news(&self.state.upstreams, placement.sidecar, &news, now);
                    true
                }
                DispatchEvent::Beside(count) => {
                    self.state.upstreams.observe_in_flight(placement.sidecar, count, now);
                    true
                }
                DispatchEvent::Head { status, headers } => {
                    self.passage.take_head(status, headers).await
                }
                DispatchEvent::Piece { at, tokens, data } => {
                    if tokens > 0 {
                        self.observe_piece(
                            &mut first_token,
                            &mut last_piece,
                            placement,
                            started,
                            now,
                        );
                    }
                    match self.passage.take_piece(at, tokens, data).await {
                        PieceTaken::Passed => true,
                        PieceTaken::Repeated => {
                            self.note_dropped(DropCause::Duplicate, "duplicate piece");
                            true
                        }
                        PieceTaken::Gap => {
                            return DispatchOutcome::LinkLost {
                                surely_not_sent: false,
                                detail: "missing piece".into(),
                            };
                        }
                        PieceTaken::CallerGone => false,
                    }
                }
                DispatchEvent::End(end) if !self.is_own(&end) => {
                    let detail = "received the end of another request's answer";
                    self.note_dropped(DropCause::Crossed, detail);
                    return DispatchOutcome::LinkLost {
                        surely_not_sent: false,
                        detail: detail.into(),
                    };
                }
                DispatchEvent::End(end) => return DispatchOutcome::Ended(end),
            };
            if !taken && self.order.key.is_none() {
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
        self.state.metrics.dropped_answer(cause);
        let (request, attempt) = (self.order.request, self.attempt);
        log_event!(
            warn,
            "answer-dropped",
            cause = cause,
            request = request,
            attempt = attempt,
            detail = detail
        );
    }

    fn observe_piece(
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
            let whole_wait = now.since(self.order.arrived);
            self.state.metrics.observe_first_token(
                &self.order.class,
                &self.order.branch,
                whole_wait,
            );
            self.state.upstreams.first_token(placement, waited, now);
        } else {
            let gap = now.since(*last_piece);
            self.state.metrics.observe_between_tokens(&self.order.class, &self.order.branch, gap);
        }
        *last_piece = now;
    }
}
