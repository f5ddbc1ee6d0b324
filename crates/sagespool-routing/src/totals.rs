//! Periodically recomputed sums over all upstreams of a service.

use std::time::Duration;

use sagespool_types::ClockTime;

use crate::ejection::Availability;
use crate::load::LoadContext;
use crate::upstream::UpstreamState;

/// The sums are recomputed at the larger of this interval and the one per upstream times their
/// number, which bounds the cost for services with many upstreams.
const REFRESH_INTERVAL: Duration = Duration::from_millis(50);
const REFRESH_INTERVAL_PER_UPSTREAM: Duration = Duration::from_micros(100);

/// Totals of the upstreams of a service that accept requests and are not ejected.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ServiceTotals {
    computed_at: Option<ClockTime>,
    /// Sum of their slots.
    pub(crate) capacity: f64,
    /// Requests of other entries, by the newest reports and sidecar counts.
    pub(crate) others: f64,
}

impl ServiceTotals {
    pub(crate) fn is_stale(&self, upstreams: usize, now: ClockTime) -> bool {
        let scaled = REFRESH_INTERVAL_PER_UPSTREAM.saturating_mul(upstreams as u32);
        self.computed_at.is_none_or(|at| now.since(at) >= REFRESH_INTERVAL.max(scaled))
    }

    pub(crate) fn sum(upstreams: &[UpstreamState], context: &LoadContext, now: ClockTime) -> Self {
        let mut totals = Self { computed_at: Some(now), ..Self::default() };
        for upstream in upstreams {
            let is_available = upstream.ejection.availability(now) == Availability::Available;
            if upstream.accepts_requests && is_available {
                totals.capacity += f64::from(upstream.capacity);
                totals.others += upstream.load.recent_others(context, now);
            }
        }
        totals
    }
}
