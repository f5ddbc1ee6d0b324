//! The sidecar role: the last check before a request runs, and the witness of what ran.
//!
//! A sidecar stands beside one upstream, an engine or a plain service. Nothing
//! reaches the upstream but through its [`Dispatcher`], which lets a request in
//! only if the sidecar's own state allows it:
//!
//! - [`ChargeBook`]: the charge has not run here, and neither it nor its grant
//!   is sealed; every charge that runs is kept until it is durable.
//! - [`KeyMemory`]: the caller's key is free. If not, there is the answer that
//!   runs or is kept ([`AnswerLog`]), or the certainty that it must not run again.
//! - [`TokenMeter`]: the answer ends with the last token that was reserved.
//! - [`OrderDesk`]: orders reach the engine in the order of their fencing numbers.
//!
//! What helps to choose well, [`LoadWatch`] and [`CacheRelay`] pass on.
//!
//! These decide without I/O and take the time as an argument. [`SidecarRole`]
//! is the process around them: link, heartbeats, charge reports, graceful stop.
//!
//! What must hold rests on three properties, each of one incarnation: a charge
//! is opened under the same lock as a seal, so it is listed or refused; a grant
//! no newer than the incarnation is refused, since a predecessor's memory is
//! lost; and a call has a connection of its own, so it is known whether it can
//! have run.

mod admission;
mod answer_log;
mod attempt;
mod cache_relay;
mod charge_book;
mod dispatcher;
mod engine_body;
mod engine_events;
mod key_memory;
mod load_watch;
mod orders;
mod role;
mod run_completion;
mod run_service;
mod running;
mod shards;
mod tally;
mod token_meter;
mod upstream;

pub use answer_log::{AnswerLog, AnswerReader};
pub use cache_relay::CacheRelay;
pub use charge_book::{ChargeBook, ChargeEnding, ChargeRefusal, ChargeWish, ReportPolicy};
pub use dispatcher::{DispatchOptions, Dispatcher};
pub use engine_body::{EngineTerms, engine_body};
pub use engine_events::{EngineEvent, EventFault};
pub use key_memory::{KeyAdmission, KeyEnding, KeyMemory, KeyRefusal, KeyRetention, KeyWish};
pub use load_watch::{LoadWatch, UpstreamHealth, UpstreamSample};
pub use orders::{OrderDesk, OrderRefusal};
pub use role::{RoleFault, SidecarRole, StopReport};
pub use token_meter::{MeterStep, TokenMeter};
pub use upstream::{
    CacheFeed, CallFault, CompletionStream, EngineCacheEvent, EngineLoad, OrderOutcome, RunCall,
    ServiceAnswer, ServiceCall, UpstreamClient,
};
