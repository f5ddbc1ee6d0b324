//! Decisions of direct forwarding to upstreams, without any I/O.
//!
//! A [`ForwardPlan`] is one version of the configuration: routes, services and client accounts.
//! [`PlanIndex`] finds the route and the account of a request. [`UpstreamRegistry`] holds the
//! upstreams that are eligible for requests, [`LoadBalancer`] chooses among them, [`RetryBudget`]
//! limits retries, [`AdmissionController`] rejects requests that an overloaded instance can't
//! answer in time, [`UpstreamThrottle`] limits requests to upstreams that are cold, name a rate
//! limit or request backoff, [`EventSplitter`] splits streams into complete events, and
//! [`StreamOrigins`] and [`VersionHistory`] tell at which software version a stream may be resumed.
//!
//! ```
//! use sagespool_forward::EventSplitter;
//!
//! let mut splitter = EventSplitter::default();
//! let complete = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
//! assert_eq!(complete.bytes, b"id: 1\ndata: a\n\n");
//! assert_eq!(complete.last_id, Some(1));
//! ```

mod admission;
mod connect_budget;
mod entry_order;
mod events;
mod feed;
mod feed_tree;
mod index;
mod link_meter;
mod placement;
mod plan;
mod prefix_cache;
mod registry;
mod request;
mod retry;
mod sender_selector;
mod stream_versions;
mod throttle;

pub use admission::{AdmissionController, ArrivedRequest};
pub use connect_budget::ConnectBudget;
pub use events::{CompleteEvents, EventSplitter};
pub use feed::{
    ChangeFeed, FeedObject, FeedPage, FeedSource, FeedSourceSelector, FeedTiming, REPLY_TIMEOUT,
    StoreQuery,
};
pub use feed_tree::{FeedPeer, FeedTree};
pub use index::{PlanIndex, RouteMatch};
pub use link_meter::LinkMeter;
pub use placement::{LoadBalancer, PlacedAttempt, PlacementPolicy, RequestProfile, SendOutcome};
pub use plan::{
    AllowedRegions, BranchPlan, CallerLimits, EngineProfile, ForwardPlan, ForwardRoute, RepeatRule,
    RouteTarget, ServicePlan,
};
pub use prefix_cache::CacheEstimate;
pub use registry::{UpstreamChange, UpstreamRecord, UpstreamRegistry, UpstreamRun};
pub use request::{DeclaredTokens, PromptPart, RequestAttributes};
pub use retry::{RetryBudget, RetryPolicy};
pub use sender_selector::{MIN_INSTANCES, SenderSelector};
pub use stream_versions::{
    AllowedVersion, StreamLimits, StreamOrigin, StreamOrigins, VersionHistory, agreed_version,
};
pub use throttle::{
    RateLimitChange, RateLimitStatus, UpstreamThrottle, WarmupPolicy, WarmupProfile,
};
