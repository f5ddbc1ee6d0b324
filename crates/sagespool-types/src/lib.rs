//! Ids, sizes, rates and common derive sets of the sagespool fleet.
//!
//! All other packages use these newtypes, so that the compiler tells a token count
//! from a store revision and a branch from a service.
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
mod ids;
mod names;
mod parse_error;
mod rates;
mod refusal;
mod sizes;
mod versions;

pub use clock::{ClockTime, WallTime};
pub use digest::{ContentDigest, KeyDigest, SecretHash};
pub use ids::{
    AttemptNumber, ChargeId, CommandId, FenceNumber, GrantId, IncarnationId, RequestId,
    SequenceNumber,
};
pub use names::{
    BranchName, CentreName, ClassName, InstanceName, ModelName, RegionName, ServiceName,
    UpstreamName,
};
pub use parse_error::ParseError;
pub use rates::SendRate;
pub use refusal::{RefusalReason, RunState};
pub use sizes::{
    BookNumber, ByteCount, ConfigVersion, CrashWeight, EntrySequence, InstanceCapacity,
    LoadPressure, RequestRate, StoreRevision, TokenCount, TokenRate, UpstreamStartTime,
};
pub use versions::SoftwareVersion;
