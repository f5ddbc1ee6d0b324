//! The stored record of one shard of claims.

use std::collections::BTreeMap;
use std::time::Duration;

use sagespool_types::{IncarnationId, KeyDigest, WallTime, derives};

use crate::aged::{AgedClaims, hour_of, is_past_retention, max_hours_bytes};
use crate::entry::{ClaimEntry, ClaimIntent};

/// Number of shards that the claims are distributed over by key.
pub const CLAIM_SHARDS: u64 = 16;
/// Time for which a claim's request and sidecar are kept. After that the record only
/// shows that the key was claimed, and a repeated request gets an unknown outcome
/// unless a sidecar still has the response.
pub const DETAIL_RETENTION: Duration = Duration::from_secs(30 * 60);
/// Size limit of a shard's record in bytes. The store accepts a megabyte; the difference
/// covers what the estimate leaves out.
pub const MAX_RECORD_BYTES: usize = 1_000_000;
/// Longest JSON form of a claim's key and entry.
const MAX_ENTRY_BYTES: usize = 170;
/// Assumed limit of the difference between the homes' clocks.
const MAX_CLOCK_SKEW_MS: u64 = 3_600_000;

/// The shard of a key, below [`CLAIM_SHARDS`].
pub fn claim_shard(key: KeyDigest) -> u64 {
    (key.0 % u128::from(CLAIM_SHARDS)) as u64
}

/// The store's key of a shard, such as `claims/3`.
pub fn claim_key(shard: u64) -> String {
    format!("claims/{shard}")
}

derives! { record;
    /// The claims of one shard. No other request may be dispatched under a key that is
    /// in the record, unless the claim's sidecar has fenced it.
    #[derive(Default)]
    #[serde(default)]
    pub struct ClaimsRecord {
        /// Claims within [`DETAIL_RETENTION`], with their details.
        pub claims: BTreeMap<KeyDigest, ClaimEntry>,
        /// Older claims, by the hour of the claim since 1970.
        pub aged: BTreeMap<u64, AgedClaims>,
    }
}

/// The result of a claim in a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The record now has the claim, which is valid once the record is stored.
    Claimed,
    /// The record already had the claim: an earlier write took effect, although its
    /// reply was lost.
    AlreadyMine,
    /// Another request has claimed the key, or a later attempt of this one.
    Taken(ClaimEntry),
    /// The key was claimed before the retention of details.
    Aged,
    /// The record has reached its size limit. Claims are not evicted early.
    Full,
}

impl ClaimsRecord {
    /// Adds a claim to the record. Idempotent by request, attempt and sidecar.
    ///
    /// A claim is replaced by a later attempt of its own request, which the entry makes
    /// only after the earlier sidecar refused it, and by an intent that
    /// [replaces](ClaimIntent::replaces) it. Both go through the store's conditional
    /// write, so of two homes that replace a claim one finds the other's.
    pub fn claim(
        &mut self,
        intent: &ClaimIntent,
        now: WallTime,
        retention: Duration,
    ) -> ClaimOutcome {
        self.drop_expired(now, retention, intent.home);
        if let Some(entry) = self.claims.get(&intent.key) {
            if intent.matches(entry) {
                return ClaimOutcome::AlreadyMine;
            }
            if !may_replace(entry, intent) {
                return ClaimOutcome::Taken(entry.clone());
            }
        } else if self.is_aged(intent.key) {
            return ClaimOutcome::Aged;
        } else if self.estimated_bytes() + MAX_ENTRY_BYTES > MAX_RECORD_BYTES {
            return ClaimOutcome::Full;
        }
        self.claims.insert(intent.key, intent.entry(self.claim_time(now)));
        ClaimOutcome::Claimed
    }

    /// The result of a claim that was applied, from the record as it is stored.
    pub fn outcome_of(&self, intent: &ClaimIntent) -> ClaimOutcome {
        match self.claims.get(&intent.key) {
            Some(entry) if intent.matches(entry) => ClaimOutcome::AlreadyMine,
            Some(entry) => ClaimOutcome::Taken(entry.clone()),
            None if self.is_aged(intent.key) => ClaimOutcome::Aged,
            None => ClaimOutcome::Full,
        }
    }

    /// The claim on a key; `None` also if only the fact of the claim is kept.
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

    /// Upper bound of the record's size in the store, in bytes.
    pub fn estimated_bytes(&self) -> usize {
        self.claims.len() * MAX_ENTRY_BYTES + max_hours_bytes(self.aged.values())
    }

    /// Drops details older than [`DETAIL_RETENTION`], and hours past their retention.
    fn drop_expired(&mut self, now: WallTime, retention: Duration, home: IncarnationId) {
        let details = DETAIL_RETENTION.as_millis() as u64;
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
        self.aged.retain(|hour, aged| {
            !aged.may_be_dropped(is_past_retention(*hour, now, retention), home, now)
        });
    }

    /// The time of a new claim. A home whose clock is far behind the newest claim uses that
    /// claim's time, as its own claim would otherwise be dropped early.
    fn claim_time(&self, now: WallTime) -> WallTime {
        let newest = self.claims.values().map(|entry| entry.at).max().unwrap_or(now);
        if newest.0 > now.0.saturating_add(MAX_CLOCK_SKEW_MS) { newest } else { now }
    }
}

fn may_replace(entry: &ClaimEntry, intent: &ClaimIntent) -> bool {
    if entry.request == intent.request {
        return intent.attempt > entry.attempt;
    }
    let fenced = intent.replaces;
    fenced.is_some_and(|fenced| fenced.request == entry.request && fenced.sidecar == entry.sidecar)
}
