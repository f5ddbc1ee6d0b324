//! Decisions of forwarding requests straight to upstreams, without any I/O.
//!
//! A [`ForwardPlan`] is one version of the configuration: routes, services and client accounts.
//! [`PlanIndex`] finds the route and the account of a request. [`UpstreamRegistry`] holds the
//! upstreams that may get work, [`LoadBalancer`] chooses among them, [`RetryBudget`] says
//! whether a request may be sent once more, [`AdmissionController`] turns requests away that a busy
//! instance can't answer in time, [`UpstreamThrottle`] spares upstreams that are cold, name a limit or rest, and
//! [`EventSplitter`] splits streams into whole events.
//!
//! ```
//! use sagespool_forward::EventSplitter;
//!
//! let mut cutter = EventSplitter::default();
//! let whole = cutter.push(b"id: 1\ndata: a\n\nid: 2\nda");
//! assert_eq!(whole.bytes, b"id: 1\ndata: a\n\n");
//! assert_eq!(whole.last_id, Some(1));
//! ```

mod admission;
mod demand;
mod engine;
mod events;
mod feed;
mod guard;
mod index;
mod placement;
mod plan;
mod retry;
mod roster;
mod senders;

pub use admission::{AdmissionController, ArrivedRequest};
pub use demand::{DeclaredTokens, PromptPart, RequestAttributes};
pub use engine::PartCache;
pub use events::{EventSplitter, WholeEvents};
pub use feed::{
    ChangeFeed, FeedObject, FeedPage, FeedSource, FeedSourceSelector, FeedTiming, REPLY_TIMEOUT,
};
pub use guard::{RateLimitChange, RateLimitStatus, UpstreamThrottle, WarmupPolicy, WarmupProfile};
pub use index::{PlanIndex, RouteMatch};
pub use placement::{LoadBalancer, PlacedAttempt, PlacementPolicy, RequestProfile, SendOutcome};
pub use plan::{
    AllowedRegions, BranchPlan, CallerLimits, EngineProfile, ForwardPlan, ForwardRoute, RepeatRule,
    RouteTarget, ServicePlan,
};
pub use retry::{RetryBudget, RetryPolicy};
pub use roster::{UpstreamChange, UpstreamRecord, UpstreamRegistry, UpstreamRun};
pub use senders::{MIN_INSTANCES, SenderSelector};
