//! Typed messages between the processes of the fleet, over QUIC.
//!
//! A [`LinkEndpoint`] is one UDP socket. It sends requests to peers, over one
//! shared connection each, and passes their requests to a handler. Every process
//! with a certificate of the fleet's authority is a peer ([`LinkIdentity`]). A
//! request is answered by one reply or by a stream of events.
//!
//! Callers must be able to rely on whether a failed request may have run, so
//! [`LinkError::definitely_not_handled`] is strict: it is true only if no byte of the
//! request left this process, or if the peer reported that it rejected the
//! request before it reached the handler.
//!
//! ```
//! use std::sync::Arc;
//! use std::time::Duration;
//!
//! use sagespool_link::{LinkEndpoint, LinkIdentity, PeerHandler};
//! use sagespool_messages::{PeerReply, PeerRequest, StatusQuery};
//! # use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! # let authority_key = KeyPair::generate()?;
//! # let mut params = CertificateParams::new(Vec::new())?;
//! # params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
//! # let authority = params.self_signed(&authority_key)?.pem();
//! # let issuer = Issuer::new(params, authority_key);
//! # let pair = KeyPair::generate()?;
//! # let certificate =
//! #     CertificateParams::new(vec!["node.test".to_owned()])?.signed_by(&pair, &issuer)?.pem();
//! # let key = pair.serialize_pem();
//! // `certificate`, `key` and `authority` are PEM texts, as `sagespool certificates` writes them.
//! let identity = || LinkIdentity::from_pem(&certificate, &key, &authority);
//! let handler: PeerHandler =
//!     Arc::new(|call| Box::pin(async move { call.responder.reply(PeerReply::Done).await }));
//! let any_port = "127.0.0.1:0".parse()?;
//! # let text = |report: error_stack::Report<_>| report.to_string();
//! # let identity = || identity().map_err(|report| report.to_string());
//! let server = LinkEndpoint::start(any_port, identity()?, handler.clone()).map_err(text)?;
//! let client = LinkEndpoint::start(any_port, identity()?, handler).map_err(text)?;
//! let request = PeerRequest::Status(StatusQuery { branch: None, running: 0 });
//! let timeout = Duration::from_secs(5);
//! let reply = smol::block_on(client.request(server.local_address(), &request, timeout))?;
//! assert_eq!(reply, PeerReply::Done);
//! # Ok(())
//! # }
//! ```

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
pub use time::within;
