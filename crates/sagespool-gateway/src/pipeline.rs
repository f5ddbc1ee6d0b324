//! The request pipeline: admit, reserve, attempt, respond, settle.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::BytesMut;
use futures_lite::future::or;
use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST, HeaderValue};
use hyper::http::request::Parts as RequestParts;
use hyper::http::response::Parts as ResponseParts;
use hyper::{Request, Response};
use sagespool_forward::{
    AllowedVersion, ArrivedRequest, BranchPlan, PlanIndex, RequestAttributes, SendOutcome,
};
use sagespool_link::within;
use sagespool_types::{ByteCount, ClockTime};

use crate::admission::ReceivedMemory;
use crate::attempt::{NOT_CONNECTED, OpenResponse, ResponseFraming, may_be_cut, send_once};
use crate::attempt_end::{AttemptFailure, LossCause, UnavailableCause};
use crate::body::ResponseBody;
use crate::budget::{BudgetRequest, Reservation};
use crate::context::{AdmittedRequest, RequestContext, RequestLog};
use crate::crashes::{consider_trial, content_of, digests_of, log_quarantined};
use crate::hop_by_hop::strip_hop_by_hop;
use crate::metrics::Outcome;
use crate::received::MAX_PLAIN_BODY;
use crate::refusal::Refusal;
use crate::request_body::{declared_length, discard, read_body};
use crate::state::GatewayState;
use crate::stream::start_stream;

/// A request isn't sent with less time left: the round trip to an upstream takes up to 2 ms.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);
/// Reserved for sending the response to the caller, so that it arrives before the caller's
/// deadline.
const RESPONSE_MARGIN: Duration = Duration::from_millis(10);
/// Copies of a body in memory while its pieces are joined.
const BODY_COPIES: usize = 2;
/// Attempt timeout of an idempotent request, as a share of the route's latency target.
const TIMEOUT_SHARE: f64 = 0.6;
/// The same for streams, whose first event may queue behind other requests' long prompts:
/// processing the prompt again on another upstream costs more than a late first event.
const STREAM_TIMEOUT_SHARE: f64 = 1.5;
/// The media type of streams of events.
const EVENT_STREAM: &[u8] = b"text/event-stream";
/// The lowest priority (largest number) that upstreams accept.
const LOWEST_PRIORITY: u8 = 9;

pub(crate) async fn serve(
    state: Arc<GatewayState>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let started_at = ClockTime::now();
    let (head, body) = request.into_parts();
    let mut log = RequestLog::new(&state, started_at);
    let request = match admit(&state, &head, body, started_at, &mut log).await {
        Ok(request) => request,
        Err(refusal) => return refuse(log, refusal, refusal.reason()),
    };
    state.retries().count_request(&request.service, ClockTime::now());
    let context = RequestContext {
        state,
        request,
        head,
        sends: 0,
        tried: Vec::new(),
        may_have_run: false,
        last_event: None,
        allowed: AllowedVersion::Any,
        content: OnceLock::new(),
        log,
    };
    run_until_stop(context).await
}

/// Runs a request until it ends or until the time limit of a graceful stop. In the second case the
/// caller gets a response that the request may have run, instead of a closed connection that looks
/// like a network failure, and the attempt at the upstream is cancelled.
async fn run_until_stop(context: RequestContext) -> Response<ResponseBody> {
    let state = context.state.clone();
    let ended = async {
        state.abort.wait().await;
        Refusal::Aborted.response()
    };
    or(run(context), ended).await
}

fn refuse(mut log: RequestLog, refusal: Refusal, detail: &str) -> Response<ResponseBody> {
    log.conclude(Outcome::Refused, refusal.status().as_u16(), detail);
    refusal.response()
}

