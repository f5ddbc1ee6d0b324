//! The sidecar role: checks each request before it runs, and records what ran.
//!
//! A sidecar runs next to one upstream, an engine or a plain service. All requests
//! reach the upstream through its [`Dispatcher`], which admits a request only if
//! the sidecar's own state allows it:
//!
//! - [`ChargeRegistry`]: the charge has not run here, and neither it nor its grant
//!   is sealed. The record of every charge that runs is kept until it is durable.
//! - [`IdempotencyCache`]: the caller's key is free. Otherwise the caller reads the
//!   running or cached answer ([`AnswerLog`]), or the request is refused because it
//!   must not run again.
//! - [`TokenMeter`]: the answer ends with the last token that was reserved.
//! - [`OrderFence`]: orders reach the engine in the order of their fencing numbers.
//!
//! [`LoadWatcher`] and [`PromptCacheTracker`] publish the upstream's load, health and
//! prompt cache for placement decisions.
//!
//! These types do no I/O and take the time as an argument. [`SidecarRole`] is the
//! process around them: link, heartbeats, charge reports, graceful stop.
//!
//! Correctness relies on three properties, each within one incarnation. A charge is
//! opened under the same lock as a seal, so it is either listed or refused. A grant
//! no newer than the incarnation is refused, because the records of an earlier
//! incarnation are lost. Each call has its own connection, so it is known whether
//! the call may have run.

mod admission;
mod answer_log;
mod attempt;
mod charge_registry;
mod dispatcher;
mod engine_body;
mod engine_events;
mod idempotency_cache;
mod in_flight;
mod load_watcher;
mod orders;
mod prompt_cache;
mod role;
mod run_completion;
mod run_service;
mod running;
mod shards;
mod token_meter;
mod upstream;

pub use answer_log::{AnswerLog, AnswerReader};
pub use charge_registry::{
    ChargeOutcome, ChargeRefusal, ChargeRegistry, ChargeRequest, ReportPolicy,
};
pub use dispatcher::{Dispatcher, DispatcherOptions};
pub use engine_body::{EngineOverrides, engine_body};
pub use engine_events::{EngineEvent, EngineEventError};
pub use idempotency_cache::{
    IdempotencyCache, KeyAdmission, KeyRefusal, KeyRetention, KeyedAttempt, KeyedOutcome,
};
pub use load_watcher::{LoadWatcher, UpstreamHealth, UpstreamSample};
pub use orders::{OrderFence, OrderRefusal};
pub use prompt_cache::PromptCacheTracker;
pub use role::{SidecarError, SidecarRole, StopReport};
pub use token_meter::{MeterStep, TokenMeter};
pub use upstream::{
    CacheEvents, CompletionStream, EngineCacheEvent, EngineLoad, OrderOutcome, RunCall,
    ServiceAnswer, ServiceCall, UpstreamCallError, UpstreamClient,
};
