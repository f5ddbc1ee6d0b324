//! The asking side: a request on its way, and its answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use quinn::WriteError;
use sagespool_messages::{DispatchEvent, PeerReply};
use sagespool_types::ClockTime;

use crate::LinkError;
use crate::connection::{ExchangeGuard, StartedExchange};
use crate::counters::TrafficClass;
use crate::frame::{FrameError, FrameKind, FrameReader, ReceivedFrame};
use crate::server::{CODE_TURNED_AWAY, CODE_UNREADABLE};
use crate::shared::{LinkShared, connection_to, unreachable};
use crate::time::within;

/// How often a request is tried on a connection of its peer. The second try
/// is for a connection that was lost just before the first byte.
const SEND_ATTEMPTS: usize = 2;

/// No request waits for longer, so that a deadline never overflows.
const LONGEST_WAIT: Duration = Duration::from_secs(24 * 3600);

/// A request that was sent whole.
pub(crate) struct SentExchange {
    reader: FrameReader,
    guard: ExchangeGuard,
    peer: SocketAddr,
    deadline: Instant,
    allowed: Duration,
}

/// Sends a request's frame, at most until its deadline.
///
/// Up to the moment when QUIC takes the first byte, every failure is one after
/// which the request surely wasn't sent; after it, none is.
pub(crate) async fn send_request(
    shared: &Arc<LinkShared>,
    peer: SocketAddr,
    frame: Bytes,
    class: TrafficClass,
    now: Instant,
    allowed: Duration,
) -> Result<SentExchange, LinkError> {
    let allowed = allowed.min(LONGEST_WAIT);
    let deadline = now + allowed;
    let size = frame.len();
    let started = within(allowed, start_request(shared, peer, frame)).await;
    let too_late = || Err(unreachable(peer, "time was up before a connection was there"));
    let started = started.unwrap_or_else(too_late)?;
    shared.meter.frame_sent(class, size);
    let sent = within(deadline.saturating_duration_since(Instant::now()), finish_request(started));
    match sent.await {
        Some(Ok((reader, guard))) => Ok(SentExchange { reader, guard, peer, deadline, allowed }),
        Some(Err(error)) => Err(write_error(peer, error)),
        None => Err(LinkError::TimedOut { peer, allowed }),
    }
}

async fn start_request(
    shared: &Arc<LinkShared>,
    peer: SocketAddr,
    frame: Bytes,
) -> Result<StartedExchange, LinkError> {
    let mut failure = None;
    for _ in 0..SEND_ATTEMPTS {
        let connection = connection_to(shared, peer).await?;
        match connection.start_exchange(frame.clone()).await {
            Ok(started) => return Ok(started),
            Err(error) => failure = Some(error),
        }
        shared.peers.forget(peer, &connection);
    }
    let detail = failure.map_or_else(String::new, |error| error.to_string());
    Err(unreachable(peer, detail))
}

async fn finish_request(
    started: StartedExchange,
) -> Result<(FrameReader, ExchangeGuard), WriteError> {
    let StartedExchange { mut send, rest, reader, guard } = started;
    if !rest.is_empty() {
        send.write_chunk(rest).await?;
    }
    // Fails only if the peer stopped the stream, which reading its answer shows.
    let _ = send.finish();
    Ok((reader, guard))
}

fn write_error(peer: SocketAddr, error: WriteError) -> LinkError {
    match error {
        WriteError::Stopped(code) => given_up(peer, code),
        other => LinkError::Interrupted { peer, detail: other.to_string() },
    }
}

/// What it means that the peer gave a request's stream up. Two of its codes
/// say that no handler saw the request, or ever will.
fn given_up(peer: SocketAddr, code: quinn::VarInt) -> LinkError {
    match code {
        CODE_TURNED_AWAY => unreachable(peer, "it is closing and takes no request"),
        CODE_UNREADABLE => unreachable(peer, "it can't read the request"),
        _ => LinkError::Interrupted { peer, detail: format!("it gave the stream up, code {code}") },
    }
}

fn read_error(peer: SocketAddr, error: FrameError) -> LinkError {
    match error {
        FrameError::Reset(code) => given_up(peer, code),
        FrameError::Garbage(detail) => LinkError::Malformed { peer, detail },
        FrameError::CutShort | FrameError::Broken(_) => {
            LinkError::Interrupted { peer, detail: error.to_string() }
        }
    }
}

fn no_answer(peer: SocketAddr) -> LinkError {
    LinkError::Interrupted { peer, detail: "the stream ended without an answer".to_owned() }
}

fn wrong_kind(peer: SocketAddr, kind: FrameKind) -> LinkError {
    LinkError::Malformed { peer, detail: format!("an answer of the wrong kind, {kind:?}") }
}

impl SentExchange {
    /// Waits for the one reply, until the deadline.
    pub(crate) async fn reply(mut self) -> Result<PeerReply, LinkError> {
        let (peer, allowed) = (self.peer, self.allowed);
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        let read = within(time_left, self.reader.next()).await;
        let Some(read) = read else {
            return Err(LinkError::TimedOut { peer, allowed });
        };
        let frame = read.map_err(|error| read_error(peer, error))?;
        let frame = frame.ok_or_else(|| no_answer(peer))?;
        if frame.kind != FrameKind::Reply {
            return Err(wrong_kind(peer, frame.kind));
        }
        self.received(TrafficClass::Control, &frame);
        self.reader.note_end().await;
        frame.decode().map_err(|error| read_error(peer, error))
    }

    fn received(&self, class: TrafficClass, frame: &ReceivedFrame) {
        let connection = self.guard.connection();
        connection.heard(ClockTime::now());
        connection.meter.frame_received(class, frame.size());
    }

    async fn event(&mut self) -> Result<DispatchEvent, LinkError> {
        let peer = self.peer;
        let read = self.reader.next().await;
        let frame = read.map_err(|error| read_error(peer, error))?;
        let frame = frame.ok_or_else(|| no_answer(peer))?;
        if frame.kind != FrameKind::Event {
            return Err(wrong_kind(peer, frame.kind));
        }
        self.received(TrafficClass::Payload, &frame);
        frame.decode().map_err(|error| read_error(peer, error))
    }
}

/// The events that answer a request. Dropping it before the end tells the peer
/// that nobody waits any more.
pub struct EventStream {
    exchange: Option<SentExchange>,
}

impl EventStream {
    pub(crate) fn new(exchange: SentExchange) -> Self {
        Self { exchange: Some(exchange) }
    }

    /// The next event, or nothing after the end or after an error. A stream
    /// that ends without a [`DispatchEvent::End`] gives an error. Cancel-safe.
    pub async fn next(&mut self) -> Option<Result<DispatchEvent, LinkError>> {
        let exchange = self.exchange.as_mut()?;
        let event = exchange.event().await;
        if matches!(event, Ok(DispatchEvent::End(_)) | Err(_)) {
            exchange.reader.note_end().await;
            self.exchange = None;
        }
        Some(event)
    }
}
