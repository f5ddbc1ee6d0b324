//! Decisions of forwarding requests straight to upstreams, without any I/O.
//!
//! A [`ForwardPlan`] is one version of the configuration: routes, services and client accounts.
//! [`PlanIndex`] finds the route and the account of a request. [`UpstreamRoster`] holds the
//! upstreams that may get work, [`PlacementBoard`] chooses among them, [`RetryBudget`] says
//! whether a request may be sent once more, [`AdmissionBoard`] turns requests away that a busy
//! instance can't answer in time, [`SendGuard`] spares upstreams that are cold, name a limit or rest, and
//! [`EventCutter`] splits streams into whole events.
//!
//! ```
//! use sagespool_forward::EventCutter;
//!
//! let mut cutter = EventCutter::default();
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

pub use admission::{AdmissionBoard, ArrivedRequest};
pub use demand::{CallerDemand, PromptPart, TokenDemand};
pub use engine::PartCache;
pub use events::{EventCutter, WholeEvents};
pub use feed::{ANSWER_TIME, FeedObject, FeedPage, FeedSource, FeedSources, FeedTerms, ObjectFeed};
pub use guard::{LimitChange, LimitNotice, SendGuard, WarmupTerms, WarmupTraits};
pub use index::{PlanIndex, RouteMatch};
pub use placement::{PlacementBoard, PlacementPolicy, SendOutcome, SendTicket, WorkShape};
pub use plan::{
    BranchPlan, CallerLimits, EngineTraits, ForwardPlan, ForwardRoute, HomeRegions, RepeatRule,
    RouteTarget, ServicePlan,
};
pub use retry::{RetryBudget, RetryTerms};
pub use roster::{RosterChange, UpstreamRecord, UpstreamRoster, UpstreamRun};
pub use senders::{LEAST_INSTANCES, SenderPanel};
