//! One request on its way.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::body::Bytes;
use hyper::http::request::Parts;
use sagespool_forward::{
    AllowedRegions, ForwardRoute, PlanIndex, RepeatRule, RequestAttributes, UpstreamRun,
};
use sagespool_log::log_event;
use sagespool_types::{BranchName, CentreName, ClockTime, ServiceName, TokenCount, UpstreamName};

use crate::desk::Reservation;
use crate::intake::RequestPass;
use crate::metrics::Outcome;
use crate::refusal::Refusal;
use crate::state::GatewayState;

/// A request that may be sent: its route is known, its account pays for it.
pub(crate) struct AdmittedRequest {
    pub(crate) index: Arc<PlanIndex>,
    pub(crate) route: ForwardRoute,
    pub(crate) service: ServiceName,
    pub(crate) branch: Option<BranchName>,
    /// Where its account lets it run.
    pub(crate) branch_homes: AllowedRegions,
    pub(crate) priority: u8,
    pub(crate) demand: RequestAttributes,
    pub(crate) body: Bytes,
    pub(crate) reservation: Option<Reservation>,
    /// Its part of what this instance takes in.
    pub(crate) _pass: RequestPass,
    /// When its answer must be complete.
    pub(crate) deadline: ClockTime,
}

/// All that the pipeline knows of a request on its way.
pub(crate) struct Flight {
    pub(crate) state: Arc<GatewayState>,
    pub(crate) request: AdmittedRequest,
    pub(crate) head: Parts,
    /// Upstreams that it was sent to.
    pub(crate) sends: u32,
    /// Upstreams that it was sent to or that couldn't be reached.
    pub(crate) tried: Vec<UpstreamRun>,
    /// True once an upstream may have run it.
    pub(crate) may_have_run: bool,
    /// The last event that was passed on to the caller.
    pub(crate) last_event: Option<u64>,
    pub(crate) record: FlightRecord,
}

impl Flight {
    /// What is left until the answer must be complete.
    pub(crate) fn time_left(&self, now: ClockTime) -> Duration {
        self.request.deadline.since(now)
    }

    /// Whether it may reach a second upstream after one that may have run it.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.request.route.repeat == RepeatRule::Idempotent
    }

    /// Whether it may go to one more upstream if the next one fails.
    pub(crate) fn may_repeat(&self) -> bool {
        self.is_idempotent() && self.sends + 1 < self.request.route.attempts
    }

    /// Whether both its route and its account let it run in a data centre.
    pub(crate) fn may_run_in(&self, centre: &CentreName) -> bool {
        let region = self.state.region_of(centre);
        self.request.route.homes.allow(region) && self.request.branch_homes.allow(region)
    }

    fn note_charge(&mut self) {
        let reservation = self.request.reservation.as_ref();
        self.record.charged = reservation.map_or(TokenCount::ZERO, Reservation::charged);
    }

    /// Charges the prompt: from the moment of sending an upstream may have read it, also if the
    /// caller goes away before anything comes back.
    pub(crate) fn charge_prompt(&mut self) {
        let prompt = self.request.demand.tokens.map_or(TokenCount::ZERO, |tokens| tokens.prompt);
        if let Some(reservation) = &mut self.request.reservation {
            reservation.set_prompt(prompt);
        }
        self.note_charge();
    }

    /// Takes the charge of the prompt back, unless an upstream may have read it.
    pub(crate) fn uncharge_prompt(&mut self) {
        if self.may_have_run {
            return;
        }
        if let Some(reservation) = &mut self.request.reservation {
            reservation.set_prompt(TokenCount::ZERO);
        }
        self.note_charge();
    }

    /// Charges events that are passed on to the caller. An event may hold fewer tokens than most
    /// do; a request is never charged more than it reserved.
    pub(crate) fn charge_events(&mut self, count: u64) {
        self.record.events += count;
        let service = self.request.index.service(&self.request.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        let each = engine.map_or(0, |engine| engine.event_tokens.0);
        if let Some(reservation) = &mut self.request.reservation {
            reservation.add_answer(TokenCount(count * each));
        }
        self.note_charge();
    }
}

/// What logs and metrics tell of a request. Written when it ends, also when its caller goes away
/// and everything else of it is dropped.
pub(crate) struct FlightRecord {
    pub(crate) state: Arc<GatewayState>,
    pub(crate) request: String,
    pub(crate) route: String,
    pub(crate) branch: Option<BranchName>,
    pub(crate) began: ClockTime,
    pub(crate) first: Option<ClockTime>,
    pub(crate) upstream: Option<UpstreamName>,
    pub(crate) sends: u32,
    pub(crate) events: u64,
    /// Tokens that its account pays for.
    pub(crate) charged: TokenCount,
    /// What became of it.
    pub(crate) outcome: Option<Outcome>,
    pub(crate) status: u16,
    pub(crate) detail: String,
    /// How long a ready task waited for the processor when it came.
    pub(crate) turn: Duration,
}

impl FlightRecord {
    pub(crate) fn new(state: &Arc<GatewayState>, began: ClockTime) -> Self {
        state.requests.fetch_add(1, Ordering::Relaxed);
        Self {
            state: state.clone(),
            request: String::new(),
            route: String::new(),
            branch: None,
            began,
            first: None,
            upstream: None,
            sends: 0,
            events: 0,
            charged: TokenCount::ZERO,
            outcome: None,
            status: 0,
            detail: String::new(),
            turn: Duration::ZERO,
        }
    }

    /// Notes how the request ends.
    pub(crate) fn conclude(&mut self, outcome: Outcome, status: u16, detail: &str) {
        self.outcome = Some(outcome);
        self.status = status;
        self.detail = detail.to_owned();
    }
}

impl Drop for FlightRecord {
    fn drop(&mut self) {
        self.state.requests.fetch_sub(1, Ordering::Relaxed);
        if self.outcome.is_none() && self.state.over.is_given() {
            // A stream that has begun keeps the status that its caller saw.
            let status =
                if self.status == 0 { Refusal::Ended.status().as_u16() } else { self.status };
            self.conclude(Outcome::Cut, status, Refusal::Ended.reason());
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
            sends = self.sends,
            events = self.events,
            charged = self.charged,
            first_ms = first.since(self.began).as_millis(),
            total_ms = now.since(self.began).as_millis(),
            turn_ms = self.turn.as_millis(),
            plan = self.state.plan_version(),
            detail = self.detail,
        );
        let metrics = &self.state.metrics;
        metrics.ended(outcome, &self.route);
        metrics.observe(
            &self.route,
            self.branch.as_ref(),
            first.since(self.began),
            now.since(self.began),
        );
    }
}
