//! Counters of a link, for metrics and for the budget of control traffic.

use std::sync::atomic::{AtomicU64, Ordering};

use sagespool_types::ByteCount;

/// What went over a link since it started.
///
/// Payload is dispatch and attach requests and the events that answer them;
/// control is every other message. Both count whole frames as they were handed
/// to QUIC; the datagrams count all that QUIC made of them, handshakes,
/// acknowledgements and retransmissions included, without IP and UDP headers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LinkCounters {
    /// Bytes of control messages sent.
    pub control_sent: ByteCount,
    /// Bytes of control messages received.
    pub control_received: ByteCount,
    /// Bytes of payload messages sent.
    pub payload_sent: ByteCount,
    /// Bytes of payload messages received.
    pub payload_received: ByteCount,
    /// UDP datagrams sent.
    pub datagrams_sent: u64,
    /// UDP datagrams received.
    pub datagrams_received: u64,
    /// Bytes in UDP datagrams sent.
    pub datagram_bytes_sent: ByteCount,
    /// Bytes in UDP datagrams received.
    pub datagram_bytes_received: ByteCount,
    /// Handshakes that failed over a certificate or the protocol, refused by either side.
    pub handshakes_refused: u64,
    /// Connections opened so far, by either side.
    pub connections_opened: u64,
    /// Connections open now.
    pub connections_open: u64,
}

/// What a frame is counted as.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TrafficClass {
    Control,
    Payload,
}

/// The counters while they count.
#[derive(Debug, Default)]
pub(crate) struct TrafficMeter {
    control_sent: AtomicU64,
    control_received: AtomicU64,
    payload_sent: AtomicU64,
    payload_received: AtomicU64,
    datagrams_sent: AtomicU64,
    datagrams_received: AtomicU64,
    datagram_bytes_sent: AtomicU64,
    datagram_bytes_received: AtomicU64,
    handshakes_refused: AtomicU64,
    connections_opened: AtomicU64,
    connections_closed: AtomicU64,
}

fn add(counter: &AtomicU64, amount: usize) {
    counter.fetch_add(amount as u64, Ordering::Relaxed);
}

fn read(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}

impl TrafficMeter {
    pub(crate) fn frame_sent(&self, class: TrafficClass, bytes: usize) {
        match class {
            TrafficClass::Control => add(&self.control_sent, bytes),
            TrafficClass::Payload => add(&self.payload_sent, bytes),
        }
    }

    pub(crate) fn frame_received(&self, class: TrafficClass, bytes: usize) {
        match class {
            TrafficClass::Control => add(&self.control_received, bytes),
            TrafficClass::Payload => add(&self.payload_received, bytes),
        }
    }

    pub(crate) fn datagrams_sent(&self, datagrams: usize, bytes: usize) {
        add(&self.datagrams_sent, datagrams);
        add(&self.datagram_bytes_sent, bytes);
    }

    pub(crate) fn datagrams_received(&self, datagrams: usize, bytes: usize) {
        add(&self.datagrams_received, datagrams);
        add(&self.datagram_bytes_received, bytes);
    }

    pub(crate) fn handshake_refused(&self) {
        add(&self.handshakes_refused, 1);
    }

    pub(crate) fn connection_opened(&self) {
        add(&self.connections_opened, 1);
    }

    pub(crate) fn connection_closed(&self) {
        add(&self.connections_closed, 1);
    }

    pub(crate) fn counters(&self) -> LinkCounters {
        let closed = read(&self.connections_closed);
        let opened = read(&self.connections_opened);
        LinkCounters {
            control_sent: ByteCount(read(&self.control_sent)),
            control_received: ByteCount(read(&self.control_received)),
            payload_sent: ByteCount(read(&self.payload_sent)),
            payload_received: ByteCount(read(&self.payload_received)),
            datagrams_sent: read(&self.datagrams_sent),
            datagrams_received: read(&self.datagrams_received),
            datagram_bytes_sent: ByteCount(read(&self.datagram_bytes_sent)),
            datagram_bytes_received: ByteCount(read(&self.datagram_bytes_received)),
            handshakes_refused: read(&self.handshakes_refused),
            connections_opened: opened,
            connections_open: opened.saturating_sub(closed),
        }
    }
}
