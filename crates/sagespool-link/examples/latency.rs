//! Measures the link on loopback, between two processes: round trips of a small
//! question, alone and many at once, requests with large bodies, events a
//! second, and what an idle connection costs.
//!
//!     cargo run --release -p sagespool-link --example latency
//!
//! The process starts itself once more as the server, and ends it.

#![allow(clippy::unwrap_used, reason = "a measurement that fails may panic")]

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
    TestAuthority, attach, deaf, dispatch, endpoint, handler, piece, question, whole_end,
};

const TIME_LEFT: Duration = Duration::from_secs(20);
const ASKS: usize = 20_000;
const BODIES: usize = 50;
const EVENTS_A_STREAM: u32 = 200;
const SILENCE: Duration = Duration::from_secs(10);
const SERVER_VARIABLES: [&str; 3] = ["LATENCY_CERTIFICATE", "LATENCY_KEY", "LATENCY_AUTHORITY"];

fn main() {
    let given = SERVER_VARIABLES.map(|name| std::env::var(name).ok());
    if let [Some(certificate), Some(key), Some(authority)] = given {
        return serve_only(&certificate, &key, &authority);
    }
    let authority = TestAuthority::new();
    let (mut server, to) = start_server(&authority);
    let client = endpoint(authority.identity(), deaf());
    smol::block_on(smol::spawn(async move { measure(&client, to).await }));
    server.kill().unwrap();
    server.wait().unwrap();
}

fn serve_only(certificate: &str, key: &str, authority: &str) {
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
    first_ask(client, to).await;
    for together in [1, 16, 256] {
        asks(client, to, together).await;
    }
    for body in [10_000, 100_000, 1_000_000, 4_000_000] {
        bodies(client, to, body).await;
    }
    for streams in [1, 64, 2_000, 10_000] {
        events(client, to, streams).await;
    }
    idle(client).await;
    waiting(client, to).await;
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
    for at in 0..EVENTS_A_STREAM {
        if sender.send(&piece(at)).await.is_err() {
            return;
        }
    }
    let _ = sender.send(&whole_end()).await;
}

async fn ask(client: &LinkEndpoint, to: SocketAddr) -> Duration {
    let start = Instant::now();
    client.request(to, &question(), TIME_LEFT).await.unwrap();
    start.elapsed()
}

async fn first_ask(client: &LinkEndpoint, to: SocketAddr) {
    let taken = ask(client, to).await;
    let counters = client.counters();
    println!(
        "first ask, with handshake: {taken:?}; {} bytes sent, {} received",
        counters.datagram_bytes_sent, counters.datagram_bytes_received
    );
}

async fn asks(client: &LinkEndpoint, to: SocketAddr, together: usize) {
    let before = client.counters();
    let start = Instant::now();
    let askers = (0..together).map(|_| {
        let client = client.clone();
        smol::spawn(async move {
            let mut taken = Vec::new();
            for _ in 0..ASKS / together {
                taken.push(ask(&client, to).await);
            }
            taken
        })
    });
    let askers: Vec<_> = askers.collect();
    let mut histogram = Histogram::<u64>::new(3).unwrap();
    for asker in askers {
        for taken in asker.await {
            histogram.record(taken.as_micros() as u64).unwrap();
        }
    }
    let rate = histogram.len() as f64 / start.elapsed().as_secs_f64();
    let bytes = client.counters().datagram_bytes_sent.saturating_sub(before.datagram_bytes_sent);
    println!(
        "asks, {together} at once: median {} us, p99 {} us, {rate:.0} a second, {} bytes sent an ask",
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.99),
        bytes.0 / histogram.len()
    );
}

async fn bodies(client: &LinkEndpoint, to: SocketAddr, size: usize) {
    let mut histogram = Histogram::<u64>::new(3).unwrap();
    let request = dispatch(size);
    for _ in 0..BODIES {
        let start = Instant::now();
        client.request(to, &request, TIME_LEFT).await.unwrap();
        histogram.record(start.elapsed().as_micros() as u64).unwrap();
    }
    println!(
        "a request with a body of {size} bytes: median {} us, p99 {} us",
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.99),
    );
}

async fn events(client: &LinkEndpoint, to: SocketAddr, streams: usize) {
    let start = Instant::now();
    let readers = (0..streams).map(|_| {
        let client = client.clone();
        smol::spawn(async move {
            let mut stream = client.open_stream(to, &attach(), TIME_LEFT).await.unwrap();
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
    println!("{streams} streams of events at once: {rate:.0} events a second");
}

async fn idle(client: &LinkEndpoint) {
    let before = client.counters();
    smol::Timer::after(SILENCE).await;
    print_rate("an idle connection", client, before);
}

async fn waiting(client: &LinkEndpoint, to: SocketAddr) {
    let PeerRequest::Attach(mut request) = attach() else {
        return;
    };
    request.time_left = Duration::ZERO;
    let _stream = client.open_stream(to, &PeerRequest::Attach(request), TIME_LEFT).await.unwrap();
    let before = client.counters();
    smol::Timer::after(SILENCE).await;
    print_rate("a connection with a silent stream", client, before);
}

fn print_rate(what: &str, client: &LinkEndpoint, before: LinkCounters) {
    let after = client.counters();
    let rate = |bytes: u64| bytes as f64 / SILENCE.as_secs_f64();
    println!(
        "{what}: {:.0} bytes a second sent, {:.0} received",
        rate(after.datagram_bytes_sent.saturating_sub(before.datagram_bytes_sent).0),
        rate(after.datagram_bytes_received.saturating_sub(before.datagram_bytes_received).0)
    );
}
