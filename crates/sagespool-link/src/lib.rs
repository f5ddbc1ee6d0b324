//! Typed messages between the processes of the fleet, over QUIC.

mod counters;
mod endpoint;
mod error;
mod identity;
mod server;

pub use counters::LinkCounters;
pub use endpoint::{EventStream, LinkEndpoint};
pub use error::LinkError;
pub use identity::{IdentityError, LinkIdentity};
pub use server::{EventSender, PeerCall, PeerHandler, PeerResponder};
