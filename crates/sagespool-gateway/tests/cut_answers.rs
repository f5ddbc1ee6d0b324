//! Aborted responses.

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
use sagespool_gateway::{BodyChunk, FlushCounter, FlushCountingStream, ResponseBody};
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::FuturesIo;

const REQUEST: &[u8] = b"GET /stream HTTP/1.1\r\nHost: stand.example\r\n\r\n";
/// Larger than the socket buffers, so that a write blocks until the peer reads.
const LARGE_EVENT: usize = 1 << 20;
/// Any value will do, since the caller never reads.
const WRITE_TIMEOUT: Duration = Duration::from_millis(100);

fn event(id: u64, length: usize) -> String {
    format!("id: {id}\ndata: {}\n\n", "x".repeat(length))
}

/// A response whose chunks and abort are all available before the connection polls the body.
fn aborted_response(events: &[String]) -> ResponseBody {
    let (sender, chunks): (_, Receiver<BodyChunk>) = bounded(events.len());
    for event in &events[1..] {
        sender.try_send(BodyChunk::Data(event.clone().into())).unwrap();
    }
    let first = BodyChunk::Data(events[0].clone().into());
    ResponseBody::stream(first, chunks, smol::spawn(async {}))
}

/// Returns what a caller reads until its connection closes.
fn read_response(events: Vec<String>) -> String {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = smol::spawn(async move {
            let (stream, _) = listener.accept().await.unwrap();
            let flushes = Arc::new(FlushCounter::default());
            let stream = FlushCountingStream::new(stream, flushes.clone());
            let service = service_fn(move |_: Request<hyper::body::Incoming>| {
                let body = aborted_response(&events).with_flush_counter(&flushes);
                async move { Ok::<_, Infallible>(Response::new(body)) }
            });
            let served = http1::Builder::new().serve_connection(FuturesIo::new(stream), service);
            assert!(served.await.is_err(), "an aborted response closes its connection");
        });
        let mut caller = TcpStream::connect(address).await.unwrap();
        caller.write_all(REQUEST).await.unwrap();
        let mut answer = Vec::new();
        // The connection may end with a reset; data read before it is kept.
        let _ = caller.read_to_end(&mut answer).await;
        server.await;
        String::from_utf8(answer).unwrap()
    })
}

/// Guards against lost events before an abort: hyper drops unwritten data when a body fails. If
/// events and abort are available at the same poll, the caller gets a closed connection without any
/// event.
#[test]
fn small_events_precede_the_abort() {
    let events: Vec<String> = (1..=5).map(|id| event(id, 8)).collect();
    let answer = read_response(events.clone());
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    for event in &events {
        assert!(answer.contains(event), "{event:?} is missing in {answer:?}");
    }
    assert!(!answer.ends_with("0\r\n\r\n"), "an aborted response must not look complete");
}

/// The same with more data than the socket buffers hold: the abort waits until the caller has read.
#[test]
fn large_events_precede_the_abort() {
    let events: Vec<String> = (1..=4).map(|id| event(id, LARGE_EVENT)).collect();
    let answer = read_response(events.clone());
    for event in &events {
        assert!(answer.contains(event), "an event is missing of {} bytes", answer.len());
    }
    assert!(!answer.ends_with("0\r\n\r\n"), "an aborted response must not look complete");
}

/// Guards against an unbounded wait before an abort: if the caller stops reading, the earlier data
/// is never flushed, the connection would stay open, and a graceful stop would wait for it.
#[test]
fn abort_does_not_wait_for_a_stalled_caller() {
    let events = [event(1, 8), event(2, 8)];
    let never_flushed = Arc::new(FlushCounter::default());
    let mut body = aborted_response(&events).with_flush_counter(&never_flushed);
    smol::block_on(async {
        let mut frame = async || poll_fn(|context| Pin::new(&mut body).poll_frame(context)).await;
        for event in &events {
            let data = frame().await.unwrap().unwrap().into_data().unwrap();
            assert_eq!(data, event.as_bytes());
        }
        assert!(frame().await.unwrap().is_err(), "the abort must follow without a flush too");
    });
}

/// Guards against connections to a caller whose machine fails during a long response: without a
/// write timeout, the connection and its buffers stay until TCP times out after 15 minutes. hyper
/// polls the body for an abort only after the pending write.
#[test]
fn stalled_write_closes_the_connection() {
    let events: Vec<String> = (1..=16).map(|id| event(id, LARGE_EVENT)).collect();
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let mut caller = TcpStream::connect(address).await.unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        caller.write_all(REQUEST).await.unwrap();
        let flushes = Arc::new(FlushCounter::default());
        let stream =
            FlushCountingStream::new(stream, flushes.clone()).with_write_timeout(WRITE_TIMEOUT);
        let service = service_fn(move |_: Request<hyper::body::Incoming>| {
            let body = aborted_response(&events).with_flush_counter(&flushes);
            async move { Ok::<_, Infallible>(Response::new(body)) }
        });
        let served = http1::Builder::new().serve_connection(FuturesIo::new(stream), service).await;
        assert!(served.is_err(), "a connection whose caller doesn't read must be closed");
    });
}
