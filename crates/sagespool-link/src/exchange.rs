//! The requesting side: requests in flight and their replies.

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
use crate::server::{CODE_REJECTED, CODE_UNDECODABLE};
use crate::shared::{LinkShared, connection_to, unreachable};
use crate::time::within;

/// Connections that are tried for one request. The second covers a connection
/// that was lost just before the first byte was written.
const SEND_ATTEMPTS: usize = 2;

/// Upper bound of a request's timeout, so that its deadline never overflows.
const MAX_TIMEOUT: Duration = Duration::from_secs(24 * 3600);

/// A request that was sent completely.
pub(crate) struct SentExchange {
    reader: FrameReader,
    guard: ExchangeGuard,
    peer: SocketAddr,
    deadline: Instant,
    timeout: Duration,
}

/// Sends a request's frame within its timeout.
///
/// Until QUIC accepts the first byte, every error means that the request was
/// not sent; afterwards, none does.
pub(crate) async fn send_request(
    shared: &Arc<LinkShared>,
    peer: SocketAddr,
    frame: Bytes,
    class: TrafficClass,
    now: Instant,
    timeout: Duration,
) -> Result<SentExchange, LinkError> {
    let timeout = timeout.min(MAX_TIMEOUT);
    let deadline = now + timeout;
    let size = frame.len();
    let started = within(timeout, start_request(shared, peer, frame)).await;
    let timed_out = || Err(unreachable(peer, "timed out before a connection was established"));
    let started = started.unwrap_or_else(timed_out)?;
    shared.meter.count_sent_frame(class, size);
    let sent = within(deadline.saturating_duration_since(Instant::now()), finish_request(started));
    match sent.await {
        Some(Ok((reader, guard))) => Ok(SentExchange { reader, guard, peer, deadline, timeout }),
        Some(Err(error)) => Err(write_error(peer, error)),
        None => Err(LinkError::TimedOut { peer, timeout }),
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
        shared.peers.remove(peer, &connection);
    }
    let detail = failure.map_or_else(String::new, |error| error.to_string());
    Err(unreachable(peer, detail))
}

async fn finish_request(
    started: StartedExchange,
) -> Result<(FrameReader, ExchangeGuard), WriteError> {
    let StartedExchange { mut send, remaining, reader, guard } = started;
    if !remaining.is_empty() {
        send.write_chunk(remaining).await?;
    }
    // Fails only if the peer stopped the stream, which reading its reply reports.
    let _ = send.finish();
    Ok((reader, guard))
}

fn write_error(peer: SocketAddr, error: WriteError) -> LinkError {
    match error {
        WriteError::Stopped(code) => stream_cancelled(peer, code),
        other => LinkError::Interrupted { peer, detail: other.to_string() },
    }
}

/// The error for a request's stream that the peer reset or stopped. Two codes
/// mean that the request was not passed to a handler and will not be.
fn stream_cancelled(peer: SocketAddr, code: quinn::VarInt) -> LinkError {
    match code {
        CODE_REJECTED => unreachable(peer, "it is closing and rejects new requests"),
        CODE_UNDECODABLE => unreachable(peer, "it could not decode the request"),
        _ => LinkError::Interrupted {
            peer,
            detail: format!("it cancelled the stream with code {code}"),
        },
    }
}

fn read_error(peer: SocketAddr, error: FrameError) -> LinkError {
    match error {
        FrameError::Reset(code) => stream_cancelled(peer, code),
        FrameError::Malformed(detail) => LinkError::Malformed { peer, detail },
        FrameError::Truncated | FrameError::ReadFailed(_) => {
            LinkError::Interrupted { peer, detail: error.to_string() }
        }
    }
}

fn missing_reply(peer: SocketAddr) -> LinkError {
    LinkError::Interrupted { peer, detail: "the stream ended without a reply".to_owned() }
}

fn unexpected_kind(peer: SocketAddr, kind: FrameKind) -> LinkError {
    LinkError::Malformed { peer, detail: format!("unexpected frame kind {kind:?} in a reply") }
}

impl SentExchange {
    /// Waits for the reply, until the deadline.
    pub(crate) async fn reply(mut self) -> Result<PeerReply, LinkError> {
        let (peer, timeout) = (self.peer, self.timeout);
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        let read = within(time_left, self.reader.next()).await;
        let Some(read) = read else {
            return Err(LinkError::TimedOut { peer, timeout });
        };
        let frame = read.map_err(|error| read_error(peer, error))?;
        let frame = frame.ok_or_else(|| missing_reply(peer))?;
        if frame.kind != FrameKind::Reply {
            return Err(unexpected_kind(peer, frame.kind));
        }
        self.count_received(TrafficClass::Control, &frame);
        self.reader.poll_end().await;
        frame.decode().map_err(|error| read_error(peer, error))
    }

    fn count_received(&self, class: TrafficClass, frame: &ReceivedFrame) {
        let connection = self.guard.connection();
        connection.note_contact(ClockTime::now());
        connection.meter.count_received_frame(class, frame.size());
    }

    async fn event(&mut self) -> Result<DispatchEvent, LinkError> {
        let peer = self.peer;
        let read = self.reader.next().await;
        let frame = read.map_err(|error| read_error(peer, error))?;
        let frame = frame.ok_or_else(|| missing_reply(peer))?;
        if frame.kind != FrameKind::Event {
            return Err(unexpected_kind(peer, frame.kind));
        }
        self.count_received(TrafficClass::Payload, &frame);
        frame.decode().map_err(|error| read_error(peer, error))
    }
}

/// The stream of events that a request returns. Dropping it before the end
/// cancels the request at the peer.
pub struct EventStream {
    exchange: Option<SentExchange>,
}

impl EventStream {
    pub(crate) fn new(exchange: SentExchange) -> Self {
        Self { exchange: Some(exchange) }
    }

    /// The next event, or `None` after the end or after an error. A stream that
    /// ends without a [`DispatchEvent::End`] yields an error. Cancel-safe.
    pub async fn next(&mut self) -> Option<Result<DispatchEvent, LinkError>> {
        let exchange = self.exchange.as_mut()?;
        let event = exchange.event().await;
        if matches!(event, Ok(DispatchEvent::End(_)) | Err(_)) {
            exchange.reader.poll_end().await;
            self.exchange = None;
        }
        Some(event)
    }
}
