//! State split into shards with a lock each.

use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher, Hash};
use std::sync::{Mutex, MutexGuard};

/// Enough that two of a dozen threads rarely contend for one lock.
const SHARD_COUNT: usize = 16;

/// A fixed number of shards, selected by the hash of a key.
#[derive(Debug)]
pub(crate) struct StateShards<T> {
    shards: [Mutex<T>; SHARD_COUNT],
}

impl<T: Default> Default for StateShards<T> {
    fn default() -> Self {
        Self { shards: std::array::from_fn(|_| Mutex::default()) }
    }
}

impl<T> StateShards<T> {
    /// Locks the shard of a key.
    pub(crate) fn lock_for<K: Hash>(&self, key: &K) -> MutexGuard<'_, T> {
        let hash = BuildHasherDefault::<DefaultHasher>::default().hash_one(key);
        lock(&self.shards[hash as usize % SHARD_COUNT])
    }

    /// Iterates over all shards, locking one at a time.
    pub(crate) fn lock_each(&self) -> impl Iterator<Item = MutexGuard<'_, T>> {
        self.shards.iter().map(lock)
    }

    pub(crate) const fn count(&self) -> usize {
        SHARD_COUNT
    }
}

/// Locks a mutex. Panics if it is poisoned, because the state may then violate an invariant.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no thread panics while it holds this lock")
}
