//! An engine that sends bytes without end, as fast as its sidecar reads them.

#![allow(clippy::unwrap_used)]

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

use futures_lite::FutureExt;
use sagespool_sidecar::UpstreamClient;
use sagespool_types::{AttemptNumber, RequestId};
use smol::Timer;

const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// A call that takes longer holds its thread.
const HANG_TIMEOUT: Duration = Duration::from_secs(12);
const PIECE_BYTES: usize = 64 << 10;

fn start_engine(begin: &'static str, repeated: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            thread::spawn(move || answer(stream.unwrap(), begin, repeated));
        }
    });
    address
}

fn answer(mut stream: TcpStream, begin: &str, repeated: &str) {
    let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
    while lines.next().is_some_and(|line| line.is_ok_and(|line| !line.is_empty())) {}
    let piece = repeated.repeat(PIECE_BYTES / repeated.len());
    if stream.write_all(begin.as_bytes()).is_ok() {
        while stream.write_all(piece.as_bytes()).is_ok() {}
    }
}

/// Guards against an engine that holds its sidecar's thread: no timeout fires, and no other request of
/// that sidecar goes on.
#[test]
fn thread_shared() {
    let stream = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n";
    let chunked: &'static str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                                 transfer-encoding: chunked\r\n\r\n";
    let cases = [
        ("interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"),
        ("header lines", stream, "many: x\r\n"),
        ("comments", chunked, "3\r\n: \n\r\n"),
        ("chunk length", chunked, "0"),
    ];
    for (name, begin, repeated) in cases {
        let client = UpstreamClient::new(start_engine(begin, repeated));
        let (sender, ended) = channel();
        thread::spawn(move || {
            let run = async {
                let call = client.new_call(RequestId(7), AttemptNumber(1));
                if let Ok(mut events) = client.start_completion(&call, b"{}".to_vec()).await {
                    while events.next().await.is_ok() {}
                }
            };
            let timeout = async {
                Timer::after(CALL_TIMEOUT).await;
            };
            smol::block_on(run.or(timeout));
            sender.send(())
        });
        assert!(ended.recv_timeout(HANG_TIMEOUT).is_ok(), "{name}");
    }
}
