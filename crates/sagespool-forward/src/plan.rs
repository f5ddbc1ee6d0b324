//! One version of the forwarding configuration.

use std::time::Duration;

use sagespool_types::{
    BranchName, ByteCount, ConfigVersion, RegionName, ServiceName, TokenCount, derives,
};

use crate::WarmupProfile;

derives! { record;
    /// The complete forwarding configuration set by operators.
    pub struct ForwardPlan {
        /// A higher version replaces a lower one.
        pub version: ConfigVersion,
        /// The routes, in no particular order.
        pub routes: Vec<ForwardRoute>,
        /// The services that routes refer to.
        pub services: Vec<ServicePlan>,
        /// Size and time limits for callers.
        pub limits: CallerLimits,
        /// The client accounts. If there are none, requests need no key.
        pub branches: Vec<BranchPlan>,
    }
}

derives! { value;
    /// Whether a request may be retried at another upstream after one that may have run it.
    pub enum RepeatRule {
        /// Running it twice is harmless.
        Idempotent,
        /// It may run at most once.
        Once,
    }
}

derives! { record;
    /// Routing rules for requests of a host and a path prefix.
    pub struct ForwardRoute {
        /// Its name, for logs.
        pub name: String,
        /// The host that requests name.
        pub host: String,
        /// The path prefix, from slash to slash.
        pub prefix: String,
        /// Whether its requests may be retried.
        pub repeat: RepeatRule,
        /// True if responses are streams of events with ascending ids.
        pub streaming: bool,
        /// True if another upstream may resume a stream after its last event.
        pub resumable: bool,
        /// Maximum time until the end of a response.
        pub time_limit: Duration,
        /// Target time of a response; for streams, of the first event.
        pub latency_target: Duration,
        /// Rank among routes, 0 is the most urgent.
        pub priority: u8,
        /// Maximum number of upstreams that one request is sent to.
        pub attempts: u32,
        /// True if requests need no key.
        pub open: bool,
        /// The services that its requests are distributed over.
        pub targets: Vec<RouteTarget>,
        /// Regions in which its requests may run.
        pub homes: AllowedRegions,
    }
}

derives! { record;
    /// Regions that requests are restricted to. If empty, any region is allowed.
    #[derive(Default)]
    pub struct AllowedRegions(pub Vec<RegionName>);
}

impl AllowedRegions {
    /// Whether a request may run in a region. An unknown region is allowed only without a
    /// restriction.
    pub fn allow(&self, region: Option<&RegionName>) -> bool {
        self.0.is_empty() || region.is_some_and(|region| self.0.contains(region))
    }
}

derives! { record;
    /// One service of a route, with its weight.
    pub struct RouteTarget {
        /// The service.
        pub service: ServiceName,
        /// Its share relative to the sum of the route's weights.
        pub weight: u32,
    }
}

derives! { record;
    /// A service: a group of equivalent upstreams.
    pub struct ServicePlan {
        /// Its name.
        pub name: ServiceName,
        /// Maximum connections that each of its upstreams accepts from all instances together.
        pub most_connections: u32,
        /// Path at which its upstreams tell that they run; None if they don't.
        pub health_path: Option<String>,
        /// Profile of its upstreams if they are model engines.
        pub engine: Option<EngineProfile>,
        /// Request rate of its upstreams while they are cold; None if they need no warm-up.
        pub warmup: Option<WarmupProfile>,
    }
}

derives! { record;
    /// Properties of a model engine.
    pub struct EngineProfile {
        /// Requests that it runs concurrently.
        pub slots: u32,
        /// Tokens that fit into its memory.
        pub memory: TokenCount,
        /// Tokens per event of a stream.
        pub event_tokens: TokenCount,
    }
}

derives! { record;
    /// Size and time limits for callers.
    pub struct CallerLimits {
        /// Maximum size of a request's header.
        pub header_bytes: ByteCount,
        /// Maximum size of a request's body.
        pub body_bytes: ByteCount,
        /// Maximum time in which a request's header or body has to arrive.
        pub read_time: Duration,
        /// How long a connection may be idle between requests.
        pub idle_time: Duration,
    }
}

derives! { record;
    /// A client account.
    pub struct BranchPlan {
        /// Its name.
        pub name: BranchName,
        /// The API keys of its callers.
        pub keys: Vec<String>,
        /// Its rank among client accounts, 0 is the most urgent.
        pub priority: Option<u8>,
        /// Total tokens that it may use; None for no limit.
        pub prepaid: Option<TokenCount>,
        /// Regions in which its requests may run.
        pub homes: AllowedRegions,
    }
}
