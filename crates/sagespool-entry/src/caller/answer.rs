//! HTTP responses: a JSON document, server-sent events, or the bytes of a plain service.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use async_channel::Receiver;
use futures_lite::{AsyncRead, Stream};
use sagespool_messages::{FinishReason, HeaderPair, RefusalNotice};
use sagespool_types::{RequestId, TokenCount};
use serde_json::json;
use trillium::{Body, Conn, HeaderName, KnownHeaderName, Status};

use super::CompletionCall;
use super::error::{refusal_body, respond_refusal, with_request_headers};
use crate::run::{AnswerEvent, AnswerReceiver};

/// Chunks of a stream buffered for a slow caller.
const EVENT_BUFFER_CHUNKS: usize = 64;

/// A response body read from a channel.
struct ChannelReader {
    chunks: Pin<Box<Receiver<Vec<u8>>>>,
    chunk_bytes: Vec<u8>,
    consumed: usize,
}

impl AsyncRead for ChannelReader {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let reader = self.get_mut();
        while reader.consumed == reader.chunk_bytes.len() {
            match reader.chunks.as_mut().poll_next(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => return Poll::Ready(Ok(0)),
                Poll::Ready(Some(chunk)) => {
                    reader.chunk_bytes = chunk;
                    reader.consumed = 0;
                }
            }
        }
        let length = buffer.len().min(reader.chunk_bytes.len() - reader.consumed);
        let end = reader.consumed + length;
        buffer[..length].copy_from_slice(&reader.chunk_bytes[reader.consumed..end]);
        reader.consumed = end;
        Poll::Ready(Ok(length))
    }
}

fn streaming_body(chunks: Receiver<Vec<u8>>) -> Body {
    let reader = ChannelReader { chunks: Box::pin(chunks), chunk_bytes: Vec::new(), consumed: 0 };
    Body::new_streaming(reader, None)
}

fn finish_reason(stop: FinishReason) -> &'static str {
    match stop {
        FinishReason::Stop => "stop",
        FinishReason::Length => "length",
    }
}

fn missing_outcome_refusal() -> RefusalNotice {
    RefusalNotice {
        reason: sagespool_types::RefusalReason::OutcomeUnknown,
        run_state: sagespool_types::RunState::Unknown,
        message: "the request ended without reporting an outcome".into(),
        retry_after: Some(Duration::from_secs(1)),
    }
}

fn usage(call: &CompletionCall, tokens: u32) -> serde_json::Value {
    json!({
        "prompt_tokens": call.prompt_tokens,
        "completion_tokens": tokens,
        "total_tokens": call.prompt_tokens + tokens,
    })
}

/// A complete answer, or the refusal.
struct CollectedAnswer {
    status: u16,
    headers: Vec<HeaderPair>,
    data: Vec<u8>,
    tokens: u32,
    end: CollectedEnd,
}

enum CollectedEnd {
    Whole { billed: TokenCount, stop: FinishReason },
    Refused { notice: RefusalNotice, billed: TokenCount },
}

async fn collect(answers: AnswerReceiver) -> CollectedAnswer {
    let mut answer = CollectedAnswer {
        status: 200,
        headers: Vec::new(),
        data: Vec::new(),
        tokens: 0,
        end: CollectedEnd::Refused { notice: missing_outcome_refusal(), billed: TokenCount::ZERO },
    };
    while let Ok(event) = answers.recv().await {
        match event {
            AnswerEvent::Head { status, headers } => {
                answer.status = status;
                answer.headers = headers;
            }
            AnswerEvent::Piece { tokens, data } => {
                answer.tokens += tokens;
                answer.data.extend_from_slice(&data);
            }
            AnswerEvent::Whole { billed, stop } => {
                answer.end = CollectedEnd::Whole { billed, stop };
                break;
            }
            AnswerEvent::Refused { notice, billed } => {
                answer.end = CollectedEnd::Refused { notice, billed };
                break;
            }
        }
    }
    answer
}

/// Responds with a chat completion as one JSON document. If the caller disconnects earlier, the
/// receiver is dropped, which the run detects.
pub(super) async fn respond_whole(
    mut conn: Conn,
    call: &CompletionCall,
    request: RequestId,
    answers: AnswerReceiver,
) -> Conn {
    let Some(answer) = conn.cancel_on_disconnect(collect(answers)).await else {
        return conn;
    };
    let (billed, stop) = match answer.end {
        CollectedEnd::Whole { billed, stop } => (billed, stop),
        CollectedEnd::Refused { notice, billed } => {
            return respond_refusal(conn, &notice, request, billed);
        }
    };
    let body = json!({
        "id": request.to_string(),
        "object": "chat.completion",
        "model": call.model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": String::from_utf8_lossy(&answer.data)},
            "finish_reason": finish_reason(stop),
        }],
        "usage": usage(call, answer.tokens),
        "sagespool": {"request_id": request.to_string(), "billed": billed},
    });
    with_request_headers(conn, request, billed)
        .with_response_header(KnownHeaderName::ContentType, "application/json")
        .with_status(Status::Ok)
        .with_body(body.to_string())
        .halt()
}

