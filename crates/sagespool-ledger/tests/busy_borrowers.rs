//! Loans between instances of an account whose callers are bound to one of them.
//!
//! The load is that of a large fleet in production: 68 instances share an account, one is its home,
//! and a large caller sends seventy requests per second to another. With a loan for each request
//! the two instances did little else, loans came late, and the borrower wrote the record itself,
//! once for each request.

use std::time::Duration;

use sagespool_ledger::{GrantPolicy, PrepaidBalance, PrepaidRecord};
use sagespool_types::{ClockTime, ConfigVersion, IncarnationId, InstanceName, TokenCount};

const TOTAL: TokenCount = TokenCount(16_000_000);
const REQUEST: TokenCount = TokenCount(7_000);
const POLICY: GrantPolicy =
    GrantPolicy { ahead: Duration::from_secs(3), share: 0.2, idle: 0.04, instances: 1 };
const HOME: IncarnationId = IncarnationId(7);
const START: ClockTime = ClockTime(1_000_000);

/// The outcome of requests at one instance that borrows from the home.
#[derive(Debug, Default)]
struct LoanTally {
    loans: usize,
    served: u64,
    /// The largest unused amount at the borrower.
    most_idle: TokenCount,
}

/// Sends requests at an interval until the total is spent or `most` were served.
fn run(interval: Duration, most: u64) -> LoanTally {
    let instance: InstanceName = "gateway-1".parse().expect("a name");
    let mut record = PrepaidRecord::default();
    record.set_total(ConfigVersion(1), TOTAL);
    let (mut home, mut balance) = (PrepaidBalance::default(), PrepaidBalance::default());
    let mut lend = |wanted: TokenCount, now: ClockTime| {
        home.note_demand(wanted, now);
        if wanted > home.free() {
            let present = record.granted(HOME);
            let missing = wanted.saturating_sub(home.free());
            if let Some(granted) = home.grant_to_request(&record, present, missing, POLICY, now) {
                record.set_granted(HOME, &instance, granted);
                home.set_acknowledged(granted);
            }
        }
        home.lend(wanted)
    };
    let mut tally = LoanTally::default();
    let mut now = START;
    while tally.served < most {
        if !balance.reserve(REQUEST, now) {
            for ahead in [balance.loan_ahead(POLICY, TOTAL, REQUEST, now), TokenCount::ZERO] {
                let missing = REQUEST.saturating_sub(balance.free());
                tally.loans += 1;
                balance.borrow(lend(missing + ahead, now));
                if balance.free() >= REQUEST {
                    break;
                }
            }
            if !balance.reserve(REQUEST, now) {
                return tally;
            }
        }
        balance.settle(REQUEST, REQUEST);
        tally.served += 1;
        tally.most_idle = tally.most_idle.max(balance.free());
        now = now.after(interval);
    }
    tally
}

/// A large caller's requests need one loan for each few dozen, and what is borrowed for expected
/// use stays within a hundredth of the total: a killed borrower loses no more than that.
#[test]
fn bound_callers() {
    let tally = run(Duration::from_millis(14), 1_000);
    assert_eq!(tally.served, 1_000);
    assert!(tally.loans <= 1_000 / 10, "{tally:?}");
    assert!(tally.most_idle <= TokenCount(TOTAL.0 / 100), "{tally:?}");
}

/// An account with an occasional request at each of many instances borrows nothing for expected
/// use: otherwise the unused amounts at all of them would be a good part of its total.
#[test]
fn rare_callers() {
    let tally = run(Duration::from_secs(2), 100);
    assert!(tally.most_idle < REQUEST, "{tally:?}");
}

/// The large caller continues until the total is spent: as many requests are served as it covers.
#[test]
fn whole_total() {
    let tally = run(Duration::from_millis(14), u64::MAX);
    assert_eq!(tally.served, TOTAL.0 / REQUEST.0, "{tally:?}");
}

/// The store is unavailable from the second second of traffic on. The supply taken by then lasts as
/// long as intended, although little of the use has been observed.
#[test]
fn early_outage() {
    let instance: InstanceName = "gateway-1".parse().expect("a name");
    let policy = GrantPolicy { idle: 1.0, ..POLICY };
    let mut record = PrepaidRecord::default();
    record.set_total(ConfigVersion(1), TOTAL);
    let mut balance = PrepaidBalance::default();
    let interval = Duration::from_millis(50);
    let mut now = START;
    let mut served_after = 0;
    loop {
        let is_away = now.since(START) >= Duration::from_millis(1500);
        if !is_away && (balance.free() < REQUEST || balance.runs_low(policy, TOTAL, now)) {
            let present = record.granted(HOME);
            let missing = REQUEST.saturating_sub(balance.free());
            let granted = balance.grant_to_request(&record, present, missing, policy, now);
            let granted = granted.expect("the book covers it");
            record.set_granted(HOME, &instance, granted);
            balance.set_acknowledged(granted);
        }
        if !balance.reserve(REQUEST, now) {
            break;
        }
        balance.settle(REQUEST, REQUEST);
        served_after += u32::from(is_away);
        now = now.after(interval);
    }
    // Supplies are refilled when half of them is spent.
    let lasted = interval * served_after;
    assert!(lasted >= policy.ahead / 2, "{lasted:?}");
}
