//! Errors of the link between two processes.

use std::error::Error;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use sagespool_types::ByteCount;

/// The failure of a request to a peer, or of the start of a link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LinkError {
    /// The request never reached the peer's handler: no byte of it left this
    /// process, or the peer reported that it rejected the request unread.
    Unreachable {
        /// The peer.
        peer: SocketAddr,
        /// A description of the failure.
        detail: String,
    },
    /// The connection or the stream failed after a byte of the request may have
    /// been sent: the peer may have handled it.
    Interrupted {
        /// The peer.
        peer: SocketAddr,
        /// A description of the failure.
        detail: String,
    },
    /// No reply within the timeout, after a byte of the request may have been
    /// sent: the peer may have handled it, or may still do so.
    TimedOut {
        /// The peer.
        peer: SocketAddr,
        /// The timeout that has passed.
        timeout: Duration,
    },
    /// The peer sent bytes that this version can't decode; it may have handled
    /// the request.
    Malformed {
        /// The peer.
        peer: SocketAddr,
        /// A description of what was received.
        detail: String,
    },
    /// The message is larger than a frame may be; none of it was sent.
    TooLarge {
        /// The size of kind byte and encoded message.
        size: ByteCount,
        /// The limit for a frame.
        limit: ByteCount,
    },
    /// The link could not bind its socket.
    ListenFailed {
        /// The requested address.
        address: SocketAddr,
    },
}

impl LinkError {
    /// True only if the request never reached the peer's handler and never will,
    /// so that it can safely be sent elsewhere or refused as not run.
    pub fn definitely_not_handled(&self) -> bool {
        match self {
            Self::Unreachable { .. } | Self::TooLarge { .. } | Self::ListenFailed { .. } => true,
            Self::Interrupted { .. } | Self::TimedOut { .. } | Self::Malformed { .. } => false,
        }
    }

    /// A hint for the operator on how to resolve the error.
    pub fn help(&self) -> &'static str {
        match self {
            Self::Unreachable { .. } => {
                "check that the peer runs, listens at this address and has a certificate of this fleet's authority"
            }
            Self::Interrupted { .. } => {
                "the peer stopped or the network failed; check whether the request ran"
            }
            Self::TimedOut { .. } => {
                "the peer is slow or disconnected; check whether the request ran"
            }
            Self::Malformed { .. } => "run the same version of sagespool on both sides",
            Self::TooLarge { .. } => "send smaller messages",
            Self::ListenFailed { .. } => "check `link.listen` in the settings",
        }
    }
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable { peer, detail } => {
                write!(f, "peer {peer} is unreachable: {detail}")
            }
            Self::Interrupted { peer, detail } => {
                write!(f, "the exchange with peer {peer} was interrupted: {detail}")
            }
            Self::TimedOut { peer, timeout } => {
                write!(f, "peer {peer} did not answer within {} ms", timeout.as_millis())
            }
            Self::Malformed { peer, detail } => {
                write!(f, "peer {peer} sent an invalid message: {detail}")
            }
            Self::TooLarge { size, limit } => {
                write!(f, "a message of {size} bytes is over the limit of {limit} bytes")
            }
            Self::ListenFailed { address } => write!(f, "can't listen at {address}"),
        }
    }
}

impl Error for LinkError {}