fn event_line(value: &serde_json::Value) -> Vec<u8> {
    format!("data: {value}\n\n").into_bytes()
}

fn chunk_line(call: &CompletionCall, request: &str, text: &str) -> Vec<u8> {
    event_line(&json!({
        "id": request,
        "object": "chat.completion.chunk",
        "model": call.model,
        "choices": [{"index": 0, "delta": {"content": text}, "finish_reason": null}],
    }))
}

fn closing_lines(
    call: &CompletionCall,
    request: &str,
    tokens: u32,
    billed: TokenCount,
    stop: FinishReason,
) -> Vec<u8> {
    let mut lines = event_line(&json!({
        "id": request,
        "object": "chat.completion.chunk",
        "model": call.model,
        "choices": [{"index": 0, "delta": {}, "finish_reason": finish_reason(stop)}],
        "usage": usage(call, tokens),
        "sagespool": {"request_id": request, "billed": billed},
    }));
    lines.extend_from_slice(b"data: [DONE]\n\n");
    lines
}

/// Responds with a chat completion as server-sent events. The status is sent with the first event,
/// so that an earlier refusal still is a plain HTTP refusal; a later one is an event `error`
/// without a `[DONE]`.
pub(super) async fn respond_events(
    mut conn: Conn,
    call: CompletionCall,
    request: RequestId,
    answers: AnswerReceiver,
) -> Conn {
    let Some(first) = conn.cancel_on_disconnect(answers.recv()).await else {
        return conn;
    };
    let first = match first {
        Ok(AnswerEvent::Refused { notice, billed }) => {
            return respond_refusal(conn, &notice, request, billed);
        }
        Ok(event) => event,
        Err(_) => {
            return respond_refusal(conn, &missing_outcome_refusal(), request, TokenCount::ZERO);
        }
    };
    let (sender, chunks) = async_channel::bounded(EVENT_BUFFER_CHUNKS);
    smol::spawn(pump_events(call, request, first, answers, sender)).detach();
    conn.with_response_header("sagespool-request-id", request.to_string())
        .with_response_header(KnownHeaderName::ContentType, "text/event-stream")
        .with_response_header(KnownHeaderName::CacheControl, "no-cache")
        .with_status(Status::Ok)
        .with_body(streaming_body(chunks))
        .halt()
}

async fn pump_events(
    call: CompletionCall,
    request: RequestId,
    first: AnswerEvent,
    answers: AnswerReceiver,
    sender: async_channel::Sender<Vec<u8>>,
) {
    let id = request.to_string();
    let mut tokens = 0;
    let mut next = Ok(first);
    while let Ok(event) = next {
        let (chunk, last) = match event {
            AnswerEvent::Head { .. } => (Vec::new(), false),
            AnswerEvent::Piece { tokens: more, data } => {
                tokens += more;
                (chunk_line(&call, &id, &String::from_utf8_lossy(&data)), false)
            }
            AnswerEvent::Whole { billed, stop } => {
                (closing_lines(&call, &id, tokens, billed, stop), true)
            }
            AnswerEvent::Refused { notice, billed } => {
                (error_lines(&notice, request, billed), true)
            }
        };
        // A disconnected caller drops the body and with it the channel. Returning drops the
        // receiver, which the run detects.
        if sender.send(chunk).await.is_err() || last {
            return;
        }
        next = answers.recv().await;
    }
    let _ = sender.send(error_lines(&missing_outcome_refusal(), request, TokenCount::ZERO)).await;
}

fn error_lines(notice: &RefusalNotice, request: RequestId, billed: TokenCount) -> Vec<u8> {
    let body = refusal_body(notice, request, billed);
    format!("event: error\ndata: {body}\n\n").into_bytes()
}

fn with_service_headers(mut conn: Conn, headers: Vec<HeaderPair>) -> Conn {
    for pair in headers {
        let withheld =
            ["content-length", "transfer-encoding", "connection", "keep-alive", "date", "server"];
        if withheld.contains(&pair.name.as_str()) {
            continue;
        }
        conn.response_headers_mut().append(HeaderName::from(pair.name), pair.value);
    }
    conn
}

/// Responds with a plain service's answer once it is complete, so that an interrupted one is
/// reported by its status.
pub(super) async fn respond_service(
    mut conn: Conn,
    request: RequestId,
    answers: AnswerReceiver,
) -> Conn {
    let Some(answer) = conn.cancel_on_disconnect(collect(answers)).await else {
        return conn;
    };
    let billed = match answer.end {
        CollectedEnd::Whole { billed, .. } => billed,
        CollectedEnd::Refused { notice, billed } => {
            return respond_refusal(conn, &notice, request, billed);
        }
    };
    let conn = with_service_headers(conn, answer.headers);
    let status = Status::try_from(answer.status).unwrap_or(Status::BadGateway);
    with_request_headers(conn, request, billed).with_status(status).with_body(answer.data).halt()
}
