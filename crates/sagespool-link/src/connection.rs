//! One connection to a peer, and whether the peer is still there.
//!
//! QUIC's own keep-alive, each 700 ms, sends 110 bytes a second and receives 104
//! on every connection, used or not: ten of them, and a node's 2 KB a second of
//! control traffic are gone. Instead:
//!
//! - While an exchange is in flight, either side looks twice a second whether
//!   any datagram came, asks the peer with a probe if none did, and closes the
//!   connection when the peer stays silent. That ends the exchanges on it.
//! - An idle connection sends nothing. Before it is used again after a second
//!   of silence, a probe must be answered, so that a request isn't written to a
//!   peer that died meanwhile: it would be in doubt whether it ran.

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

/// A peer that was heard so lately is taken to be there.
const FRESH_LIMIT: Duration = Duration::from_secs(1);
/// How often a connection with exchanges in flight is looked at.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);
/// After so many looks in a row without a datagram the peer is given up. They
/// are counted, not timed: a process that was paused must not take the time
/// that it missed for its peer's silence.
const SILENT_LOOKS: u32 = 5;

/// Code of a connection that was closed because its process stops.
pub(crate) const CODE_STOPPING: VarInt = VarInt::from_u32(1);
/// Code of a connection that was closed because its peer fell silent.
const CODE_SILENT: VarInt = VarInt::from_u32(2);

/// A connection, made by either side.
#[derive(Debug)]
pub(crate) struct PeerConnection {
    pub(crate) quic: Connection,
    pub(crate) meter: Arc<TrafficMeter>,
    heard_at: AtomicU64,
    watch: Mutex<WatchState>,
}

#[derive(Debug, Default)]
struct WatchState {
    exchanges: usize,
    watched: bool,
}

/// A request on its way: what is left to write, and where the answer comes.
pub(crate) struct StartedExchange {
    pub(crate) send: SendStream,
    pub(crate) rest: Bytes,
    pub(crate) reader: FrameReader,
    pub(crate) guard: ExchangeGuard,
}

/// Keeps the connection watched while an exchange is in flight.
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
        let heard_at = AtomicU64::new(now.0);
        Arc::new(Self { quic, meter, heard_at, watch: Mutex::default() })
    }

    fn watch_state(&self) -> MutexGuard<'_, WatchState> {
        self.watch.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes note that the peer was heard.
    pub(crate) fn heard(&self, now: ClockTime) {
        self.heard_at.fetch_max(now.0, Ordering::Relaxed);
    }

    /// True if the peer was heard so lately that a request may be written.
    pub(crate) fn is_fresh(&self, now: ClockTime) -> bool {
        let heard_at = ClockTime(self.heard_at.load(Ordering::Relaxed));
        now.since(heard_at) < FRESH_LIMIT
    }

    /// Closes the connection if nothing is in flight on it.
    pub(crate) fn close_unused(&self) {
        if self.watch_state().exchanges == 0 {
            self.quic.close(CODE_SILENT, b"the peer fell silent");
        }
    }

    /// Counts an exchange as in flight until the guard is dropped.
    pub(crate) fn begin_exchange(self: &Arc<Self>) -> ExchangeGuard {
        let mut state = self.watch_state();
        state.exchanges += 1;
        if !state.watched {
            state.watched = true;
            smol::spawn(watch_peer(self.clone())).detach();
        }
        drop(state);
        ExchangeGuard { connection: self.clone() }
    }

    /// Opens a stream and writes a frame's first bytes. If this fails, or is
    /// dropped before it returns, no byte of the frame was taken.
    pub(crate) async fn start_exchange(
        self: &Arc<Self>,
        frame: Bytes,
    ) -> Result<StartedExchange, WriteError> {
        let guard = self.begin_exchange();
        let (mut send, recv) = self.quic.open_bi().await?;
        let mut rest = [frame];
        send.write_chunks(&mut rest).await?;
        let [rest] = rest;
        Ok(StartedExchange { send, rest, reader: FrameReader::new(recv), guard })
    }

    /// Asks the peer whether it is there, and waits for its answer.
    pub(crate) async fn probe(&self) -> Result<(), String> {
        let (mut send, recv) = self.quic.open_bi().await.map_err(|error| error.to_string())?;
        let frame = probe_frame();
        self.meter.frame_sent(TrafficClass::Control, frame.len());
        send.write_chunk(frame).await.map_err(|error| error.to_string())?;
        // Fails only if the peer stopped the stream, which the read below shows.
        let _ = send.finish();
        let mut reader = FrameReader::new(recv);
        let frame = reader.next().await.map_err(|error| error.to_string())?;
        let Some(frame) = frame.filter(|frame| frame.kind == FrameKind::Probe) else {
            return Err("the peer's answer to a probe is none".to_owned());
        };
        self.meter.frame_received(TrafficClass::Control, frame.size());
        self.heard(ClockTime::now());
        reader.note_end().await;
        Ok(())
    }

    /// False, and not watched any more, once nothing is in flight or the
    /// connection is closed.
    fn still_watched(&self) -> bool {
        let closed = self.quic.close_reason().is_some();
        let mut state = self.watch_state();
        state.watched = state.exchanges > 0 && !closed;
        state.watched
    }
}

/// True if a connection failed over a certificate or the protocol, whichever
/// side said so.
pub(crate) fn is_refusal(error: &ConnectionError) -> bool {
    // RFC 9001, 4.8: a TLS alert is reported as error 0x100 plus its code.
    let is_alert = |code: u64| (0x100..0x200).contains(&code);
    match error {
        ConnectionError::TransportError(error) => is_alert(error.code.into()),
        ConnectionError::ConnectionClosed(close) => is_alert(close.error_code.into()),
        _ => false,
    }
}

/// Looks after a connection while exchanges are in flight on it.
///
/// Guards against a peer that was killed or cut off: no datagram says so, and
/// its callers would wait until their deadlines, or for ever on a stream of
/// events. Any datagram counts as a sign of life, and a probe draws one.
async fn watch_peer(connection: Arc<PeerConnection>) {
    let mut received = connection.quic.stats().udp_rx.datagrams;
    let mut silent_looks = 0;
    // Dropping it ends the probe.
    let mut _probe = None;
    loop {
        let timer = async {
            Timer::after(WATCH_INTERVAL).await;
        };
        let closed = async {
            connection.quic.closed().await;
        };
        or(timer, closed).await;
        if !connection.still_watched() {
            return;
        }
        let datagrams = connection.quic.stats().udp_rx.datagrams;
        if datagrams != received {
            received = datagrams;
            silent_looks = 0;
            connection.heard(ClockTime::now());
            continue;
        }
        silent_looks += 1;
        if silent_looks >= SILENT_LOOKS {
            connection.quic.close(CODE_SILENT, b"the peer fell silent");
            return;
        }
        if silent_looks == 1 {
            _probe = Some(smol::spawn(probe_detached(connection.clone())));
        }
    }
}

async fn probe_detached(connection: Arc<PeerConnection>) {
    // The watch looks at datagrams, not at the answer.
    let _ = connection.probe().await;
}
