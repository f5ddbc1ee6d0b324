//! Upstream selection as pure functions of state: load, prefix affinity, queues, retries, limits.
//!
//! Nothing here does I/O, reads a clock or starts a thread. Each call takes the current time as a
//! parameter. State is sharded, each shard under its own lock, so that services do not contend.
//!
//! A request passes through an entry in these steps:
//!
//! 1. [`RequestLimits`] checks the limits of its branch, class and upstream;
//! 2. [`AdmissionQueue`] admits, queues or refuses it;
//! 3. [`UpstreamTable`] chooses its placement and records the result of the attempt;
//! 4. after a failure, [`RetryBudget`] decides whether it may be retried.

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
