//! Limits on the request rate and on running requests, per branch, class and upstream.

use std::collections::HashMap;
use std::fmt;
use std::hash::{BuildHasher, RandomState};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use sagespool_types::{BranchName, ClassName, ClockTime, RefusalReason, UpstreamName, derives};

use crate::table::lock;

const SHARDS: usize = 16;
/// Retry-after of a refusal by a limit on running requests.
const RUNNING_RETRY_AFTER: Duration = Duration::from_millis(500);
/// One request, in the unit of allowances.
const REQUEST_MILLIONTHS: u64 = 1_000_000;
const MICROS_PER_SECOND: u64 = 1_000_000;

derives! { record;
    /// Requests to which a limit applies.
    #[derive(Eq, PartialOrd, Ord, Hash)]
    #[serde(rename_all = "kebab-case")]
    pub enum LimitScope {
        /// All requests of a branch.
        Branch(BranchName),
        /// A branch's requests of one class.
        BranchClass(BranchName, ClassName),
        /// All requests of a class.
        Class(ClassName),
        /// All requests to an upstream.
        Upstream(UpstreamName),
    }
}

impl fmt::Display for LimitScope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Branch(branch) => write!(f, "branch {branch}"),
            Self::BranchClass(branch, class) => write!(f, "class {class} of branch {branch}"),
            Self::Class(class) => write!(f, "class {class}"),
            Self::Upstream(upstream) => write!(f, "upstream {upstream}"),
        }
    }
}

derives! { record;
    /// A limit that applies to the whole fleet.
    pub struct LimitRule {
        /// Requests to which it applies.
        pub scope: LimitScope,
        /// Maximum running requests; `None` for no limit.
        pub running: Option<u32>,
        /// Maximum requests per second; `None` for no limit.
        pub requests_per_second: Option<u32>,
    }
}

/// Refusal of a request that exceeds a limit; it did not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitRefusal {
    /// Scope of the limit that was reached.
    pub scope: LimitScope,
    /// Time after which a retry may succeed.
    pub retry_after: Duration,
}

impl LimitRefusal {
    /// The reason sent to callers.
    pub fn reason(&self) -> RefusalReason {
        RefusalReason::LimitReached
    }
}

impl fmt::Display for LimitRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = self.retry_after.as_millis();
        write!(f, "the limit of {} is reached: retry after {millis} ms", self.scope)
    }
}

impl std::error::Error for LimitRefusal {}

#[derive(Debug, Clone, Copy)]
struct LimitUsage {
    running: u32,
    /// Requests that may be admitted immediately, in millionths.
    allowance: u64,
    /// When the allowance was last refilled.
    filled_at: ClockTime,
    /// When the allowance is full again, so that the entry can be removed without effect.
    full_at: ClockTime,
}

/// This entry's share of a rate, as a token bucket.
#[derive(Debug, Clone, Copy)]
struct SharedRate {
    /// Refill per second, in millionths of a request.
    per_second: u64,
    /// Capacity of the bucket: one second's requests, and at least one unless the rate is zero.
    burst: u64,
}

impl SharedRate {
    fn new(requests_per_second: u32, entries: u32) -> Self {
        let all = u64::from(requests_per_second) * REQUEST_MILLIONTHS;
        let per_second = all.div_ceil(u64::from(entries)).max(1);
        let burst = if requests_per_second == 0 { 0 } else { per_second.max(REQUEST_MILLIONTHS) };
        Self { per_second, burst }
    }

    fn fill(self, usage: &mut LimitUsage, now: ClockTime) {
        let elapsed = now.since(usage.filled_at).as_micros() as u64;
        let gained = elapsed.saturating_mul(self.per_second) / MICROS_PER_SECOND;
        usage.allowance = usage.allowance.saturating_add(gained).min(self.burst);
        usage.filled_at = usage.filled_at.max(now);
    }

    fn time_for(self, allowance: u64) -> Duration {
        Duration::from_micros(allowance.saturating_mul(MICROS_PER_SECOND) / self.per_second)
    }
}

