//! One connection to a peer, and the detection of its loss.
//!
//! QUIC's own keep-alive, at an interval of 700 ms, sends 110 bytes a second and
//! receives 104 on every connection, used or not: ten connections would use up a
//! node's budget for control traffic of 2 KB a second. Instead:
//!
//! - While an exchange is in flight, each side checks twice a second whether a
//!   datagram was received, sends a probe if none was, and closes the connection
//!   if the peer remains silent. That ends the exchanges on it.
//! - An idle connection sends nothing. Before it is used again after a second
//!   without contact, the peer must reply to a probe. Otherwise a request could
//!   be written to a peer that has died, and whether it ran would be in doubt.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures_lite::future::or;
use quinn::{Connection, ConnectionError, SendStream, VarInt, WriteError};
use sagespool_types::ClockTime;
use smol::Timer;

use crate::counters::{TrafficClass, TrafficMeter};
use crate::frame::{FrameKind, FrameReader, probe_frame};

/// A peer whose last contact isn't older than this is assumed to be alive.
const MAX_CONTACT_AGE: Duration = Duration::from_secs(1);
/// Interval of the liveness checks while exchanges are in flight.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The connection is closed after this many consecutive checks without a datagram.
/// Checks are counted, not time, so that a process that was paused doesn't count
/// its own pause as silence of its peer.
const MAX_SILENT_CHECKS: u32 = 5;

/// Close code: the process stops.
pub(crate) const CODE_STOPPING: VarInt = VarInt::from_u32(1);
/// Close code: the peer is unresponsive.
const CODE_UNRESPONSIVE: VarInt = VarInt::from_u32(2);

/// A connection, opened by either side.
#[derive(Debug)]
pub(crate) struct PeerConnection {
    pub(crate) quic: Connection,
    pub(crate) meter: Arc<TrafficMeter>,
    last_contact: AtomicU64,
    watch: Mutex<WatchState>,
}

#[derive(Debug, Default)]
struct WatchState {
    exchanges: usize,
    watched: bool,
}

/// A request whose first bytes are written: its stream, the bytes that remain
/// to be written, and the reader of the reply.
pub(crate) struct StartedExchange {
    pub(crate) send: SendStream,
    pub(crate) remaining: Bytes,
    pub(crate) reader: FrameReader,
    pub(crate) guard: ExchangeGuard,
}

/// Keeps the connection monitored while an exchange is in flight.
pub(crate) struct ExchangeGuard {
    connection: Arc<PeerConnection>,
}

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        self.connection.watch_state().exchanges -= 1;
    }
}

impl ExchangeGuard {
    pub(crate) fn connection(&self) -> &PeerConnection {
        &self.connection
    }
}

impl PeerConnection {
    pub(crate) fn new(quic: Connection, meter: Arc<TrafficMeter>, now: ClockTime) -> Arc<Self> {
        let last_contact = AtomicU64::new(now.0);
        Arc::new(Self { quic, meter, last_contact, watch: Mutex::default() })
    }

    fn watch_state(&self) -> MutexGuard<'_, WatchState> {
        self.watch.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a contact with the peer. The last contact never moves back.
    pub(crate) fn note_contact(&self, now: ClockTime) {
        self.last_contact.fetch_max(now.0, Ordering::Relaxed);
    }

    /// True if the last contact is recent enough to send a request without a probe.
    pub(crate) fn is_fresh(&self, now: ClockTime) -> bool {
        let last_contact = ClockTime(self.last_contact.load(Ordering::Relaxed));
        now.since(last_contact) < MAX_CONTACT_AGE
    }

    /// Closes the connection if nothing is in flight on it.
    pub(crate) fn close_unused(&self) {
        if self.watch_state().exchanges == 0 {
            self.quic.close(CODE_UNRESPONSIVE, b"the peer fell silent");
        }
    }

    /// Counts an exchange as in flight until the guard is dropped.
    pub(crate) fn begin_exchange(self: &Arc<Self>) -> ExchangeGuard {
        let mut state = self.watch_state();
        state.exchanges += 1;
        if !state.watched {
            state.watched = true;
            smol::spawn(monitor_peer(self.clone())).detach();
        }
        drop(state);
        ExchangeGuard { connection: self.clone() }
    }

