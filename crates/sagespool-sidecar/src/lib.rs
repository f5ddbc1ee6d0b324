//! The sidecar role: the last check before a request runs, and the witness of what ran.

mod admission;
mod answer_log;
mod attempt;
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
pub use charge_book::{ChargeBook, ChargeRefusal, ChargeWish, ReportPolicy};
pub use dispatcher::{DispatchOptions, Dispatcher};
pub use engine_body::{EngineTerms, engine_body};
pub use engine_events::{EngineEvent, EventFault};
pub use key_memory::{KeyAdmission, KeyEnding, KeyMemory, KeyRefusal, KeyRetention, KeyWish};
pub use load_watch::{LoadWatch, UpstreamSample};
pub use orders::OrderDesk;
pub use role::{RoleFault, SidecarRole, StopReport};
pub use token_meter::{MeterStep, TokenMeter};
pub use upstream::{
    CallFault, CompletionStream, EngineLoad, OrderOutcome, RunCall, ServiceAnswer, ServiceCall,
    UpstreamClient,
};
