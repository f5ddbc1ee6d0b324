//! The store's object that lets one model be loaded at a time.
//!
//! The weight store is limited in its rate, and engines ask it by themselves.
//! Loads that operators order through several entries at once take turns, so
//! that the fleet as a whole asks for one model at a time. It is a courtesy,
//! not a lock: whoever holds a turn for too long is passed over, by wall
//! clocks that may be wrong, and all that comes of it is two loads at once.

use std::time::Duration;

use sagespool_types::{WallTime, derives};

use crate::FenceHolder;

/// The key of the object.
pub const LOAD_LEASE_KEY: &str = "load-turn";

/// A turn that has lasted so long is over.
const LONGEST_TURN: Duration = Duration::from_secs(120);

derives! { record;
    /// Whose turn it is.
    #[derive(Default)]
    pub struct LoadLease {
        /// The item that loads; nothing if none does.
        pub holder: Option<FenceHolder>,
        /// Since when, by its entry's wall clock.
        pub since: Option<WallTime>,
    }
}

impl LoadLease {
    /// Gives the turn to an item; false if it is another's.
    pub fn try_acquire(&mut self, holder: FenceHolder, now: WallTime) -> bool {
        let held_for = self.since.map_or(0, |since| now.0.saturating_sub(since.0));
        let is_over = u128::from(held_for) >= LONGEST_TURN.as_millis();
        let is_others = self.holder.is_some_and(|other| !other.is_same_item(&holder));
        if is_others && !is_over {
            return false;
        }
        self.holder = Some(holder);
        self.since = Some(now);
        true
    }

    /// Ends a turn; false if it isn't the holder's, also if the item was taken up anew meanwhile.
    pub fn release(&mut self, holder: FenceHolder) -> bool {
        let is_own = self.holder == Some(holder);
        if is_own {
            *self = Self::default();
        }
        is_own
    }
}
