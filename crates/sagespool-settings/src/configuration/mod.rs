//! The fleet's configuration: stored objects, their validation, and the indexed form.

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
    BRANCH_SHARD_COUNT, CONFIGURATION_PREFIX, FLEET_OBJECT_KEY, branch_object_key,
    branch_object_shard, branch_shard, split_branches,
};
