//! A store that sends bytes without end, until the client closes the connection.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

use rustix::net::sockopt::set_socket_send_buffer_size;
use sagespool_platform::{ObjectClient, ObjectOptions, StoreError};
use sagespool_types::ByteCount;

/// Long enough for gigabytes.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// A call that takes longer holds its thread.
const HANG_TIMEOUT: Duration = Duration::from_secs(12);
const MAX_RESPONSE: ByteCount = ByteCount(4 << 20);
const PIECE_BYTES: usize = 64 << 10;
/// What a head may have, with the kernel's buffers.
const SMALL: usize = 8 << 20;
/// What a response may have, with the kernel's buffers, which aren't this process's memory.
const LARGE: usize = 20 << 20;

/// A store that answers each request with some bytes, and then with others again and again.
struct EndlessStore {
    address: SocketAddr,
    sent: Arc<AtomicUsize>,
}

impl EndlessStore {
    fn start(begin: &'static str, repeated: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let sent = Arc::new(AtomicUsize::new(0));
        let counter = sent.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let counter = counter.clone();
                thread::spawn(move || answer(stream.unwrap(), begin, repeated, &counter));
            }
        });
        Self { address, sent }
    }
}

fn answer(mut stream: TcpStream, begin: &str, repeated: &str, sent: &AtomicUsize) {
    // What waits in this end's buffer isn't taken by the client.
    set_socket_send_buffer_size(&stream, PIECE_BYTES).unwrap();
    let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
    while lines.next().is_some_and(|line| line.is_ok_and(|line| !line.is_empty())) {}
    let piece = repeated.repeat(PIECE_BYTES / repeated.len());
    if stream.write_all(begin.as_bytes()).is_err() {
        return;
    }
    while let Ok(bytes) = stream.write(piece.as_bytes()) {
        sent.fetch_add(bytes, Ordering::SeqCst);
    }
}

/// Guards against a process that keeps all that a store in trouble sends, and runs out of memory.
#[test]
fn bytes_bounded() {
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let cases = [
        ("no HTTP", "", "x", SMALL),
        ("blank lines", "", "\r\n", SMALL),
        ("interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", LARGE),
        ("header value", "HTTP/1.1 200 OK\r\nLong: ", "x", SMALL),
        ("header lines", "HTTP/1.1 200 OK\r\n", "Many: x\r\n", SMALL),
        ("length", "HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", "[", LARGE),
        ("until close", "HTTP/1.1 200 OK\r\n\r\n", "[", LARGE),
        ("chunks", chunked, "1\r\n[\r\n", LARGE),
        ("chunk length", chunked, "0", LARGE),
        ("chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "x", LARGE),
        ("error", "HTTP/1.1 400 Bad\r\n\r\n", "x", LARGE),
    ];
    let mut broken = Vec::new();
    for (name, begin, repeated, most) in cases {
        let store = EndlessStore::start(begin, repeated);
        let options = ObjectOptions::builder().address(store.address).call_timeout(CALL_TIMEOUT);
        let options = options.max_response(MAX_RESPONSE);
        let client = ObjectClient::new(options.build());
        let (sender, ended) = channel();
        thread::spawn(move || sender.send(smol::block_on(client.get::<Vec<u8>>("books/1"))));
        let read = ended.recv_timeout(HANG_TIMEOUT);
        let sent = store.sent.load(Ordering::SeqCst);
        let failed = matches!(&read, Ok(Err(StoreError::Unavailable | StoreError::Malformed(_))));
        if sent > most || !failed {
            broken.push(format!("{name}: {sent} bytes taken, {read:?}"));
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}
