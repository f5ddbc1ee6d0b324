//! The answering side: connections, requests, and the ways to answer one.

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
use crate::shared::{LinkShared, note_refusal, take_in};

/// Code of a stream whose request was turned away before the handler saw it.
pub(crate) const CODE_TURNED_AWAY: VarInt = VarInt::from_u32(1);
/// Code of a stream whose request could not be read, so that no handler saw it.
pub(crate) const CODE_UNREADABLE: VarInt = VarInt::from_u32(2);

/// What a process does with a request of a peer. Each call runs in a task of
/// its own.
pub type PeerHandler =
    Arc<dyn Fn(PeerCall) -> Pin<Box<dyn Future<Output = ()> + Send>> + Send + Sync>;

/// A request of a peer.
pub struct PeerCall {
    /// Where it came from.
    pub from: SocketAddr,
    /// The request.
    pub request: PeerRequest,
    /// The way to answer. Dropped without an answer, it ends the stream, and
    /// the asker gets [`LinkError::Interrupted`].
    pub responder: PeerResponder,
}

/// Serves every connection that a peer makes, until the link is closed.
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
            let connection = take_in(&shared, quic);
            shared.peers.adopt(peer, connection);
        }
        Err(error) => note_refusal(&shared, &error),
    }
}

/// Serves the streams that a peer opens on a connection, until it is lost.
pub(crate) async fn serve_connection(shared: Arc<LinkShared>, connection: Arc<PeerConnection>) {
    shared.meter.connection_opened();
    while let Ok((send, recv)) = connection.quic.accept_bi().await {
        smol::spawn(serve_stream(shared.clone(), connection.clone(), send, recv)).detach();
    }
    shared.meter.connection_closed();
    shared.peers.forget(connection.quic.remote_address(), &connection);
}

async fn serve_stream(
    shared: Arc<LinkShared>,
    connection: Arc<PeerConnection>,
    mut send: SendStream,
    recv: RecvStream,
) {
    let mut reader = FrameReader::new(recv);
    let frame = reader.next().await;
    connection.heard(ClockTime::now());
    reader.note_end().await;
    match frame {
        Ok(Some(frame)) if frame.kind == FrameKind::Probe => {
            answer_probe(&shared.meter, &frame, send).await;
        }
        Ok(Some(frame)) if frame.kind == FrameKind::Request => {
            // Counted before the look at `closing`, so that closing either turns
            // this request away or waits for its answer.
            let _count = CallCount::begin(&shared);
            if shared.is_closing() {
                return turn_away(send, reader, CODE_TURNED_AWAY);
            }
            match frame.decode::<PeerRequest>() {
                Ok(request) => {
                    shared.meter.frame_received(request_class(&request), frame.size());
                    handle(&shared, &connection, request, send).await;
                }
                Err(_) => turn_away(send, reader, CODE_UNREADABLE),
            }
        }
        // The asker gave up before its request was whole.
        Ok(None) | Err(FrameError::CutShort) => drop(send.finish()),
        _ => turn_away(send, reader, CODE_UNREADABLE),
    }
}

/// Tells the asker that no handler saw its request, or ever will.
fn turn_away(mut send: SendStream, mut reader: FrameReader, code: VarInt) {
    reader.stop(code);
    // Fails only if the asker gave the stream up already.
    let _ = send.reset(code);
}

