//! Recent demand of each admission tier, from which headroom for earlier tiers is derived.

use std::collections::BTreeMap;
use std::time::Duration;

use sagespool_types::ClockTime;

/// Admission order: requests within their branch's share before those in excess of it, and
/// within each the higher class first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueTier {
    pub(crate) is_excess: bool,
    pub(crate) priority: u8,
}

#[derive(Debug, Clone, Copy, Default)]
struct TierUsage {
    running: u32,
    /// Recent maximum of running requests; decays to the current number.
    peak: f64,
    updated_at: ClockTime,
}

impl TierUsage {
    fn peak(&self, half_life: Duration, now: ClockTime) -> f64 {
        let half_lives =
            now.since(self.updated_at).as_secs_f64() / half_life.as_secs_f64().max(1e-3);
        let running = f64::from(self.running);
        running + (self.peak - running).max(0.0) * (-half_lives).exp2()
    }

    fn set(&mut self, running: u32, half_life: Duration, now: ClockTime) {
        self.peak = self.peak(half_life, now).max(f64::from(running));
        self.running = running;
        self.updated_at = now;
    }
}

/// Current and recent running requests of each tier.
#[derive(Debug, Default)]
pub(crate) struct TierTable {
    tiers: BTreeMap<QueueTier, TierUsage>,
}

impl TierTable {
    pub(crate) fn started(&mut self, tier: QueueTier, half_life: Duration, now: ClockTime) {
        let used = self.tiers.entry(tier).or_default();
        used.set(used.running + 1, half_life, now);
    }

    pub(crate) fn ended(&mut self, tier: QueueTier, half_life: Duration, now: ClockTime) {
        let used = self.tiers.entry(tier).or_default();
        used.set(used.running.saturating_sub(1), half_life, now);
    }

    /// Slots that earlier tiers used recently and do not use now.
    ///
    /// They are kept free because a running request cannot be preempted: once one branch fills
    /// every slot, the next request of another branch or a higher class waits until one ends.
    pub(crate) fn headroom(&self, tier: QueueTier, half_life: Duration, now: ClockTime) -> f64 {
        let before = self.tiers.range(..tier).map(|(_, used)| used);
        before.map(|used| used.peak(half_life, now) - f64::from(used.running)).sum()
    }
}
