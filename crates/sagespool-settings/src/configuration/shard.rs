//! Which object of the store holds what.

use std::collections::BTreeMap;

use sagespool_types::BranchName;
use twox_hash::XxHash3_64;

use crate::BranchObject;

pub use sagespool_messages::{CONFIGURATION_PREFIX, FLEET_OBJECT_KEY};

/// How many objects the branches are spread over. At 57,000 branches each holds about 14. A change
/// goes through the fleet as its whole object, from neighbour to neighbour, so objects are small.
pub const BRANCH_SHARDS: u64 = 4096;

/// The shard that a branch is in, the same in every process and version.
pub fn branch_shard(branch: &BranchName) -> u64 {
    XxHash3_64::oneshot(branch.as_str().as_bytes()) % BRANCH_SHARDS
}

/// The object that holds a shard: `configuration/branches/7`.
pub fn branch_object_key(shard: u64) -> String {
    format!("{BRANCH_OBJECT_PREFIX}{shard}")
}

const BRANCH_OBJECT_PREFIX: &str = "configuration/branches/";

/// The shard that an object's key names; none for every other key.
pub fn branch_object_shard(key: &str) -> Option<u64> {
    let shard = key.strip_prefix(BRANCH_OBJECT_PREFIX)?.parse().ok()?;
    (shard < BRANCH_SHARDS && branch_object_key(shard) == key).then_some(shard)
}

/// Spreads branches over the shards; those without a branch are left out.
pub fn split_branches(object: BranchObject) -> BTreeMap<u64, BranchObject> {
    let mut shards: BTreeMap<u64, BranchObject> = BTreeMap::new();
    for (name, entry) in object.branches {
        let shard = shards.entry(branch_shard(&name)).or_default();
        shard.branches.insert(name, entry);
    }
    shards
}
