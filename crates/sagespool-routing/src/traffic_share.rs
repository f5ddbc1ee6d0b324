//! This entry's share of a service's traffic.

/// Averaging window, in dispatches.
const DISPATCH_WINDOW: f64 = 2000.0;
/// Weight of the equal-share prior, in own dispatches.
const PRIOR_DISPATCHES: f64 = 20.0;

/// Own dispatches in relation to all dispatches that the sidecars counted.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TrafficShare {
    own: f64,
    all: f64,
}

impl TrafficShare {
    /// Adds the dispatches between two reports of one sidecar: own ones, and all.
    pub(crate) fn add(&mut self, own: u64, all: u64) {
        let keep = 1.0 - (all as f64 / DISPATCH_WINDOW).min(1.0);
        self.own = self.own * keep + own as f64;
        self.all = self.all * keep + all as f64;
    }

    /// This entry's share of the requests, from 0 to 1; an equal share until measured.
    pub(crate) fn own_share(&self, entries: u32) -> f64 {
        let own = self.own + PRIOR_DISPATCHES;
        let all = self.all + PRIOR_DISPATCHES * f64::from(entries.max(1));
        (own / all.max(own)).max(1e-3)
    }
}
