//! Answers that break off.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, bounded};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use hyper::body::Body;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use sagespool_gateway::{AnswerBody, BodyPiece, CountedStream, FlushCounter};
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::FuturesIo;

const QUESTION: &[u8] = b"GET /stream HTTP/1.1\r\nHost: stand.example\r\n\r\n";
/// More than the connection takes before its peer reads.
const LARGE_EVENT: usize = 1 << 20;
/// Any time will do: the caller never reads.
const UNREAD_LIMIT: Duration = Duration::from_millis(100);

fn event(id: u64, length: usize) -> String {
    format!("id: {id}\ndata: {}\n\n", "x".repeat(length))
}

/// An answer whose pieces and whose break are all there before the connection looks for them.
fn broken_answer(events: &[String]) -> AnswerBody {
    let (sender, pieces): (_, Receiver<BodyPiece>) = bounded(events.len());
    for event in &events[1..] {
        sender.try_send(BodyPiece::Data(event.clone().into())).unwrap();
    }
    let first = BodyPiece::Data(events[0].clone().into());
    AnswerBody::stream(first, pieces, smol::spawn(async {}))
}

/// What a caller reads until its connection ends.
fn read_answer(events: Vec<String>) -> String {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = smol::spawn(async move {
            let (stream, _) = listener.accept().await.unwrap();
            let flushes = Arc::new(FlushCounter::default());
            let stream = CountedStream::new(stream, flushes.clone());
            let service = service_fn(move |_: Request<hyper::body::Incoming>| {
                let body = broken_answer(&events).sent_over(&flushes);
                async move { Ok::<_, Infallible>(Response::new(body)) }
            });
            let served = http1::Builder::new().serve_connection(FuturesIo::new(stream), service);
            assert!(served.await.is_err(), "an answer that broke off ends its connection");
        });
        let mut caller = TcpStream::connect(address).await.unwrap();
        caller.write_all(QUESTION).await.unwrap();
        let mut answer = Vec::new();
        // The end may be a reset, which takes nothing of what was read before it.
        let _ = caller.read_to_end(&mut answer).await;
        server.await;
        String::from_utf8(answer).unwrap()
    })
}

/// A caller reads a stream and sees its connection close without a word, though the log counts five
/// events passed on. The events and the break of the upstream were there together when the caller's
/// connection looked for them, and the library dropped what it hadn't written yet.
#[test]
fn events_before_break() {
    let events: Vec<String> = (1..=5).map(|id| event(id, 8)).collect();
    let answer = read_answer(events.clone());
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    for event in &events {
        assert!(answer.contains(event), "{event:?} is missing in {answer:?}");
    }
    assert!(!answer.ends_with("0\r\n\r\n"), "a broken answer must not look whole");
}

/// The same with more than the connection takes at once: the break waits until the caller has read.
#[test]
fn long_events_before_break() {
    let events: Vec<String> = (1..=4).map(|id| event(id, LARGE_EVENT)).collect();
    let answer = read_answer(events.clone());
    for event in &events {
        assert!(answer.contains(event), "an event is missing of {} bytes", answer.len());
    }
    assert!(!answer.ends_with("0\r\n\r\n"), "a broken answer must not look whole");
}

/// A caller stops reading at the end of a stream that then breaks off. The gateway waits for what
/// came before the break to be written, and must not wait for ever: the connection would stay open
/// for as long as the caller likes, and a stop of the gateway would wait for it.
#[test]
fn unread_before_break() {
    let events = [event(1, 8), event(2, 8)];
    let never_flushed = Arc::new(FlushCounter::default());
    let mut body = broken_answer(&events).sent_over(&never_flushed);
    smol::block_on(async {
        let mut frame = async || poll_fn(|context| Pin::new(&mut body).poll_frame(context)).await;
        for event in &events {
            let data = frame().await.unwrap().unwrap().into_data().unwrap();
            assert_eq!(data, event.as_bytes());
        }
        assert!(frame().await.unwrap().is_err(), "the break is passed on without a flush as well");
    });
}

/// A caller's machine goes dark in the middle of a long answer, and its connection stays open in
/// the gateway with all that the answer holds, until the system gives the connection up after a
/// quarter of an hour. The library writes only as the caller reads, and looks for no break before
/// that.
#[test]
fn dark_caller() {
    let events: Vec<String> = (1..=16).map(|id| event(id, LARGE_EVENT)).collect();
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let mut caller = TcpStream::connect(address).await.unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        caller.write_all(QUESTION).await.unwrap();
        let flushes = Arc::new(FlushCounter::default());
        let stream = CountedStream::new(stream, flushes.clone()).unread_for(UNREAD_LIMIT);
        let service = service_fn(move |_: Request<hyper::body::Incoming>| {
            let body = broken_answer(&events).sent_over(&flushes);
            async move { Ok::<_, Infallible>(Response::new(body)) }
        });
        let served = http1::Builder::new().serve_connection(FuturesIo::new(stream), service).await;
        assert!(served.is_err(), "the connection of a caller that doesn't read is closed");
    });
}
