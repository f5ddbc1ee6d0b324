//! Requests a second and running at once, for a branch, a class and an upstream.

use std::collections::HashMap;
use std::fmt;
use std::hash::{BuildHasher, RandomState};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use sagespool_types::{BranchName, ClassName, ClockTime, RefusalReason, UpstreamName, derives};

use crate::table::lock;

const SHARDS: usize = 16;
/// How long a limit on running requests is asked to be waited for.
const RUNNING_RETRY_AFTER: Duration = Duration::from_millis(500);
/// One request, in the millionths that allowances are counted in.
const REQUEST_MILLIONTHS: u64 = 1_000_000;
const MICROS_PER_SECOND: u64 = 1_000_000;

derives! { record;
    /// What a limit applies to.
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
    /// A limit, for the whole fleet.
    pub struct LimitRule {
        /// What it applies to.
        pub scope: LimitScope,
        /// Requests running at once.
        pub running: Option<u32>,
        /// Requests a second.
        pub requests_per_second: Option<u32>,
    }
}

/// A request is over a limit; it did not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitRefusal {
    /// The limit that is reached.
    pub scope: LimitScope,
    /// When to come back.
    pub retry_after: Duration,
}

impl LimitRefusal {
    /// The reason as callers read it.
    pub fn reason(&self) -> RefusalReason {
        RefusalReason::LimitReached
    }
}

impl fmt::Display for LimitRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = self.retry_after.as_millis();
        write!(f, "the limit of {} is reached: come back in {millis} ms", self.scope)
    }
}

impl std::error::Error for LimitRefusal {}

#[derive(Debug, Clone, Copy)]
struct LimitUsage {
    running: u32,
    /// Requests that may go at once, in millionths.
    allowance: u64,
    /// When the allowance was last brought up to date.
    filled_at: ClockTime,
    /// From when on forgetting it changes nothing.
    full_at: ClockTime,
}

/// This entry's part of a rate.
#[derive(Debug, Clone, Copy)]
struct SharedRate {
    /// Millionths of a request a second.
    per_second: u64,
    /// The most that may go at once: one second's requests, and at least one unless the rate
    /// is zero.
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

/// Counts what runs and how fast it comes, in shards by scope.
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
    /// Nothing runs.
    pub fn new() -> Self {
        Self::default()
    }

    /// How many entries share the limits, this one included. One where the branch's home decides.
    pub fn set_entries(&self, entries: u32) {
        self.entries.store(entries.max(1), Ordering::Relaxed);
    }

    /// Lets a request through all of its rules, or through none.
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

    /// A request that was let through ended.
    pub fn ended(&self, rules: &[LimitRule]) {
        for rule in rules {
            let mut shard = lock(self.shard(&rule.scope));
            if let Some(usage) = shard.get_mut(&rule.scope) {
                usage.running = usage.running.saturating_sub(1);
            }
        }
    }

    /// Forgets scopes that nothing runs under and whose allowance is full again.
    pub fn expire(&self, now: ClockTime) {
        for shard in &self.shards {
            lock(shard).retain(|_, usage| usage.running > 0 || now < usage.full_at);
        }
    }

    /// Requests of a scope that run now, by this process's count.
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
