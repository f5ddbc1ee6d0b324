//! The fleet's configuration: objects of the store, their check, and what is in force.

mod branches;
mod cross_check;
mod fleet;
mod index;
mod route;
mod shard;
mod token;

pub use branches::{
    BranchEntry, BranchObject, BranchRule, ClassHoldback, check_branches, read_branches,
};
pub use fleet::{ClassEntry, FleetObject, ModelEntry, ServiceEntry, check_fleet, read_fleet};
pub use index::FleetConfiguration;
pub use route::{LimitEntry, RouteRule};
pub use shard::{
    BRANCH_SHARDS, CONFIGURATION_PREFIX, FLEET_OBJECT_KEY, branch_object_key, branch_object_shard,
    branch_shard, split_branches,
};
