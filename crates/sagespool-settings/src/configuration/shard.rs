//! Maps branches to shards and shards to object keys.

use std::collections::BTreeMap;

use sagespool_types::BranchName;
use twox_hash::XxHash3_64;

use crate::BranchObject;

pub use sagespool_messages::{CONFIGURATION_PREFIX, FLEET_OBJECT_KEY};

/// Number of objects over which the branches are distributed. With 57,000 branches each object
/// has about 14. Objects are small because a change is sent from neighbour to neighbour as the
/// whole object.
pub const BRANCH_SHARD_COUNT: u64 = 4096;

/// The shard of a branch, the same in every process and version.
pub fn branch_shard(branch: &BranchName) -> u64 {
    XxHash3_64::oneshot(branch.as_str().as_bytes()) % BRANCH_SHARD_COUNT
}

/// The key of a shard's object: `configuration/branches/7`.
pub fn branch_object_key(shard: u64) -> String {
    format!("{BRANCH_OBJECT_PREFIX}{shard}")
}

const BRANCH_OBJECT_PREFIX: &str = "configuration/branches/";

/// The shard of an object key; `None` for keys of other objects.
pub fn branch_object_shard(key: &str) -> Option<u64> {
    let shard = key.strip_prefix(BRANCH_OBJECT_PREFIX)?.parse().ok()?;
    (shard < BRANCH_SHARD_COUNT && branch_object_key(shard) == key).then_some(shard)
}

/// Distributes branches over their shards; empty shards are omitted.
pub fn split_branches(object: BranchObject) -> BTreeMap<u64, BranchObject> {
    let mut shards: BTreeMap<u64, BranchObject> = BTreeMap::new();
    for (name, config) in object.branches {
        let shard = shards.entry(branch_shard(&name)).or_default();
        shard.branches.insert(name, config);
    }
    shards
}
