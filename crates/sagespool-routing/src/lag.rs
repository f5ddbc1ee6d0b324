//! How old load reports are when they arrive, learned from what they say.

use std::time::Duration;

use sagespool_types::ClockTime;

use crate::history::OwnHistory;

/// The lags that are compared, in milliseconds.
const LAGS: [u64; 16] =
    [0, 50, 100, 150, 200, 300, 400, 500, 700, 1000, 1300, 1600, 2000, 2500, 3000, 4000];
/// So many comparisons are remembered, about.
const MEMORY: f64 = 400.0;
/// From so many comparisons on, the learned lag is used.
const ENOUGH: f64 = 40.0;

/// The lag under which reported loads move most like this entry's own share of them.
///
/// A report's load is what other entries have there plus what this one had there when the
/// report was made. Taken off at the right moment, own requests leave the slow curve of the
/// others; taken off at a wrong one, they add their own jumps twice. So the lag with the
/// smallest changes from one report to the next is the likely one.
#[derive(Debug, Clone, Default)]
pub(crate) struct LagEstimate {
    errors: [f64; LAGS.len()],
    weight: f64,
}

/// What is left of the last report of one upstream, for each lag.
pub(crate) type LagRests = [f32; LAGS.len()];

impl LagEstimate {
    /// Compares a report of so many requests with the one before it.
    pub(crate) fn compare(
        &mut self,
        total: u32,
        history: &OwnHistory,
        before: Option<&LagRests>,
        now: ClockTime,
    ) -> LagRests {
        let rest = |lag: u64| total as f32 - history.at(before_now(now, lag)) as f32;
        let rests = LAGS.map(rest);
        let Some(before) = before else { return rests };
        let is_flat =
            rests.iter().zip(before).all(|(rest, old)| rest - old == rests[0] - before[0]);
        if is_flat {
            return rests;
        }
        let keep = 1.0 - 1.0 / MEMORY;
        self.weight = self.weight * keep + 1.0;
        for (place, error) in self.errors.iter_mut().enumerate() {
            let change = f64::from(rests[place] - before[place]);
            *error = *error * keep + change * change;
        }
        rests
    }

    /// The likely lag.
    pub(crate) fn lag(&self, until_known: Duration) -> Duration {
        if self.weight < ENOUGH {
            return until_known;
        }
        let by_error = |a: &(&f64, u64), b: &(&f64, u64)| a.0.total_cmp(b.0);
        let best = self.errors.iter().zip(LAGS).min_by(by_error);
        best.map_or(until_known, |(_, lag)| Duration::from_millis(lag))
    }
}

fn before_now(now: ClockTime, millis: u64) -> ClockTime {
    ClockTime(now.0.saturating_sub(millis * 1000))
}
