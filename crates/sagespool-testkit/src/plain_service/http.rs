//! The HTTP API of the plain service.

use std::sync::Arc;

use futures_lite::future;
use sagespool_messages::UpstreamKind;
use sagespool_types::{ClockTime, TokenCount};
use serde_json::json;
use trillium::{Conn, Handler, KnownHeaderName, Status};
use trillium_router::Router;

use super::{FailureShares, ServiceLoad, ServiceShared, service_answer};
use crate::engine::is_poisonous;
use crate::fault_gate::{ServerDown, StartNumber};
use crate::http_helpers::{
    attempt_of, error_response, header_text, json_response, with_request_headers,
};
use crate::mixed_answers::RequestAnswer;
use crate::restartable_server::{break_connection, lock};
use crate::run_log::{RunEnd, RunMarker, RunRecorder, RunStart};

/// A call, bound to the service start that received it.
#[derive(Clone)]
struct ServiceCall {
    service: Arc<ServiceShared>,
    start: StartNumber,
}

/// The routes of one service start.
pub(super) fn routes(service: Arc<ServiceShared>, start: StartNumber) -> impl Handler {
    let call = ServiceCall { service, start };
    let load_call = call.clone();
    let health_call = call.clone();
    let router = Router::new()
        .get("/healthz", move |conn: Conn| healthz(health_call.clone(), conn))
        .get("/load", move |conn: Conn| load(load_call.clone(), conn));
    let any_call = move |conn: Conn| {
        let call = call.clone();
        async move {
            match call.answer(conn).await {
                Ok(conn) => conn,
                Err(conn) => {
                    error_response(conn, Status::ServiceUnavailable, "the service is down")
                }
            }
        }
    };
    (router, any_call)
}

async fn healthz(call: ServiceCall, conn: Conn) -> Conn {
    match call.service.gate.wait_open(call.start).await {
        Ok(()) => json_response(conn, Status::Ok, &json!({})),
        Err(ServerDown) => error_response(conn, Status::ServiceUnavailable, "the service is down"),
    }
}

async fn load(call: ServiceCall, conn: Conn) -> Conn {
    if call.service.gate.wait_open(call.start).await.is_err() {
        return error_response(conn, Status::ServiceUnavailable, "the service is down");
    }
    let (number, load) = call.service.reported_load();
    let ServiceLoad { running, waiting, capacity } = load;
    let report = json!({
        "start": call.start, "number": number,
        "running": running, "waiting": waiting, "capacity": capacity,
    });
    json_response(conn, Status::Ok, &report)
}

/// The outcome of a call.
enum CallOutcome {
    /// The injected failure before the run.
    Failed,
    /// The call ran, but its answer is dropped.
    Unanswered,
    /// The call ran and is answered.
    Answered,
}

impl ServiceCall {
    /// Runs a call; the error is its connection if the service crashed or drops the answer.
    async fn answer(&self, mut conn: Conn) -> Result<Conn, Conn> {
        let arrived_at = ClockTime::now();
        if self.service.gate.wait_open(self.start).await.is_err() {
            return Err(conn);
        }
        let Ok(body) = conn.request_body().read_bytes().await else {
            return Ok(error_response(conn, Status::BadRequest, "the body could not be read"));
        };
        let path = conn.path_and_query().to_owned();
        let poisonous = is_poisonous(&path) || is_poisonous(&String::from_utf8_lossy(&body));
        let start = RunStart {
            upstream: self.service.options.name.clone(),
            kind: UpstreamKind::Service,
            request: header_text(&conn, "x-request-id"),
            attempt: attempt_of(&conn),
            marker: find_marker(&path, &body),
            key: header_text(&conn, "idempotency-key"),
            prompt_tokens: TokenCount::ZERO,
            resumed_from: TokenCount::ZERO,
            arrived_at,
        };
        match self.run(start, poisonous).await {
            Ok(CallOutcome::Failed) => {
                Ok(error_response(conn, Status::InternalServerError, "failed before execution"))
            }
            Ok(CallOutcome::Unanswered) => {
                break_connection(&conn);
                Err(conn)
            }
            Ok(CallOutcome::Answered) => {
                let own = RequestAnswer {
                    request: header_text(&conn, "x-request-id"),
                    attempt: attempt_of(&conn),
                    content: service_answer(&path, &body),
                };
                let answer = lock(&self.service.mixed_answers).answer_for(own);
                let conn = with_request_headers(conn, &answer)
                    .with_status(Status::Ok)
                    .with_response_header(KnownHeaderName::ContentType, "application/json")
                    .with_body(answer.content);
                Ok(conn.halt())
            }
            Err(ServerDown) => Err(conn),
        }
    }

    async fn run(&self, start: RunStart, poisonous: bool) -> Result<CallOutcome, ServerDown> {
        let service = &self.service;
        let waiting = LoadGuard::new(service, |load| &mut load.waiting);
        let down = async { Err(service.gate.wait_end(self.start).await) };
        let slot = async { Ok(service.slots.acquire().await) };
        let _slot = future::or(slot, down).await?;
        drop(waiting);
        let _running = LoadGuard::new(service, |load| &mut load.running);
        if service.next_call_fails(|shares: &FailureShares| shares.before_running) {
            return Ok(CallOutcome::Failed);
        }
        let recorder = self.start_run(start)?;
        if poisonous {
            service.crash(Some(self.start));
            service.restart_later(self.start);
            return Err(ServerDown);
        }
        let latency = lock(&service.state).latency;
        service.gate.delay(self.start, latency).await?;
        service.gate.wait_open(self.start).await?;
        let answered = !service.next_call_fails(|shares: &FailureShares| shares.after_running);
        let end = if answered { RunEnd::Finished } else { RunEnd::Unanswered };
        self.end_run(&recorder, end);
        match answered {
            true => Ok(CallOutcome::Answered),
            false => Ok(CallOutcome::Unanswered),
        }
    }

    /// Records the start of a run; an error if the service has crashed, so the call does not run.
    fn start_run(&self, start: RunStart) -> Result<RunRecorder, ServerDown> {
        let service = &self.service;
        let mut state = lock(&service.state);
        if service.gate.start() != Some(self.start) {
            return Err(ServerDown);
        }
        let recorder = service.options.run_log.start(start, ClockTime::now());
        state.running.insert(recorder.number(), recorder.clone());
        Ok(recorder)
    }

    fn end_run(&self, recorder: &RunRecorder, end: RunEnd) {
        let mut state = lock(&self.service.state);
        state.running.remove(&recorder.number());
        recorder.end(end, ClockTime::now());
    }
}

fn find_marker(path: &str, body: &[u8]) -> Option<RunMarker> {
    RunMarker::find(path).or_else(|| RunMarker::find(&String::from_utf8_lossy(body)))
}

/// Counts a call in the load until dropped.
struct LoadGuard<'a> {
    service: &'a ServiceShared,
    count_of: fn(&mut ServiceLoad) -> &mut usize,
}

impl<'a> LoadGuard<'a> {
    fn new(service: &'a ServiceShared, count_of: fn(&mut ServiceLoad) -> &mut usize) -> Self {
        service.change_load(|load| *count_of(load) += 1);
        Self { service, count_of }
    }
}

impl Drop for LoadGuard<'_> {
    fn drop(&mut self) {
        self.service.change_load(|load| *(self.count_of)(load) -= 1);
    }
}
