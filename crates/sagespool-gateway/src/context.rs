//! The state of one request in the pipeline.

use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use hyper::body::Bytes;
use hyper::http::request::Parts;
use sagespool_forward::{
    AllowedRegions, AllowedVersion, ForwardRoute, PlanIndex, RepeatRule, RequestAttributes,
    UpstreamRun,
};
use sagespool_log::log_event;
use sagespool_types::{
    BranchName, CentreName, ClockTime, ContentDigest, ServiceName, SoftwareVersion, TokenCount,
    UpstreamName,
};

use crate::admission::RequestPermit;
use crate::attempt::ResponseFraming;
use crate::budget::Reservation;
use crate::metrics::Outcome;
use crate::refusal::Refusal;
use crate::state::GatewayState;

/// Events of a stream that hold no token, such as one that ends it.
const MAX_EMPTY_EVENTS: u64 = 16;

/// A request that passed admission: its route is known and its tokens are reserved.
pub(crate) struct AdmittedRequest {
    pub(crate) index: Arc<PlanIndex>,
    pub(crate) route: ForwardRoute,
    pub(crate) service: ServiceName,
    pub(crate) branch: Option<BranchName>,
    /// The regions where its account allows it to run.
    pub(crate) branch_regions: AllowedRegions,
    pub(crate) priority: u8,
    pub(crate) attributes: RequestAttributes,
    pub(crate) body: Bytes,
    pub(crate) reservation: Option<Reservation>,
    /// Its share of this instance's admission limits.
    pub(crate) _permit: RequestPermit,
    /// When the response must be complete.
    pub(crate) deadline: ClockTime,
}

/// The pipeline's state of a request after admission.
pub(crate) struct RequestContext {
    pub(crate) state: Arc<GatewayState>,
    pub(crate) request: AdmittedRequest,
    pub(crate) head: Parts,
    /// Attempts that wrote the request to an upstream.
    pub(crate) sends: u32,
    /// Upstreams that were tried, including unreachable ones.
    pub(crate) tried: Vec<UpstreamRun>,
    /// True once an upstream may have run it.
    pub(crate) may_have_run: bool,
    /// The ID of the last event forwarded to the caller.
    pub(crate) last_event: Option<u64>,
    /// The software versions that may continue the stream.
    pub(crate) allowed: AllowedVersion,
    /// The digest that identifies equal requests, once it is needed.
    pub(crate) content: OnceLock<ContentDigest>,
    pub(crate) log: RequestLog,
}

impl RequestContext {
    /// The time until the deadline.
    pub(crate) fn time_left(&self, now: ClockTime) -> Duration {
        self.request.deadline.since(now)
    }

    /// Whether it may be sent to another upstream after one that may have run it.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.request.route.repeat == RepeatRule::Idempotent
    }

    /// Whether another attempt is allowed if the next one fails.
    pub(crate) fn may_repeat(&self) -> bool {
        self.is_idempotent() && self.sends + 1 < self.request.route.attempts
    }

    /// Whether both its route and its account allow it to run in a data centre.
    pub(crate) fn may_run_in(&self, centre: &CentreName) -> bool {
        let region = self.state.region_of(centre);
        self.request.route.homes.allow(region) && self.request.branch_regions.allow(region)
    }

    fn note_charge(&mut self) {
        let reservation = self.request.reservation.as_ref();
        self.log.charged = reservation.map_or(TokenCount::ZERO, Reservation::charged);
    }

    /// Charges the prompt. An upstream may have processed it as soon as the request is sent, also
    /// if the caller disconnects before the response.
    pub(crate) fn charge_prompt(&mut self) {
        let prompt =
            self.request.attributes.tokens.map_or(TokenCount::ZERO, |tokens| tokens.prompt);
        if let Some(reservation) = &mut self.request.reservation {
            reservation.set_prompt(prompt);
        }
        self.note_charge();
    }

    /// Reverses the charge of the prompt after a run that has ended, unless the caller got some of the
    /// answer.
    pub(crate) fn uncharge_prompt(&mut self) {
        if self.log.events > 0 {
            return;
        }
        if let Some(reservation) = &mut self.request.reservation {
            reservation.set_prompt(TokenCount::ZERO);
        }
        self.note_charge();
    }

    /// Whether a stream with `count` further events has more than the request declares tokens for. An
    /// event holds a token at least, but for a few that hold none.
    pub(crate) fn exceeds_declared_events(&self, count: u64) -> bool {
        let declared = self.request.attributes.tokens;
        declared.is_some_and(|tokens| {
            self.log.events + count > tokens.answer.0.saturating_add(MAX_EMPTY_EVENTS)
        })
    }

    /// Charges the configured number of tokens for each event forwarded to the caller. An event may
    /// hold fewer tokens than that; the total charge never exceeds the reservation.
    pub(crate) fn charge_events(&mut self, count: u64) {
        self.log.events += count;
        let service = self.request.index.service(&self.request.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        let each = engine.map_or(0, |engine| engine.event_tokens.0);
        if let Some(reservation) = &mut self.request.reservation {
            reservation.add_answer(TokenCount(count * each));
        }
        self.note_charge();
    }
}

