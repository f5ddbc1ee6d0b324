//! The stored lease that limits the fleet to one model load at a time.
//!
//! The weight store has a rate limit, and engines read from it on their own.
//! Loads that operators order through several entries therefore run one after
//! the other. The lease is advisory: it expires by wall clocks that may be
//! wrong, and the worst result is two loads at once.

use std::time::Duration;

use sagespool_types::{WallTime, derives};

use crate::FenceHolder;

/// The store key of the lease.
pub const LOAD_LEASE_KEY: &str = "load-turn";

/// The lease expires after this time, so that a stopped entry doesn't block all loads.
const LEASE_DURATION: Duration = Duration::from_secs(120);

derives! { record;
    /// The holder of the lease.
    #[derive(Default)]
    pub struct LoadLease {
        /// The item that loads a model; `None` if the lease is free.
        pub holder: Option<FenceHolder>,
        /// When it was acquired or renewed, by the entry's wall clock.
        pub since: Option<WallTime>,
    }
}

impl LoadLease {
    /// Acquires or renews the lease; false if another item holds it and it hasn't expired.
    pub fn try_acquire(&mut self, holder: FenceHolder, now: WallTime) -> bool {
        let held_for = self.since.map_or(0, |since| now.0.saturating_sub(since.0));
        let is_expired = u128::from(held_for) >= LEASE_DURATION.as_millis();
        let is_others = self.holder.is_some_and(|other| !other.is_same_item(&holder));
        if is_others && !is_expired {
            return false;
        }
        self.holder = Some(holder);
        self.since = Some(now);
        true
    }

    /// Releases the lease; false if `holder` doesn't hold it, also if a later turn of the same item
    /// has it.
    pub fn release(&mut self, holder: FenceHolder) -> bool {
        let is_own = self.holder == Some(holder);
        if is_own {
            *self = Self::default();
        }
        is_own
    }
}
