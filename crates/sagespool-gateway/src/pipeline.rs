//! The request pipeline: admit, reserve, attempt, respond, settle.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::future::or;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{CONNECTION, HOST};
use hyper::http::request::Parts as RequestParts;
use hyper::http::response::Parts as ResponseParts;
use hyper::{Request, Response};
use sagespool_forward::{ArrivedRequest, BranchPlan, PlanIndex, RequestAttributes, SendOutcome};
use sagespool_link::within;
use sagespool_types::{ByteCount, ClockTime};

use crate::attempt::{OpenAnswer, SendFailure, ShortCause, send_once};
use crate::body::AnswerBody;
use crate::crashes::content_of;
use crate::desk::{BudgetOrder, Reservation};
use crate::flight::{AdmittedRequest, Flight, FlightRecord};
use crate::hop::strip_hop;
use crate::metrics::Outcome;
use crate::refusal::Refusal;
use crate::request_body::{declared_length, discard, read_body};
use crate::state::GatewayState;
use crate::stream::start_stream;

/// A request isn't sent with less time left: the round trip to an upstream takes up to 2 ms.
const LEAST_TIME: Duration = Duration::from_millis(5);
/// Reserved for sending the response to the caller, so that it arrives before the caller's
/// deadline.
const ANSWER_WAY: Duration = Duration::from_millis(10);
/// Maximum length in bytes of a response that isn't streamed. Such a response is buffered before it
/// is forwarded, so that a truncated one is detected and the request can be retried.
const LONGEST_WHOLE: usize = 16 << 20;
/// Attempt timeout of an idempotent request, as a share of the route's latency target.
const PATIENCE_SHARE: f64 = 0.6;
/// The same for streams, whose first event may queue behind other requests' long prompts:
/// processing the prompt again on another upstream costs more than a late first event.
const STREAM_PATIENCE_SHARE: f64 = 1.5;
/// The lowest priority (largest number) that upstreams accept.
const LAST_RANK: u8 = 9;

pub(crate) async fn serve(
    state: Arc<GatewayState>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let began = ClockTime::now();
    let (head, body) = request.into_parts();
    let mut record = FlightRecord::new(&state, began);
    let request = match admit(&state, &head, body, began, &mut record).await {
        Ok(request) => request,
        Err(refusal) => return refuse(record, refusal, refusal.reason()),
    };
    state.retries().count_request(&request.service, ClockTime::now());
    let flight = Flight {
        state,
        request,
        head,
        sends: 0,
        tried: Vec::new(),
        may_have_run: false,
        last_event: None,
        record,
    };
    run_or_end(flight).await
}

/// Runs a request until it ends or until the time limit of a graceful stop. In the second case the
/// caller gets a response that the request may have run, instead of a closed connection that looks
/// like a network failure, and the attempt at the upstream is cancelled.
async fn run_or_end(flight: Flight) -> Response<AnswerBody> {
    let state = flight.state.clone();
    let ended = async {
        state.over.wait().await;
        Refusal::Ended.response()
    };
    or(run(flight), ended).await
}

fn refuse(mut record: FlightRecord, refusal: Refusal, detail: &str) -> Response<AnswerBody> {
    record.conclude(Outcome::Refused, refusal.status().as_u16(), detail);
    refusal.response()
}

