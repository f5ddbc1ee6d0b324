//! One attempt: sending a request to one upstream.

use std::io;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::TrySendError;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Request, Response};
use sagespool_forward::{
    AllowedVersion, PlacedAttempt, RequestProfile, SendOutcome, UpstreamRecord,
};
use sagespool_link::within;
use sagespool_log::log_event;
use sagespool_types::ClockTime;
use smol::Timer;

use crate::attempt_end::{AttemptFailure, LossCause, UnavailableCause};
use crate::context::RequestContext;
use crate::crashes::is_running;
use crate::dialect::{ResponseMetadata, UpstreamRequestTerms};
use crate::hop_by_hop::strip_hop_by_hop;
use crate::pool::{UpstreamConnection, connect};
use crate::received::MAX_HEAD;
use crate::state::GatewayState;

/// The connection to the upstream couldn't be opened.
pub(crate) const NOT_CONNECTED: AttemptFailure = AttemptFailure::NotSent("not-connected");

/// The statuses of final responses to requests that don't switch protocols.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// An upstream's response whose body hasn't been read.
pub(crate) struct OpenResponse {
    pub(crate) head: Parts,
    pub(crate) body: Incoming,
    pub(crate) framing: ResponseFraming,
    pub(crate) connection: UpstreamConnection,
    pub(crate) placement: PlacementGuard,
}

/// What ends the body of an upstream's response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ResponseFraming {
    /// Its declared length, or that its status allows no body.
    Length,
    /// The last chunk.
    Chunked,
    /// The end of its connection.
    UntilClose,
}

impl ResponseFraming {
    /// The framing of a response.
    fn of(head: &Parts, body: &Incoming) -> Self {
        if head.headers.contains_key(TRANSFER_ENCODING) {
            Self::Chunked
        } else if head.headers.contains_key(CONTENT_LENGTH) || body.is_end_stream() {
            Self::Length
        } else {
            Self::UntilClose
        }
    }

    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::UntilClose => "until-close",
        }
    }
}

/// A request's slot at its chosen upstream. Released on drop, so also when the caller disconnects
/// during an attempt.
pub(crate) struct PlacementGuard {
    state: Arc<GatewayState>,
    attempt: Option<PlacedAttempt>,
}

impl PlacementGuard {
    pub(crate) fn attempt(&self) -> &PlacedAttempt {
        self.attempt.as_ref().expect("the attempt is present until the placement is finished")
    }

    /// Records the arrival of the response head or the first event.
    pub(crate) fn note_first_event(&mut self, now: ClockTime) {
        if let Some(attempt) = &mut self.attempt {
            self.state.balancer().note_first_event(attempt, now);
        }
    }

    /// Records the arrival of a further event.
    pub(crate) fn note_progress(&self, now: ClockTime) {
        if let Some(attempt) = &self.attempt {
            self.state.balancer().note_progress(attempt, now);
        }
    }

    /// Releases the slot with the outcome of the attempt.
    pub(crate) fn finish(mut self, outcome: SendOutcome, now: ClockTime) {
        if let Some(attempt) = self.attempt.take() {
            self.state.balancer().finish(attempt, outcome, now);
        }
    }
}

impl Drop for PlacementGuard {
    fn drop(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            self.state.balancer().finish(attempt, SendOutcome::Cancelled, ClockTime::now());
        }
    }
}