/// Tracks running requests and request rates, sharded by scope.
#[derive(Debug)]
pub struct RequestLimits {
    shards: [Mutex<HashMap<LimitScope, LimitUsage>>; SHARDS],
    hasher: RandomState,
    entries: AtomicU32,
}

impl Default for RequestLimits {
    fn default() -> Self {
        let shards = std::array::from_fn(|_| Mutex::default());
        Self { shards, hasher: RandomState::new(), entries: AtomicU32::new(1) }
    }
}

impl RequestLimits {
    /// Creates a tracker with no running requests, for a single entry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the number of entries that share the limits, including this one. It is 1 where the
    /// branch's home enforces them.
    pub fn set_entries(&self, entries: u32) {
        self.entries.store(entries.max(1), Ordering::Relaxed);
    }

    /// Admits a request under all of its rules, or counts it under none.
    ///
    /// # Errors
    ///
    /// The first rule whose limit is reached.
    pub fn admit(&self, rules: &[LimitRule], now: ClockTime) -> Result<(), LimitRefusal> {
        for (done, rule) in rules.iter().enumerate() {
            if let Err(refusal) = self.admit_one(rule, now) {
                self.undo(&rules[..done]);
                return Err(refusal);
            }
        }
        Ok(())
    }

    /// Records the end of an admitted request.
    pub fn ended(&self, rules: &[LimitRule]) {
        for rule in rules {
            let mut shard = lock(self.shard(&rule.scope));
            if let Some(usage) = shard.get_mut(&rule.scope) {
                usage.running = usage.running.saturating_sub(1);
            }
        }
    }

    /// Removes scopes without running requests whose allowance is full.
    pub fn expire(&self, now: ClockTime) {
        for shard in &self.shards {
            lock(shard).retain(|_, usage| usage.running > 0 || now < usage.full_at);
        }
    }

    /// Running requests of a scope in this process.
    pub fn running(&self, scope: &LimitScope) -> u32 {
        lock(self.shard(scope)).get(scope).map_or(0, |usage| usage.running)
    }

    fn admit_one(&self, rule: &LimitRule, now: ClockTime) -> Result<(), LimitRefusal> {
        let entries = self.entries.load(Ordering::Relaxed);
        let rate = rule.requests_per_second.map(|rate| SharedRate::new(rate, entries));
        let mut shard = lock(self.shard(&rule.scope));
        let full = rate.map_or(0, |rate| rate.burst);
        let fresh = LimitUsage { running: 0, allowance: full, filled_at: now, full_at: now };
        let usage = shard.entry(rule.scope.clone()).or_insert(fresh);
        let refuse = |retry_after| LimitRefusal { scope: rule.scope.clone(), retry_after };
        if rule.running.is_some_and(|limit| usage.running >= limit.div_ceil(entries)) {
            return Err(refuse(RUNNING_RETRY_AFTER));
        }
        if let Some(rate) = rate {
            rate.fill(usage, now);
            if usage.allowance < REQUEST_MILLIONTHS {
                return Err(refuse(rate.time_for(REQUEST_MILLIONTHS - usage.allowance)));
            }
            usage.allowance -= REQUEST_MILLIONTHS;
            usage.full_at = now.after(rate.time_for(rate.burst - usage.allowance));
        }
        usage.running += 1;
        Ok(())
    }

    fn undo(&self, rules: &[LimitRule]) {
        for rule in rules {
            let mut shard = lock(self.shard(&rule.scope));
            let Some(usage) = shard.get_mut(&rule.scope) else { continue };
            usage.running = usage.running.saturating_sub(1);
            if rule.requests_per_second.is_some() {
                usage.allowance += REQUEST_MILLIONTHS;
            }
        }
    }

    fn shard(&self, scope: &LimitScope) -> &Mutex<HashMap<LimitScope, LimitUsage>> {
        &self.shards[self.hasher.hash_one(scope) as usize % SHARDS]
    }
}
