//! Limit on the retries of a service's requests.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use sagespool_types::{ClockTime, ServiceName};

use crate::table::lock;

/// Slices of the sliding window.
const SLICES: usize = 10;

/// Settings of [`RetryBudget`].
#[derive(Debug, Clone, bon::Builder)]
pub struct RetryPolicy {
    /// Retries as a share of the requests in the window, in thousandths.
    #[builder(default = 150)]
    pub share_per_mille: u32,
    /// Retries always allowed in a window, so that a service with few requests can retry at all.
    #[builder(default = 3)]
    pub min_retries: u32,
    /// Length of the sliding window.
    #[builder(default = Duration::from_secs(10))]
    pub window: Duration,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self::builder().build()
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct SliceCount {
    slice: u64,
    requests: u32,
    retries: u32,
}

#[derive(Debug, Default)]
struct RetryWindow {
    slices: [SliceCount; SLICES],
}

impl RetryWindow {
    fn slice(&mut self, number: u64) -> &mut SliceCount {
        let slice = &mut self.slices[number as usize % SLICES];
        if slice.slice != number {
            *slice = SliceCount { slice: number, ..SliceCount::default() };
        }
        slice
    }

    fn totals(&self, number: u64) -> (u64, u64) {
        let recent = |slice: &&SliceCount| slice.slice + SLICES as u64 > number;
        let recent = self.slices.iter().filter(recent);
        recent.fold((0, 0), |(requests, retries), slice| {
            (requests + u64::from(slice.requests), retries + u64::from(slice.retries))
        })
    }
}

/// Limits retries to a share of recent requests, separately for each service.
///
/// Prevents retry storms: when upstreams fail because of overload, retrying
/// every failure multiplies the load. A share bounds the factor at any failure rate.
#[derive(Debug, Default)]
pub struct RetryBudget {
    policy: RetryPolicy,
    windows: Mutex<HashMap<ServiceName, Arc<Mutex<RetryWindow>>>>,
}

impl RetryBudget {
    /// Creates a budget with empty windows.
    pub fn new(policy: RetryPolicy) -> Self {
        Self { policy, windows: Mutex::default() }
    }

    /// Counts a request's first attempt.
    pub fn count_request(&self, service: &ServiceName, now: ClockTime) {
        let window = self.window(service);
        lock(&window).slice(self.slice_number(now)).requests += 1;
    }

    /// Counts a retry and returns true if the budget allows it; otherwise returns false.
    pub fn try_retry(&self, service: &ServiceName, now: ClockTime) -> bool {
        let window = self.window(service);
        let mut window = lock(&window);
        let number = self.slice_number(now);
        let (requests, retries) = window.totals(number);
        let share = requests * u64::from(self.policy.share_per_mille) / 1000;
        if retries >= share.max(u64::from(self.policy.min_retries)) {
            return false;
        }
        window.slice(number).retries += 1;
        true
    }

    fn window(&self, service: &ServiceName) -> Arc<Mutex<RetryWindow>> {
        let mut windows = lock(&self.windows);
        if let Some(window) = windows.get(service) {
            return Arc::clone(window);
        }
        windows.entry(service.clone()).or_default().clone()
    }

    fn slice_number(&self, now: ClockTime) -> u64 {
        let slice = (self.policy.window.as_micros() as u64 / SLICES as u64).max(1);
        // The offset makes the empty slices of a new window, numbered 0, count as expired.
        now.0 / slice + SLICES as u64
    }
}
