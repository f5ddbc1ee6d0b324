//! Stand-ins of the platform, fault proxy, example fleet and load tool.

mod call_query;
mod http_reply;
pub mod instance_list;
pub mod object_api;
pub mod processes;
pub mod proxy;
mod stand_server;

pub use instance_list::{InstanceEntry, InstanceOptions, InstanceStand, InstanceState};
pub use object_api::{AppliedWrite, ObjectStand, ObjectStandOptions, StoreCounts, StoreFaults};
pub use processes::{ChildProcess, ProcessError, ProcessUsage, free_tcp_port, free_udp_port};
pub use proxy::{FaultProxy, PairBytes};
pub use stand_server::StartError;
