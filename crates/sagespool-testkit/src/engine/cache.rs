//! The prefix cache and its event feed, which is delayed and loses events.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use sagespool_types::{ClockTime, derives};
use twox_hash::XxHash3_128;

const PREFIX_BYTES: usize = 256;
const MAX_RETAINED_EVENTS: usize = 4096;

/// The digest of a prompt's first 256 bytes.
pub fn prefix_digest(prompt: &str) -> u128 {
    let bytes = prompt.as_bytes();
    XxHash3_128::oneshot(&bytes[..bytes.len().min(PREFIX_BYTES)])
}

derives! { value;
    /// How the cache state of a prefix changed.
    #[serde(rename_all = "lowercase")]
    pub enum CacheChange {
        /// Added to the cache.
        Stored,
        /// Removed from the cache.
        Evicted,
    }
}

derives! { record;
    /// One event of the cache feed.
    pub struct CacheEvent {
        /// Sequence number; lost events are counted as well, so that a gap shows.
        pub number: u64,
        /// The change of the prefix.
        pub kind: CacheChange,
        /// The digest of the prefix in hexadecimal.
        pub prefix: String,
    }
}

/// Cache hits and misses of runs, over all starts of an engine.
#[derive(Debug, Default)]
pub(crate) struct PrefixCounters {
    hits: AtomicU64,
    misses: AtomicU64,
}

impl PrefixCounters {
    pub(crate) fn counts(&self) -> PrefixCounts {
        let hits = self.hits.load(Ordering::Relaxed);
        PrefixCounts { hits, misses: self.misses.load(Ordering::Relaxed) }
    }

    fn count(&self, was_cached: bool) {
        let count = if was_cached { &self.hits } else { &self.misses };
        count.fetch_add(1, Ordering::Relaxed);
    }
}

derives! { value;
    /// Runs by whether their prefix was cached at their start.
    #[derive(Default)]
    pub struct PrefixCounts {
        /// Runs whose prefix was cached.
        pub hits: u64,
        /// Runs whose prefix was not cached.
        pub misses: u64,
    }
}

/// An LRU cache of prefixes, least recently used first.
pub(crate) struct PrefixCache {
    capacity: usize,
    prefixes: VecDeque<u128>,
    counters: Arc<PrefixCounters>,
}

impl PrefixCache {
    pub(crate) fn new(capacity: usize, counters: Arc<PrefixCounters>) -> Self {
        Self { capacity, prefixes: VecDeque::new(), counters }
    }

    /// Returns whether the prefix of a starting run is cached, and counts the hit or miss.
    pub(crate) fn lookup(&mut self, prefix: u128) -> bool {
        let was_cached = self.touch(prefix);
        self.counters.count(was_cached);
        was_cached
    }

    /// Returns whether a prefix is cached, and marks it as the most recently used.
    fn touch(&mut self, prefix: u128) -> bool {
        let Some(index) = self.prefixes.iter().position(|&cached| cached == prefix) else {
            return false;
        };
        self.prefixes.remove(index);
        self.prefixes.push_back(prefix);
        true
    }

    /// Adds a prefix to the cache; returns the resulting changes.
    pub(crate) fn store(&mut self, prefix: u128) -> Vec<(CacheChange, u128)> {
        if self.capacity == 0 || self.touch(prefix) {
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

/// The cache events as they are reported, after a lag and with gaps.
pub(crate) struct CacheFeed {
    lag: Duration,
    gap_share: f64,
    random: fastrand::Rng,
    next_number: u64,
    events: VecDeque<(ClockTime, CacheEvent)>,
}

/// The visible events, or the time at which the next one becomes visible.
pub(crate) enum FeedPoll {
    Events(Vec<CacheEvent>),
    EmptyUntil(Option<ClockTime>),
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
        if self.events.len() == MAX_RETAINED_EVENTS {
            self.events.pop_front();
        }
        let event = CacheEvent { number, kind, prefix: format!("{prefix:032x}") };
        self.events.push_back((now.after(self.lag), event));
    }

    /// The number of the newest event, also if it is not visible yet or was lost.
    pub(crate) fn newest(&self) -> u64 {
        self.next_number - 1
    }

    pub(crate) fn after(&self, number: u64, now: ClockTime) -> FeedPoll {
        let newer = || self.events.iter().filter(|(_, event)| event.number > number);
        let visible = newer().filter(|(visible_at, _)| *visible_at <= now);
        let events: Vec<_> = visible.map(|(_, event)| event.clone()).collect();
        if !events.is_empty() {
            return FeedPoll::Events(events);
        }
        FeedPoll::EmptyUntil(newer().next().map(|(visible_at, _)| *visible_at))
    }
}
