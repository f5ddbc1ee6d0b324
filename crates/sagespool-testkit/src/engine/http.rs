//! The HTTP API of the engine.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::future;
use sagespool_types::ClockTime;
use serde_json::json;
use smol::Timer;
use trillium::{Body, Conn, Handler, KnownHeaderName, Status};
use trillium_router::{Router, RouterConnExt};

use super::EngineShared;
use super::batch::{EngineBatch, SubmitRefusal};
use super::cache::FeedPoll;
use super::orders::FencedOrder;
use super::request::CompletionRequest;
use super::run::{ArrivedRequest, RunNumber};
use super::stream::{AnswerBody, RunStream, StreamParams};
use crate::fault_gate::{ServerDown, StartNumber};
use crate::http_helpers::{
    attempt_of, error_response, header_text, json_response, query_number, with_request_headers,
};
use crate::mixed_answers::RequestAnswer;
use crate::restartable_server::{connection_of, lock, peer_closed};

const MAX_WAIT: Duration = Duration::from_secs(60);

/// A call, bound to the engine start that received it.
#[derive(Clone)]
pub(super) struct EngineCall {
    pub(super) engine: Arc<EngineShared>,
    pub(super) start: StartNumber,
}

/// The routes of one engine start.
pub(super) fn routes(engine: Arc<EngineShared>, start: StartNumber) -> Router {
    let call = EngineCall { engine, start };
    Router::new()
        .post("/v1/chat/completions", call.handler(complete))
        .post("/v1/requests/:request/cancel", call.handler(cancel))
        .get("/load", call.handler(load))
        .get("/cache-events", call.handler(cache_events))
        .post("/orders", call.handler(order))
        .get("/healthz", call.handler(healthz))
}

impl EngineCall {
    fn handler<F, Fut>(&self, answer: F) -> impl Handler + use<F, Fut>
    where
        F: Fn(EngineCall, Conn) -> Fut + Copy + Send + Sync + 'static,
        Fut: Future<Output = Conn> + Send + 'static,
    {
        let call = self.clone();
        move |conn: Conn| {
            let call = call.clone();
            async move {
                match call.engine.gate.wait_open(call.start).await {
                    Ok(()) => answer(call, conn).await,
                    Err(down) => down_response(conn, down),
                }
            }
        }
    }
}

/// Rarely received: the crash has already closed the connection.
fn down_response(conn: Conn, _down: ServerDown) -> Conn {
    error_response(conn, Status::ServiceUnavailable, "the engine is down")
}

async fn healthz(_call: EngineCall, conn: Conn) -> Conn {
    json_response(conn, Status::Ok, &json!({}))
}

async fn complete(call: EngineCall, mut conn: Conn) -> Conn {
    let body = match conn.request_body().read_bytes().await {
        Ok(body) => body,
        Err(_) => return error_response(conn, Status::BadRequest, "the body could not be read"),
    };
    let completion = match CompletionRequest::read(&body) {
        Ok(completion) => completion,
        Err(error) => return error_response(conn, Status::BadRequest, &error.to_string()),
    };
    let own = RequestAnswer {
        request: header_text(&conn, "x-request-id"),
        attempt: attempt_of(&conn),
        content: completion.seed,
    };
    let answer = lock(&call.engine.mixed_answers).answer_for(own.clone());
    let params = StreamParams {
        seed: answer.content,
        prompt_tokens: completion.prompt_tokens,
        resumed_from: completion.resumed_from,
    };
    let arrived = ArrivedRequest {
        completion,
        request: own.request,
        attempt: own.attempt,
        key: header_text(&conn, "idempotency-key"),
        at: ClockTime::now(),
    };
    let submit = |batch: &mut EngineBatch, faults, now| batch.submit(arrived, faults, now);
    match call.engine.with_batch(call.start, submit) {
        Ok(Ok((number, stream))) => {
            answer_stream(call, with_request_headers(conn, &answer), number, stream, params)
        }
        Ok(Err(SubmitRefusal::UnknownModel)) => {
            error_response(conn, Status::NotFound, "this engine doesn't serve the model")
        }
        Ok(Err(SubmitRefusal::QueueFull)) => {
            error_response(conn, Status::TooManyRequests, "the queue is full")
        }
        Err(down) => down_response(conn, down),
    }
}