/// Sends a request to the upstream with the lowest expected latency and waits up to `timeout` for
/// the response head.
pub(crate) async fn send_once(
    context: &mut RequestContext,
    timeout: Duration,
) -> Result<OpenResponse, AttemptFailure> {
    let pause = context.state.connects().pause(context.log.unsent);
    if !pause.is_zero() {
        Timer::after(pause).await;
    }
    let timeout = timeout.saturating_sub(pause);
    let now = ClockTime::now();
    let placement = choose_among_preferred(context, now);
    let placement = placement.map_err(AttemptFailure::NoUpstream)?;
    let upstream = placement.attempt().upstream.clone();
    context.tried.push(upstream.run());
    context.log.upstream = Some(upstream.name.clone());
    context.log.version = Some(upstream.version.clone());
    let result = exchange(context, &placement, timeout).await;
    let now = ClockTime::now();
    let failure = match result {
        Ok((response, connection)) => {
            match check_response(context, response, connection, placement, now) {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            }
        }
        Err(failure) => {
            context.end_attempt(placement, failure, now).await;
            failure
        }
    };
    if failure == AttemptFailure::Misdirected {
        // The intended upstream wasn't reached, so this doesn't count as an attempt.
        context.sends -= 1;
    }
    context.settle_failure(failure);
    context.may_have_run |= !failure.did_not_run();
    if failure == NOT_CONNECTED {
        context.log.unsent += 1;
    }
    log_event!(
        warn,
        "send-failed",
        request = context.request.attributes.request,
        upstream = upstream.name,
        address = upstream.address,
        cause = failure.as_str(),
        not_run = failure.did_not_run(),
        sends = context.sends,
        left_ms = context.time_left(now).as_millis(),
    );
    Err(failure)
}

/// Chooses an upstream, at first without those on which the content broke, and for the beginning of a
/// resumable stream without those of a new software version. Either are better than none.
fn choose_among_preferred(
    context: &RequestContext,
    now: ClockTime,
) -> Result<PlacementGuard, UnavailableCause> {
    let suspects = context.suspect_upstreams();
    let begins_stream = context.request.route.resumable && context.allowed == AllowedVersion::Any;
    if begins_stream {
        let versions = context.state.checked_versions(now);
        let preferred = |record: &UpstreamRecord| {
            !suspects.contains(&record.name)
                && versions.is_settled(&record.service, &record.version, now)
        };
        if let Ok(placement) = choose_upstream(context, preferred, now) {
            return Ok(placement);
        }
    }
    match choose_upstream(context, |record| !suspects.contains(&record.name), now) {
        Err(_) if !suspects.is_empty() => choose_upstream(context, |_| true, now),
        placement => placement,
    }
}

/// Chooses the eligible upstream with the lowest expected latency among the preferred ones.
fn choose_upstream(
    context: &RequestContext,
    is_preferred: impl Fn(&UpstreamRecord) -> bool,
    now: ClockTime,
) -> Result<PlacementGuard, UnavailableCause> {
    let state = &context.state;
    let service = context.request.index.service(&context.request.service);
    let profile = RequestProfile {
        parts: &context.request.attributes.parts,
        engine: service.and_then(|service| service.engine.as_ref()),
        centre: &state.settings.centre,
        repeatable: context.may_repeat(),
    };
    let warmup = service.and_then(|service| service.warmup.as_ref());
    // Locked until the send is counted, so that no other request uses the same share.
    let mut throttle = state.throttle();
    let sender_selector = state.sender_selector();
    let upstreams = state.upstreams();
    let mut cause = match upstreams.is_evacuated(&context.request.service) {
        true => UnavailableCause::Evacuated,
        false => UnavailableCause::None,
    };
    let ready = upstreams.ready(&context.request.service).filter(|record| {
        if !is_preferred(record) {
            return false;
        }
        if !context.may_run_in(&record.centre) {
            cause = UnavailableCause::AwayFromHome;
            return false;
        }
        if !context.allowed.allows(&record.version) {
            cause = UnavailableCause::OtherVersion;
            return false;
        }
        let admitted = throttle.admits(&record.name, warmup, &sender_selector, now);
        if !admitted {
            let delay = throttle.next_send_delay(&record.name, &sender_selector, now);
            cause = delay.map_or(cause.or_cold(), |delay| cause.or_limited(delay));
        }
        admitted
    });
    let attempt = state.balancer().choose(ready, profile, &context.tried, now).ok_or(cause)?;
    throttle.count_placement(&attempt.upstream.name, now);
    Ok(PlacementGuard { state: state.clone(), attempt: Some(attempt) })
}

