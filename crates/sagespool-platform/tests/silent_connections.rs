//! Open connections to the store that go silent for good, while new ones work.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use futures_util::future::join_all;
use sagespool_platform::{ObjectClient, ObjectOptions, StoreError};
use sagespool_types::StoreRevision;

const CALL_TIMEOUT: Duration = Duration::from_millis(300);
const CONNECTIONS: usize = 3;
const OBJECT: &str = r#"{"key":"a","version":5,"value":[1]}"#;

/// A store that answers each request with the same object, but on silent connections.
struct SilentStore {
    address: SocketAddr,
    /// Connections that were opened.
    opened: Arc<AtomicUsize>,
    /// The first connections, which are silent.
    silent: Arc<AtomicUsize>,
}

impl SilentStore {
    /// Starts a store that responds once so many connections are open.
    fn start(crowd: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (opened, silent) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let store = Self { address, opened: opened.clone(), silent: silent.clone() };
        thread::spawn(move || {
            for stream in listener.incoming() {
                let number = opened.fetch_add(1, Ordering::SeqCst);
                let (opened, silent) = (opened.clone(), silent.clone());
                thread::spawn(move || {
                    let is_silent = || number < silent.load(Ordering::SeqCst);
                    let is_ready = || opened.load(Ordering::SeqCst) >= crowd;
                    serve(stream.unwrap(), is_silent, is_ready);
                });
            }
        });
        store
    }

    /// All connections that are open now go silent.
    fn silence(&self) {
        self.silent.store(self.opened.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    fn client(&self) -> ObjectClient {
        let options = ObjectOptions::builder().address(self.address).call_timeout(CALL_TIMEOUT);
        ObjectClient::new(options.build())
    }
}

fn serve(stream: TcpStream, is_silent: impl Fn() -> bool, is_ready: impl Fn() -> bool) {
    let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
    let mut stream = stream;
    while let Some(Ok(line)) = lines.next() {
        if !line.is_empty() {
            continue;
        }
        while !is_ready() {
            thread::yield_now();
        }
        if !is_silent() {
            let response =
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{OBJECT}", OBJECT.len());
            let _ = stream.write_all(response.as_bytes());
        }
    }
}

async fn read(client: &ObjectClient) -> Result<Option<Vec<u8>>, StoreError> {
    Ok(client.get::<Vec<u8>>("a").await?.map(|object| object.value))
}

/// Guards against a client that finds each of its silent connections by a timeout of its own, and acts on
/// old state meanwhile.
#[test]
fn all_silent() {
    smol::block_on(async {
        let store = SilentStore::start(CONNECTIONS);
        let client = store.client();
        join_all((0..CONNECTIONS).map(|_| read(&client))).await;
        assert_eq!(store.opened.load(Ordering::SeqCst), CONNECTIONS);
        store.silence();
        for call in 0..CONNECTIONS {
            assert_eq!(read(&client).await, Ok(Some(vec![1])), "call {call}");
        }
        assert_eq!(client.counters().failures, 0);
    });
}

/// Guards against a write that is sent again though it may have been executed.
#[test]
fn silent_write() {
    smol::block_on(async {
        let store = SilentStore::start(1);
        let client = store.client();
        assert_eq!(read(&client).await, Ok(Some(vec![1])));
        store.silence();
        let version = StoreRevision(5);
        assert_eq!(client.put("a", version, &1).await, Err(StoreError::Uncertain));
        assert_eq!(read(&client).await, Ok(Some(vec![1])));
        assert_eq!(store.opened.load(Ordering::SeqCst), 2);
    });
}
