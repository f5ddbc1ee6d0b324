//! One attempt: sending a request to one upstream.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::http::response::Parts;
use hyper::{Request, Response};
use sagespool_forward::{PlacedAttempt, RequestProfile, SendOutcome};
use sagespool_link::within;
use sagespool_log::log_event;
use sagespool_types::ClockTime;

use crate::dialect::{ResponseMetadata, UpstreamRequestTerms};
use crate::flight::Flight;
use crate::hop::strip_hop;
use crate::pool::{UpstreamConnection, connect};
use crate::state::GatewayState;

/// An upstream's response whose body hasn't been read.
pub(crate) struct OpenAnswer {
    pub(crate) head: Parts,
    pub(crate) body: Incoming,
    pub(crate) connection: UpstreamConnection,
    pub(crate) place: SendPlace,
}

/// Why an attempt produced no response that can be forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendFailure {
    /// No upstream is eligible.
    NoUpstream(ShortCause),
    /// No byte of the request was written.
    NotSent(&'static str),
    /// Nothing was written: the upstream started a backoff or lowered its limit after it was
    /// chosen.
    HeldBack,
    /// The upstream rejected the request without running it.
    TurnedAway,
    /// Another run has the upstream's address; the intended run has ended.
    Misdirected,
    /// The response was lost or is unusable; the request may have run.
    Lost(&'static str),
    /// The attempt timed out; the request may be running.
    Silent,
}

/// Why a service has no eligible upstream for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ShortCause {
    /// All known upstreams have been tried, or there are none.
    None,
    /// The data centres of all upstreams are evacuated.
    Evacuated,
    /// No upstream is in a region where the request may run.
    AwayFromHome,
    /// All are cold, and other instances are assigned to send to them.
    Cold,
    /// All are rate-limited or in backoff; holds the time until the first accepts a request.
    Limited(Duration),
}

impl ShortCause {
    /// Adds a cold upstream.
    fn or_cold(self) -> Self {
        match self {
            Self::Limited(_) => self,
            _ => Self::Cold,
        }
    }

    /// Adds an upstream that accepts a request again after `turn`.
    fn or_limited(self, turn: Duration) -> Self {
        match self {
            Self::Limited(first) => Self::Limited(first.min(turn)),
            _ => Self::Limited(turn),
        }
    }
}

impl SendFailure {
    /// The connection closed before the response began.
    pub(crate) const BROKEN: Self = Self::Lost("broken");

    /// Whether the request has certainly not run, so that a retry or a refusal as not run is safe.
    pub(crate) fn surely_not_run(self) -> bool {
        matches!(
            self,
            Self::NoUpstream(_)
                | Self::NotSent(_)
                | Self::HeldBack
                | Self::TurnedAway
                | Self::Misdirected
        )
    }

    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::NoUpstream(ShortCause::None) => "no-upstream",
            Self::NoUpstream(ShortCause::Evacuated) => "evacuated",
            Self::NoUpstream(ShortCause::AwayFromHome) => "away-from-home",
            Self::NoUpstream(ShortCause::Cold) => "all-cold",
            Self::NoUpstream(ShortCause::Limited(_)) => "all-limited",
            Self::NotSent(detail) | Self::Lost(detail) => detail,
            Self::HeldBack => "held-back",
            Self::TurnedAway => "turned-away",
            Self::Misdirected => "misdirected",
            Self::Silent => "silent",
        }
    }
}

/// A request's slot at its chosen upstream. Released on drop, so also when the caller disconnects
/// during an attempt.
pub(crate) struct SendPlace {
    state: Arc<GatewayState>,
    ticket: Option<PlacedAttempt>,
}

impl SendPlace {
    pub(crate) fn ticket(&self) -> &PlacedAttempt {
        self.ticket.as_ref().expect("the ticket is present until the placement is finished")
    }

    /// Records the arrival of the response head or the first event.
    pub(crate) fn began(&mut self, now: ClockTime) {
        if let Some(ticket) = &mut self.ticket {
            self.state.board().note_first_event(ticket, now);
        }
    }

    /// Records the arrival of a further event.
    pub(crate) fn heard(&self, now: ClockTime) {
        if let Some(ticket) = &self.ticket {
            self.state.board().note_progress(ticket, now);
        }
    }

    /// Releases the slot with the outcome of the attempt.
    pub(crate) fn finish(mut self, outcome: SendOutcome, now: ClockTime) {
        if let Some(ticket) = self.ticket.take() {
            self.state.board().finish(ticket, outcome, now);
        }
    }
}

