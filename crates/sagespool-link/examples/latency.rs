//! Measures the link on loopback, between two processes: round trips of a small
//! request, one at a time and concurrently, requests with large bodies, events per
//! second, and the traffic of an idle connection.
//!
//!     cargo run --release -p sagespool-link --example latency
//!
//! The process starts a second instance of itself as the server, and stops it at the end.

#![allow(clippy::unwrap_used, reason = "a failed measurement may panic")]

#[path = "../tests/support/mod.rs"]
mod support;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use sagespool_link::{LinkCounters, LinkEndpoint, LinkIdentity, PeerCall};
use sagespool_messages::{DispatchEvent, PeerReply, PeerRequest};
use support::{
    TestAuthority, attach_request, dispatch_request, end_event, endpoint, handler, silent_handler,
    status_request, token_event,
};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
const REQUESTS: usize = 20_000;
const BODY_REQUESTS: usize = 50;
const EVENTS_PER_STREAM: u32 = 200;
const IDLE_PERIOD: Duration = Duration::from_secs(10);
const SERVER_VARIABLES: [&str; 3] = ["LATENCY_CERTIFICATE", "LATENCY_KEY", "LATENCY_AUTHORITY"];

fn main() {
    let identity = SERVER_VARIABLES.map(|name| std::env::var(name).ok());
    if let [Some(certificate), Some(key), Some(authority)] = identity {
        return run_server(&certificate, &key, &authority);
    }
    let authority = TestAuthority::new();
    let (mut server, to) = start_server(&authority);
    let client = endpoint(authority.identity(), silent_handler());
    smol::block_on(smol::spawn(async move { measure(&client, to).await }));
    server.kill().unwrap();
    server.wait().unwrap();
}

fn run_server(certificate: &str, key: &str, authority: &str) {
    let identity = LinkIdentity::from_pem(certificate, key, authority).unwrap();
    println!("{}", endpoint(identity, handler(serve)).local_address());
    smol::block_on(std::future::pending::<()>());
}

fn start_server(authority: &TestAuthority) -> (Child, SocketAddr) {
    let certificate = authority.issue();
    let values = [&certificate.certificate, &certificate.key, &authority.certificate];
    let mut server = Command::new(std::env::current_exe().unwrap())
        .envs(SERVER_VARIABLES.into_iter().zip(values))
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(server.stdout.take().unwrap()).read_line(&mut line).unwrap();
    (server, line.trim().parse().unwrap())
}

async fn measure(client: &LinkEndpoint, to: SocketAddr) {
    measure_first_request(client, to).await;
    for concurrency in [1, 16, 256] {
        measure_requests(client, to, concurrency).await;
    }
    for body in [10_000, 100_000, 1_000_000, 4_000_000] {
        measure_bodies(client, to, body).await;
    }
    for streams in [1, 64, 2_000, 10_000] {
        measure_events(client, to, streams).await;
    }
    measure_idle(client).await;
    measure_open_stream(client, to).await;
    client.close().await;
}

async fn serve(call: PeerCall) {
    let PeerRequest::Attach(request) = call.request else {
        return call.responder.reply(PeerReply::Done).await;
    };
    let mut sender = call.responder.into_event_sender();
    if request.time_left.is_zero() {
        return sender.requester_gone().await;
    }
    for at in 0..EVENTS_PER_STREAM {
        if sender.send(&token_event(at)).await.is_err() {
            return;
        }
    }
    let _ = sender.send(&end_event()).await;
}

async fn timed_request(client: &LinkEndpoint, to: SocketAddr) -> Duration {
    let start = Instant::now();
    client.request(to, &status_request(), REQUEST_TIMEOUT).await.unwrap();
    start.elapsed()
}

async fn measure_first_request(client: &LinkEndpoint, to: SocketAddr) {
    let elapsed = timed_request(client, to).await;
    let counters = client.counters();
    println!(
        "first request, with handshake: {elapsed:?}; {} bytes sent, {} received",
        counters.datagram_bytes_sent, counters.datagram_bytes_received
    );
}

async fn measure_requests(client: &LinkEndpoint, to: SocketAddr, concurrency: usize) {
    let before = client.counters();
    let start = Instant::now();
    let tasks = (0..concurrency).map(|_| {
        let client = client.clone();
        smol::spawn(async move {
            let mut elapsed = Vec::new();
            for _ in 0..REQUESTS / concurrency {
                elapsed.push(timed_request(&client, to).await);
            }
            elapsed
        })
    });
    let tasks: Vec<_> = tasks.collect();
    let mut histogram = Histogram::<u64>::new(3).unwrap();
    for task in tasks {
        for elapsed in task.await {
            histogram.record(elapsed.as_micros() as u64).unwrap();
        }
    }
    let rate = histogram.len() as f64 / start.elapsed().as_secs_f64();
    let bytes = client.counters().datagram_bytes_sent.saturating_sub(before.datagram_bytes_sent);
    println!(
        "requests, {concurrency} concurrent: median {} us, p99 {} us, {rate:.0} per second, {} bytes sent per request",
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.99),
        bytes.0 / histogram.len()
    );
}

async fn measure_bodies(client: &LinkEndpoint, to: SocketAddr, size: usize) {
    let mut histogram = Histogram::<u64>::new(3).unwrap();
    let request = dispatch_request(size);
    for _ in 0..BODY_REQUESTS {
        let start = Instant::now();
        client.request(to, &request, REQUEST_TIMEOUT).await.unwrap();
        histogram.record(start.elapsed().as_micros() as u64).unwrap();
    }
    println!(
        "requests with a body of {size} bytes: median {} us, p99 {} us",
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.99),
    );
}

async fn measure_events(client: &LinkEndpoint, to: SocketAddr, streams: usize) {
    let start = Instant::now();
    let readers = (0..streams).map(|_| {
        let client = client.clone();
        smol::spawn(async move {
            let mut stream =
                client.open_stream(to, &attach_request(), REQUEST_TIMEOUT).await.unwrap();
            let mut count = 0;
            while let Some(event) = stream.next().await {
                count += 1;
                if let DispatchEvent::End(_) = event.unwrap() {
                    break;
                }
            }
            count
        })
    });
    let readers: Vec<_> = readers.collect();
    let mut count = 0;
    for reader in readers {
        count += reader.await;
    }
    let rate = count as f64 / start.elapsed().as_secs_f64();
    println!("{streams} concurrent event streams: {rate:.0} events per second");
}

async fn measure_idle(client: &LinkEndpoint) {
    let before = client.counters();
    smol::Timer::after(IDLE_PERIOD).await;
    print_rate("an idle connection", client, before);
}

async fn measure_open_stream(client: &LinkEndpoint, to: SocketAddr) {
    let PeerRequest::Attach(mut request) = attach_request() else {
        return;
    };
    request.time_left = Duration::ZERO;
    let _stream =
        client.open_stream(to, &PeerRequest::Attach(request), REQUEST_TIMEOUT).await.unwrap();
    let before = client.counters();
    smol::Timer::after(IDLE_PERIOD).await;
    print_rate("a connection with an idle stream", client, before);
}

fn print_rate(what: &str, client: &LinkEndpoint, before: LinkCounters) {
    let after = client.counters();
    let rate = |bytes: u64| bytes as f64 / IDLE_PERIOD.as_secs_f64();
    println!(
        "{what}: {:.0} bytes per second sent, {:.0} received",
        rate(after.datagram_bytes_sent.saturating_sub(before.datagram_bytes_sent).0),
        rate(after.datagram_bytes_received.saturating_sub(before.datagram_bytes_received).0)
    );
}
