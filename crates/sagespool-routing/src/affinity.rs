//! Prefix affinity: upstreams that probably have a prompt's prefix cached.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use sagespool_types::{ClockTime, IncarnationId, UpstreamName, derives};
use twox_hash::XxHash3_64;

/// Points on the ring per upstream; more points make the arcs more even.
const RING_POINTS: u64 = 16;
/// Upstreams kept per prefix.
const MAX_HOLDERS: usize = 4;
/// An eviction event is ignored if the prefix was sent there within this time: events arrive
/// late, and the request may have stored the prefix again.
const EVICTION_EVENT_DELAY: Duration = Duration::from_secs(2);

derives! { value;
    /// A change to a prefix in an engine's cache.
    #[serde(rename_all = "kebab-case")]
    pub enum CacheEventKind {
        /// The prefix was stored.
        Stored,
        /// The prefix was evicted.
        Evicted,
    }
}

derives! { value;
    /// One cache event of an engine. Events may arrive late or be lost.
    pub struct CacheEvent {
        /// Sequence number assigned by the engine; a gap means that events were lost.
        pub number: u64,
        /// Whether the prefix was stored or evicted.
        pub kind: CacheEventKind,
        /// The prefix: xxh3-128 of the first 256 bytes of the prompt.
        pub prefix: u128,
    }
}

/// Consistent-hash ring of the upstreams. All entries derive the same upstream for a prefix
/// without exchanging messages.
#[derive(Debug, Default)]
pub(crate) struct PrefixRing {
    points: BTreeSet<(u64, IncarnationId)>,
}

impl PrefixRing {
    pub(crate) fn insert(&mut self, upstream: &UpstreamName, id: IncarnationId) {
        self.points.extend(ring_points(upstream).map(|point| (point, id)));
    }

    pub(crate) fn remove(&mut self, upstream: &UpstreamName, id: IncarnationId) {
        for point in ring_points(upstream) {
            self.points.remove(&(point, id));
        }
    }

    /// The upstreams in ring order from the prefix's position; may repeat.
    pub(crate) fn upstreams_from(&self, prefix: u128) -> impl Iterator<Item = IncarnationId> {
        let position = XxHash3_64::oneshot(&prefix.to_le_bytes());
        let first = (position, IncarnationId(0));
        self.points.range(first..).chain(self.points.range(..first)).map(|(_, id)| *id)
    }
}

fn ring_points(upstream: &UpstreamName) -> impl Iterator<Item = u64> {
    let name = upstream.as_str();
    (0..RING_POINTS).map(move |point| XxHash3_64::oneshot_with_seed(point, name.as_bytes()))
}

/// Evidence that an upstream has a prefix cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PrefixEvidence {
    /// This entry recently sent the prefix there.
    Sent,
    /// The engine reported it as stored.
    Stored,
}

#[derive(Debug, Clone, Copy)]
struct PrefixHolder {
    id: IncarnationId,
    evidence: PrefixEvidence,
    seen: ClockTime,
}

/// Upstreams that recently ran or reported each prefix, up to a number of prefixes.
#[derive(Debug, Default)]
pub(crate) struct PrefixIndex {
    holders: HashMap<u128, Vec<PrefixHolder>>,
    capacity: usize,
}

impl PrefixIndex {
    pub(crate) fn new(capacity: usize) -> Self {
        Self { holders: HashMap::new(), capacity: capacity.max(2) }
    }

    pub(crate) fn sent(&mut self, prefix: u128, id: IncarnationId, now: ClockTime) {
        self.record(prefix, id, PrefixEvidence::Sent, now);
    }

    pub(crate) fn stored(&mut self, prefix: u128, id: IncarnationId, now: ClockTime) {
        self.record(prefix, id, PrefixEvidence::Stored, now);
    }

    pub(crate) fn evicted(&mut self, prefix: u128, id: IncarnationId, now: ClockTime) {
        let Some(holders) = self.holders.get_mut(&prefix) else { return };
        let is_newer = |holder: &PrefixHolder| now.since(holder.seen) < EVICTION_EVENT_DELAY;
        holders.retain(|holder| holder.id != id || is_newer(holder));
        if holders.is_empty() {
            self.holders.remove(&prefix);
        }
    }

    /// Upstreams with evidence for the prefix newer than `expiry`, newest first.
    pub(crate) fn holders(
        &self,
        prefix: u128,
        expiry: Duration,
        now: ClockTime,
    ) -> impl Iterator<Item = (IncarnationId, PrefixEvidence)> {
        let holders = self.holders.get(&prefix).map_or(&[][..], Vec::as_slice);
        let live = holders.iter().rev().filter(move |holder| now.since(holder.seen) < expiry);
        live.map(|holder| (holder.id, holder.evidence))
    }

    fn record(
        &mut self,
        prefix: u128,
        id: IncarnationId,
        evidence: PrefixEvidence,
        now: ClockTime,
    ) {
        if self.holders.len() >= self.capacity && !self.holders.contains_key(&prefix) {
            self.drop_older_half();
        }
        let holders = self.holders.entry(prefix).or_default();
        let known = holders.iter().find(|holder| holder.id == id).map(|holder| holder.evidence);
        let evidence =
            if known == Some(PrefixEvidence::Stored) { PrefixEvidence::Stored } else { evidence };
        holders.retain(|holder| holder.id != id);
        holders.push(PrefixHolder { id, evidence, seen: now });
        if holders.len() > MAX_HOLDERS {
            holders.remove(0);
        }
    }

    fn drop_older_half(&mut self) {
        let newest = |holders: &Vec<PrefixHolder>| holders.last().map(|holder| holder.seen);
        let mut times: Vec<_> = self.holders.values().map(newest).collect();
        let midpoint = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(midpoint);
        let median = *median;
        self.holders.retain(|_, holders| newest(holders) > median);
    }
}
