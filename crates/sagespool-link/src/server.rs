//! The serving side: connections, requests and their responders.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use quinn::{Incoming, RecvStream, SendStream, VarInt, WriteError};
use sagespool_messages::{DispatchEvent, PeerReply, PeerRequest};
use sagespool_types::ClockTime;

use crate::LinkError;
use crate::connection::PeerConnection;
use crate::counters::{TrafficClass, TrafficMeter};
use crate::frame::{
    FrameError, FrameKind, FrameReader, ReceivedFrame, encode_frame, probe_frame, request_class,
};
use crate::shared::{LinkShared, count_if_refused, serve_new_connection};

/// Reset code of a stream whose request was rejected before it reached the handler.
pub(crate) const CODE_REJECTED: VarInt = VarInt::from_u32(1);
/// Reset code of a stream whose request could not be decoded, so that it never
/// reached the handler.
pub(crate) const CODE_UNDECODABLE: VarInt = VarInt::from_u32(2);

/// Handles the requests of peers. Each call runs in a task of its own.
pub type PeerHandler =
    Arc<dyn Fn(PeerCall) -> Pin<Box<dyn Future<Output = ()> + Send>> + Send + Sync>;

/// A request of a peer.
pub struct PeerCall {
    /// The address of the peer.
    pub from: SocketAddr,
    /// The decoded request.
    pub request: PeerRequest,
    /// Sends the reply. Dropped without a reply, it ends the stream, and the
    /// requester gets [`LinkError::Interrupted`].
    pub responder: PeerResponder,
}

/// Accepts and serves the connections of peers until the link is closed.
pub(crate) async fn accept_connections(shared: Arc<LinkShared>) {
    while let Some(incoming) = shared.endpoint.accept().await {
        if shared.is_closing() {
            incoming.refuse();
            continue;
        }
        smol::spawn(accept_connection(shared.clone(), incoming)).detach();
    }
}

async fn accept_connection(shared: Arc<LinkShared>, incoming: Incoming) {
    let accepted = match incoming.accept() {
        Ok(connecting) => connecting.await,
        Err(error) => Err(error),
    };
    match accepted {
        Ok(quic) => {
            let peer = quic.remote_address();
            let connection = serve_new_connection(&shared, quic);
            shared.peers.set_connection(peer, connection);
        }
        Err(error) => count_if_refused(&shared, &error),
    }
}

/// Serves the streams that a peer opens on a connection, until it is lost.
pub(crate) async fn serve_connection(shared: Arc<LinkShared>, connection: Arc<PeerConnection>) {
    shared.meter.count_opened_connection();
    while let Ok((send, recv)) = connection.quic.accept_bi().await {
        smol::spawn(serve_stream(shared.clone(), connection.clone(), send, recv)).detach();
    }
    shared.meter.count_closed_connection();
    shared.peers.remove(connection.quic.remote_address(), &connection);
}

async fn serve_stream(
    shared: Arc<LinkShared>,
    connection: Arc<PeerConnection>,
    mut send: SendStream,
    recv: RecvStream,
) {
    let mut reader = FrameReader::new(recv);
    let frame = reader.next().await;
    connection.note_contact(ClockTime::now());
    reader.poll_end().await;
    match frame {
        Ok(Some(frame)) if frame.kind == FrameKind::Probe => {
            reply_to_probe(&shared.meter, &frame, send).await;
        }
        Ok(Some(frame)) if frame.kind == FrameKind::Request => {
            // Counted before `closing` is read, so that closing the link either
            // rejects this request or waits for its reply.
            let _call = CallGuard::begin(&shared);
            if shared.is_closing() {
                return reject_request(send, reader, CODE_REJECTED);
            }
            match frame.decode::<PeerRequest>() {
                Ok(request) => {
                    shared.meter.count_received_frame(request_class(&request), frame.size());
                    handle(&shared, &connection, request, send).await;
                }
                Err(_) => reject_request(send, reader, CODE_UNDECODABLE),
            }
        }
        // The requester cancelled before its request was complete.
        Ok(None) | Err(FrameError::Truncated) => drop(send.finish()),
        _ => reject_request(send, reader, CODE_UNDECODABLE),
    }
}

/// Reports to the requester that its request was not passed to a handler and will not be.
fn reject_request(mut send: SendStream, mut reader: FrameReader, code: VarInt) {
    reader.stop(code);
    // Fails only if the requester has stopped the stream already.
    let _ = send.reset(code);
}

async fn reply_to_probe(meter: &TrafficMeter, probe: &ReceivedFrame, mut send: SendStream) {
    meter.count_received_frame(TrafficClass::Control, probe.size());
    let reply = probe_frame();
    meter.count_sent_frame(TrafficClass::Control, reply.len());
    // A failed write means that the requester is gone.
    if send.write_chunk(reply).await.is_ok() {
        let _ = send.finish();
    }
}

