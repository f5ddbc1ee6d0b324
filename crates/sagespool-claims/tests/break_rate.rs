//! The weight of a broken response by how common broken responses are.

use sagespool_claims::BreakRate;
use sagespool_types::{ClockTime, ContentDigest, CrashWeight};

const CONTENT: ContentDigest = ContentDigest(1);

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(1_000_000 + millis)
}

/// A rate after `sends` requests in a second, of which the first `breaks` broke, each with a content
/// of its own.
fn rate_after(sends: u64, breaks: u64) -> BreakRate {
    let mut rate = BreakRate::default();
    for number in 0..sends {
        rate.note_send(at(number % 1000));
    }
    for number in 0..breaks {
        rate.note_break(ContentDigest(u128::from(number) + 2), at(999));
    }
    rate
}

#[test]
fn unknown_rate() {
    let weight = rate_after(0, 0).weight_of(CONTENT, at(1000));
    assert!(weight < CrashWeight::FULL);
    let five: CrashWeight = [weight; 5].into_iter().sum();
    assert!(five >= CrashWeight::of_crashes(3), "{weight}");
}

#[test]
fn rare_breaks() {
    assert_eq!(rate_after(2_000, 3).weight_of(CONTENT, at(1000)), CrashWeight::FULL);
}

/// Guards against the quarantine of harmless contents where two in five responses are lost.
#[test]
fn common_breaks() {
    let weight = rate_after(200, 80).weight_of(CONTENT, at(1000));
    assert!(weight < CrashWeight(250), "{weight}");
}

/// Guards against a content that appears harmless because it breaks every response.
#[test]
fn own_breaks() {
    let mut rate = rate_after(200, 0);
    for _ in 0..100 {
        rate.note_break(CONTENT, at(999));
    }
    assert_eq!(rate.weight_of(CONTENT, at(1000)), CrashWeight::FULL);
}

#[test]
fn past_breaks() {
    let mut rate = rate_after(200, 80);
    let fresh = rate_after(0, 0).weight_of(CONTENT, at(0));
    assert_eq!(rate.weight_of(CONTENT, at(31_000)), fresh);
}