/// Performs all steps before the first attempt.
async fn admit(
    state: &Arc<GatewayState>,
    head: &RequestParts,
    body: Incoming,
    started_at: ClockTime,
    log: &mut RequestLog,
) -> Result<AdmittedRequest, Refusal> {
    let index = state.plan().filter(|_| state.knows_upstreams()).ok_or(Refusal::NoPlan)?;
    let attributes =
        (state.dialect.read_caller_headers)(&head.headers).map_err(Refusal::BadHeader)?;
    log.request.clone_from(&attributes.request);
    log.resumes.clone_from(&attributes.resumes);
    let host = host_of(head).ok_or(Refusal::NoHost)?;
    // A stream is resumed at the service that began it.
    let stream = attributes.resumes.as_ref().unwrap_or(&attributes.request);
    let found = index.route(&host, head.uri.path(), stream);
    let found = found.ok_or(Refusal::UnknownRoute)?;
    log.route.clone_from(&found.route.name);
    let (route, service) = (found.route.clone(), found.service.clone());
    let branch = find_branch(&index, &attributes, route.open)?;
    log.branch = branch.map(|branch| branch.name.clone());
    let timeout = attributes.timeout.unwrap_or(route.time_limit).min(route.time_limit);
    let deadline = started_at.after(timeout.saturating_sub(RESPONSE_MARGIN));
    if state.may_stop_before(deadline) {
        return Err(Refusal::Stopping);
    }
    let rank = branch.and_then(|branch| branch.priority).unwrap_or(route.priority);
    let arrived = ArrivedRequest {
        branch: branch.map(|branch| &branch.name),
        rank,
        latency_target: route.latency_target,
        time_left: deadline.since(started_at),
    };
    let taken = state.limiter.admit(arrived, declared_length(&body)).await;
    let usage = state.limiter.usage(ClockTime::now());
    (log.scheduling_delay, log.link_wait) = (usage.scheduling_delay, usage.link_wait);
    let mut permit = match taken {
        Ok(permit) => permit,
        Err(refusal) => {
            discard(body);
            return Err(refusal);
        }
    };
    let body = read_body(&index, body, &mut permit, deadline.since(ClockTime::now())).await?;
    permit.end_body();
    // A stop may have begun to close meanwhile.
    if state.may_stop_before(deadline) {
        return Err(Refusal::Stopping);
    }
    let branch_name = branch.map(|branch| &branch.name);
    let key = attributes.key.as_deref();
    let digests = || digests_of(content_of(branch_name, key, head, &body), &attributes);
    let stopped = state.crashes.find_quarantined(digests);
    if !stopped.is_empty() {
        log_quarantined(&attributes, &stopped, false);
        consider_trial(state, stopped);
        return Err(Refusal::Quarantined);
    }
    if deadline.since(ClockTime::now()) < MIN_TIME_LEFT {
        return Err(Refusal::TooLate);
    }
    let reservation = match branch {
        Some(branch) => reserve(state, &index, branch, &attributes, deadline).await?,
        None => None,
    };
    let branch_regions = branch.map(|branch| branch.homes.clone()).unwrap_or_default();
    let branch = branch.map(|branch| branch.name.clone());
    Ok(AdmittedRequest {
        priority: rank.min(LOWEST_PRIORITY),
        branch,
        branch_regions,
        route,
        service,
        attributes,
        body,
        reservation,
        _permit: permit,
        deadline,
        index: index.clone(),
    })
}

fn host_of(head: &RequestParts) -> Option<String> {
    if let Some(authority) = head.uri.authority() {
        return Some(authority.to_string());
    }
    head.headers.get(HOST)?.to_str().ok().map(str::to_owned)
}

/// Finds the client account of the request's key. `None` is allowed on open routes only, or if the
/// configuration has no accounts.
fn find_branch<'a>(
    index: &'a PlanIndex,
    attributes: &RequestAttributes,
    open: bool,
) -> Result<Option<&'a BranchPlan>, Refusal> {
    let branch = attributes.key.as_deref().and_then(|key| index.branch(key));
    if branch.is_none() && !open && index.has_branches() {
        return Err(Refusal::UnknownKey);
    }
    Ok(branch)
}

/// Reserves the maximum cost of a request. `None` if the account has no budget or the request names
/// no token counts.
async fn reserve(
    state: &GatewayState,
    index: &PlanIndex,
    branch: &BranchPlan,
    attributes: &RequestAttributes,
    deadline: ClockTime,
) -> Result<Option<Reservation>, Refusal> {
    let (Some(prepaid), Some(tokens)) = (branch.prepaid, attributes.tokens) else {
        return Ok(None);
    };
    let budget = BudgetRequest {
        branch: branch.name.clone(),
        version: index.plan().version,
        prepaid,
        amount: tokens.most(),
        request_id: attributes.request.clone(),
    };
    state.budgets.reserve(&budget, deadline, &state.fleet).await.map(Some)
}

