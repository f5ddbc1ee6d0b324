//! How many places those who go first lately needed, to keep some free for them.

use std::collections::BTreeMap;
use std::time::Duration;

use sagespool_types::ClockTime;

/// Who goes before whom: requests within their branch's share before those beyond it, and
/// among each the higher class first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueTier {
    pub(crate) is_excess: bool,
    pub(crate) priority: u8,
}

#[derive(Debug, Clone, Copy, Default)]
struct TierUsage {
    running: u32,
    /// The most that ran at once lately; fades to what runs now.
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

/// What each tier has running, and lately had.
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

    /// Places that the tiers before this one lately used and don't use now.
    ///
    /// Guards against a place that is missing when it is needed: a request can't be stopped
    /// once it runs, so a branch that fills every place makes the next request of another
    /// branch, or of a higher class, wait for one of its own to end.
    pub(crate) fn headroom(&self, tier: QueueTier, half_life: Duration, now: ClockTime) -> f64 {
        let before = self.tiers.range(..tier).map(|(_, used)| used);
        before.map(|used| used.peak(half_life, now) - f64::from(used.running)).sum()
    }
}