/// The log and metrics data of a request. Written on drop, so also when its caller disconnects.
pub(crate) struct RequestLog {
    pub(crate) state: Arc<GatewayState>,
    pub(crate) request: String,
    pub(crate) route: String,
    pub(crate) branch: Option<BranchName>,
    pub(crate) started_at: ClockTime,
    pub(crate) first: Option<ClockTime>,
    pub(crate) upstream: Option<UpstreamName>,
    /// The software version of `upstream`.
    pub(crate) version: Option<SoftwareVersion>,
    /// The attempt that the caller resumes.
    pub(crate) resumes: Option<String>,
    pub(crate) sends: u32,
    /// Attempts that couldn't connect.
    pub(crate) unsent: u32,
    pub(crate) events: u64,
    /// The framing of the last response that an upstream began; `None` before it.
    pub(crate) framing: Option<ResponseFraming>,
    /// Bytes of the event within which the last stream ended.
    pub(crate) partial: usize,
    /// Tokens charged to its account.
    pub(crate) charged: TokenCount,
    /// `None` until the request is concluded.
    pub(crate) outcome: Option<Outcome>,
    pub(crate) status: u16,
    pub(crate) detail: String,
    /// Scheduling delay when it arrived: how long a ready task waited for the processor.
    pub(crate) scheduling_delay: Duration,
    /// How long a byte waited for the link when it arrived.
    pub(crate) link_wait: Duration,
}

impl RequestLog {
    pub(crate) fn new(state: &Arc<GatewayState>, started_at: ClockTime) -> Self {
        state.requests.fetch_add(1, Ordering::Relaxed);
        Self {
            state: state.clone(),
            request: String::new(),
            route: String::new(),
            branch: None,
            started_at,
            first: None,
            upstream: None,
            version: None,
            resumes: None,
            sends: 0,
            unsent: 0,
            events: 0,
            framing: None,
            partial: 0,
            charged: TokenCount::ZERO,
            outcome: None,
            status: 0,
            detail: String::new(),
            scheduling_delay: Duration::ZERO,
            link_wait: Duration::ZERO,
        }
    }

    /// Records the outcome; `detail` is its cause in the log, empty if there is none.
    pub(crate) fn conclude(&mut self, outcome: Outcome, status: u16, detail: &str) {
        self.outcome = Some(outcome);
        self.status = status;
        self.detail = detail.to_owned();
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        self.state.requests.fetch_sub(1, Ordering::Relaxed);
        if self.outcome.is_none() && self.state.abort.is_set() {
            // A stream that has begun keeps the status already sent to its caller.
            let status =
                if self.status == 0 { Refusal::Aborted.status().as_u16() } else { self.status };
            self.conclude(Outcome::Cut, status, Refusal::Aborted.reason());
        }
        let now = ClockTime::now();
        let outcome = self.outcome.unwrap_or(Outcome::CallerGone);
        let none = String::new;
        let branch = self.branch.as_ref().map_or_else(none, BranchName::to_string);
        let upstream = self.upstream.as_ref().map_or_else(none, UpstreamName::to_string);
        let first = self.first.map_or(now, |first| first);
        log_event!(
            info,
            "request-ended",
            request = self.request,
            route = self.route,
            branch = branch,
            outcome = outcome.as_str(),
            status = self.status,
            upstream = upstream,
            version = self.version.as_ref().map_or_else(none, SoftwareVersion::to_string),
            resumes = self.resumes.as_deref().unwrap_or("-"),
            sends = self.sends,
            unsent = self.unsent,
            events = self.events,
            framing = self.framing.map_or("-", ResponseFraming::as_str),
            partial = self.partial,
            charged = self.charged,
            first_ms = first.since(self.started_at).as_millis(),
            total_ms = now.since(self.started_at).as_millis(),
            turn_ms = self.scheduling_delay.as_millis(),
            link_ms = self.link_wait.as_millis(),
            plan = self.state.plan_version(),
            detail = self.detail,
        );
        let metrics = &self.state.metrics;
        metrics.count_outcome(outcome, &self.route);
        metrics.observe_latency(
            &self.route,
            self.branch.as_ref(),
            first.since(self.started_at),
            now.since(self.started_at),
        );
    }
}
