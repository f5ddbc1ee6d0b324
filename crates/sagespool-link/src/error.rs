//! What can go wrong between two processes.

use std::error::Error;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use sagespool_types::ByteCount;

/// Why a request to a peer, or a link's start, failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LinkError {
    /// The peer's handler surely never saw the request: no byte of it left this
    /// process, or the peer said that it turned the request away unread.
    Unreachable {
        /// The peer.
        peer: SocketAddr,
        /// What happened, in words.
        detail: String,
    },
    /// The connection or the stream broke after a byte of the request may have
    /// left: the peer may have handled it.
    Interrupted {
        /// The peer.
        peer: SocketAddr,
        /// What happened, in words.
        detail: String,
    },
    /// No answer in time, after a byte of the request may have left: the peer
    /// may have handled it, or may do so yet.
    TimedOut {
        /// The peer.
        peer: SocketAddr,
        /// The time that was allowed.
        allowed: Duration,
    },
    /// The peer's bytes are not a message that this version knows; it may have
    /// handled the request.
    Malformed {
        /// The peer.
        peer: SocketAddr,
        /// What was found, in words.
        detail: String,
    },
    /// The message to send is larger than a frame may be; none of it was sent.
    TooLarge {
        /// The message's size.
        size: ByteCount,
        /// The most that a frame holds.
        limit: ByteCount,
    },
    /// The link could not start to listen.
    NotListening {
        /// The address that was asked for.
        address: SocketAddr,
    },
}

impl LinkError {
    /// True only if the peer's handler surely never saw the request, so that
    /// it may be sent elsewhere, or refused as not run, without doubt.
    pub fn definitely_not_handled(&self) -> bool {
        match self {
            Self::Unreachable { .. } | Self::TooLarge { .. } | Self::NotListening { .. } => true,
            Self::Interrupted { .. } | Self::TimedOut { .. } | Self::Malformed { .. } => false,
        }
    }

    /// What a person can do about it.
    pub fn help(&self) -> &'static str {
        match self {
            Self::Unreachable { .. } => {
                "check that the peer runs, listens at this address and has a certificate of this fleet's authority"
            }
            Self::Interrupted { .. } => "the peer stopped or the network broke; ask what it did",
            Self::TimedOut { .. } => "the peer is slow or cut off; ask what it did",
            Self::Malformed { .. } => "run the same version of sagespool on both sides",
            Self::TooLarge { .. } => "send less in one message",
            Self::NotListening { .. } => "check `link.listen` in the settings",
        }
    }
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable { peer, detail } => {
                write!(f, "peer {peer} was not reached: {detail}")
            }
            Self::Interrupted { peer, detail } => {
                write!(f, "the exchange with peer {peer} broke: {detail}")
            }
            Self::TimedOut { peer, allowed } => {
                write!(f, "peer {peer} did not answer within {} ms", allowed.as_millis())
            }
            Self::Malformed { peer, detail } => {
                write!(f, "peer {peer} sent what is no message: {detail}")
            }
            Self::TooLarge { size, limit } => {
                write!(f, "a message of {size} bytes is over the limit of {limit} bytes")
            }
            Self::NotListening { address } => write!(f, "can't listen at {address}"),
        }
    }
}

impl Error for LinkError {}
