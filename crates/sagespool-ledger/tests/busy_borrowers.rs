//! Loans between instances of an account whose callers are bound to one of them.
//!
//! The load is that of the users' large fleet: 68 instances share an account, one is its home, and a
//! large caller sends seventy requests a second to another. With a loan for each request the two
//! instances did little else, loans came late, and the borrower wrote the book itself, once a request.

use std::time::Duration;

use sagespool_ledger::{GrantPolicy, PrepaidBalance, PrepaidRecord};
use sagespool_types::{ClockTime, ConfigVersion, IncarnationId, InstanceName, TokenCount};

const TOTAL: TokenCount = TokenCount(16_000_000);
const REQUEST: TokenCount = TokenCount(7_000);
const TERMS: GrantPolicy =
    GrantPolicy { ahead: Duration::from_secs(3), share: 0.2, idle: 0.04, instances: 1 };
const HOME: IncarnationId = IncarnationId(7);
const START: ClockTime = ClockTime(1_000_000);

/// What came of requests at one instance that borrows of the home.
#[derive(Debug, Default)]
struct BorrowedUse {
    loans: usize,
    served: u64,
    /// The most that lay idle at the borrower.
    most_idle: TokenCount,
}

/// Plays requests in a distance until the total is spent, or so many were served.
fn play(pace: Duration, most: u64) -> BorrowedUse {
    let instance: InstanceName = "gateway-1".parse().expect("a name");
    let mut book = PrepaidRecord::default();
    book.set_total(ConfigVersion(1), TOTAL);
    let (mut home, mut purse) = (PrepaidBalance::default(), PrepaidBalance::default());
    let mut lend = |wanted: TokenCount, now: ClockTime| {
        home.note_demand(wanted, now);
        if wanted > home.free() {
            let present = book.granted(HOME);
            let missing = wanted.less(home.free());
            if let Some(granted) = home.grant_to_request(&book, present, missing, TERMS, now) {
                book.set_granted(HOME, &instance, granted);
                home.set_acknowledged(granted);
            }
        }
        home.lend(wanted)
    };
    let mut seen = BorrowedUse::default();
    let mut now = START;
    while seen.served < most {
        if !purse.reserve(REQUEST, now) {
            for ahead in [purse.loan_ahead(TERMS, TOTAL, REQUEST, now), TokenCount::ZERO] {
                let missing = REQUEST.less(purse.free());
                seen.loans += 1;
                purse.borrow(lend(missing + ahead, now));
                if purse.free() >= REQUEST {
                    break;
                }
            }
            if !purse.reserve(REQUEST, now) {
                return seen;
            }
        }
        purse.settle(REQUEST, REQUEST);
        seen.served += 1;
        seen.most_idle = seen.most_idle.max(purse.free());
        now = now.after(pace);
    }
    seen
}

/// A large caller's requests need a loan each few dozen, and what is borrowed ahead stays within a
/// hundredth of the total: a killed borrower gives up no more.
#[test]
fn bound_callers() {
    let seen = play(Duration::from_millis(14), 1_000);
    assert_eq!(seen.served, 1_000);
    assert!(seen.loans <= 1_000 / 10, "{seen:?}");
    assert!(seen.most_idle <= TokenCount(TOTAL.0 / 100), "{seen:?}");
}

/// An account with a request now and then at each of many instances: nothing is borrowed ahead, or the
/// rests in all of them would be a good part of its total.
#[test]
fn rare_callers() {
    let seen = play(Duration::from_secs(2), 100);
    assert!(seen.most_idle < REQUEST, "{seen:?}");
}

/// The large caller goes on until the total is spent: it serves as many requests as it covers.
#[test]
fn whole_total() {
    let seen = play(Duration::from_millis(14), u64::MAX);
    assert_eq!(seen.served, TOTAL.0 / REQUEST.0, "{seen:?}");
}

/// The store is out of reach from the second second of traffic on. What was supplied by then lasts as
/// long as supplies are meant to, though little of the use was seen yet.
#[test]
fn early_outage() {
    let instance: InstanceName = "gateway-1".parse().expect("a name");
    let terms = GrantPolicy { idle: 1.0, ..TERMS };
    let mut book = PrepaidRecord::default();
    book.set_total(ConfigVersion(1), TOTAL);
    let mut purse = PrepaidBalance::default();
    let pace = Duration::from_millis(50);
    let mut now = START;
    let mut served_after = 0;
    loop {
        let is_away = now.since(START) >= Duration::from_millis(1500);
        if !is_away && (purse.free() < REQUEST || purse.runs_low(terms, TOTAL, now)) {
            let present = book.granted(HOME);
            let missing = REQUEST.less(purse.free());
            let granted = purse.grant_to_request(&book, present, missing, terms, now);
            let granted = granted.expect("the book covers it");
            book.set_granted(HOME, &instance, granted);
            purse.set_acknowledged(granted);
        }
        if !purse.reserve(REQUEST, now) {
            break;
        }
        purse.settle(REQUEST, REQUEST);
        served_after += u32::from(is_away);
        now = now.after(pace);
    }
    // Supplies are filled up again when half of them is spent.
    let lasted = pace * served_after;
    assert!(lasted >= terms.ahead / 2, "{lasted:?}");
}