async fn exchange(
    context: &mut RequestContext,
    placement: &PlacementGuard,
    timeout: Duration,
) -> Result<(Response<Incoming>, UpstreamConnection), AttemptFailure> {
    let upstream = &placement.attempt().upstream;
    let kept = context.state.pool.take(upstream, ClockTime::now());
    let mut connection = match kept {
        Some(connection) => connection,
        None => open_connection(&context.state, upstream).await?,
    };
    let now = ClockTime::now();
    if !context.may_send() {
        context.state.pool.keep(&upstream.name, connection, now);
        return Err(AttemptFailure::Quarantined);
    }
    if !confirm_dispatch(&context.state, placement.attempt(), now) {
        context.state.pool.keep(&upstream.name, connection, now);
        return Err(AttemptFailure::DispatchBlocked);
    }
    context.state.crashes.note_send(now);
    context.state.metrics.record_send(connection.requests_sent == 0);
    connection.requests_sent += 1;
    let request = build_request(context, placement, now);
    context.sends += 1;
    context.log.sends = context.sends;
    context.charge_prompt();
    context.state.limiter.note_written(context.request.body.len());
    connection.allowance.set(MAX_HEAD);
    let sent = connection.sender.try_send_request(request);
    let response = match within(timeout, sent).await {
        None => return Err(AttemptFailure::TimedOut),
        Some(Ok(response)) => response,
        Some(Err(_)) if connection.allowance.is_exhausted() => {
            return Err(AttemptFailure::Lost(LossCause::Oversized));
        }
        Some(Err(error)) => return Err(map_send_error(context, error)),
    };
    Ok((response, connection))
}

/// Opens a connection and records how long it took, or that it failed.
async fn open_connection(
    state: &GatewayState,
    upstream: &UpstreamRecord,
) -> Result<UpstreamConnection, AttemptFailure> {
    let began = ClockTime::now();
    let opened = connect(upstream).await;
    let now = ClockTime::now();
    match opened {
        Ok(connection) => {
            state.limiter.note_connect(now.since(began), now);
            state.connects().note_connected(now);
            Ok(connection)
        }
        Err(error) => {
            if error.kind() == io::ErrorKind::TimedOut {
                state.limiter.note_connect(now.since(began), now);
            }
            state.connects().note_failed(&upstream.name, now);
            Err(NOT_CONNECTED)
        }
    }
}

/// Records that a request is being sent; false if the upstream no longer allows it.
///
/// Guards against requests to an upstream that has left: connecting takes up to 300 ms, and the news
/// of its leaving may arrive meanwhile.
fn confirm_dispatch(state: &GatewayState, attempt: &PlacedAttempt, now: ClockTime) -> bool {
    let is_eligible = {
        let upstreams = state.upstreams();
        upstreams.is_ready(&attempt.upstream.run()) && upstreams.has_version(&attempt.upstream)
    };
    if !is_eligible {
        return false;
    }
    let mut throttle = state.throttle();
    if throttle.blocks_dispatch(&attempt.upstream.name, attempt.chosen_at, now) {
        return false;
    }
    throttle.note_dispatched(&attempt.upstream.name, attempt.chosen_at, now);
    true
}

/// Maps an error of the HTTP client. It returns the request only if no byte of it was written.
fn map_send_error(
    context: &mut RequestContext,
    mut error: TrySendError<Request<Full<hyper::body::Bytes>>>,
) -> AttemptFailure {
    if error.take_message().is_some() {
        context.sends -= 1;
        context.log.sends = context.sends;
        return AttemptFailure::NotSent("connection-closed");
    }
    if error.error().is_parse() {
        AttemptFailure::Lost(LossCause::Garbled)
    } else {
        AttemptFailure::Lost(LossCause::BeforeHead)
    }
}

fn build_request(
    context: &RequestContext,
    placement: &PlacementGuard,
    now: ClockTime,
) -> Request<Full<hyper::body::Bytes>> {
    let mut headers = context.head.headers.clone();
    strip_hop_by_hop(&mut headers);
    let terms = UpstreamRequestTerms {
        upstream: &placement.attempt().upstream.name,
        branch: context.request.branch.as_ref(),
        time_left: context.time_left(now),
        priority: Some(context.request.priority),
        resume_after: context.last_event.or(context.request.attributes.resume_after),
    };
    (context.state.dialect.write_upstream_headers)(&mut headers, &terms);
    let mut request = Request::new(Full::new(context.request.body.clone()));
    *request.method_mut() = context.head.method.clone();
    *request.uri_mut() = context.head.uri.clone();
    *request.headers_mut() = headers;
    request
}

