//! Parses an engine's stream across chunk boundaries, counts its tokens and limits the answer.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;

use sagespool_messages::{DispatchEvent, FinishReason};
use sagespool_sidecar::{EngineEvent, MeterStep, TokenMeter, UpstreamCallError, UpstreamClient};
use sagespool_types::{AttemptNumber, RequestId, TokenCount};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpListener;

const EVENTS: &str = concat!(
    "data: {\"index\":0,\"choices\":[{\"delta\":{\"content\":\"مهلة \"}}]}\n\n",
    "data: {\"index\":1,\"choices\":[{\"delta\":{\"content\":\"bid\"}}]}\r\n\r\n",
    ": a comment\n\n",
    "data: {\"choices\":[{\"finish_reason\":\"stop\"}],",
    "\"usage\":{\"prompt_tokens\":4,\"completion_tokens\":2}}\n\n",
    "data: [DONE]\n\n",
);

/// Serves one completion with its body in chunks of `chunk` bytes. With
/// `breaks_off`, closes the connection without the last chunk.
async fn serve_once(body: &str, chunk: usize, breaks_off: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut answer =
        b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
            .to_vec();
    for part in body.as_bytes().chunks(chunk) {
        answer.extend(format!("{:x}\r\n", part.len()).bytes());
        answer.extend(part);
        answer.extend(b"\r\n");
    }
    if !breaks_off {
        answer.extend(b"0\r\n\r\n");
    }
    smol::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = vec![0; 4096];
        let _ = stream.read(&mut request).await;
        stream.write_all(&answer).await.unwrap();
    })
    .detach();
    address
}

async fn read_all(address: SocketAddr) -> (Vec<EngineEvent>, Option<UpstreamCallError>) {
    let client = UpstreamClient::new(address);
    let call = client.new_call(RequestId(1), AttemptNumber(1));
    let mut stream = client.start_completion(&call, b"{}".to_vec()).await.unwrap();
    let mut events = Vec::new();
    loop {
        match stream.next().await {
            Ok(EngineEvent::Done) => return (events, None),
            Ok(event) => events.push(event),
            Err(error) => return (events, Some(error)),
        }
    }
}

fn token(index: u32, text: &str) -> EngineEvent {
    EngineEvent::Token { index: Some(index), text: text.to_owned() }
}

// Packets end anywhere: within an event, a character or a line ending. A parser
// that treats each packet as an event loses tokens or corrupts their text.
#[test]
fn chunk_boundaries() {
    let finished = EngineEvent::Finished { reason: FinishReason::Stop, completion_tokens: Some(2) };
    let expected = [token(0, "مهلة "), token(1, "bid"), finished];
    smol::block_on(async {
        for chunk in [1, 2, 7, 64, EVENTS.len()] {
            let address = serve_once(EVENTS, chunk, false).await;
            let (events, error) = read_all(address).await;
            assert_eq!(
                (events.as_slice(), error),
                (expected.as_slice(), None),
                "chunks of {chunk}"
            );
        }
    });
}

// An engine crashes between two tokens, or closes its stream early. The stream
// must fail, or the caller would get an incomplete answer as a complete one.
#[test]
fn broken_stream() {
    let first_event = EVENTS.find("\n\n").unwrap() + 2;
    smol::block_on(async {
        for (body, breaks_off) in
            [(&EVENTS[..first_event], true), (&EVENTS[..first_event], false), (EVENTS, true)]
        {
            let body = body.strip_suffix("data: [DONE]\n\n").unwrap_or(body);
            let address = serve_once(body, 32, breaks_off).await;
            let (events, error) = read_all(address).await;
            assert_eq!(events[0], token(0, "مهلة "));
            assert!(matches!(error, Some(UpstreamCallError::Lost { .. })), "{error:?}");
        }
    });
}

#[test]
fn invalid_event() {
    assert!(EngineEvent::parse("{\"choices\":3}").is_err());
    assert!(EngineEvent::parse("<html>").is_err());
    assert_eq!(EngineEvent::parse("{\"choices\":[{\"delta\":{}}]}"), Ok(EngineEvent::Empty));
}

fn meter(reserved: u64, resumed: u32, max_tokens: u32) -> TokenMeter {
    TokenMeter::new(TokenCount(reserved), TokenCount(10), resumed, max_tokens).unwrap()
}

// An engine sends more tokens than were reserved. No budget covers them, so the
// answer must end with the last token of the reservation.
#[test]
fn reservation_limit() {
    for (reserved, resumed, max_tokens, most) in
        [(13, 0, 100, 3), (100, 0, 3, 3), (13, 2, 100, 3), (10, 0, 5, 0)]
    {
        let mut meter = meter(reserved, resumed, max_tokens);
        assert_eq!(meter.max_tokens(), most);
        for index in resumed..most {
            let piece = DispatchEvent::Piece { at: index, tokens: 1, data: b"x".to_vec() };
            let expected = if index + 1 == most {
                MeterStep::LastPiece(piece)
            } else {
                MeterStep::Piece(piece)
            };
            assert_eq!(meter.apply(token(index, "x")), expected);
        }
        assert!(meter.is_full());
        assert!(matches!(meter.apply(token(most, "x")), MeterStep::Broken(_)));
        assert_eq!(meter.used(), TokenCount(10 + u64::from(most)));
    }
    assert!(TokenMeter::new(TokenCount(9), TokenCount(10), 0, 5).is_none());
    assert!(TokenMeter::new(TokenCount(12), TokenCount(10), 3, 5).is_none());
}

// An engine's stream skips or repeats a token, or the engine's token count differs
// from the tokens received. The caller would be billed for an answer with a gap.
#[test]
fn token_gap() {
    let fresh = || {
        let mut meter = meter(100, 0, 50);
        meter.apply(token(0, "a"));
        meter
    };
    let finish =
        |made| EngineEvent::Finished { reason: FinishReason::Stop, completion_tokens: made };
    for event in [token(2, "c"), token(0, "a"), finish(Some(2)), EngineEvent::Done] {
        assert!(matches!(fresh().apply(event.clone()), MeterStep::Broken(_)), "{event:?}");
    }
    assert_eq!(fresh().apply(finish(Some(1))), MeterStep::Finished(FinishReason::Stop));
    assert_eq!(fresh().apply(finish(None)), MeterStep::Finished(FinishReason::Stop));
}
