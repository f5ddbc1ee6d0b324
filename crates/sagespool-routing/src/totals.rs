//! Sums over all upstreams of a service, renewed now and then.

use std::time::Duration;

use sagespool_types::ClockTime;

use crate::ejection::UseState;
use crate::load::LoadOutlook;
use crate::upstream::UpstreamState;

/// The sums are renewed after this time, and later where there are many upstreams.
const RENEWED_AFTER: Duration = Duration::from_millis(50);
const RENEWED_AFTER_EACH: Duration = Duration::from_micros(100);

/// What the usable upstreams of a service have together.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ServiceTotals {
    at: Option<ClockTime>,
    /// Requests that they run at once.
    pub(crate) capacity: f64,
    /// Requests of other entries there, by the newest reports and counts.
    pub(crate) others: f64,
}

impl ServiceTotals {
    pub(crate) fn is_old(&self, upstreams: usize, now: ClockTime) -> bool {
        let many = RENEWED_AFTER_EACH.saturating_mul(upstreams as u32);
        self.at.is_none_or(|at| now.since(at) >= RENEWED_AFTER.max(many))
    }

    pub(crate) fn of(upstreams: &[UpstreamState], outlook: &LoadOutlook, now: ClockTime) -> Self {
        let mut totals = Self { at: Some(now), ..Self::default() };
        for upstream in upstreams {
            let is_open = upstream.ejection.state(now) == UseState::Open;
            if upstream.takes_work && is_open {
                totals.capacity += f64::from(upstream.capacity);
                totals.others += upstream.load.others_lately(outlook, now);
            }
        }
        totals
    }
}