/// An upstream's response with its complete body.
struct CompleteResponse {
    head: ResponseParts,
    bytes: Bytes,
}

impl CompleteResponse {
    fn is_failure(&self) -> bool {
        self.head.status.is_server_error()
    }
}

/// Makes attempts until an upstream responds or no further attempt is allowed.
async fn run(mut context: RequestContext) -> Response<ResponseBody> {
    if !context.find_version().await {
        return refuse(context.log, Refusal::UnknownVersion, Refusal::UnknownVersion.reason());
    }
    // The last 5xx response, which is forwarded if no other upstream succeeds.
    let mut failed: Option<CompleteResponse> = None;
    loop {
        let timeout = attempt_timeout(&context, ClockTime::now());
        let result = match send_once(&mut context, timeout).await {
            Ok(response) if is_stream(&context, &response) => {
                return start_stream(context, response).await;
            }
            Ok(response) => read_response(&mut context, response).await,
            Err(failure) => Err(failure),
        };
        let failure = match result {
            Ok(response) if response.is_failure() && context.is_idempotent() => {
                failed = Some(response);
                AttemptFailure::Lost(LossCause::FailureStatus)
            }
            Ok(response) => return respond(context, response),
            Err(failure) => failure,
        };
        if may_retry(&context, failure, ClockTime::now()) {
            continue;
        }
        return match failed {
            Some(response) => respond(context, response),
            None => refuse_failed(context, failure),
        };
    }
}

/// Whether a response is a stream of events. An upstream may also send a plain body on a streaming
/// route, which ends in no event.
fn is_stream(context: &RequestContext, response: &OpenResponse) -> bool {
    if !context.request.route.streaming || !response.head.status.is_success() {
        return false;
    }
    match response.head.headers.get(CONTENT_TYPE).map(HeaderValue::as_bytes) {
        Some(media_type) => {
            let essence = media_type.split(|byte| *byte == b';').next().unwrap_or_default();
            essence.trim_ascii().eq_ignore_ascii_case(EVENT_STREAM)
        }
        // No upstream knows the length of a stream in advance.
        None => response.framing != ResponseFraming::Length,
    }
}

/// The time limit of an attempt until the response head arrives.
pub(crate) fn attempt_timeout(context: &RequestContext, now: ClockTime) -> Duration {
    let left = context.time_left(now);
    let route = &context.request.route;
    let is_last = context.sends + 1 >= route.attempts;
    if !context.is_idempotent() || is_last {
        return left;
    }
    let share = if route.streaming { STREAM_TIMEOUT_SHARE } else { TIMEOUT_SHARE };
    left.min(route.latency_target.mul_f64(share))
}

/// Whether a request whose last attempt failed may be sent to another upstream.
pub(crate) fn may_retry(context: &RequestContext, failure: AttemptFailure, now: ClockTime) -> bool {
    let is_final = matches!(failure, AttemptFailure::NoUpstream(_) | AttemptFailure::Quarantined);
    if is_final || context.time_left(now) < MIN_TIME_LEFT {
        return false;
    }
    if !failure.did_not_run() && !context.is_idempotent() {
        return false;
    }
    if context.sends >= context.request.route.attempts {
        return false;
    }
    // Nothing was sent, so a retry adds no load to upstreams and needs no retry budget. It loads this
    // instance's own link.
    if failure == NOT_CONNECTED && !context.state.connects().admits(context.log.unsent, now) {
        return false;
    }
    if matches!(failure, AttemptFailure::NotSent(_) | AttemptFailure::DispatchBlocked) {
        return true;
    }
    let instances = context.state.instances();
    context.state.retries().try_retry(&context.request.service, instances, now)
}

fn refuse_failed(mut context: RequestContext, failure: AttemptFailure) -> Response<ResponseBody> {
    context.settle_failure(failure);
    let refusal = match failure {
        AttemptFailure::TimedOut => Refusal::TimedOut,
        _ if context.may_have_run => Refusal::Failed,
        AttemptFailure::Quarantined => Refusal::Quarantined,
        AttemptFailure::Rejected => Refusal::UpstreamsBusy,
        AttemptFailure::NoUpstream(UnavailableCause::Evacuated) => Refusal::Evacuated,
        AttemptFailure::NoUpstream(UnavailableCause::Limited(delay)) => Refusal::Limited(delay),
        _ => Refusal::NoUpstream,
    };
    refuse(context.log, refusal, failure.as_str())
}

