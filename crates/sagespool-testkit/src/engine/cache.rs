//! The prefix cache and the feed of its events, late and with gaps.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
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

/// How many runs found their prefix cached, over all starts of an engine.
#[derive(Debug, Default)]
pub(crate) struct PrefixUses {
    hits: AtomicU64,
    misses: AtomicU64,
}

impl PrefixUses {
    pub(crate) fn counts(&self) -> PrefixCounts {
        let hits = self.hits.load(Ordering::Relaxed);
        PrefixCounts { hits, misses: self.misses.load(Ordering::Relaxed) }
    }

    fn note(&self, was_cached: bool) {
        let count = if was_cached { &self.hits } else { &self.misses };
        count.fetch_add(1, Ordering::Relaxed);
    }
}

derives! { value;
    /// Runs by whether their prefix was cached when they started.
    #[derive(Default)]
    pub struct PrefixCounts {
        /// It was.
        pub hits: u64,
        /// It wasn't.
        pub misses: u64,
    }
}

/// The prefixes an engine has cached, the least recently used first.
pub(crate) struct PrefixCache {
    capacity: usize,
    prefixes: VecDeque<u128>,
    uses: Arc<PrefixUses>,
}

impl PrefixCache {
    pub(crate) fn new(capacity: usize, uses: Arc<PrefixUses>) -> Self {
        Self { capacity, prefixes: VecDeque::new(), uses }
    }

    /// Whether a run that starts finds its prefix cached; counted.
    pub(crate) fn use_prefix(&mut self, prefix: u128) -> bool {
        let was_cached = self.hit(prefix);
        self.uses.note(was_cached);
        was_cached
    }

    /// Whether a prefix is cached; if so, it is now the most recently used.
    fn hit(&mut self, prefix: u128) -> bool {
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
