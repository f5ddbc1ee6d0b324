//! Ids, sizes, rates and the common-derives macro of the sagespool fleet.
//!
//! Every other package names things through these newtypes, so that a token
//! count is never mistaken for a store revision, nor a branch for a service.
//!
//! ```
//! use sagespool_types::{BranchName, TokenCount};
//!
//! let branch: BranchName = "ruwi-bids".parse()?;
//! let budget: TokenCount = "120000".parse()?;
//! assert_eq!(format!("{branch} has {budget}"), "ruwi-bids has 120000");
//! # Ok::<(), sagespool_types::ParseError>(())
//! ```

mod binary;
mod clock;
mod derives;
mod digest;
mod fault;
mod ids;
mod names;
mod rates;
mod refusal;
mod sizes;

pub use clock::{ClockTime, WallTime};
pub use digest::{ContentDigest, KeyDigest, SecretHash};
pub use fault::ParseError;
pub use ids::{
    AttemptNumber, ChargeId, CommandId, FenceNumber, GrantId, IncarnationId, RequestId,
    SequenceNumber,
};
pub use names::{
    BranchName, CentreName, ClassName, InstanceName, ModelName, RegionName, ServiceName,
    UpstreamName,
};
pub use rates::SendRate;
pub use refusal::{RefusalReason, RunState};
pub use sizes::{
    BookNumber, ByteCount, ConfigVersion, RequestRate, StoreRevision, TokenCount, TokenRate,
    UpstreamStartTime,
};
