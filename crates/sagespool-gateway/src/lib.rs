//! The gateway: an entry that forwards opaque requests straight to upstreams.
//!
//! One pipeline carries each request: admit, reserve its tokens, choose an upstream, attempt,
//! answer, settle. The decisions are `sagespool-forward`'s and `sagespool-ledger`'s; here is the
//! I/O around them. How callers, upstreams and the store spell things is handed in as a
//! [`WireDialect`].

mod attempt;
mod body;
mod callers;
mod calls;
mod contact;
mod crashes;
mod desk;
mod dialect;
mod evacuations;
mod feeds;
mod fleet;
mod flight;
mod flush;
mod follow;
mod hop;
mod identity;
mod intake;
mod limits;
mod metrics;
mod peers;
mod pipeline;
mod pool;
mod refusal;
mod relay_role;
mod request_body;
mod role;
mod signal;
mod state;
mod status;
mod stream;

pub use body::{AnswerBody, AnswerCut, BodyPiece, StreamedBody};
pub use desk::{FailedRound, KnownShortage};
pub use dialect::{CallerHeaderError, ResponseMetadata, UpstreamRequestTerms, WireDialect};
pub use flush::{CountedStream, FlushCounter};
pub use relay_role::RelayRole;
pub use role::{GatewayError, GatewayRole, StopReport};
