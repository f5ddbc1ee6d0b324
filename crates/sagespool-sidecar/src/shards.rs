//! State in shards, each under its own lock.

use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher, Hash};
use std::sync::{Mutex, MutexGuard};

/// Enough that two of a dozen threads seldom want the same lock.
const SHARD_COUNT: usize = 16;

/// A fixed number of equal parts of a state, found by key.
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
    /// The part that holds a key, locked.
    pub(crate) fn of<K: Hash>(&self, key: &K) -> MutexGuard<'_, T> {
        let hash = BuildHasherDefault::<DefaultHasher>::default().hash_one(key);
        lock(&self.shards[hash as usize % SHARD_COUNT])
    }

    /// Every part, each locked while it is visited.
    pub(crate) fn each(&self) -> impl Iterator<Item = MutexGuard<'_, T>> {
        self.shards.iter().map(lock)
    }

    /// How many parts there are.
    pub(crate) const fn count(&self) -> usize {
        SHARD_COUNT
    }
}

/// Locks; a thread that panicked while it held the lock broke an invariant already.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no thread panics while it holds this lock")
}