impl Drop for SendPlace {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.state.board().finish(ticket, SendOutcome::Cancelled, ClockTime::now());
        }
    }
}

/// Sends a request to the upstream with the lowest expected latency and waits up to `timeout` for
/// the response head.
pub(crate) async fn send_once(
    flight: &mut Flight,
    timeout: Duration,
) -> Result<OpenAnswer, SendFailure> {
    let now = ClockTime::now();
    let place = choose_place(flight, now).map_err(SendFailure::NoUpstream)?;
    let upstream = place.ticket().upstream.clone();
    flight.tried.push(upstream.run());
    flight.record.upstream = Some(upstream.name.clone());
    let result = exchange(flight, &place, timeout).await;
    let now = ClockTime::now();
    let failure = match result {
        Ok((response, connection)) => match judge(flight, response, connection, place, now) {
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        },
        Err(failure) => {
            if failure == SendFailure::BROKEN {
                flight.report_crash(&upstream.name);
            }
            let outcome = match failure {
                SendFailure::HeldBack => SendOutcome::Cancelled,
                _ => SendOutcome::Broken,
            };
            place.finish(outcome, now);
            failure
        }
    };
    if failure == SendFailure::Misdirected {
        // The intended upstream wasn't reached, so this doesn't count as an attempt.
        flight.sends -= 1;
    }
    if failure.surely_not_run() {
        flight.uncharge_prompt();
    } else {
        flight.may_have_run = true;
    }
    log_event!(
        warn,
        "send-failed",
        request = flight.request.demand.request,
        upstream = upstream.name,
        address = upstream.address,
        cause = failure.as_str(),
        not_run = failure.surely_not_run(),
        sends = flight.sends,
        left_ms = flight.time_left(now).as_millis(),
    );
    Err(failure)
}

/// Chooses the eligible upstream with the lowest expected latency.
fn choose_place(flight: &Flight, now: ClockTime) -> Result<SendPlace, ShortCause> {
    let state = &flight.state;
    let service = flight.request.index.service(&flight.request.service);
    let shape = RequestProfile {
        parts: &flight.request.demand.parts,
        engine: service.and_then(|service| service.engine.as_ref()),
        centre: &state.settings.centre,
        repeatable: flight.may_repeat(),
    };
    let warmup = service.and_then(|service| service.warmup.as_ref());
    // Locked until the send is counted, so that no other request uses the same share.
    let mut guard = state.guard();
    let senders = state.senders();
    let roster = state.roster();
    let mut short = match roster.is_evacuated(&flight.request.service) {
        true => ShortCause::Evacuated,
        false => ShortCause::None,
    };
    let ready = roster.ready(&flight.request.service).filter(|record| {
        if !flight.may_run_in(&record.centre) {
            short = ShortCause::AwayFromHome;
            return false;
        }
        let admitted = guard.admits(&record.name, warmup, &senders, now);
        if !admitted {
            let turn = guard.next_send_delay(&record.name, &senders, now);
            short = turn.map_or(short.or_cold(), |turn| short.or_limited(turn));
        }
        admitted
    });
    let ticket = state.board().choose(ready, shape, &flight.tried, now).ok_or(short)?;
    guard.count_placement(&ticket.upstream.name, now);
    Ok(SendPlace { state: state.clone(), ticket: Some(ticket) })
}

async fn exchange(
    flight: &mut Flight,
    place: &SendPlace,
    timeout: Duration,
) -> Result<(Response<Incoming>, UpstreamConnection), SendFailure> {
    let upstream = &place.ticket().upstream;
    let kept = flight.state.pool.take(upstream, ClockTime::now());
    let mut connection = match kept {
        Some(connection) => connection,
        None => match connect(upstream).await {
            Ok(connection) => connection,
            Err(_) => return Err(SendFailure::NotSent("not-connected")),
        },
    };
    let now = ClockTime::now();
    if !leaves(&flight.state, place.ticket(), now) {
        flight.state.pool.keep(&upstream.name, connection, now);
        return Err(SendFailure::HeldBack);
    }
    flight.state.metrics.sent(connection.carried == 0);
    connection.carried += 1;
    let request = build_request(flight, place, now);
    flight.sends += 1;
    flight.record.sends = flight.sends;
    flight.charge_prompt();
    let sent = connection.sender.try_send_request(request);
    let response = match within(timeout, sent).await {
        None => return Err(SendFailure::Silent),
        Some(Ok(response)) => response,
        Some(Err(error)) => return Err(failed_send(flight, error)),
    };
    Ok((response, connection))
}

