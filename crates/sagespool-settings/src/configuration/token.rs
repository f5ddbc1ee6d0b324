//! Index of branches by the hashes of their keys.

use std::collections::HashMap;
use std::sync::Arc;

use sagespool_types::{BranchName, SecretHash};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

type HashBytes = [u8; 32];

#[derive(Clone)]
struct TokenOwner {
    hash: HashBytes,
    branch: BranchName,
}

/// Branches by key hash, in partitions that versions of the index share (copy on write).
#[derive(Clone)]
pub(crate) struct TokenIndex {
    partitions: Vec<Arc<HashMap<u64, Vec<TokenOwner>>>>,
}

/// A change of one key copies one partition.
const PARTITION_COUNT: usize = 256;

impl TokenIndex {
    pub fn new() -> Self {
        Self { partitions: vec![Arc::default(); PARTITION_COUNT] }
    }

    pub fn add(&mut self, hash: &SecretHash, branch: &BranchName) {
        let hash = hash_bytes(hash);
        let partition = Arc::make_mut(&mut self.partitions[partition_index(&hash)]);
        partition
            .entry(bucket_key(&hash))
            .or_default()
            .push(TokenOwner { hash, branch: branch.clone() });
    }

    pub fn remove(&mut self, hash: &SecretHash, branch: &BranchName) {
        let hash = hash_bytes(hash);
        let partition = Arc::make_mut(&mut self.partitions[partition_index(&hash)]);
        let Some(owners) = partition.get_mut(&bucket_key(&hash)) else { return };
        owners.retain(|owner| owner.hash != hash || owner.branch != *branch);
        if owners.is_empty() {
            partition.remove(&bucket_key(&hash));
        }
    }

    /// The branch that a key belongs to.
    ///
    /// The time of a rejection gives no information on valid keys: the bucket depends on the key's
    /// SHA-256 only, and the hashes in it are compared in constant time. A key that two operators
    /// registered for two branches at once is rejected, as a request could be billed to the wrong
    /// one.
    pub fn owner_of(&self, token: &str) -> Option<&BranchName> {
        let hash: HashBytes = Sha256::digest(token.as_bytes()).into();
        let mut found = None;
        for owner in self.partitions[partition_index(&hash)].get(&bucket_key(&hash))? {
            if !bool::from(owner.hash.ct_eq(&hash)) {
                continue;
            }
            if found.is_some() {
                return None;
            }
            found = Some(&owner.branch);
        }
        found
    }

    /// Another branch with the same key hash.
    pub fn other_owner(&self, hash: &SecretHash, branch: &BranchName) -> Option<&BranchName> {
        let hash = hash_bytes(hash);
        let owners = self.partitions[partition_index(&hash)].get(&bucket_key(&hash))?;
        let other = |owner: &&TokenOwner| owner.hash == hash && owner.branch != *branch;
        owners.iter().find(other).map(|owner| &owner.branch)
    }
}

fn partition_index(hash: &HashBytes) -> usize {
    usize::from(hash[0])
}

fn bucket_key(hash: &HashBytes) -> u64 {
    let mut start = [0; 8];
    start.copy_from_slice(&hash[..8]);
    u64::from_le_bytes(start)
}

fn hash_bytes(hash: &SecretHash) -> HashBytes {
    let digits = hash.as_str();
    let byte = |index: usize| u8::from_str_radix(&digits[2 * index..2 * index + 2], 16);
    std::array::from_fn(|index| byte(index).expect("a hash is 64 hexadecimal digits"))
}