fn answer_stream(
    call: EngineCall,
    conn: Conn,
    number: RunNumber,
    stream: Arc<RunStream>,
    params: StreamParams,
) -> Conn {
    let connection = connection_of(&conn);
    let disconnected = async move {
        match connection {
            Some(connection) => peer_closed(connection).await,
            None => future::pending().await,
        }
    };
    let drop_run = move || {
        // Fails if the start has ended; its runs have ended with it.
        let _ = call.engine.with_batch(call.start, |batch, faults, now| {
            batch.drop_run(number, faults, now);
        });
    };
    let body = AnswerBody::new(stream, params, disconnected, drop_run);
    conn.with_status(Status::Ok)
        .with_response_header(KnownHeaderName::ContentType, "text/event-stream")
        .with_body(Body::new_streaming(body, None))
        .halt()
}

async fn cancel(call: EngineCall, conn: Conn) -> Conn {
    let Some(request) = conn.param("request").map(str::to_owned) else {
        return error_response(conn, Status::BadRequest, "no request is named");
    };
    let attempt = attempt_of(&conn);
    let cancelled = call
        .engine
        .with_batch(call.start, |batch, faults, now| batch.cancel(&request, attempt, faults, now));
    match cancelled {
        Ok(cancelled) => json_response(conn, Status::Ok, &json!({ "cancelled": cancelled })),
        Err(down) => down_response(conn, down),
    }
}

async fn load(call: EngineCall, conn: Conn) -> Conn {
    let reported = call.engine.with_batch(call.start, |batch, _, now| batch.reported_load(now));
    let (number, load) = match reported {
        Ok(reported) => reported,
        Err(down) => return down_response(conn, down),
    };
    let mut report = serde_json::to_value(load).expect("a load serializes to JSON");
    report["number"] = number.into();
    report["start"] = json!(call.start);
    json_response(conn, Status::Ok, &report)
}

async fn cache_events(call: EngineCall, conn: Conn) -> Conn {
    let after = query_number(&conn, "after").unwrap_or(0);
    let wait = Duration::from_millis(query_number(&conn, "wait_ms").unwrap_or(0));
    let deadline = ClockTime::now().after(wait.min(MAX_WAIT));
    loop {
        let feed_extended = call.engine.feed_extended.listen();
        let answer =
            call.engine.with_batch(call.start, |batch, _, now| batch.feed.after(after, now));
        let visible_at = match answer {
            Ok(FeedPoll::Events(events)) => {
                return json_response(
                    conn,
                    Status::Ok,
                    &json!({ "start": call.start, "events": events }),
                );
            }
            Ok(FeedPoll::EmptyUntil(visible_at)) => visible_at,
            Err(down) => return down_response(conn, down),
        };
        let now = ClockTime::now();
        if now >= deadline {
            return json_response(conn, Status::Ok, &json!({ "start": call.start, "events": [] }));
        }
        let wake_at = visible_at.map_or(deadline, |visible_at| visible_at.min(deadline));
        let waited = future::or(feed_extended, async {
            Timer::after(wake_at.since(now)).await;
        });
        let ended = async {
            call.engine.gate.wait_end(call.start).await;
        };
        future::or(waited, ended).await;
    }
}

async fn order(call: EngineCall, mut conn: Conn) -> Conn {
    let body = match conn.request_body().read_bytes().await {
        Ok(body) => body,
        Err(_) => return error_response(conn, Status::BadRequest, "the body could not be read"),
    };
    let fenced: FencedOrder = match serde_json::from_slice(&body) {
        Ok(fenced) => fenced,
        Err(error) => return error_response(conn, Status::BadRequest, &error.to_string()),
    };
    let accepted = lock(&call.engine.state).orders.accept(&fenced, ClockTime::now());
    if let Err(newest) = accepted {
        return json_response(conn, Status::Conflict, &json!({ "newest": newest }));
    }
    match call.execute(fenced.order) {
        Ok(()) => json_response(conn, Status::Ok, &json!({})),
        Err(down) => down_response(conn, down),
    }
}
