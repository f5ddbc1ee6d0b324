//! How old load reports are when they arrive, learned from what they say.

use std::time::Duration;

use sagespool_types::ClockTime;

use crate::history::InFlightHistory;

/// The lags that are compared, in milliseconds.
const CANDIDATE_LAGS_MS: [u64; 16] =
    [0, 50, 100, 150, 200, 300, 400, 500, 700, 1000, 1300, 1600, 2000, 2500, 3000, 4000];
/// So many comparisons are remembered, about.
const SAMPLE_WINDOW: f64 = 400.0;
/// From so many comparisons on, the learned lag is used.
const MIN_SAMPLES: f64 = 40.0;

/// The lag under which reported loads move most like this entry's own share of them.
///
/// A report's load is what other entries have there plus what this one had there when the
/// report was made. Taken off at the right moment, own requests leave the slow curve of the
/// others; taken off at a wrong one, they add their own jumps twice. So the lag with the
/// smallest changes from one report to the next is the likely one.
#[derive(Debug, Clone, Default)]
pub(crate) struct LagEstimator {
    errors: [f64; CANDIDATE_LAGS_MS.len()],
    weight: f64,
}

/// What is left of the last report of one upstream, for each lag.
pub(crate) type LagResiduals = [f32; CANDIDATE_LAGS_MS.len()];

impl LagEstimator {
    /// Compares a report of so many requests with the one before it.
    pub(crate) fn compare(
        &mut self,
        reported: u32,
        history: &InFlightHistory,
        previous: Option<&LagResiduals>,
        now: ClockTime,
    ) -> LagResiduals {
        let residual = |lag: u64| reported as f32 - history.at(before_now(now, lag)) as f32;
        let residuals = CANDIDATE_LAGS_MS.map(residual);
        let Some(previous) = previous else { return residuals };
        let is_flat = residuals
            .iter()
            .zip(previous)
            .all(|(residual, old)| residual - old == residuals[0] - previous[0]);
        if is_flat {
            return residuals;
        }
        let keep = 1.0 - 1.0 / SAMPLE_WINDOW;
        self.weight = self.weight * keep + 1.0;
        for (index, error) in self.errors.iter_mut().enumerate() {
            let change = f64::from(residuals[index] - previous[index]);
            *error = *error * keep + change * change;
        }
        residuals
    }

    /// The likely lag.
    pub(crate) fn lag(&self, default: Duration) -> Duration {
        if self.weight < MIN_SAMPLES {
            return default;
        }
        let by_error = |a: &(&f64, u64), b: &(&f64, u64)| a.0.total_cmp(b.0);
        let best = self.errors.iter().zip(CANDIDATE_LAGS_MS).min_by(by_error);
        best.map_or(default, |(_, lag)| Duration::from_millis(lag))
    }
}

fn before_now(now: ClockTime, millis: u64) -> ClockTime {
    ClockTime(now.0.saturating_sub(millis * 1000))
}
