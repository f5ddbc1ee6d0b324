//! Requests of an account that wait for each other's loan rounds.
//!
//! The store is unreachable, and a gateway with a grant of the account doesn't reply, so each round
//! lasts until its timeout. With one round per request at 50 requests/s, the queue grows by five
//! seconds each second, and callers wait until their deadlines for a refusal that is known already.

use std::time::Duration;

use sagespool_gateway::FailedLoanRound;
use sagespool_types::{ClockTime, TokenCount};

const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
const ROUND_TIME: Duration = Duration::from_millis(120);
const AMOUNT: TokenCount = TokenCount(7_000);
const REQUESTS: u32 = 500;
/// A caller that is refused within this time can still retry at another instance.
const MAX_WAIT: Duration = Duration::from_millis(300);

/// Simulates the queue; returns the longest wait and the number of rounds.
fn simulate(is_known: impl Fn(FailedLoanRound, ClockTime) -> bool) -> (Duration, u32) {
    let start = ClockTime::from_millis(1_000);
    let (mut longest, mut rounds) = (Duration::ZERO, 0);
    let (mut free_at, mut failed) = (start, None);
    for number in 0..REQUESTS {
        let arrived = start.after(REQUEST_INTERVAL * number);
        let turn = arrived.max(free_at);
        if !failed.is_some_and(|failed| is_known(failed, turn)) {
            rounds += 1;
            free_at = turn.after(ROUND_TIME);
            failed = Some(FailedLoanRound::new(AMOUNT, free_at));
        }
        longest = longest.max(turn.max(free_at).since(arrived));
    }
    (longest, rounds)
}

#[test]
fn waiting_requests_use_the_failed_round() {
    let (longest, rounds) = simulate(|failed, now| failed.applies_to(AMOUNT, now));
    assert!(longest <= MAX_WAIT, "{longest:?}");
    assert!(rounds > 1, "a failed round must be repeated later");
    let (without, _) = simulate(|_, _| false);
    assert!(without > Duration::from_secs(10), "{without:?}");
}

/// A request for a smaller amount than the failed round, or a later one, starts its own round.
#[test]
fn smaller_or_later_request_starts_a_round() {
    let now = ClockTime::from_millis(1_000);
    let failed = FailedLoanRound::new(AMOUNT, now);
    assert!(failed.applies_to(AMOUNT, now));
    assert!(!failed.applies_to(TokenCount(100), now));
    assert!(!failed.applies_to(AMOUNT, now.after(Duration::from_secs(1))));
}
