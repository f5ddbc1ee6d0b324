//! Exponential average that decays towards a prior.

use std::time::Duration;

use sagespool_types::ClockTime;

/// Weight of the prior, in samples.
const PRIOR_WEIGHT: f64 = 1.0;

/// An exponentially weighted mean whose weight also decays with time.
///
/// Without new samples the value returns to the prior, so that an upstream that
/// was slow is tried again without a separate rule.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ExponentialAverage {
    /// Approximate number of samples that count.
    window: f64,
    mean: f64,
    weight: f64,
    updated_at: ClockTime,
}

impl ExponentialAverage {
    pub(crate) const fn new(window: f64) -> Self {
        Self { window, mean: 0.0, weight: 0.0, updated_at: ClockTime(0) }
    }

    pub(crate) fn add(&mut self, sample: f64, half_life: Duration, now: ClockTime) {
        let weight = self.weight_at(half_life, now).min(self.window - 1.0);
        self.mean = (self.mean * weight + sample) / (weight + 1.0);
        self.weight = weight + 1.0;
        self.updated_at = now;
    }

    /// The mean, weighted against the prior by the number and age of the samples.
    pub(crate) fn value(&self, prior: f64, half_life: Duration, now: ClockTime) -> f64 {
        let weight = self.weight_at(half_life, now);
        (self.mean * weight + prior * PRIOR_WEIGHT) / (weight + PRIOR_WEIGHT)
    }

    /// The mean regardless of its age, or `default` before the first sample.
    pub(crate) fn mean_or(&self, default: f64) -> f64 {
        if self.weight == 0.0 { default } else { self.mean }
    }

    fn weight_at(&self, half_life: Duration, now: ClockTime) -> f64 {
        if self.weight == 0.0 {
            return 0.0;
        }
        let half_lives =
            now.since(self.updated_at).as_secs_f64() / half_life.as_secs_f64().max(1e-3);
        self.weight * (-half_lives).exp2()
    }
}
