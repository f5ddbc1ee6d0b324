//! Repeats of several instances that share one budget without a word between them.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::time::Duration;

use sagespool_forward::{RetryBudget, RetryPolicy};
use sagespool_types::{ClockTime, ServiceName};

const TERMS: RetryPolicy = RetryPolicy { ratio: 0.2, slack: 52.0, window: Duration::from_secs(10) };
const INSTANCES: usize = 4;

fn service() -> ServiceName {
    "plain".parse().unwrap()
}

/// Every upstream fails, and each instance repeats whatever it may. In no ten seconds are there more
/// repeats, over all instances, than a fifth of the requests and the fixed part.
#[test]
fn sum_kept() {
    let mut budgets: Vec<RetryBudget> = (0..INSTANCES).map(|_| RetryBudget::new(TERMS)).collect();
    let mut repeats: Vec<u64> = Vec::new();
    for millis in (0..60_000u64).step_by(25) {
        let now = ClockTime::from_millis(millis);
        let budget = &mut budgets[(millis / 25) as usize % INSTANCES];
        budget.count_request(&service(), now);
        if budget.try_retry(&service(), INSTANCES, now) {
            repeats.push(millis);
        }
    }
    for start in (0..50_000).step_by(500) {
        let within = repeats.iter().filter(|at| (start..start + 10_000).contains(*at)).count();
        let requests = 400.0;
        let allowed = TERMS.ratio * requests + TERMS.slack;
        assert!(within as f64 <= allowed, "{within} repeats from {start} ms on");
    }
    assert!(repeats.len() > 300, "{} repeats: too careful", repeats.len());
}

/// An instance that has served nothing yet, in the largest fleet, may still repeat once.
#[test]
fn first_repeat() {
    let mut budget = RetryBudget::new(TERMS);
    assert!(budget.try_retry(&service(), 31, ClockTime::from_millis(5)));
    assert!(!budget.try_retry(&service(), 31, ClockTime::from_millis(6)));
}