    /// Opens a stream and writes a frame's first bytes. If this fails, or is
    /// dropped before it returns, QUIC has accepted no byte of the frame.
    pub(crate) async fn start_exchange(
        self: &Arc<Self>,
        frame: Bytes,
    ) -> Result<StartedExchange, WriteError> {
        let guard = self.begin_exchange();
        let (mut send, recv) = self.quic.open_bi().await?;
        let mut remaining = [frame];
        send.write_chunks(&mut remaining).await?;
        let [remaining] = remaining;
        Ok(StartedExchange { send, remaining, reader: FrameReader::new(recv), guard })
    }

    /// Sends a probe and waits for the peer's reply.
    pub(crate) async fn probe(&self) -> Result<(), String> {
        let (mut send, recv) = self.quic.open_bi().await.map_err(|error| error.to_string())?;
        let frame = probe_frame();
        self.meter.count_sent_frame(TrafficClass::Control, frame.len());
        send.write_chunk(frame).await.map_err(|error| error.to_string())?;
        // Fails only if the peer stopped the stream, which the read below reports.
        let _ = send.finish();
        let mut reader = FrameReader::new(recv);
        let frame = reader.next().await.map_err(|error| error.to_string())?;
        let Some(frame) = frame.filter(|frame| frame.kind == FrameKind::Probe) else {
            return Err("the peer did not reply to a probe with a probe frame".to_owned());
        };
        self.meter.count_received_frame(TrafficClass::Control, frame.size());
        self.note_contact(ClockTime::now());
        reader.poll_end().await;
        Ok(())
    }

    /// Whether monitoring has to continue: false, and `watched` cleared, once
    /// nothing is in flight or the connection is closed.
    fn refresh_watched(&self) -> bool {
        let closed = self.quic.close_reason().is_some();
        let mut state = self.watch_state();
        state.watched = state.exchanges > 0 && !closed;
        state.watched
    }
}

/// True if the handshake failed because of a certificate or the protocol
/// version, as reported by either side.
pub(crate) fn is_handshake_refusal(error: &ConnectionError) -> bool {
    // RFC 9001, 4.8: a TLS alert is reported as error 0x100 plus its code.
    let is_alert = |code: u64| (0x100..0x200).contains(&code);
    match error {
        ConnectionError::TransportError(error) => is_alert(error.code.into()),
        ConnectionError::ConnectionClosed(close) => is_alert(close.error_code.into()),
        _ => false,
    }
}

/// Checks a connection's liveness while exchanges are in flight on it.
///
/// Guards against a peer that was killed or disconnected: QUIC doesn't report
/// it, so callers would wait until their deadlines, or for ever on a stream of
/// events. Any received datagram proves that the peer is alive; a probe causes one.
async fn monitor_peer(connection: Arc<PeerConnection>) {
    let mut received = connection.quic.stats().udp_rx.datagrams;
    let mut silent_checks = 0;
    // Dropping the task cancels the probe.
    let mut _probe = None;
    loop {
        let timer = async {
            Timer::after(CHECK_INTERVAL).await;
        };
        let closed = async {
            connection.quic.closed().await;
        };
        or(timer, closed).await;
        if !connection.refresh_watched() {
            return;
        }
        let datagrams = connection.quic.stats().udp_rx.datagrams;
        if datagrams != received {
            received = datagrams;
            silent_checks = 0;
            connection.note_contact(ClockTime::now());
            continue;
        }
        silent_checks += 1;
        if silent_checks >= MAX_SILENT_CHECKS {
            connection.quic.close(CODE_UNRESPONSIVE, b"the peer fell silent");
            return;
        }
        if silent_checks == 1 {
            _probe = Some(smol::spawn(run_probe(connection.clone())));
        }
    }
}

async fn run_probe(connection: Arc<PeerConnection>) {
    // The liveness check counts received datagrams; the reply isn't needed.
    let _ = connection.probe().await;
}
