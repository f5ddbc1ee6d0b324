//! Retries stay a share of the requests.

use sagespool_routing::{RetryBudget, RetryPolicy};
use sagespool_types::{ClockTime, ServiceName};

fn name(text: &str) -> ServiceName {
    text.parse().expect("a valid name")
}

/// Requests come evenly and fail with a chance of so many in ten; attempts made for each.
fn attempts_each(failing: u64, requests: u64) -> f64 {
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

// Every engine fails each request, since all are overloaded. Each failure is tried again three
// times, so four times the load comes to engines that could not bear a quarter of it, and they
// stay down as long as callers keep coming.
#[test]
fn no_storm() {
    let attempts = attempts_each(10, 20_000);
    assert!((1.1..1.2).contains(&attempts), "{attempts} attempts a request");
}

// One request in ten fails. All of those retries are worth it, and none may be denied.
#[test]
fn few_failures_retried() {
    let attempts = attempts_each(1, 20_000);
    assert!((1.1..1.12).contains(&attempts), "{attempts} attempts a request");
}

#[test]
fn quiet_service_retries() {
    let budget = RetryBudget::new(RetryPolicy::default());
    let (quiet, busy) = (name("portal-api"), name("sage-core"));
    let now = ClockTime::from_millis(40_000);
    budget.count_request(&quiet, now);
    let allowed = (0..10).filter(|_| budget.try_retry(&quiet, now)).count();
    assert_eq!(allowed, 3);
    // Another service's budget is its own, and the window moves on.
    assert!(budget.try_retry(&busy, now));
    assert!(!budget.try_retry(&quiet, ClockTime::from_millis(48_000)));
    assert!(budget.try_retry(&quiet, ClockTime::from_millis(51_000)));
}
