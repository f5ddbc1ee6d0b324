//! The fleet's configuration: objects of the store, their check, and what is in force.

mod branches;
mod cross_check;
mod fleet;
mod index;
mod route;
mod shard;
mod token;

pub use branches::{
    BranchConfig, BranchObject, BranchRule, ClassHoldback, check_branches, parse_branches,
};
pub use fleet::{ClassConfig, FleetObject, ModelConfig, ServiceConfig, check_fleet, parse_fleet};
pub use index::FleetConfiguration;
pub use route::{LimitConfig, RouteRule};
pub use shard::{
    BRANCH_SHARDS, CONFIGURATION_PREFIX, FLEET_OBJECT_KEY, branch_object_key, branch_object_shard,
    branch_shard, split_branches,
};
