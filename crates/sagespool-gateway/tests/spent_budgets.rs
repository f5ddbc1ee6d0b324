//! Requests against a spent budget must not read its record too often.
//!
//! Load of a large deployment: accounts that are spent in the middle of the day, while their
//! callers continue to send 20 requests/s to every instance until its end.

use std::time::Duration;

use sagespool_gateway::CachedShortage;
use sagespool_types::{ClockTime, ConfigVersion, TokenCount};

const VERSION: ConfigVersion = ConfigVersion(4);
const ROOM: TokenCount = TokenCount(50);
const AMOUNT: TokenCount = TokenCount(900);
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
const SPENT_FOR: Duration = Duration::from_secs(25);

/// Counts the reads of an unchanged record while requests arrive.
fn count_reads() -> usize {
    let start = ClockTime::from_millis(1_000);
    let (mut known, mut reads, mut now) = (None, 0, start);
    while now.since(start) < SPENT_FOR {
        let is_known =
            known.is_some_and(|known: CachedShortage| known.excludes(AMOUNT, VERSION, now));
        if !is_known {
            reads += 1;
            known = Some(CachedShortage::updated(known, ROOM, VERSION, now));
        }
        now = now.after(REQUEST_INTERVAL);
    }
    reads
}

/// With a fixed interval of 300 ms, one instance reads a spent record 84 times in 25 s.
#[test]
fn repeated_shortage_is_read_seldom() {
    assert!(count_reads() <= 25, "{} reads", count_reads());
}

#[test]
fn larger_room_restarts_the_interval() {
    let now = ClockTime::from_millis(1_000);
    let mut known = CachedShortage::updated(None, ROOM, VERSION, now);
    for _ in 0..5 {
        known = CachedShortage::updated(Some(known), ROOM, VERSION, now);
    }
    assert!(known.is_fresh(now.after(Duration::from_secs(1))));
    // Tokens were returned, and more may follow.
    let fuller = CachedShortage::updated(Some(known), ROOM + ROOM, VERSION, now);
    assert!(!fuller.is_fresh(now.after(Duration::from_millis(300))));
    assert!(!fuller.excludes(ROOM, VERSION, now));
}

/// A shortage under an earlier configuration must not apply after the total is raised.
#[test]
fn raised_total_ends_the_shortage() {
    let now = ClockTime::from_millis(1_000);
    let known = CachedShortage::updated(None, ROOM, VERSION, now);
    assert!(known.excludes(AMOUNT, VERSION, now));
    assert!(!known.excludes(AMOUNT, ConfigVersion(5), now));
}
