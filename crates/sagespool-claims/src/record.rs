//! The store's object of one shard of claims.

use std::collections::BTreeMap;
use std::time::Duration;

use sagespool_types::{IncarnationId, KeyDigest, WallTime, derives};

use crate::aged::{AgedClaims, hour_of, hours_bytes, is_past};
use crate::entry::{ClaimEntry, ClaimIntent};

/// Shards that the claims are spread over by their key.
pub const CLAIM_SHARDS: u64 = 16;
/// Time for which a claim's request and sidecar are kept; after it only the
/// fact that the key was claimed. Whoever comes back later is told that the
/// outcome is unknown, unless a sidecar still has the answer.
pub const DETAILS_KEPT: Duration = Duration::from_secs(30 * 60);
/// Most bytes of a shard's object. The store takes a megabyte; the rest is
/// room for what the estimate leaves out.
pub const MOST_RECORD_BYTES: usize = 1_000_000;
/// A claim's key and entry as JSON, at their longest.
const ENTRY_BYTES: usize = 170;
/// Clocks are taken to differ by less.
const CLOCK_MARGIN_MILLIS: u64 = 3_600_000;

/// The shard of a key.
pub fn claim_shard(key: KeyDigest) -> u64 {
    (key.0 % u128::from(CLAIM_SHARDS)) as u64
}

/// The store's key of a shard, `claims/3`.
pub fn claim_key(shard: u64) -> String {
    format!("claims/{shard}")
}

derives! { record;
    /// The claims of one shard. A key that is in here has been claimed, and
    /// must not be dispatched for another request, unless the claim's sidecar
    /// fenced it.
    #[derive(Default)]
    #[serde(default)]
    pub struct ClaimsRecord {
        /// Claims of the last half hour, with their details.
        pub claims: BTreeMap<KeyDigest, ClaimEntry>,
        /// Older ones, by the hour in which they were claimed.
        pub aged: BTreeMap<u64, AgedClaims>,
    }
}

/// How a intent for a claim went in a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The record now holds the claim; it counts once the record is stored.
    Claimed,
    /// The record held it already: an earlier write took effect, though its
    /// answer was lost.
    AlreadyMine,
    /// Another request holds the key, or a later attempt of this one.
    Taken(ClaimEntry),
    /// The key was claimed longer ago than details are kept.
    Aged,
    /// The record has no room; nothing may be forgotten early to make some.
    Full,
}

impl ClaimsRecord {
    /// Puts a intent for a claim into the record. Idempotent by the request, the
    /// attempt and the sidecar.
    ///
    /// A claim gives way to a later attempt of its own request, which its entry
    /// makes only after the earlier sidecar refused it, and to a intent that
    /// [overturns](ClaimIntent::overturns) it. Both go through the store's
    /// conditional write, so that of two homes that overturn a claim one finds
    /// the other's.
    pub fn claim(
        &mut self,
        intent: &ClaimIntent,
        now: WallTime,
        retention: Duration,
    ) -> ClaimOutcome {
        self.tidy(now, retention, intent.home);
        if let Some(entry) = self.claims.get(&intent.key) {
            if intent.is_met_by(entry) {
                return ClaimOutcome::AlreadyMine;
            }
            if !may_replace(entry, intent) {
                return ClaimOutcome::Taken(entry.clone());
            }
        } else if self.is_aged(intent.key) {
            return ClaimOutcome::Aged;
        } else if self.estimated_bytes() + ENTRY_BYTES > MOST_RECORD_BYTES {
            return ClaimOutcome::Full;
        }
        self.claims.insert(intent.key, intent.entry(self.stamp(now)));
        ClaimOutcome::Claimed
    }

    /// What the record says of a intent that was put into it, once it is stored.
    pub fn outcome_of(&self, intent: &ClaimIntent) -> ClaimOutcome {
        match self.claims.get(&intent.key) {
            Some(entry) if intent.is_met_by(entry) => ClaimOutcome::AlreadyMine,
            Some(entry) => ClaimOutcome::Taken(entry.clone()),
            None if self.is_aged(intent.key) => ClaimOutcome::Aged,
            None => ClaimOutcome::Full,
        }
    }

    /// The claim on a key, while its details are kept.
    pub fn find(&self, key: KeyDigest) -> Option<&ClaimEntry> {
        self.claims.get(&key)
    }

    /// True if the key is claimed, with or without details.
    pub fn is_claimed(&self, key: KeyDigest) -> bool {
        self.claims.contains_key(&key) || self.is_aged(key)
    }

    fn is_aged(&self, key: KeyDigest) -> bool {
        self.aged.values().any(|aged| aged.keys.contains(key))
    }

    /// The most bytes that the record takes in the store.
    pub fn estimated_bytes(&self) -> usize {
        self.claims.len() * ENTRY_BYTES + hours_bytes(self.aged.values())
    }

    /// Drops details that are no longer kept, and hours past their retention.
    fn tidy(&mut self, now: WallTime, retention: Duration, home: IncarnationId) {
        let details = DETAILS_KEPT.as_millis() as u64;
        let old = |entry: &ClaimEntry| entry.at.0.saturating_add(details) < now.0;
        let aging: Vec<_> = self
            .claims
            .iter()
            .filter(|(_, entry)| old(entry))
            .map(|(key, entry)| (*key, hour_of(entry.at)))
            .collect();
        for (key, hour) in aging {
            self.claims.remove(&key);
            self.aged.entry(hour).or_default().keys.insert(key);
        }
        let retention = retention.as_millis() as u64;
        self.aged.retain(|hour, aged| !aged.may_go(is_past(*hour, now, retention), home, now));
    }

    /// The time to write on a claim. A home whose clock is far behind the other
    /// claims' takes theirs, or its claim would be forgotten early.
    fn stamp(&self, now: WallTime) -> WallTime {
        let newest = self.claims.values().map(|entry| entry.at).max().unwrap_or(now);
        if newest.0 > now.0.saturating_add(CLOCK_MARGIN_MILLIS) { newest } else { now }
    }
}

fn may_replace(entry: &ClaimEntry, intent: &ClaimIntent) -> bool {
    if entry.request == intent.request {
        return intent.attempt > entry.attempt;
    }
    let fenced = intent.overturns;
    fenced.is_some_and(|fenced| fenced.request == entry.request && fenced.sidecar == entry.sidecar)
}