/// Performs all steps before the first attempt.
async fn admit(
    state: &Arc<GatewayState>,
    head: &RequestParts,
    body: Incoming,
    began: ClockTime,
    record: &mut FlightRecord,
) -> Result<AdmittedRequest, Refusal> {
    let index = state.plan().ok_or(Refusal::NoPlan)?;
    let demand = (state.dialect.read_caller_headers)(&head.headers).map_err(Refusal::Demand)?;
    record.request.clone_from(&demand.request);
    let host = host_of(head).ok_or(Refusal::NoHost)?;
    let found = index.route(&host, head.uri.path(), &demand.request);
    let found = found.ok_or(Refusal::UnknownRoute)?;
    record.route.clone_from(&found.route.name);
    let (route, service) = (found.route.clone(), found.service.clone());
    let branch = find_branch(&index, &demand, route.open)?;
    record.branch = branch.map(|branch| branch.name.clone());
    let timeout = demand.timeout.unwrap_or(route.time_limit).min(route.time_limit);
    let deadline = began.after(timeout.saturating_sub(ANSWER_WAY));
    if state.ends_before(deadline) {
        return Err(Refusal::Stopping);
    }
    let rank = branch.and_then(|branch| branch.priority).unwrap_or(route.priority);
    let arrived = ArrivedRequest {
        branch: branch.map(|branch| &branch.name),
        rank,
        latency_target: route.latency_target,
        time_left: deadline.since(began),
    };
    let taken = state.intake.admit(arrived, declared_length(&body)).await;
    record.turn = state.intake.turn(ClockTime::now());
    let mut pass = match taken {
        Ok(pass) => pass,
        Err(refusal) => {
            discard(body);
            return Err(refusal);
        }
    };
    let body = read_body(&index, body, &mut pass, deadline.since(ClockTime::now())).await?;
    if state.crashes.stops(|| content_of(demand.key.as_deref(), head, &body)) {
        return Err(Refusal::Stopped);
    }
    if deadline.since(ClockTime::now()) < LEAST_TIME {
        return Err(Refusal::TooLate);
    }
    let reservation = match branch {
        Some(branch) => reserve(state, &index, branch, &demand, deadline).await?,
        None => None,
    };
    let branch_homes = branch.map(|branch| branch.homes.clone()).unwrap_or_default();
    let branch = branch.map(|branch| branch.name.clone());
    Ok(AdmittedRequest {
        priority: rank.min(LAST_RANK),
        branch,
        branch_homes,
        route,
        service,
        demand,
        body,
        reservation,
        _pass: pass,
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
    demand: &RequestAttributes,
    open: bool,
) -> Result<Option<&'a BranchPlan>, Refusal> {
    let branch = demand.key.as_deref().and_then(|key| index.branch(key));
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
    demand: &RequestAttributes,
    deadline: ClockTime,
) -> Result<Option<Reservation>, Refusal> {
    let (Some(prepaid), Some(tokens)) = (branch.prepaid, demand.tokens) else {
        return Ok(None);
    };
    let order = BudgetOrder {
        branch: branch.name.clone(),
        version: index.plan().version,
        prepaid,
        amount: tokens.most(),
        request: demand.request.clone(),
    };
    state.desk.reserve(&order, deadline, &state.fleet).await.map(Some)
}

/// An upstream's response with its complete body.
struct WholeAnswer {
    head: ResponseParts,
    bytes: Bytes,
}

impl WholeAnswer {
    fn is_failure(&self) -> bool {
        self.head.status.is_server_error()
    }
}

/// Makes attempts until an upstream responds or no further attempt is allowed.
async fn run(mut flight: Flight) -> Response<AnswerBody> {
    // The last 5xx response, which is forwarded if no other upstream succeeds.
    let mut failed: Option<WholeAnswer> = None;
    loop {
        let timeout = send_patience(&flight, ClockTime::now());
        let result = match send_once(&mut flight, timeout).await {
            Ok(answer) if is_stream(&flight, &answer) => return start_stream(flight, answer).await,
            Ok(answer) => collect(&mut flight, answer).await,
            Err(failure) => Err(failure),
        };
        let failure = match result {
            Ok(answer) if answer.is_failure() && flight.is_idempotent() => {
                failed = Some(answer);
                SendFailure::Lost("failure-status")
            }
            Ok(answer) => return respond(flight, answer),
            Err(failure) => failure,
        };
        if may_send_again(&flight, failure, ClockTime::now()) {
            continue;
        }
        return match failed {
            Some(answer) => respond(flight, answer),
            None => give_up(flight, failure),
        };
    }
}

fn is_stream(flight: &Flight, answer: &OpenAnswer) -> bool {
    flight.request.route.streaming && answer.head.status.is_success()
}

/// The time limit of an attempt until the response head arrives.
pub(crate) fn send_patience(flight: &Flight, now: ClockTime) -> Duration {
    let left = flight.time_left(now);
    let route = &flight.request.route;
    let is_last = flight.sends + 1 >= route.attempts;
    if !flight.is_idempotent() || is_last {
        return left;
    }
    let share = if route.streaming { STREAM_PATIENCE_SHARE } else { PATIENCE_SHARE };
    left.min(route.latency_target.mul_f64(share))
}

/// Whether a request whose last attempt failed may be sent to another upstream.
pub(crate) fn may_send_again(flight: &Flight, failure: SendFailure, now: ClockTime) -> bool {
    if matches!(failure, SendFailure::NoUpstream(_)) || flight.time_left(now) < LEAST_TIME {
        return false;
    }
    if !failure.surely_not_run() && !flight.is_idempotent() {
        return false;
    }
    if flight.sends >= flight.request.route.attempts {
        return false;
    }
    // Nothing was sent, so a retry adds no load to upstreams and needs no retry budget.
    if matches!(failure, SendFailure::NotSent(_) | SendFailure::HeldBack) {
        return true;
    }
    let instances = flight.state.instances();
    flight.state.retries().try_retry(&flight.request.service, instances, now)
}

fn give_up(mut flight: Flight, failure: SendFailure) -> Response<AnswerBody> {
    flight.uncharge_prompt();
    let refusal = match failure {
        SendFailure::Silent => Refusal::TimedOut,
        _ if flight.may_have_run => Refusal::Failed,
        SendFailure::TurnedAway => Refusal::Busy,
        SendFailure::NoUpstream(ShortCause::Evacuated) => Refusal::Evacuated,
        SendFailure::NoUpstream(ShortCause::Limited(turn)) => Refusal::Limited(turn),
        _ => Refusal::NoUpstream,
    };
    refuse(flight.record, refusal, failure.as_str())
}

/// Reads a complete response body.
async fn collect(flight: &mut Flight, answer: OpenAnswer) -> Result<WholeAnswer, SendFailure> {
    flight.may_have_run = true;
    let OpenAnswer { head, body, connection, mut place } = answer;
    place.began(ClockTime::now());
    let left = flight.time_left(ClockTime::now());
    let collected = async {
        let collected = Limited::new(body, LONGEST_WHOLE).collect().await;
        collected.map(|whole| whole.to_bytes()).map_err(|_| SendFailure::Lost("answer-broken"))
    };
    let collected = within(left, collected).await.unwrap_or(Err(SendFailure::Silent));
    let now = ClockTime::now();
    let bytes = match collected {
        Ok(bytes) => bytes,
        Err(failure) => {
            place.finish(SendOutcome::Broken, now);
            return Err(failure);
        }
    };
    if !says_close(&head) {
        flight.state.pool.keep(&place.ticket().upstream.name, connection, now);
    }
    let answer = WholeAnswer { head, bytes };
    let outcome = if answer.is_failure() { SendOutcome::Failed } else { SendOutcome::Answered };
    place.finish(outcome, now);
    Ok(answer)
}

/// Whether the upstream closes the connection after this response.
pub(crate) fn says_close(head: &ResponseParts) -> bool {
    let value = head.headers.get(CONNECTION);
    value.and_then(|value| value.to_str().ok()).is_some_and(|text| text.contains("close"))
}

/// Forwards a complete response with the upstream's status and body.
fn respond(mut flight: Flight, answer: WholeAnswer) -> Response<AnswerBody> {
    let mut head = answer.head;
    let outcome = if head.status.is_server_error() { Outcome::Failed } else { Outcome::Answered };
    strip_hop(&mut head.headers);
    flight.clear_crashes();
    flight.record.first = Some(ClockTime::now());
    flight.record.conclude(outcome, head.status.as_u16(), "");
    let held = flight.state.intake.hold(ByteCount(answer.bytes.len() as u64));
    Response::from_parts(head, AnswerBody::counted(answer.bytes, held))
}
