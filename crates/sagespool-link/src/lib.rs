//! Typed messages between the processes of the fleet, over QUIC.
//!
//! A [`LinkEndpoint`] is one UDP socket. It asks peers, each over one shared
//! connection, and hands their requests to a handler; a peer is whoever has a
//! certificate of the fleet's authority ([`LinkIdentity`]). A request is
//! answered by one reply or by a stream of events.
//!
//! Whether a request that failed may have run is the one thing that callers
//! must be able to rely on, so [`LinkError::surely_not_sent`] is strict: it is
//! true only if no byte of the request left this process, or if the peer said
//! that it turned the request away before its handler saw it.

mod authority;
mod connection;
mod counters;
mod endpoint;
mod error;
mod exchange;
mod frame;
mod identity;
mod peers;
mod reset;
mod server;
mod shared;
mod socket;
mod time;
mod transport;

pub use counters::LinkCounters;
pub use endpoint::LinkEndpoint;
pub use error::LinkError;
pub use exchange::EventStream;
pub use identity::{IdentityError, LinkIdentity};
pub use server::{EventSender, PeerCall, PeerHandler, PeerResponder};
