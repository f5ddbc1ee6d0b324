//! Fakes of the platform and the upstreams, the fault proxy, test fleets and the load tool.

mod call_query;
mod engine;
mod fault_gate;
pub mod fleet;
mod http_helpers;
mod http_reply;
pub mod instance_list;
mod lagged_state;
pub mod load;
mod loopback_server;
mod mixed_answers;
pub mod object_api;
mod plain_service;
pub mod processes;
pub mod proxy;
mod restartable_server;
mod run_log;
mod weight_store;

pub use engine::{
    AdapterName, CacheChange, CacheEvent, EngineLoad, EngineOptions, EngineOrder, FakeEngine,
    FencedOrder, OrderRecord, PrefixCounts, answer_text, answer_token, natural_length,
    prefix_digest, prompt_tokens,
};
pub use instance_list::{FakeInstanceList, InstanceEntry, InstanceListOptions, InstanceState};
pub use loopback_server::StartError;
pub use object_api::{AppliedWrite, FakeObjectStore, ObjectStoreOptions, StoreCounts, StoreFaults};
pub use plain_service::{FailureShares, FakeService, ServiceLoad, ServiceOptions, service_answer};
pub use processes::{
    ChildProcess, END_WITH_STDIN, ProcessError, ProcessUsage, free_tcp_port, free_udp_port,
};
pub use proxy::{FaultProxy, PairBytes};
pub use restartable_server::ListenError;
pub use run_log::{RunEnd, RunLog, RunMarker, RunRecord, RunRecorder, RunStart, TokenUsage};
pub use weight_store::{FakeWeightStore, WeightFetch, WeightOptions};
