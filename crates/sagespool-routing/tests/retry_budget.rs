//! Retries are limited to a share of the requests.

use sagespool_routing::{RetryBudget, RetryPolicy};
use sagespool_types::{ClockTime, ServiceName};

fn name(text: &str) -> ServiceName {
    text.parse().expect("a valid name")
}

/// Attempts per request, for evenly spaced requests of which `failing` in ten attempts fail.
fn attempts_per_request(failing: u64, requests: u64) -> f64 {
    let budget = RetryBudget::new(RetryPolicy::default());
    let service = name("sage-core");
    let (mut attempts, mut draw) = (0, 0);
    for request in 0..requests {
        let now = ClockTime::from_millis(request * 5);
        budget.count_request(&service, now);
        for _ in 0..4 {
            attempts += 1;
            draw = (draw + 7) % 10;
            if draw >= failing || !budget.try_retry(&service, now) {
                break;
            }
        }
    }
    attempts as f64 / requests as f64
}

// All engines are overloaded and fail every request. Three retries for each failure would mean four
// times the load, and the engines could not recover while requests keep arriving.
#[test]
fn total_failure_bounded() {
    let attempts = attempts_per_request(10, 20_000);
    assert!((1.1..1.2).contains(&attempts), "{attempts} attempts a request");
}

// One attempt in ten fails. Every one of these retries must be allowed.
#[test]
fn few_failures_retried() {
    let attempts = attempts_per_request(1, 20_000);
    assert!((1.1..1.12).contains(&attempts), "{attempts} attempts a request");
}

#[test]
fn minimum_retries_allowed() {
    let budget = RetryBudget::new(RetryPolicy::default());
    let (quiet, busy) = (name("portal-api"), name("sage-core"));
    let now = ClockTime::from_millis(40_000);
    budget.count_request(&quiet, now);
    let allowed = (0..10).filter(|_| budget.try_retry(&quiet, now)).count();
    assert_eq!(allowed, 3);
    // Services have separate budgets, and the window slides.
    assert!(budget.try_retry(&busy, now));
    assert!(!budget.try_retry(&quiet, ClockTime::from_millis(48_000)));
    assert!(budget.try_retry(&quiet, ClockTime::from_millis(51_000)));
}
