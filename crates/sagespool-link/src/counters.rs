//! Traffic counters of a link, for metrics and the budget for control traffic.

use std::sync::atomic::{AtomicU64, Ordering};

use sagespool_types::ByteCount;

/// The traffic of a link since its start.
///
/// Payload is dispatch and attach requests and their events; control is every
/// other message. Both count whole frames as passed to QUIC. The datagrams count
/// everything that QUIC sends, including handshakes, acknowledgements and
/// retransmissions, without IP and UDP headers.
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
    /// Handshakes that either side refused because of a certificate or the protocol.
    pub handshakes_refused: u64,
    /// Connections opened since the start, by either side.
    pub connections_opened: u64,
    /// Connections that are currently open.
    pub connections_open: u64,
}

/// The class under which a frame is counted; see [`LinkCounters`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TrafficClass {
    Control,
    Payload,
}

/// The live counters behind [`LinkCounters`].
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
    pub(crate) fn count_sent_frame(&self, class: TrafficClass, bytes: usize) {
        match class {
            TrafficClass::Control => add(&self.control_sent, bytes),
            TrafficClass::Payload => add(&self.payload_sent, bytes),
        }
    }

    pub(crate) fn count_received_frame(&self, class: TrafficClass, bytes: usize) {
        match class {
            TrafficClass::Control => add(&self.control_received, bytes),
            TrafficClass::Payload => add(&self.payload_received, bytes),
        }
    }

    pub(crate) fn count_sent_datagrams(&self, datagrams: usize, bytes: usize) {
        add(&self.datagrams_sent, datagrams);
        add(&self.datagram_bytes_sent, bytes);
    }

    pub(crate) fn count_received_datagrams(&self, datagrams: usize, bytes: usize) {
        add(&self.datagrams_received, datagrams);
        add(&self.datagram_bytes_received, bytes);
    }

    pub(crate) fn count_refused_handshake(&self) {
        add(&self.handshakes_refused, 1);
    }

    pub(crate) fn count_opened_connection(&self) {
        add(&self.connections_opened, 1);
    }

    pub(crate) fn count_closed_connection(&self) {
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