/// Reads a complete response body.
async fn read_response(
    context: &mut RequestContext,
    response: OpenResponse,
) -> Result<CompleteResponse, AttemptFailure> {
    context.may_have_run = true;
    let OpenResponse { head, body, framing, connection, mut placement } = response;
    placement.note_first_event(ClockTime::now());
    let left = context.time_left(ClockTime::now());
    connection.allowance.set(MAX_PLAIN_BODY);
    // Guards against many responses without end, each within its own bound.
    let mut memory = ReceivedMemory::new(&context.state.limiter);
    let collected = within(left, collect_body(body, &mut memory)).await;
    let mut collected = collected.unwrap_or(Err(AttemptFailure::TimedOut));
    if collected.is_err() && connection.allowance.is_exhausted() {
        collected = Err(AttemptFailure::Lost(LossCause::Oversized));
    }
    if collected.is_ok()
        && may_be_cut(&context.state, framing, &connection, &placement.attempt().upstream).await
    {
        collected = Err(AttemptFailure::Lost(LossCause::WithinBody));
    }
    let now = ClockTime::now();
    let bytes = match collected {
        Ok(bytes) => bytes,
        Err(failure) => {
            context.end_attempt(placement, failure, now).await;
            return Err(failure);
        }
    };
    if !closes_connection(&head) {
        context.state.pool.keep(&placement.attempt().upstream.name, connection, now);
    }
    let response = CompleteResponse { head, bytes };
    let outcome = if response.is_failure() { SendOutcome::Failed } else { SendOutcome::Answered };
    placement.finish(outcome, now);
    Ok(response)
}

/// Reads a body to its end. It is in memory twice while its pieces are joined.
async fn collect_body(
    mut body: Incoming,
    memory: &mut ReceivedMemory,
) -> Result<Bytes, AttemptFailure> {
    let mut first = Bytes::new();
    let mut joined = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| AttemptFailure::Lost(LossCause::WithinBody))?;
        // Trailers aren't forwarded.
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        let buffered = first.len() + joined.len() + bytes.len();
        if !memory.cover(ByteCount((BODY_COPIES * buffered) as u64)) {
            return Err(AttemptFailure::Lost(LossCause::Oversized));
        }
        if first.is_empty() && joined.is_empty() {
            first = bytes;
            continue;
        }
        joined.extend_from_slice(&std::mem::take(&mut first));
        joined.extend_from_slice(&bytes);
    }
    Ok(if joined.is_empty() { first } else { joined.freeze() })
}

/// Whether the upstream closes the connection after this response.
pub(crate) fn closes_connection(head: &ResponseParts) -> bool {
    let value = head.headers.get(CONNECTION);
    value.and_then(|value| value.to_str().ok()).is_some_and(|text| text.contains("close"))
}

/// Forwards a complete response with the upstream's status and body.
fn respond(mut context: RequestContext, response: CompleteResponse) -> Response<ResponseBody> {
    let mut head = response.head;
    let outcome = if head.status.is_server_error() { Outcome::Failed } else { Outcome::Answered };
    strip_hop_by_hop(&mut head.headers);
    let now = ClockTime::now();
    // An earlier attempt's response may be forwarded after a later one that cost nothing.
    context.charge_prompt();
    // A plain body is charged like one event: nothing shows how many tokens it has.
    if context.request.route.streaming && head.status.is_success() {
        context.charge_events(1);
    }
    // A response of 5xx doesn't show that the request is harmless, and one of 4xx only that its content
    // is: nothing was written on its prompt.
    if head.status.is_success() {
        context.clear_crashes(now);
    } else if outcome == Outcome::Answered {
        context.clear_content_crashes(now);
    }
    context.log.first = Some(now);
    context.log.conclude(outcome, head.status.as_u16(), "");
    context.state.limiter.note_written(response.bytes.len());
    let held = context.state.limiter.hold(ByteCount(response.bytes.len() as u64));
    Response::from_parts(head, ResponseBody::counted(response.bytes, held))
}
