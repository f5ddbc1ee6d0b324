//! The prefix cache and the feed of its events, late and with gaps.

use std::collections::VecDeque;
use std::time::Duration;

use sagespool_types::{ClockTime, derives};
use twox_hash::XxHash3_128;

const PREFIX_BYTES: usize = 256;
const MOST_EVENTS_KEPT: usize = 4096;

/// The digest of a prompt's first 256 bytes.
pub fn prefix_digest(prompt: &str) -> u128 {
    let bytes = prompt.as_bytes();
    XxHash3_128::oneshot(&bytes[..bytes.len().min(PREFIX_BYTES)])
}

derives! { value;
    /// What happened to a prefix.
    #[serde(rename_all = "lowercase")]
    pub enum CacheChange {
        /// It is cached now.
        Stored,
        /// It isn't cached any more.
        Evicted,
    }
}

derives! { record;
    /// One event of the feed.
    pub struct CacheEvent {
        /// Counted over all events, also those that the feed loses.
        pub number: u64,
        /// What happened.
        pub kind: CacheChange,
        /// The prefix's digest in hexadecimal.
        pub prefix: String,
    }
}

/// The prefixes an engine has cached, the least recently used first.
pub(crate) struct PrefixCache {
    capacity: usize,
    prefixes: VecDeque<u128>,
}

impl PrefixCache {
    pub(crate) fn new(capacity: usize) -> Self {
        Self { capacity, prefixes: VecDeque::new() }
    }

    /// Whether a prefix is cached; if so, it is now the most recently used.
    pub(crate) fn hit(&mut self, prefix: u128) -> bool {
        let Some(place) = self.prefixes.iter().position(|&cached| cached == prefix) else {
            return false;
        };
        self.prefixes.remove(place);
        self.prefixes.push_back(prefix);
        true
    }

    /// Caches a prefix, and gives the changes that makes.
    pub(crate) fn store(&mut self, prefix: u128) -> Vec<(CacheChange, u128)> {
        if self.capacity == 0 || self.hit(prefix) {
            return Vec::new();
        }
        let mut changes = Vec::new();
        if self.prefixes.len() == self.capacity {
            let evicted = self.prefixes.pop_front();
            changes.extend(evicted.map(|evicted| (CacheChange::Evicted, evicted)));
        }
        self.prefixes.push_back(prefix);
        changes.push((CacheChange::Stored, prefix));
        changes
    }
}

/// The events of a cache as others get to see them.
pub(crate) struct CacheFeed {
    lag: Duration,
    gap_share: f64,
    random: fastrand::Rng,
    next_number: u64,
    events: VecDeque<(ClockTime, CacheEvent)>,
}

/// The events that can be seen, or the time at which there may be one.
pub(crate) enum FeedAnswer {
    Events(Vec<CacheEvent>),
    NothingUntil(Option<ClockTime>),
}

impl CacheFeed {
    pub(crate) fn new(lag: Duration, gap_share: f64, seed: u64) -> Self {
        let random = fastrand::Rng::with_seed(seed);
        Self { lag, gap_share, random, next_number: 1, events: VecDeque::new() }
    }

    pub(crate) fn push(&mut self, kind: CacheChange, prefix: u128, now: ClockTime) {
        let number = self.next_number;
        self.next_number += 1;
        if self.random.f64() < self.gap_share {
            return;
        }
        if self.events.len() == MOST_EVENTS_KEPT {
            self.events.pop_front();
        }
        let event = CacheEvent { number, kind, prefix: format!("{prefix:032x}") };
        self.events.push_back((now.after(self.lag), event));
    }

    /// The number of the newest event, whether it can be seen or not.
    pub(crate) fn newest(&self) -> u64 {
        self.next_number - 1
    }

    pub(crate) fn after(&self, number: u64, now: ClockTime) -> FeedAnswer {
        let newer = || self.events.iter().filter(|(_, event)| event.number > number);
        let seen = newer().filter(|(seen_at, _)| *seen_at <= now);
        let events: Vec<_> = seen.map(|(_, event)| event.clone()).collect();
        if !events.is_empty() {
            return FeedAnswer::Events(events);
        }
        FeedAnswer::NothingUntil(newer().next().map(|(seen_at, _)| *seen_at))
    }
}
