//! Stand-ins of the platform, fault proxy, example fleet and load tool.

mod call_query;
mod http_reply;
pub mod instance_list;
pub mod object_api;
pub mod proxy;
mod stand_server;

pub use instance_list::{InstanceEntry, InstanceOptions, InstanceStand, InstanceState};
pub use object_api::{AppliedWrite, ObjectStand, ObjectStandOptions, StoreCounts, StoreFaults};
pub use proxy::{FaultProxy, PairBytes};
pub use stand_server::StartError;
