//! Callers that go on asking for a spent budget.
//!
//! The load is that of the users' larger sites: accounts that are spent at the middle of a day, whose
//! callers send some twenty requests a second at every instance until its end.

use std::time::Duration;

use sagespool_gateway::KnownShortage;
use sagespool_types::{ClockTime, ConfigVersion, TokenCount};

const VERSION: ConfigVersion = ConfigVersion(4);
const ROOM: TokenCount = TokenCount(50);
const AMOUNT: TokenCount = TokenCount(900);
const PACE: Duration = Duration::from_millis(50);
const SPENT_FOR: Duration = Duration::from_secs(25);

/// Readings of a book that stays as it is, while requests come.
fn readings() -> usize {
    let start = ClockTime::from_millis(1_000);
    let (mut known, mut readings, mut now) = (None, 0, start);
    while now.since(start) < SPENT_FOR {
        let is_known =
            known.is_some_and(|known: KnownShortage| known.covers_less_than(AMOUNT, VERSION, now));
        if !is_known {
            readings += 1;
            known = Some(KnownShortage::noted(known, ROOM, VERSION, now));
        }
        now = now.after(PACE);
    }
    readings
}

/// Asked again every 300 ms, a spent book is read 84 times in 25 s by one instance.
#[test]
fn few_readings() {
    assert!(readings() <= 25, "{} readings", readings());
}

#[test]
fn fuller_book() {
    let now = ClockTime::from_millis(1_000);
    let mut known = KnownShortage::noted(None, ROOM, VERSION, now);
    for _ in 0..5 {
        known = KnownShortage::noted(Some(known), ROOM, VERSION, now);
    }
    assert!(known.is_fresh(now.after(Duration::from_secs(1))));
    // Money has come back, and may go on coming.
    let fuller = KnownShortage::noted(Some(known), ROOM + ROOM, VERSION, now);
    assert!(!fuller.is_fresh(now.after(Duration::from_millis(300))));
    assert!(!fuller.covers_less_than(ROOM, VERSION, now));
}

/// A raise of the total is in force: what was known of the smaller one says nothing.
#[test]
fn raised_total() {
    let now = ClockTime::from_millis(1_000);
    let known = KnownShortage::noted(None, ROOM, VERSION, now);
    assert!(known.covers_less_than(AMOUNT, VERSION, now));
    assert!(!known.covers_less_than(AMOUNT, ConfigVersion(5), now));
}
