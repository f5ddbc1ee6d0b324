//! Estimate of the age of load reports on arrival, derived from their content.

use std::time::Duration;

use sagespool_types::ClockTime;

use crate::history::InFlightHistory;

const CANDIDATE_LAGS_MS: [u64; 16] =
    [0, 50, 100, 150, 200, 300, 400, 500, 700, 1000, 1300, 1600, 2000, 2500, 3000, 4000];
/// Averaging window, in comparisons.
const SAMPLE_WINDOW: f64 = 400.0;
/// Comparisons from which the estimate is used.
const MIN_SAMPLES: f64 = 40.0;

/// Estimates the lag at which own requests best explain the changes of reported loads.
///
/// A reported load is that of other entries plus the own requests at the time of the report.
/// Subtracting own requests at the correct lag leaves the slowly changing load of the others;
/// at a wrong lag, their jumps appear twice. The estimate is therefore the lag with the smallest
/// squared changes between consecutive reports.
#[derive(Debug, Clone, Default)]
pub(crate) struct LagEstimator {
    errors: [f64; CANDIDATE_LAGS_MS.len()],
    weight: f64,
}

/// One upstream's last reported load minus own requests, for each candidate lag.
pub(crate) type LagResiduals = [f32; CANDIDATE_LAGS_MS.len()];

impl LagEstimator {
    /// Compares a report's number of requests with the previous report of the same upstream.
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

    /// The estimated lag, or `default` until there are enough comparisons.
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
