//! How many requests may be sent once more.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use sagespool_types::{ClockTime, ServiceName};

/// What all instances together may repeat, for each service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryPolicy {
    /// Repeats allowed for each request of the window.
    pub ratio: f64,
    /// Repeats allowed beside them in a window.
    pub slack: f64,
    /// The length of the window, which may begin at any moment.
    pub window: Duration,
}

/// This instance's share of the repeats that all instances may make, without asking anyone.
///
/// The requests that count are this instance's own, and the fixed part is divided by the largest
/// number of instances seen: the sum over all instances never passes the terms, whoever is cut off.
#[derive(Debug)]
pub struct RetryBudget {
    terms: RetryPolicy,
    services: HashMap<ServiceName, ServiceWindow>,
}

#[derive(Debug, Default)]
struct ServiceWindow {
    firsts: VecDeque<ClockTime>,
    repeats: VecDeque<ClockTime>,
}

/// Part of the allowance that is left unused: requests are counted when they are forwarded, a
/// little after callers sent them, so windows here and there don't match to the request.
const SPARE_SHARE: f64 = 0.2;

impl RetryBudget {
    /// An unused budget.
    pub fn new(terms: RetryPolicy) -> Self {
        Self { terms, services: HashMap::new() }
    }

    /// Counts a request that is sent for the first time.
    pub fn count_request(&mut self, service: &ServiceName, now: ClockTime) {
        let window = self.services.entry(service.clone()).or_default();
        window.firsts.push_back(now);
        window.forget(self.terms.window, now);
    }

    /// Takes leave to send a request once more; false if there is none.
    pub fn try_retry(&mut self, service: &ServiceName, instances: usize, now: ClockTime) -> bool {
        let window = self.services.entry(service.clone()).or_default();
        window.forget(self.terms.window, now);
        let for_requests = self.terms.ratio * window.firsts.len() as f64;
        let fixed = self.terms.slack / instances.max(1) as f64;
        let allowed = (for_requests + fixed) * (1.0 - SPARE_SHARE);
        if window.repeats.len() as f64 + 1.0 > allowed {
            return false;
        }
        window.repeats.push_back(now);
        true
    }
}

impl ServiceWindow {
    fn forget(&mut self, window: Duration, now: ClockTime) {
        for times in [&mut self.firsts, &mut self.repeats] {
            while times.front().is_some_and(|at| now.since(*at) > window) {
                times.pop_front();
            }
        }
    }
}