async fn answer_probe(meter: &TrafficMeter, probe: &ReceivedFrame, mut send: SendStream) {
    meter.frame_received(TrafficClass::Control, probe.size());
    let answer = probe_frame();
    meter.frame_sent(TrafficClass::Control, answer.len());
    // If the prober is gone, nobody waits for the answer.
    if send.write_chunk(answer).await.is_ok() {
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
    let settled = send.stopped();
    let responder = PeerResponder { send, from, meter: shared.meter.clone() };
    (shared.handler)(PeerCall { from, request, responder }).await;
    // The answer is on its way until the asker has it: closing the link before
    // would cut it off.
    let _ = settled.await;
}

/// Counts a call as in progress until dropped.
struct CallCount {
    shared: Arc<LinkShared>,
}

impl CallCount {
    fn begin(shared: &Arc<LinkShared>) -> Self {
        shared.calls.fetch_add(1, Ordering::SeqCst);
        Self { shared: shared.clone() }
    }
}

impl Drop for CallCount {
    fn drop(&mut self) {
        self.shared.calls.fetch_sub(1, Ordering::SeqCst);
    }
}

/// The way to answer one request.
pub struct PeerResponder {
    send: SendStream,
    from: SocketAddr,
    meter: Arc<TrafficMeter>,
}

impl PeerResponder {
    /// Answers with one reply. Nobody hears of it if the asker is gone. In place
    /// of a reply that no frame holds the asker gets [`PeerReply::Unsupported`].
    pub async fn reply(mut self, reply: PeerReply) {
        self.write(reply).await;
    }

    /// As [`Self::reply`], and waits until the asker has the reply or gave its
    /// request up. False if the connection is lost before: it may have it or not.
    pub async fn reply_acknowledged(mut self, reply: PeerReply) -> bool {
        let settled = self.send.stopped();
        self.write(reply).await;
        settled.await.is_ok()
    }

    async fn write(&mut self, reply: PeerReply) {
        let encoded = encode_frame(FrameKind::Reply, &reply).or_else(|error| {
            encode_frame(FrameKind::Reply, &PeerReply::Unsupported(error.to_string()))
        });
        let frame = encoded.expect("a line of text is smaller than a frame");
        self.meter.frame_sent(TrafficClass::Control, frame.len());
        if self.send.write_chunk(frame).await.is_ok() {
            let _ = self.send.finish();
        }
    }

    /// Answers with a stream of events.
    pub fn into_event_sender(self) -> EventSender {
        EventSender { send: self.send, to: self.from, meter: self.meter, cut: false }
    }

    /// Resolves when the asker gave its request up or its connection is lost.
    pub fn requester_gone(&self) -> impl Future<Output = ()> + Send + 'static + use<> {
        gone(&self.send)
    }
}

/// Sends the events that answer a request.
pub struct EventSender {
    send: SendStream,
    to: SocketAddr,
    meter: Arc<TrafficMeter>,
    cut: bool,
}

impl EventSender {
    /// Sends one event; the last is a [`DispatchEvent::End`]. Waits while the
    /// asker is slow to read.
    ///
    /// A send that was dropped before it returned may have sent a part of its
    /// event: every later one fails, since the asker could not read it.
    pub async fn send(&mut self, event: &DispatchEvent) -> Result<(), LinkError> {
        if self.cut {
            return Err(self.interrupted("an earlier event was cut off"));
        }
        let frame = encode_frame(FrameKind::Event, event)?;
        let size = frame.len();
        self.cut = true;
        self.write(frame).await?;
        self.cut = false;
        self.meter.frame_sent(TrafficClass::Payload, size);
        if matches!(event, DispatchEvent::End(_)) {
            let _ = self.send.finish();
        }
        Ok(())
    }

    /// Waits until the asker has what was sent, or gave its stream up. False if the connection is
    /// lost before: it may have it or not.
    pub async fn wait_acknowledged(&self) -> bool {
        self.send.stopped().await.is_ok()
    }

    async fn write(&mut self, frame: Bytes) -> Result<(), LinkError> {
        self.send.write_chunk(frame).await.map_err(|error| match error {
            WriteError::Stopped(_) => self.interrupted("the asker gave the stream up"),
            WriteError::ConnectionLost(error) => self.interrupted(error),
            other => self.interrupted(other),
        })
    }

    fn interrupted(&self, detail: impl ToString) -> LinkError {
        LinkError::Interrupted { peer: self.to, detail: detail.to_string() }
    }

    /// Resolves when the asker dropped its stream or its connection is lost;
    /// also some time after the end was sent. The future holds no borrow, so
    /// that events can be sent beside it.
    pub fn requester_gone(&self) -> impl Future<Output = ()> + Send + 'static + use<> {
        gone(&self.send)
    }
}

fn gone(send: &SendStream) -> impl Future<Output = ()> + Send + 'static + use<> {
    let stopped = send.stopped();
    async move {
        // Stopped by the asker, lost with the connection, or over: all the same here.
        let _ = stopped.await;
    }
}
