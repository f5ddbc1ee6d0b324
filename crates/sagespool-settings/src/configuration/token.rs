//! Whose key is it?

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

/// Branches by the hashes of their keys, in parts that versions of the index share.
#[derive(Clone)]
pub(crate) struct TokenIndex {
    parts: Vec<Arc<HashMap<u64, Vec<TokenOwner>>>>,
}

/// A change of one key copies one part of so many.
const PART_COUNT: usize = 256;

impl TokenIndex {
    pub fn new() -> Self {
        Self { parts: vec![Arc::default(); PART_COUNT] }
    }

    pub fn add(&mut self, hash: &SecretHash, branch: &BranchName) {
        let hash = bytes_of(hash);
        let part = Arc::make_mut(&mut self.parts[part_of(&hash)]);
        part.entry(slot_of(&hash)).or_default().push(TokenOwner { hash, branch: branch.clone() });
    }

    pub fn remove(&mut self, hash: &SecretHash, branch: &BranchName) {
        let hash = bytes_of(hash);
        let part = Arc::make_mut(&mut self.parts[part_of(&hash)]);
        let Some(owners) = part.get_mut(&slot_of(&hash)) else { return };
        owners.retain(|owner| owner.hash != hash || owner.branch != *branch);
        if owners.is_empty() {
            part.remove(&slot_of(&hash));
        }
    }

    /// The branch that a key belongs to.
    ///
    /// Guards two things. A caller that measures how long a refusal takes
    /// learns nothing of a key: the slot depends on the key's SHA-256 only,
    /// and the hashes in it are compared in constant time. And where two
    /// branches were given one key, by two operators at once, it opens
    /// neither: a request would be billed to the wrong one.
    pub fn owner_of(&self, token: &str) -> Option<&BranchName> {
        let hash: HashBytes = Sha256::digest(token.as_bytes()).into();
        let mut found = None;
        for owner in self.parts[part_of(&hash)].get(&slot_of(&hash))? {
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
        let hash = bytes_of(hash);
        let owners = self.parts[part_of(&hash)].get(&slot_of(&hash))?;
        let other = |owner: &&TokenOwner| owner.hash == hash && owner.branch != *branch;
        owners.iter().find(other).map(|owner| &owner.branch)
    }
}

fn part_of(hash: &HashBytes) -> usize {
    usize::from(hash[0])
}

fn slot_of(hash: &HashBytes) -> u64 {
    let mut start = [0; 8];
    start.copy_from_slice(&hash[..8]);
    u64::from_le_bytes(start)
}

fn bytes_of(hash: &SecretHash) -> HashBytes {
    let digits = hash.as_str();
    let byte = |place: usize| u8::from_str_radix(&digits[2 * place..2 * place + 2], 16);
    std::array::from_fn(|place| byte(place).expect("a hash is 64 hexadecimal digits"))
}
