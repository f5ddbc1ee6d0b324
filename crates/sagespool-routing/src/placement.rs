//! A request's requirements, its placement, and the result of the attempt.

use std::net::SocketAddr;
use std::time::Duration;

use sagespool_types::{IncarnationId, ModelName, ServiceName, TokenCount, UpstreamName, derives};

/// Requirements of a request for its placement.
#[derive(Debug, Clone, bon::Builder)]
pub struct PlacementQuery {
    /// The service to call.
    pub service: ServiceName,
    /// The model requested, for an engine.
    pub model: Option<ModelName>,
    /// Hash of the prompt's prefix, for an engine: xxh3-128 of its first 256 bytes.
    pub prefix: Option<u128>,
    /// Sidecars not to be chosen, such as those already tried.
    #[builder(default)]
    pub exclude: Vec<IncarnationId>,
    /// True if it waited in the queue. Others then wait as well, and freeing a slot earlier is
    /// worth more than a shorter time to this request's first token.
    #[builder(default)]
    pub has_waited: bool,
    /// Whether it may probe an ejected, slow or stalled upstream. Must be false for a request that
    /// cannot be retried.
    #[builder(default = true)]
    pub may_probe: bool,
}

/// The upstream chosen for a request. Pass it to [`crate::UpstreamTable::started`],
/// [`crate::UpstreamTable::first_token`] and [`crate::UpstreamTable::ended`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamPlacement {
    /// Incarnation of the sidecar that serves the upstream.
    pub sidecar: IncarnationId,
    /// Address of the sidecar's link.
    pub address: SocketAddr,
    /// The upstream that the sidecar serves.
    pub upstream: UpstreamName,
    /// The service from the query.
    pub service: ServiceName,
    /// True if there is recent evidence that the prefix is cached there.
    pub is_cached: bool,
    /// True if this request probes an ejected upstream.
    pub is_probe: bool,
    /// Sequence number of the placement within the service, in this table.
    pub attempt: u64,
}

derives! { value;
    /// Outcome of an attempt, as far as it concerns the upstream.
    #[serde(rename_all = "kebab-case")]
    pub enum AttemptOutcome {
        /// The answer is complete.
        Whole,
        /// Cancelled by the caller or by its deadline.
        Cancelled,
        /// Refused by the sidecar before it ran, for a reason unrelated to the upstream.
        Refused,
        /// The upstream failed the request.
        Failed,
        /// The upstream or its sidecar stopped or could not be reached.
        Unreachable,
        /// The sidecar reported that it is leaving; its incarnation receives no further requests.
        Leaving,
    }
}

derives! { record;
    /// Result of an attempt.
    pub struct AttemptResult {
        /// Time from the dispatch to the first token or byte; `None` if there was none, or if
        /// [`crate::UpstreamTable::first_token`] has recorded it.
        pub first_token: Option<Duration>,
        /// Answer tokens that this attempt produced; zero if unknown or for a plain service.
        pub tokens: TokenCount,
        /// Determines how the attempt affects the upstream's statistics.
        pub outcome: AttemptOutcome,
    }
}

/// Concurrency limit of one entry for a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceConcurrency {
    /// Maximum running requests of this entry, including those already running.
    pub limit: u32,
    /// Average time for which a request occupies a slot, as measured recently.
    pub run_time: Duration,
}
