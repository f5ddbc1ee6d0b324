//! A smoothed measurement that fades towards what its peers show.

use std::time::Duration;

use sagespool_types::ClockTime;

/// What the prior weighs, in samples.
const PRIOR_WEIGHT: f64 = 1.0;

/// An exponentially weighted mean whose evidence also fades with time.
///
/// Without fresh samples the value goes back to the prior, so an upstream that
/// was slow once is tried again without a separate rule.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SmoothedValue {
    /// About so many samples count.
    memory: f64,
    mean: f64,
    weight: f64,
    at: ClockTime,
}

impl SmoothedValue {
    pub(crate) const fn new(memory: f64) -> Self {
        Self { memory, mean: 0.0, weight: 0.0, at: ClockTime(0) }
    }

    pub(crate) fn add(&mut self, sample: f64, half_life: Duration, now: ClockTime) {
        let weight = self.weight_at(half_life, now).min(self.memory - 1.0);
        self.mean = (self.mean * weight + sample) / (weight + 1.0);
        self.weight = weight + 1.0;
        self.at = now;
    }

    /// The value now, drawn towards the prior where evidence is thin or old.
    pub(crate) fn value(&self, prior: f64, half_life: Duration, now: ClockTime) -> f64 {
        let weight = self.weight_at(half_life, now);
        (self.mean * weight + prior * PRIOR_WEIGHT) / (weight + PRIOR_WEIGHT)
    }

    /// The value as it was last measured, however long ago; the guess only until it was measured at
    /// all.
    pub(crate) fn measured(&self, guess: f64) -> f64 {
        if self.weight == 0.0 { guess } else { self.mean }
    }

    fn weight_at(&self, half_life: Duration, now: ClockTime) -> f64 {
        if self.weight == 0.0 {
            return 0.0;
        }
        let halves = now.since(self.at).as_secs_f64() / half_life.as_secs_f64().max(1e-3);
        self.weight * (-halves).exp2()
    }
}