/// Checks whether a response belongs to this request and whether the upstream ran the request.
fn check_response(
    context: &mut RequestContext,
    response: Response<Incoming>,
    mut connection: UpstreamConnection,
    placement: PlacementGuard,
    now: ClockTime,
) -> Result<OpenResponse, AttemptFailure> {
    let (mut head, body) = response.into_parts();
    if !FINAL_STATUSES.contains(&head.status.as_u16()) {
        let failure = AttemptFailure::Lost(LossCause::Garbled);
        placement.finish(failure.send_outcome(), now);
        return Err(failure);
    }
    connection.note_idle_limit(idle_limit(&head));
    let framing = ResponseFraming::of(&head, &body);
    context.log.framing = Some(framing);
    let metadata = (context.state.dialect.read_response_metadata)(head.status, &mut head.headers);
    // An upstream may send a second response to an earlier request on this connection. The current
    // request may be running, but its response can no longer be identified.
    let crossed = metadata
        .request
        .as_ref()
        .is_some_and(|request| *request != context.request.attributes.request);
    if crossed {
        let failure = AttemptFailure::Lost(LossCause::Crossed);
        placement.finish(failure.send_outcome(), now);
        return Err(failure);
    }
    if !metadata.misdirected {
        apply_metadata(context, placement.attempt(), &metadata, now);
    }
    if metadata.not_run {
        log_event!(
            info,
            "turned-away",
            request = context.request.attributes.request,
            upstream = placement.attempt().upstream.name,
            status = head.status.as_u16(),
            load = metadata.load.map_or_else(String::new, |load| load.to_string()),
            own = context.state.balancer().running(&placement.attempt().upstream.name),
        );
        let name = placement.attempt().upstream.name.clone();
        let failure = match metadata.misdirected {
            true => AttemptFailure::Misdirected,
            false => AttemptFailure::Rejected,
        };
        placement.finish(failure.send_outcome(), now);
        if failure == AttemptFailure::Misdirected {
            context.state.forget_upstream(&name);
        }
        return Err(failure);
    }
    if head.status.is_success() && !metadata.signed {
        let failure = AttemptFailure::Lost(LossCause::Unsigned);
        placement.finish(failure.send_outcome(), now);
        return Err(failure);
    }
    Ok(OpenResponse { head, body, framing, connection, placement })
}

/// Applies the state that an upstream reports about itself in its response headers.
fn apply_metadata(
    context: &RequestContext,
    attempt: &PlacedAttempt,
    metadata: &ResponseMetadata,
    now: ClockTime,
) {
    let (state, name) = (&context.state, &attempt.upstream.name);
    if let Some(load) = metadata.load {
        state.balancer().note_load(name, load, now);
    }
    if let Some(left) = metadata.cold_left {
        state.note_cold(name, left, now);
    }
    state.note_rate_limit(name, metadata.rate_limit, attempt.chosen_at, now);
    if metadata.leaving && state.upstreams().note_leaving(&attempt.upstream.run(), now) {
        log_event!(info, "upstream-leaving-announced", upstream = name);
    }
    if let Some(backoff) = metadata.backoff {
        state.note_backoff(name, backoff, now);
    }
    if let Some(header) = metadata.unreadable {
        state.log_malformed_header(name, header, now);
    }
}

/// Whether the end of a response's body may be something else than its end.
///
/// Without a length and chunks, a crash between two events or in a plain body closes the connection
/// like a complete response does, also while the upstream is leaving. A connection that is reset while
/// the request is still being written may show its close first. So the response counts as complete only
/// if the upstream is shown to run and its connection took the whole request.
pub(crate) async fn may_be_cut(
    state: &GatewayState,
    framing: ResponseFraming,
    connection: &UpstreamConnection,
    upstream: &UpstreamRecord,
) -> bool {
    framing == ResponseFraming::UntilClose
        && (connection.cut_request()
            || !is_running(state, upstream).await
            || connection.cut_request())
}

/// The idle timeout in the upstream's `Keep-Alive` header.
fn idle_limit(head: &Parts) -> Option<Duration> {
    let text = head.headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}