/// Records that a request is being sent; false if the upstream no longer allows it.
fn leaves(state: &GatewayState, ticket: &PlacedAttempt, now: ClockTime) -> bool {
    let mut guard = state.guard();
    if guard.blocks_dispatch(&ticket.upstream.name, ticket.chosen_at, now) {
        return false;
    }
    guard.note_dispatched(&ticket.upstream.name, ticket.chosen_at, now);
    true
}

/// Maps an error of the HTTP client. It returns the request only if no byte of it was written.
fn failed_send(
    flight: &mut Flight,
    mut error: TrySendError<Request<Full<hyper::body::Bytes>>>,
) -> SendFailure {
    if error.take_message().is_some() {
        flight.sends -= 1;
        flight.record.sends = flight.sends;
        return SendFailure::NotSent("connection-closed");
    }
    if error.error().is_parse() { SendFailure::Lost("garbled") } else { SendFailure::BROKEN }
}

fn build_request(
    flight: &Flight,
    place: &SendPlace,
    now: ClockTime,
) -> Request<Full<hyper::body::Bytes>> {
    let mut headers = flight.head.headers.clone();
    strip_hop(&mut headers);
    let terms = UpstreamRequestTerms {
        upstream: &place.ticket().upstream.name,
        branch: flight.request.branch.as_ref(),
        time_left: flight.time_left(now),
        priority: Some(flight.request.priority),
        resume_after: flight.last_event.or(flight.request.demand.resume_after),
    };
    (flight.state.dialect.write_upstream_headers)(&mut headers, &terms);
    let mut request = Request::new(Full::new(flight.request.body.clone()));
    *request.method_mut() = flight.head.method.clone();
    *request.uri_mut() = flight.head.uri.clone();
    *request.headers_mut() = headers;
    request
}

/// Checks whether a response belongs to this request and whether the upstream ran the request.
fn judge(
    flight: &Flight,
    response: Response<Incoming>,
    mut connection: UpstreamConnection,
    place: SendPlace,
    now: ClockTime,
) -> Result<OpenAnswer, SendFailure> {
    let (mut head, body) = response.into_parts();
    connection.note_idle_limit(idle_limit(&head));
    let marks = (flight.state.dialect.read_response_metadata)(head.status, &mut head.headers);
    // An upstream may send a second response to an earlier request on this connection. The current
    // request may be running, but its response can no longer be identified.
    let crossed =
        marks.request.as_ref().is_some_and(|request| *request != flight.request.demand.request);
    if crossed {
        place.finish(SendOutcome::Broken, now);
        return Err(SendFailure::Lost("crossed"));
    }
    if !marks.misdirected {
        note_marks(flight, place.ticket(), &marks, now);
    }
    if marks.not_run {
        log_event!(
            info,
            "turned-away",
            request = flight.request.demand.request,
            upstream = place.ticket().upstream.name,
            status = head.status.as_u16(),
            load = marks.load.map_or_else(String::new, |load| load.to_string()),
            own = flight.state.board().running(&place.ticket().upstream.name),
        );
        let name = place.ticket().upstream.name.clone();
        place.finish(SendOutcome::Refused, now);
        if marks.misdirected {
            flight.state.forget_upstream(&name);
            return Err(SendFailure::Misdirected);
        }
        return Err(SendFailure::TurnedAway);
    }
    if head.status.is_success() && !marks.signed {
        place.finish(SendOutcome::Broken, now);
        return Err(SendFailure::Lost("unsigned"));
    }
    Ok(OpenAnswer { head, body, connection, place })
}

/// Applies the state that an upstream reports about itself in its response headers.
fn note_marks(flight: &Flight, ticket: &PlacedAttempt, marks: &ResponseMetadata, now: ClockTime) {
    let (state, name) = (&flight.state, &ticket.upstream.name);
    if let Some(load) = marks.load {
        state.board().note_load(name, load, now);
    }
    if let Some(left) = marks.cold_left {
        state.note_cold(name, left, now);
    }
    state.note_rate_limit(name, marks.rate_limit, ticket.chosen_at, now);
    if marks.leaving && state.roster().note_leaving(&ticket.upstream.run(), now) {
        log_event!(info, "upstream-says-leaving", upstream = name);
    }
    if let Some(rest) = marks.backoff {
        state.note_backoff(name, rest, now);
    }
    if let Some(mark) = marks.unreadable {
        state.note_unreadable(name, mark, now);
    }
}

/// The idle timeout in the upstream's `Keep-Alive` header.
fn idle_limit(head: &Parts) -> Option<Duration> {
    let text = head.headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}
