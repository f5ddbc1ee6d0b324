//! Requests of an account that wait for each other's rounds of questions.
//!
//! The store is away, and a gateway that holds a part of the account has gone dark. A large caller sends
//! fifty requests a second; a round lasts until the dark one is given up. With a round for each request
//! the line grows by five seconds each second, and callers wait until their deadline for a refusal
//! that was known at once.

use std::time::Duration;

use sagespool_gateway::FailedRound;
use sagespool_types::{ClockTime, TokenCount};

const PACE: Duration = Duration::from_millis(20);
const ROUND: Duration = Duration::from_millis(120);
const AMOUNT: TokenCount = TokenCount(7_000);
const REQUESTS: u32 = 500;
/// A caller that is told within this time can still be answered elsewhere.
const TOLD: Duration = Duration::from_millis(300);

/// Plays the line; gives the longest wait and the rounds.
fn play(is_known: impl Fn(FailedRound, ClockTime) -> bool) -> (Duration, u32) {
    let start = ClockTime::from_millis(1_000);
    let (mut longest, mut rounds) = (Duration::ZERO, 0);
    let (mut free_at, mut failed) = (start, None);
    for number in 0..REQUESTS {
        let arrived = start.after(PACE * number);
        let turn = arrived.max(free_at);
        if !failed.is_some_and(|failed| is_known(failed, turn)) {
            rounds += 1;
            free_at = turn.after(ROUND);
            failed = Some(FailedRound::noted(AMOUNT, free_at));
        }
        longest = longest.max(turn.max(free_at).since(arrived));
    }
    (longest, rounds)
}

#[test]
fn prompt_word() {
    let (longest, rounds) = play(|failed, now| failed.stands_for(AMOUNT, now));
    assert!(longest <= TOLD, "{longest:?}");
    assert!(rounds > 1, "what was in vain is tried again");
    let (without, _) = play(|_, _| false);
    assert!(without > Duration::from_secs(10), "{without:?}");
}

/// A request for less than was asked for in vain asks for itself.
#[test]
fn smaller_request() {
    let now = ClockTime::from_millis(1_000);
    let failed = FailedRound::noted(AMOUNT, now);
    assert!(failed.stands_for(AMOUNT, now));
    assert!(!failed.stands_for(TokenCount(100), now));
    assert!(!failed.stands_for(AMOUNT, now.after(Duration::from_secs(1))));
}
