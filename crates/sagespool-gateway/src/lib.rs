//! The gateway forwards opaque HTTP requests directly to upstreams.
//!
//! Each request passes through one pipeline: admit, reserve tokens, choose an upstream, attempt,
//! respond, settle. The decision logic is in `sagespool-forward` and `sagespool-ledger`; this crate
//! does the I/O. The wire formats of callers, upstreams and the store are supplied as a
//! [`WireDialect`].

mod addresses;
mod admission;
mod attempt;
mod attempt_end;
mod body;
mod budget;
mod callers;
mod context;
mod crashes;
mod dialect;
mod evacuations;
mod feeds;
mod fleet;
mod flush;
mod follow;
mod hop_by_hop;
mod identity;
mod limits;
mod metrics;
mod peers;
mod pipeline;
mod pool;
mod received;
mod refusal;
mod relay_role;
mod request_body;
mod resumption;
mod role;
mod rotation;
mod signal;
mod start;
mod state;
mod status;
mod store_calls;
mod store_health;
mod stream;

pub use body::{BodyChunk, ResponseAborted, ResponseBody, StreamedBody};
pub use budget::{CachedShortage, FailedLoanRound};
pub use dialect::{CallerHeaderError, ResponseMetadata, UpstreamRequestTerms, WireDialect};
pub use flush::{FlushCounter, FlushCountingStream};
pub use relay_role::RelayRole;
pub use role::{GatewayError, GatewayRole, StopReport};