async fn handle(
    shared: &Arc<LinkShared>,
    connection: &Arc<PeerConnection>,
    request: PeerRequest,
    send: SendStream,
) {
    let _guard = connection.begin_exchange();
    let from = connection.quic.remote_address();
    let acknowledged = send.stopped();
    let responder = PeerResponder { send, from, meter: shared.meter.clone() };
    (shared.handler)(PeerCall { from, request, responder }).await;
    // The call stays open until the reply is acknowledged: closing the link
    // earlier would lose the reply.
    let _ = acknowledged.await;
}

/// Counts a call as in progress until dropped.
struct CallGuard {
    shared: Arc<LinkShared>,
}

impl CallGuard {
    fn begin(shared: &Arc<LinkShared>) -> Self {
        shared.open_calls.fetch_add(1, Ordering::SeqCst);
        Self { shared: shared.clone() }
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.shared.open_calls.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Sends the reply, or the stream of events, for one request.
pub struct PeerResponder {
    send: SendStream,
    from: SocketAddr,
    meter: Arc<TrafficMeter>,
}

impl PeerResponder {
    /// Sends one reply; a failure to send it is ignored. A reply that is too
    /// large for a frame is replaced by [`PeerReply::Unsupported`].
    pub async fn reply(mut self, reply: PeerReply) {
        self.write(reply).await;
    }

    /// As [`Self::reply`], and waits until the requester has acknowledged the
    /// reply or cancelled its request. False if the connection is lost before:
    /// the requester may or may not have the reply.
    pub async fn reply_acknowledged(mut self, reply: PeerReply) -> bool {
        let acknowledged = self.send.stopped();
        self.write(reply).await;
        acknowledged.await.is_ok()
    }

    async fn write(&mut self, reply: PeerReply) {
        let encoded = encode_frame(FrameKind::Reply, &reply).or_else(|error| {
            encode_frame(FrameKind::Reply, &PeerReply::Unsupported(error.to_string()))
        });
        let frame = encoded.expect("a line of text fits into a frame");
        self.meter.count_sent_frame(TrafficClass::Control, frame.len());
        if self.send.write_chunk(frame).await.is_ok() {
            let _ = self.send.finish();
        }
    }

    /// Replies with a stream of events.
    pub fn into_event_sender(self) -> EventSender {
        EventSender { send: self.send, to: self.from, meter: self.meter, incomplete: false }
    }

    /// Resolves when the requester has cancelled its request or its connection is lost.
    pub fn requester_gone(&self) -> impl Future<Output = ()> + Send + 'static + use<> {
        stream_ended(&self.send)
    }
}

/// Sends the events with which a request is answered.
pub struct EventSender {
    send: SendStream,
    to: SocketAddr,
    meter: Arc<TrafficMeter>,
    /// The last event may be written only in part.
    incomplete: bool,
}

impl EventSender {
    /// Sends one event; the last is a [`DispatchEvent::End`]. Waits while the
    /// requester is slow to read.
    ///
    /// A send that was dropped before it returned may have written a part of its
    /// event. Every later send fails, since the requester could not decode it.
    pub async fn send(&mut self, event: &DispatchEvent) -> Result<(), LinkError> {
        if self.incomplete {
            return Err(self.interrupted("an earlier event was sent only in part"));
        }
        let frame = encode_frame(FrameKind::Event, event)?;
        let size = frame.len();
        self.incomplete = true;
        self.write(frame).await?;
        self.incomplete = false;
        self.meter.count_sent_frame(TrafficClass::Payload, size);
        if matches!(event, DispatchEvent::End(_)) {
            let _ = self.send.finish();
        }
        Ok(())
    }

    /// Waits until the requester has acknowledged all events or cancelled its stream. False if the
    /// connection is lost before: the requester may or may not have the events.
    pub async fn wait_acknowledged(&self) -> bool {
        self.send.stopped().await.is_ok()
    }

    async fn write(&mut self, frame: Bytes) -> Result<(), LinkError> {
        self.send.write_chunk(frame).await.map_err(|error| match error {
            WriteError::Stopped(_) => self.interrupted("the requester cancelled the stream"),
            WriteError::ConnectionLost(error) => self.interrupted(error),
            other => self.interrupted(other),
        })
    }

    fn interrupted(&self, detail: impl ToString) -> LinkError {
        LinkError::Interrupted { peer: self.to, detail: detail.to_string() }
    }

    /// Resolves when the requester has dropped its stream or its connection is
    /// lost; also some time after the end was sent. The future holds no borrow,
    /// so that events can be sent while it is polled.
    pub fn requester_gone(&self) -> impl Future<Output = ()> + Send + 'static + use<> {
        stream_ended(&self.send)
    }
}

fn stream_ended(send: &SendStream) -> impl Future<Output = ()> + Send + 'static + use<> {
    let stopped = send.stopped();
    async move {
        // Whether it was stopped, lost with the connection or completed doesn't matter here.
        let _ = stopped.await;
    }
}
