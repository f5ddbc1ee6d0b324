//! Counters of a link, for metrics and for the budget of control traffic.

use sagespool_types::ByteCount;

/// What went over a link since it started.
///
/// Payload is dispatch and attach requests and the events that answer them;
/// control is every other message. Both count framed messages as they were
/// written; the datagrams count all that QUIC made of them, handshakes,
/// acknowledgements and retransmissions included.
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
    /// Connections opened so far, from either side.
    pub connections_opened: u64,
    /// Connections open now.
    pub connections_open: u64,
}
