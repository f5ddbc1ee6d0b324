//! Stand-ins of the platform, fault proxy, example fleet and load tool.

mod engine;
mod fault_gate;
mod http_answer;
mod lagged;
mod plain_service;
mod stand_server;
mod weight_store;
mod witness;

pub use engine::{
    AdapterName, CacheChange, CacheEvent, EngineLoad, EngineOptions, EngineOrder, EngineStand,
    FencedOrder, OrderRecord, answer_text, answer_token, natural_length, prefix_digest,
    prompt_tokens,
};
pub use plain_service::{FailureShares, ServiceLoad, ServiceOptions, ServiceStand, service_answer};
pub use stand_server::StandError;
pub use weight_store::{WeightLoad, WeightOptions, WeightStand};
pub use witness::{RunEnd, RunMarker, RunRecord, RunStart, RunTally, TokenUse, WitnessLog};
