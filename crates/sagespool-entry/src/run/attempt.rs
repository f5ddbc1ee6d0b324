//! Attempts at a paid request: choose an upstream, dispatch, pass on, try elsewhere.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use sagespool_link::EventStream;
use sagespool_log::log_event;
use sagespool_messages::{
    CallTarget, CancelRequest, ChargeRecord, ClaimReply, ClaimRequest, CrashReport, DispatchEnd,
    DispatchEvent, DispatchRequest, KeyState, MemberRole, PeerRequest, RefusalNotice,
    ReservedCharge, ResumePoint, StopCause,
};
use sagespool_routing::{AttemptOutcome, AttemptResult, RouteChoice, RouteWish};
use sagespool_types::{
    AttemptNumber, ClockTime, IncarnationId, RefusalReason, RequestId, RunState, TokenCount,
};

use super::cache_news::take_cache_news;
use super::{AnswerEvent, RequestOrder, homes};
use crate::state::EntryState;

/// Attempts at one request, the first one included.
const MOST_ATTEMPTS: u32 = 4;
const CANCEL_LIMIT: Duration = Duration::from_secs(2);
/// How long a request waits, at a time, for an upstream to come back.
const UPSTREAM_PAUSE: Duration = Duration::from_millis(50);
/// Every request in flight at a crash is reported within this time. Only then are the suspects'
/// ranks the same everywhere, so that none runs again beside the one that took the upstream down.
const SUSPECT_PAUSE: Duration = Duration::from_millis(150);
/// A request waits so long at most for any upstream at all.
const UPSTREAM_PATIENCE: Duration = Duration::from_secs(3);

/// How the attempts at a reserved request ended.
pub(super) enum AttemptEnd {
    /// The caller has the whole answer.
    Whole {
        /// What is billed.
        charge: ChargeRecord,
        /// Why it ended.
        stop: StopCause,
    },
    /// Refused; `ran` is billed.
    Refused {
        /// Why.
        notice: RefusalNotice,
        /// What ran, if anything did.
        ran: Option<ChargeRecord>,
    },
    /// Nobody here can tell what ran.
    Unsure {
        /// What the caller is told.
        notice: RefusalNotice,
    },
    /// The sidecar can't use the grant: reserve again.
    GrantUnusable,
    /// The key turned out to be claimed by another request.
    Known(KeyState),
}

/// What one dispatch came to, before it is decided what follows.
enum DispatchOutcome {
    Ended(DispatchEnd),
    /// The link broke; the flag says that the request surely never reached the sidecar.
    LinkLost {
        surely_not_sent: bool,
        detail: String,
    },
    /// The caller went away and the request has no key.
    CallerGone,
    /// The deadline passed while it ran.
    TimedOut,
}

