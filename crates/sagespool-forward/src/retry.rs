//! Limits retries.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use sagespool_types::{ClockTime, ServiceName};

/// Limit on the retries of all instances together, for each service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryPolicy {
    /// Retries allowed per request of the window.
    pub ratio: f64,
    /// Retries allowed in addition per window.
    pub slack: f64,
    /// Length of the window, which may begin at any time.
    pub window: Duration,
}

/// This instance's share of the retries that all instances may make, without communication.
///
/// The proportional part counts this instance's own requests only, and the fixed part is divided by
/// the largest number of instances seen. The sum over all instances thus stays within the limit,
/// whichever of them are partitioned.
#[derive(Debug)]
pub struct RetryBudget {
    policy: RetryPolicy,
    services: HashMap<ServiceName, ServiceWindow>,
}

#[derive(Debug, Default)]
struct ServiceWindow {
    requests: VecDeque<ClockTime>,
    retries: VecDeque<ClockTime>,
}

/// Fraction of the allowance that stays unused. Requests are counted when they are forwarded,
/// slightly later than callers send them, so windows here and at the callers differ by some
/// requests.
const MARGIN_FRACTION: f64 = 0.2;

impl RetryBudget {
    /// Creates an unused budget.
    pub fn new(policy: RetryPolicy) -> Self {
        Self { policy, services: HashMap::new() }
    }

    /// Counts the first attempt of a request.
    pub fn count_request(&mut self, service: &ServiceName, now: ClockTime) {
        let window = self.services.entry(service.clone()).or_default();
        window.requests.push_back(now);
        window.expire(self.policy.window, now);
    }

    /// Takes a retry from the budget; false if none is left.
    pub fn try_retry(&mut self, service: &ServiceName, instances: usize, now: ClockTime) -> bool {
        let window = self.services.entry(service.clone()).or_default();
        window.expire(self.policy.window, now);
        let proportional = self.policy.ratio * window.requests.len() as f64;
        let fixed = self.policy.slack / instances.max(1) as f64;
        let allowed = (proportional + fixed) * (1.0 - MARGIN_FRACTION);
        if window.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        window.retries.push_back(now);
        true
    }
}

impl ServiceWindow {
    fn expire(&mut self, window: Duration, now: ClockTime) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now.since(*at) > window) {
                times.pop_front();
            }
        }
    }
}
