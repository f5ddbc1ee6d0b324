//! What a request needs, where it goes, and how that went.

use std::net::SocketAddr;
use std::time::Duration;

use sagespool_types::{IncarnationId, ModelName, ServiceName, TokenCount, UpstreamName, derives};

/// What a request needs of an upstream.
#[derive(Debug, Clone, bon::Builder)]
pub struct PlacementQuery {
    /// The service that runs it.
    pub service: ServiceName,
    /// The model it names, for an engine.
    pub model: Option<ModelName>,
    /// The prompt's prefix: xxh3-128 of its first 256 bytes, for an engine.
    pub prefix: Option<u128>,
    /// Sidecars that were tried already.
    #[builder(default)]
    pub exclude: Vec<IncarnationId>,
    /// True if it waited in the queue: then others wait as well, and a place is worth more to
    /// them than a moment to this request.
    #[builder(default)]
    pub has_waited: bool,
    /// Whether it may be the single request that probes an upstream that failed before.
    /// Say no for a request that can't be run again.
    #[builder(default = true)]
    pub may_probe: bool,
}

/// Where a request goes. Hand it back to [`crate::UpstreamTable::started`],
/// [`crate::UpstreamTable::first_token`] and [`crate::UpstreamTable::ended`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamPlacement {
    /// The sidecar's incarnation.
    pub sidecar: IncarnationId,
    /// Where its link listens.
    pub address: SocketAddr,
    /// The upstream beside it.
    pub upstream: UpstreamName,
    /// The service.
    pub service: ServiceName,
    /// True if the prefix is believed to be cached there.
    pub is_cached: bool,
    /// True if this request probes an upstream that failed before.
    pub is_probe: bool,
    /// Counts the choices of a service in this table.
    pub attempt: u64,
}

derives! { value;
    /// How an attempt ended, as far as it says something about the upstream.
    #[serde(rename_all = "kebab-case")]
    pub enum AttemptOutcome {
        /// The answer is whole.
        Whole,
        /// The caller or its deadline ended it.
        Cancelled,
        /// The sidecar refused it before it ran, for a reason that isn't the upstream's.
        Refused,
        /// The upstream failed on it.
        Failed,
        /// The upstream or its sidecar went down, or couldn't be reached.
        Unreachable,
        /// The sidecar said that it is leaving: its incarnation gets nothing new.
        Leaving,
    }
}

derives! { record;
    /// How an attempt went.
    pub struct AttemptResult {
        /// Time from the dispatch to the first token or byte, if one came and
        /// [`crate::UpstreamTable::first_token`] has not said so already.
        pub first_token: Option<Duration>,
        /// Tokens of the answer that this attempt produced; zero if unknown or for a service.
        pub tokens: TokenCount,
        /// How it ended.
        pub outcome: AttemptOutcome,
    }
}

/// How many requests an entry may have running in a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceConcurrency {
    /// Requests of this entry that may run at once, those that run included.
    pub limit: u32,
    /// How long a request holds its place, as measured lately.
    pub run_time: Duration,
}
