//! Choosing an upstream as pure decisions: load, affinity, queues, retries, limits.
//!
//! Nothing here does I/O, reads a clock or starts a thread. Each decision takes
//! the present time, and all state is kept in shards, each under its own lock,
//! so that one service never waits for another.
//!
//! The way of a request through an entry:
//!
//! 1. [`RequestLimits`] says whether its branch, class and upstream may take one more;
//! 2. [`AdmissionQueue`] lets it go, lets it wait, or refuses it at once;
//! 3. [`UpstreamTable`] chooses where it runs, and learns how that went;
//! 4. after a failure, [`RetryBudget`] says whether it may be tried elsewhere.

mod affinity;
mod average;
mod baseline;
mod choose;
mod ejection;
mod fair_order;
mod history;
mod lag;
mod limits;
mod load;
mod placement;
mod policy;
mod queue;
mod retry;
mod service;
mod service_queue;
mod speed;
mod table;
mod tier;
mod totals;
mod traffic_share;
mod upstream;

pub use affinity::{CacheEvent, CacheEventKind};
pub use limits::{LimitRefusal, LimitRule, LimitScope, RequestLimits};
pub use placement::{
    AttemptOutcome, AttemptResult, PlacementQuery, ServiceConcurrency, UpstreamPlacement,
};
pub use policy::{PolicyKind, RoutingPolicy};
pub use queue::{AdmissionQueue, OfferOutcome, QueueDepth, QueuePolicy, QueueRelease, QueueTicket};
pub use retry::{RetryBudget, RetryPolicy};
pub use table::UpstreamTable;
