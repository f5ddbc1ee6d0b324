//! One version of the forwarding configuration.

use std::time::Duration;

use sagespool_types::{
    BranchName, ByteCount, ConfigVersion, RegionName, ServiceName, TokenCount, derives,
};

use crate::WarmupProfile;

derives! { record;
    /// Everything that forwarding is told by operators, in full.
    pub struct ForwardPlan {
        /// Its version; a higher one replaces it.
        pub version: ConfigVersion,
        /// The routes, in no particular order.
        pub routes: Vec<ForwardRoute>,
        /// The services that routes lead to.
        pub services: Vec<ServicePlan>,
        /// What a caller may send, and how slowly.
        pub limits: CallerLimits,
        /// The client accounts. If there are none, requests need no key.
        pub branches: Vec<BranchPlan>,
    }
}

derives! { value;
    /// Whether a request may reach a second upstream after one that may have run it.
    pub enum RepeatRule {
        /// Running it again does no harm.
        Idempotent,
        /// It may run once at most.
        Once,
    }
}

derives! { record;
    /// Where requests of a host and a path prefix go, and on which terms.
    pub struct ForwardRoute {
        /// Its name, for logs.
        pub name: String,
        /// The host that requests name.
        pub host: String,
        /// The prefix of the path, from slash to slash.
        pub prefix: String,
        /// Whether its requests may be repeated.
        pub repeat: RepeatRule,
        /// True if answers are streams of events with ascending ids.
        pub streaming: bool,
        /// True if a stream may go on at another upstream after its last event.
        pub resumable: bool,
        /// The longest that a request is kept waiting for the end of its answer.
        pub time_limit: Duration,
        /// Within this time an answer is worth most; of streams, the first event.
        pub latency_target: Duration,
        /// Rank among routes, 0 is the most urgent.
        pub priority: u8,
        /// The most upstreams that one request may be sent to.
        pub attempts: u32,
        /// True if requests need no key.
        pub open: bool,
        /// The services that its requests are spread over.
        pub targets: Vec<RouteTarget>,
        /// Where its requests may run.
        pub homes: AllowedRegions,
    }
}

derives! { record;
    /// The regions that requests must not leave. If there are none, they may go anywhere.
    #[derive(Default)]
    pub struct AllowedRegions(pub Vec<RegionName>);
}

impl AllowedRegions {
    /// Whether a request may run in a region. An unknown region is nobody's home.
    pub fn allow(&self, region: Option<&RegionName>) -> bool {
        self.0.is_empty() || region.is_some_and(|region| self.0.contains(region))
    }
}

derives! { record;
    /// A service's part of a route.
    pub struct RouteTarget {
        /// The service.
        pub service: ServiceName,
        /// Its share, against the sum of all weights of the route.
        pub weight: u32,
    }
}

derives! { record;
    /// A service: upstreams that do the same work.
    pub struct ServicePlan {
        /// Its name.
        pub name: ServiceName,
        /// The connections that each of its upstreams takes from all instances together.
        pub most_connections: u32,
        /// What its upstreams are like if they are model engines.
        pub engine: Option<EngineProfile>,
        /// What its upstreams bear while they are cold; nothing if they never are.
        pub warmup: Option<WarmupProfile>,
    }
}

derives! { record;
    /// What a model engine is like.
    pub struct EngineProfile {
        /// Requests that it runs at once.
        pub slots: u32,
        /// Tokens that its memory holds.
        pub memory: TokenCount,
        /// Tokens in one event of a stream.
        pub event_tokens: TokenCount,
    }
}

derives! { record;
    /// What a caller may send, and how slowly.
    pub struct CallerLimits {
        /// The most bytes of a request's header.
        pub header_bytes: ByteCount,
        /// The most bytes of a request's body.
        pub body_bytes: ByteCount,
        /// The longest that a request's header or body may take to arrive.
        pub read_time: Duration,
        /// How long a connection may stay idle between requests.
        pub idle_time: Duration,
    }
}

derives! { record;
    /// A client account.
    pub struct BranchPlan {
        /// Its name.
        pub name: BranchName,
        /// The keys that its callers show.
        pub keys: Vec<String>,
        /// Its rank among client accounts, 0 is the most urgent.
        pub priority: Option<u8>,
        /// All tokens that it may use; no limit if there is none.
        pub prepaid: Option<TokenCount>,
        /// Where its requests may run.
        pub homes: AllowedRegions,
    }
}
