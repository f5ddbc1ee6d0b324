//! The engine's HTTP calls.

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
use super::cache::FeedAnswer;
use super::orders::FencedOrder;
use super::request::CompletionOrder;
use super::run::{ArrivedRequest, RunNumber};
use super::stream::{AnswerBody, RunStream, StreamPlan};
use crate::crossing::OwnedAnswer;
use crate::fault_gate::{StandGone, StartNumber};
use crate::http_answer::{
    answer_error, answer_json, attempt_of, header_text, query_number, with_owner,
};
use crate::stand_server::{connection_of, lock, peer_gone};

const LONGEST_WAIT: Duration = Duration::from_secs(60);

/// One call of one start of an engine.
#[derive(Clone)]
pub(super) struct EngineCall {
    pub(super) engine: Arc<EngineShared>,
    pub(super) start: StartNumber,
}

/// The calls of one start of an engine.
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
                match call.engine.gate.pass(call.start).await {
                    Ok(()) => answer(call, conn).await,
                    Err(gone) => answer_gone(conn, gone),
                }
            }
        }
    }
}

/// Hardly seen: the connection is broken by now.
fn answer_gone(conn: Conn, _gone: StandGone) -> Conn {
    answer_error(conn, Status::ServiceUnavailable, "the engine is down")
}

async fn healthz(_call: EngineCall, conn: Conn) -> Conn {
    answer_json(conn, Status::Ok, &json!({}))
}

async fn complete(call: EngineCall, mut conn: Conn) -> Conn {
    let body = match conn.request_body().read_bytes().await {
        Ok(body) => body,
        Err(_) => return answer_error(conn, Status::BadRequest, "the body could not be read"),
    };
    let order = match CompletionOrder::read(&body) {
        Ok(order) => order,
        Err(fault) => return answer_error(conn, Status::BadRequest, &fault.to_string()),
    };
    let own = OwnedAnswer {
        request: header_text(&conn, "x-request-id"),
        attempt: attempt_of(&conn),
        content: order.seed,
    };
    let answer = lock(&call.engine.crossed).answer_for(own.clone());
    let plan = StreamPlan {
        seed: answer.content,
        prompt_tokens: order.prompt_tokens,
        resumed_from: order.resumed_from,
    };
    let arrived = ArrivedRequest {
        order,
        request: own.request,
        attempt: own.attempt,
        key: header_text(&conn, "idempotency-key"),
        at: ClockTime::now(),
    };
    let submit = |batch: &mut EngineBatch, pace, now| batch.submit(arrived, pace, now);
    match call.engine.with_batch(call.start, submit) {
        Ok(Ok((number, stream))) => {
            answer_stream(call, with_owner(conn, &answer), number, stream, plan)
        }
        Ok(Err(SubmitRefusal::UnknownModel)) => {
            answer_error(conn, Status::NotFound, "this engine doesn't serve the model")
        }
        Ok(Err(SubmitRefusal::QueueFull)) => {
            answer_error(conn, Status::TooManyRequests, "the queue is full")
        }
        Err(gone) => answer_gone(conn, gone),
    }
}

fn answer_stream(
    call: EngineCall,
    conn: Conn,
    number: RunNumber,
    stream: Arc<RunStream>,
    plan: StreamPlan,
) -> Conn {
    let connection = connection_of(&conn);
    let caller_gone = async move {
        match connection {
            Some(connection) => peer_gone(connection).await,
            None => future::pending().await,
        }
    };
    let give_up = move || {
        // A start that has ended has no run to give up.
        let _ = call.engine.with_batch(call.start, |batch, pace, now| {
            batch.give_up(number, pace, now);
        });
    };
    let body = AnswerBody::new(stream, plan, caller_gone, give_up);
    conn.with_status(Status::Ok)
        .with_response_header(KnownHeaderName::ContentType, "text/event-stream")
        .with_body(Body::new_streaming(body, None))
        .halt()
}

async fn cancel(call: EngineCall, conn: Conn) -> Conn {
    let Some(request) = conn.param("request").map(str::to_owned) else {
        return answer_error(conn, Status::BadRequest, "no request is named");
    };
    let attempt = attempt_of(&conn);
    let cancelled = call
        .engine
        .with_batch(call.start, |batch, pace, now| batch.cancel(&request, attempt, pace, now));
    match cancelled {
        Ok(cancelled) => answer_json(conn, Status::Ok, &json!({ "cancelled": cancelled })),
        Err(gone) => answer_gone(conn, gone),
    }
}

async fn load(call: EngineCall, conn: Conn) -> Conn {
    let seen = call.engine.with_batch(call.start, |batch, _, now| batch.load_seen(now));
    let (number, load) = match seen {
        Ok(seen) => seen,
        Err(gone) => return answer_gone(conn, gone),
    };
    let mut report = serde_json::to_value(load).expect("a load serializes to JSON");
    report["number"] = number.into();
    report["start"] = json!(call.start);
    answer_json(conn, Status::Ok, &report)
}

async fn cache_events(call: EngineCall, conn: Conn) -> Conn {
    let after = query_number(&conn, "after").unwrap_or(0);
    let wait = Duration::from_millis(query_number(&conn, "wait_ms").unwrap_or(0));
    let deadline = ClockTime::now().after(wait.min(LONGEST_WAIT));
    loop {
        let grown = call.engine.feed_grown.listen();
        let answer =
            call.engine.with_batch(call.start, |batch, _, now| batch.feed.after(after, now));
        let seen_at = match answer {
            Ok(FeedAnswer::Events(events)) => {
                return answer_json(
                    conn,
                    Status::Ok,
                    &json!({ "start": call.start, "events": events }),
                );
            }
            Ok(FeedAnswer::NothingUntil(seen_at)) => seen_at,
            Err(gone) => return answer_gone(conn, gone),
        };
        let now = ClockTime::now();
        if now >= deadline {
            return answer_json(conn, Status::Ok, &json!({ "start": call.start, "events": [] }));
        }
        let look_at = seen_at.map_or(deadline, |seen_at| seen_at.min(deadline));
        let waited = future::or(grown, async {
            Timer::after(look_at.since(now)).await;
        });
        let ended = async {
            call.engine.gate.ended(call.start).await;
        };
        future::or(waited, ended).await;
    }
}

async fn order(call: EngineCall, mut conn: Conn) -> Conn {
    let body = match conn.request_body().read_bytes().await {
        Ok(body) => body,
        Err(_) => return answer_error(conn, Status::BadRequest, "the body could not be read"),
    };
    let fenced: FencedOrder = match serde_json::from_slice(&body) {
        Ok(fenced) => fenced,
        Err(error) => return answer_error(conn, Status::BadRequest, &error.to_string()),
    };
    let taken = lock(&call.engine.state).orders.take(&fenced, ClockTime::now());
    if let Err(newest) = taken {
        return answer_json(conn, Status::Conflict, &json!({ "newest": newest }));
    }
    match call.carry_out(fenced.order) {
        Ok(()) => answer_json(conn, Status::Ok, &json!({})),
        Err(gone) => answer_gone(conn, gone),
    }
}