/// The attempts at one reserved request.
pub(super) struct AttemptRun<'a> {
    state: &'a Arc<EntryState>,
    order: &'a RequestOrder,
    answers: &'a Sender<AnswerEvent>,
    reserved: ReservedCharge,
    reserved_at: Option<SocketAddr>,
    attempt: AttemptNumber,
    tried: Vec<IncarnationId>,
    /// Tokens that the caller has, and their text, for a stream that breaks.
    delivered_tokens: u32,
    delivered_text: Vec<u8>,
    /// Bytes of a service's answer that the caller has.
    delivered_bytes: u32,
    head_sent: bool,
    /// The newest thing known to have run.
    ran: Option<ChargeRecord>,
    /// True once an attempt may have run without anybody having told how far.
    maybe_ran: bool,
    /// What attempts used whose work was lost.
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
            answers,
            reserved,
            reserved_at,
            attempt: AttemptNumber(0),
            tried: Vec::new(),
            delivered_tokens: 0,
            delivered_text: Vec::new(),
            delivered_bytes: 0,
            head_sent: false,
            ran: None,
            maybe_ran: false,
            rerun_tokens: TokenCount::ZERO,
        }
    }

    /// Tries until the answer is whole, or no further attempt is allowed or makes sense.
    pub(super) async fn drive(&mut self) -> AttemptEnd {
        let mut last_failure = String::from("no upstream took it");
        while self.attempt.0 < MOST_ATTEMPTS {
            let choice = match self.choose().await {
                Ok(choice) => choice,
                Err(end) => return end,
            };
            self.attempt = self.attempt.next();
            if let Some(end) = self.claim(&choice).await {
                return end;
            }
            let outcome = self.dispatch(&choice).await;
            match self.judge(&choice, outcome).await {
                Judgement::Ended(end) => return end,
                Judgement::TryElsewhere(detail) => last_failure = detail,
            }
            if self.attempt.0 < MOST_ATTEMPTS && !self.state.may_retry(&self.order.service) {
                last_failure = format!("{last_failure}; the retry budget is used up");
                break;
            }
        }
        self.give_up(RefusalReason::UpstreamFailed, last_failure)
    }

    fn time_left(&self) -> Duration {
        self.order.time_left(ClockTime::now())
    }

    /// The refusal that is true of what this run knows.
    fn give_up(&mut self, reason: RefusalReason, message: String) -> AttemptEnd {
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

    fn wish(&self) -> RouteWish {
        let model = match &self.order.target {
            CallTarget::Completion { model, .. } => Some(model.clone()),
            CallTarget::Service { .. } => None,
        };
        RouteWish::builder()
            .service(self.order.service.clone())
            .maybe_model(model)
            .maybe_prefix(self.order.prefix)
            .exclude(self.tried.clone())
            .may_probe(!self.order.non_idempotent)
            .build()
    }

    /// Where a request goes that was in flight when an upstream went down. Suspects run apart, each
    /// on an upstream of its own, so that the one that takes upstreams down does so alone, and the
    /// others come through and are cleared. Nothing for any other request.
    fn choose_apart(&self, now: ClockTime) -> Option<RouteChoice> {
        let rank = self.state.crashes.rerun_rank(self.order.content)?;
        let mut sidecars = self.state.members.live(MemberRole::Sidecar, now);
        sidecars.retain(|member| {
            let serves = member.serves.as_ref();
            serves.is_some_and(|serves| serves.service == self.order.service && serves.healthy)
                && !self.tried.contains(&member.incarnation)
        });
        sidecars.sort_by(|one, other| one.instance.cmp(&other.instance));
        let chosen = sidecars.get(rank % sidecars.len().max(1))?.incarnation;
        let mut wish = self.wish();
        let others = sidecars.iter().map(|member| member.incarnation);
        wish.exclude.extend(others.filter(|incarnation| *incarnation != chosen));
        self.state.upstreams.choose(&wish, now)
    }

    /// An upstream to try: one not tried yet, else any, after a short wait for one to come back.
    async fn choose(&mut self) -> Result<RouteChoice, AttemptEnd> {
        let started = ClockTime::now();
        loop {
            let now = ClockTime::now();
            if self.order.time_left(now).is_zero() {
                return Err(
                    self.give_up(RefusalReason::DeadlineExceeded, "the deadline passed".into())
                );
            }
            if let Some(choice) = self.choose_apart(now) {
                return Ok(choice);
            }
            if let Some(choice) = self.state.upstreams.choose(&self.wish(), now) {
                return Ok(choice);
            }
            self.tried.clear();
            if now.since(started) > UPSTREAM_PATIENCE {
                let message = format!("no upstream of {} is serving", self.order.service);
                return Err(self.give_up(RefusalReason::NoUpstream, message));
            }
            smol::Timer::after(UPSTREAM_PAUSE).await;
        }
    }

    /// A keyed request is placed at its sidecar before it is dispatched, so that a retry of the
    /// caller through any entry finds it there instead of running it again.
    async fn claim(&mut self, choice: &RouteChoice) -> Option<AttemptEnd> {
        let key = self.order.key?;
        let claim = ClaimRequest {
            request: self.order.request,
            branch: self.order.branch.clone(),
            key,
            content: self.order.content,
            charge: self.reserved.charge,
            attempt: self.attempt,
            sidecar: choice.sidecar,
            upstream: choice.upstream.clone(),
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

    fn request(&self, choice: &RouteChoice) -> DispatchRequest {
        let mut target = self.order.target.clone();
        if let CallTarget::Completion { resume, .. } = &mut target {
            *resume = (self.delivered_tokens > 0).then(|| ResumePoint {
                tokens: self.delivered_tokens,
                text: String::from_utf8_lossy(&self.delivered_text).into_owned(),
            });
        }
        DispatchRequest {
            request: self.order.request,
            attempt: self.attempt,
            sidecar: choice.sidecar,
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

    async fn dispatch(&mut self, choice: &RouteChoice) -> DispatchOutcome {
        let started = ClockTime::now();
        self.state.upstreams.started(choice, started);
        let request = PeerRequest::Dispatch(self.request(choice));
        let opened = self.state.link().open(choice.address, &request, self.time_left()).await;
        let mut stream = match opened {
            Ok(stream) => stream,
            Err(error) => {
                let surely_not_sent = error.surely_not_sent();
                return DispatchOutcome::LinkLost { surely_not_sent, detail: error.to_string() };
            }
        };
        let outcome = self.pass_on(&mut stream, choice, started).await;
        if matches!(outcome, DispatchOutcome::CallerGone | DispatchOutcome::TimedOut) {
            self.cancel(choice).await;
        }
        outcome
    }

    async fn cancel(&self, choice: &RouteChoice) {
        let cancel = CancelRequest { request: self.order.request, attempt: self.attempt };
        let request = PeerRequest::Cancel(cancel);
        let told = self.state.link().ask(choice.address, &request, CANCEL_LIMIT).await;
        if let Err(error) = told {
            log_event!(warn, "cancel-untold", request = self.order.request, error = error);
        }
    }

    /// Passes a sidecar's events on until its end.
    async fn pass_on(
        &mut self,
        stream: &mut EventStream,
        choice: &RouteChoice,
        started: ClockTime,
    ) -> DispatchOutcome {
        let mut first_token = None;
        let mut last_piece = started;
        loop {
            // The sidecar ends the attempt at its deadline by itself; the margin lets that word
            // arrive, and bounds the wait for a sidecar that has gone silent.
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
                        surely_not_sent: false,
                        detail: error.to_string(),
                    };
                }
                None => {
                    return DispatchOutcome::LinkLost {
                        surely_not_sent: false,
                        detail: "the stream ended early".into(),
                    };
                }
            };
            let now = ClockTime::now();
            let taken = match event {
                DispatchEvent::Started => true,
                DispatchEvent::CacheNews(news) => {
                    take_cache_news(&self.state.upstreams, choice.sidecar, &news, now);
                    true
                }
                DispatchEvent::Head { status, headers } => self.take_head(status, headers).await,
                DispatchEvent::Piece { at, tokens, data } => {
                    if tokens > 0 {
                        self.observe_piece(&mut first_token, &mut last_piece, choice, started, now);
                    }
                    match self.take_piece(at, tokens, data).await {
                        PieceTaken::Passed => true,
                        PieceTaken::Gap => {
                            return DispatchOutcome::LinkLost {
                                surely_not_sent: false,
                                detail: "a piece is missing".into(),
                            };
                        }
                        PieceTaken::CallerGone => false,
                    }
                }
                DispatchEvent::End(end) => return DispatchOutcome::Ended(end),
            };
            if !taken && self.order.key.is_none() {
                return DispatchOutcome::CallerGone;
            }
        }
    }

    fn observe_piece(
        &self,
        first_token: &mut Option<Duration>,
        last_piece: &mut ClockTime,
        choice: &RouteChoice,
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
            self.state.upstreams.first_token(choice, waited, now);
        } else {
            let gap = now.since(*last_piece);
            self.state.metrics.observe_between_tokens(&self.order.class, &self.order.branch, gap);
        }
        *last_piece = now;
    }

    /// Returns false if the caller is gone.
    async fn take_head(
        &mut self,
        status: u16,
        headers: Vec<sagespool_messages::HeaderPair>,
    ) -> bool {
        if self.head_sent {
            return true;
        }
        self.head_sent = true;
        self.answers.send(AnswerEvent::Head { status, headers }).await.is_ok()
    }

    /// Passes on what the caller doesn't have yet. A resumed or repeated attempt may start at or
    /// before the point reached; a piece beyond it would leave a hole in the answer.
    async fn take_piece(&mut self, at: u32, tokens: u32, data: Vec<u8>) -> PieceTaken {
        let is_text = tokens > 0;
        let reached = if is_text { self.delivered_tokens } else { self.delivered_bytes };
        if at > reached {
            return PieceTaken::Gap;
        }
        let length = if is_text { tokens } else { data.len() as u32 };
        let end = at.saturating_add(length);
        if end <= reached {
            return PieceTaken::Passed;
        }
        let data = if is_text {
            // A piece of several tokens can't be cut inside; sidecars send one token a piece.
            if at < reached {
                return PieceTaken::Gap;
            }
            data
        } else {
            data[(reached - at) as usize..].to_vec()
        };
        if is_text {
            self.delivered_tokens = end;
            self.delivered_text.extend_from_slice(&data);
        } else {
            self.delivered_bytes = end;
        }
        match self.answers.send(AnswerEvent::Piece { tokens, data }).await {
            Ok(()) => PieceTaken::Passed,
            Err(_) => PieceTaken::CallerGone,
        }
    }

    /// Decides what follows a dispatch's outcome.
    async fn judge(&mut self, choice: &RouteChoice, outcome: DispatchOutcome) -> Judgement {
        match outcome {
            DispatchOutcome::Ended(end) => self.judge_end(choice, end).await,
            DispatchOutcome::LinkLost { surely_not_sent, detail } => {
                self.judge_loss(choice, surely_not_sent, detail).await
            }
            DispatchOutcome::CallerGone => {
                self.note_end(choice, AttemptOutcome::Cancelled);
                self.maybe_ran = true;
                Judgement::Ended(
                    self.give_up(RefusalReason::OutcomeUnknown, "the caller went away".into()),
                )
            }
            DispatchOutcome::TimedOut => {
                self.note_end(choice, AttemptOutcome::Failed);
                self.maybe_ran = true;
                let message = "the deadline passed while it ran".into();
                Judgement::Ended(self.give_up(RefusalReason::DeadlineExceeded, message))
            }
        }
    }

    async fn judge_end(&mut self, choice: &RouteChoice, end: DispatchEnd) -> Judgement {
        match end {
            DispatchEnd::Whole { charge, stop } => {
                self.note_end(choice, AttemptOutcome::Whole);
                crate::home::clear_suspect(self.state, self.order.content);
                Judgement::Ended(AttemptEnd::Whole { charge, stop })
            }
            DispatchEnd::GrantUnusable(detail) => {
                self.note_end(choice, AttemptOutcome::Refused);
                log_event!(
                    info,
                    "grant-unusable",
                    request = self.order.request,
                    charge = self.reserved.charge,
                    detail = detail
                );
                if self.ran.is_some() || self.maybe_ran {
                    // Something may have run under this charge, so it can't be given back.
                    self.tried.push(choice.sidecar);
                    return Judgement::TryElsewhere(detail);
                }
                Judgement::Ended(AttemptEnd::GrantUnusable)
            }
            DispatchEnd::Refused(notice) => self.judge_refusal(choice, notice),
            DispatchEnd::Broken { ran, crashed, detail } => {
                self.judge_break(choice, ran, crashed, detail).await
            }
            DispatchEnd::Cancelled { ran } => {
                self.note_end(choice, AttemptOutcome::Cancelled);
                self.keep_ran(ran);
                let message = "it was stopped at its deadline, or cancelled".into();
                Judgement::Ended(self.give_up(RefusalReason::DeadlineExceeded, message))
            }
        }
    }

    fn judge_refusal(&mut self, choice: &RouteChoice, notice: RefusalNotice) -> Judgement {
        let elsewhere = matches!(
            notice.reason,
            RefusalReason::Leaving
                | RefusalReason::Overloaded
                | RefusalReason::NotReady
                | RefusalReason::NoUpstream
                | RefusalReason::LimitReached
        );
        if !elsewhere {
            self.note_end(choice, AttemptOutcome::Refused);
        }
        if elsewhere && notice.run_state == RunState::NotRun {
            self.note_end(choice, AttemptOutcome::Refused);
            self.tried.push(choice.sidecar);
            return Judgement::TryElsewhere(notice.message);
        }
        if self.ran.is_some() || self.maybe_ran {
            return Judgement::Ended(self.give_up(notice.reason, notice.message));
        }
        if notice.run_state == RunState::Unknown {
            // The sidecar knows of a run under this charge or key: nothing may be given back for it.
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

    /// Tells the routing table how an attempt ended; its first token was told when it came.
    fn note_end(&self, choice: &RouteChoice, outcome: AttemptOutcome) {
        let tokens = TokenCount(u64::from(self.delivered_tokens));
        let result = AttemptResult { first_token: None, tokens, outcome };
        self.state.upstreams.ended(choice, &result, ClockTime::now());
    }

    async fn judge_break(
        &mut self,
        choice: &RouteChoice,
        ran: Option<ChargeRecord>,
        crashed: bool,
        detail: String,
    ) -> Judgement {
        let outcome = if crashed { AttemptOutcome::Unreachable } else { AttemptOutcome::Failed };
        self.note_end(choice, outcome);
        let did_run = ran.is_some();
        self.keep_ran(ran);
        if crashed && did_run {
            self.report_crash(choice).await;
            smol::Timer::after(SUSPECT_PAUSE).await;
        }
        if self.state.crashes.stopped(self.order.content) {
            let message = "the request took its upstream down more than once and is stopped";
            return Judgement::Ended(self.give_up(RefusalReason::Quarantined, message.into()));
        }
        if did_run && self.order.non_idempotent {
            let message = format!("the upstream failed after it may have run: {detail}");
            return Judgement::Ended(self.give_up(RefusalReason::OutcomeUnknown, message));
        }
        self.tried.push(choice.sidecar);
        Judgement::TryElsewhere(detail)
    }

    async fn report_crash(&self, choice: &RouteChoice) {
        let report = CrashReport {
            content: self.order.content,
            crash: RequestId(self.order.request.0 ^ u128::from(self.attempt.0)),
            upstream: choice.upstream.clone(),
            attempt: self.attempt,
        };
        crate::home::spread_crash(self.state, &report).await;
    }

    /// The link to the sidecar broke. What isn't sure not to have arrived may be running; a request
    /// that may never run twice isn't tried elsewhere then.
    async fn judge_loss(
        &mut self,
        choice: &RouteChoice,
        surely_not_sent: bool,
        detail: String,
    ) -> Judgement {
        self.note_end(choice, AttemptOutcome::Unreachable);
        self.tried.push(choice.sidecar);
        if surely_not_sent {
            return Judgement::TryElsewhere(detail);
        }
        self.maybe_ran = true;
        if self.order.non_idempotent {
            let message = format!("the way to the upstream broke after it may have run: {detail}");
            return Judgement::Ended(self.give_up(RefusalReason::OutcomeUnknown, message));
        }
        Judgement::TryElsewhere(detail)
    }
}

/// What follows a dispatch.
enum Judgement {
    Ended(AttemptEnd),
    TryElsewhere(String),
}

/// What became of a piece.
enum PieceTaken {
    Passed,
    Gap,
    CallerGone,
}
