//! Figures of the QUIC transport.

use std::sync::Arc;
use std::time::Duration;

use quinn::{IdleTimeout, TransportConfig, VarInt};

/// Questions that a peer may have open at once, if nothing else is said: an entry may dispatch ten
/// thousand requests to one sidecar, with some room for others.
pub(crate) const MOST_QUESTIONS: u32 = 12_000;

/// Unread bytes of one stream: a dossier's request goes in a few round trips,
/// and a slow reader holds up its own stream only.
const STREAM_WINDOW: u32 = 1 << 20;

/// Unacknowledged bytes of one connection.
const SEND_WINDOW: u64 = 64 << 20;

/// Assumed before the first measurement. Regions are a millisecond wide; the
/// library's 333 ms would repeat a lost first datagram only after a second.
const FIRST_ROUND_TRIP: Duration = Duration::from_millis(30);

/// After this long without a datagram a connection is forgotten by both sides,
/// without a word. An idle connection sends nothing (see `PeerConnection`), so
/// keeping one costs some memory, and making one anew costs a handshake.
const IDLE_LIMIT: Duration = Duration::from_secs(300);

/// The settings of every connection.
///
/// Discovery of larger datagrams is off: it cost 4.1 KB sent and 2.7 KB received
/// for each connection, more than the handshake, and made a request of 1 MB a
/// tenth faster (6.5 ms against 7.2 ms on loopback).
pub(crate) fn transport_config(most_questions: u32) -> Arc<TransportConfig> {
    let idle_limit =
        IdleTimeout::try_from(IDLE_LIMIT).expect("five minutes fit in QUIC's milliseconds");
    let mut config = TransportConfig::default();
    config
        .max_concurrent_bidi_streams(most_questions.into())
        .max_concurrent_uni_streams(VarInt::from_u32(0))
        .stream_receive_window(STREAM_WINDOW.into())
        .send_window(SEND_WINDOW)
        .initial_rtt(FIRST_ROUND_TRIP)
        .max_idle_timeout(Some(idle_limit))
        .mtu_discovery_config(None)
        .datagram_receive_buffer_size(None);
    Arc::new(config)
}
