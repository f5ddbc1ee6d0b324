//! Retries of several instances that share one budget without communication.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::time::Duration;

use sagespool_forward::{RetryBudget, RetryPolicy};
use sagespool_types::{ClockTime, ServiceName};

const POLICY: RetryPolicy =
    RetryPolicy { ratio: 0.2, slack: 52.0, window: Duration::from_secs(10) };
const INSTANCES: usize = 4;

fn service() -> ServiceName {
    "plain".parse().unwrap()
}

/// Every upstream fails, and each instance retries as often as it may. In any ten seconds the
/// retries of all instances together stay within a fifth of the requests plus the fixed part.
#[test]
fn total_within_limit() {
    let mut budgets: Vec<RetryBudget> = (0..INSTANCES).map(|_| RetryBudget::new(POLICY)).collect();
    let mut retries: Vec<u64> = Vec::new();
    for millis in (0..60_000u64).step_by(25) {
        let now = ClockTime::from_millis(millis);
        let budget = &mut budgets[(millis / 25) as usize % INSTANCES];
        budget.count_request(&service(), now);
        if budget.try_retry(&service(), INSTANCES, now) {
            retries.push(millis);
        }
    }
    for start in (0..50_000).step_by(500) {
        let within = retries.iter().filter(|at| (start..start + 10_000).contains(*at)).count();
        let requests = 400.0;
        let allowed = POLICY.ratio * requests + POLICY.slack;
        assert!(within as f64 <= allowed, "{within} retries in the window from {start} ms");
    }
    assert!(retries.len() > 300, "only {} retries", retries.len());
}

/// An instance of the largest fleet that has served no request yet may still retry once.
#[test]
fn first_retry() {
    let mut budget = RetryBudget::new(POLICY);
    assert!(budget.try_retry(&service(), 31, ClockTime::from_millis(5)));
    assert!(!budget.try_retry(&service(), 31, ClockTime::from_millis(6)));
}
