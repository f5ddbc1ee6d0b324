//! Settings of the QUIC transport.

use std::sync::Arc;
use std::time::Duration;

use quinn::{IdleTimeout, TransportConfig, VarInt};

/// Default limit of the requests that a peer may have open at once: an entry may dispatch ten
/// thousand requests to one sidecar, with a reserve for other requests.
pub(crate) const MAX_CONCURRENT_REQUESTS: u32 = 12_000;

/// Limit of unread bytes of one stream: a request of the size of a dossier takes
/// a few round trips, and a slow reader blocks only its own stream.
const STREAM_RECEIVE_WINDOW_BYTES: u32 = 1 << 20;

/// Limit of unacknowledged bytes of one connection.
const SEND_WINDOW_BYTES: u64 = 64 << 20;

/// Round-trip time assumed before the first measurement. Within a region it is about
/// a millisecond; with the library's default of 333 ms, a lost first datagram would
/// be sent again only after a second.
const INITIAL_RTT: Duration = Duration::from_millis(30);

/// After this time without a datagram both sides drop a connection without a
/// close message. An idle connection sends nothing (see `PeerConnection`), so
/// keeping one costs some memory, and opening a new one costs a handshake.
const IDLE_TIMEOUT: Duration = Duration::from_secs(300);

/// The settings of every connection.
///
/// MTU discovery is off: it costs 4.1 KB sent and 2.7 KB received for each
/// connection, more than the handshake, and makes a request of 1 MB only a tenth
/// faster (6.5 ms instead of 7.2 ms on loopback).
pub(crate) fn transport_config(max_concurrent_requests: u32) -> Arc<TransportConfig> {
    let idle_timeout = IdleTimeout::try_from(IDLE_TIMEOUT)
        .expect("five minutes are within QUIC's range of idle timeouts");
    let mut config = TransportConfig::default();
    config
        .max_concurrent_bidi_streams(max_concurrent_requests.into())
        .max_concurrent_uni_streams(VarInt::from_u32(0))
        .stream_receive_window(STREAM_RECEIVE_WINDOW_BYTES.into())
        .send_window(SEND_WINDOW_BYTES)
        .initial_rtt(INITIAL_RTT)
        .max_idle_timeout(Some(idle_timeout))
        .mtu_discovery_config(None)
        .datagram_receive_buffer_size(None);
    Arc::new(config)
}
