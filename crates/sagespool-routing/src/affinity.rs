//! Where a prompt's prefix is likely cached.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use sagespool_types::{ClockTime, IncarnationId, UpstreamName, derives};
use twox_hash::XxHash3_64;

/// Places on the ring for each upstream; more even out the arcs.
const RING_POINTS: u64 = 16;
/// The most upstreams remembered for one prefix.
const MOST_HOLDERS: usize = 4;

derives! { value;
    /// What happened to a prefix in an engine's cache.
    #[serde(rename_all = "kebab-case")]
    pub enum CacheEventKind {
        /// It was stored.
        Stored,
        /// It was evicted.
        Evicted,
    }
}

derives! { value;
    /// One cache event of an engine. Events come late and some never.
    pub struct CacheEvent {
        /// Counted by the engine; a jump means that events are missing.
        pub number: u64,
        /// What happened.
        pub kind: CacheEventKind,
        /// The prefix: xxh3-128 of the first 256 bytes of the prompt.
        pub prefix: u128,
    }
}

/// The place of every upstream on a ring, so that all entries agree without a
/// message on where an unknown prefix goes first.
#[derive(Debug, Default)]
pub(crate) struct PrefixRing {
    points: BTreeMap<(u64, IncarnationId), ()>,
}

impl PrefixRing {
    pub(crate) fn insert(&mut self, upstream: &UpstreamName, id: IncarnationId) {
        for point in ring_points(upstream) {
            self.points.insert((point, id), ());
        }
    }

    pub(crate) fn remove(&mut self, upstream: &UpstreamName, id: IncarnationId) {
        for point in ring_points(upstream) {
            self.points.remove(&(point, id));
        }
    }

    /// The upstreams from the prefix's place on, in ring order; may repeat.
    pub(crate) fn from(&self, prefix: u128) -> impl Iterator<Item = IncarnationId> {
        let place = (prefix ^ (prefix >> 64)) as u64;
        let first = (place, IncarnationId(0));
        self.points.range(first..).chain(self.points.range(..first)).map(|((_, id), ())| *id)
    }
}

fn ring_points(upstream: &UpstreamName) -> impl Iterator<Item = u64> {
    let name = upstream.as_str();
    (0..RING_POINTS).map(move |point| XxHash3_64::oneshot_with_seed(point, name.as_bytes()))
}

#[derive(Debug, Clone, Copy)]
struct PrefixHolder {
    id: IncarnationId,
    seen: ClockTime,
}

/// Which upstreams lately ran or reported a prefix, bounded.
#[derive(Debug, Default)]
pub(crate) struct PrefixMemory {
    holders: HashMap<u128, Vec<PrefixHolder>>,
}

impl PrefixMemory {
    pub(crate) fn note(&mut self, prefix: u128, id: IncarnationId, most: usize, now: ClockTime) {
        if self.holders.len() >= most && !self.holders.contains_key(&prefix) {
            self.shrink();
        }
        let holders = self.holders.entry(prefix).or_default();
        holders.retain(|holder| holder.id != id);
        holders.push(PrefixHolder { id, seen: now });
        if holders.len() > MOST_HOLDERS {
            holders.remove(0);
        }
    }

    pub(crate) fn forget(&mut self, prefix: u128, id: IncarnationId) {
        let Some(holders) = self.holders.get_mut(&prefix) else { return };
        holders.retain(|holder| holder.id != id);
        if holders.is_empty() {
            self.holders.remove(&prefix);
        }
    }

    /// Upstreams believed to hold the prefix, the newest first.
    pub(crate) fn holders(
        &self,
        prefix: u128,
        expiry: Duration,
        now: ClockTime,
    ) -> impl Iterator<Item = IncarnationId> {
        let holders = self.holders.get(&prefix).map_or(&[][..], Vec::as_slice);
        let live = holders.iter().rev().filter(move |holder| now.since(holder.seen) < expiry);
        live.map(|holder| holder.id)
    }

    /// Drops the older half.
    fn shrink(&mut self) {
        let newest = |holders: &Vec<PrefixHolder>| holders.last().map(|holder| holder.seen);
        let mut times: Vec<_> = self.holders.values().map(newest).collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.holders.retain(|_, holders| newest(holders) > median);
    }
}
