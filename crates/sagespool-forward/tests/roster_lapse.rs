//! Entries that disappear around an outage of the store.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::net::SocketAddr;
use std::time::Duration;

use sagespool_forward::{UpstreamChange, UpstreamRecord, UpstreamRegistry};
use sagespool_types::{ClockTime, ServiceName, UpstreamName};

const OUTAGE: Duration = Duration::from_secs(4);
const HICCUP: Duration = Duration::from_millis(120);

fn service() -> ServiceName {
    "engines".parse().unwrap()
}

fn record(name: &str) -> UpstreamRecord {
    let host = name.bytes().last().unwrap();
    UpstreamRecord {
        name: name.parse().unwrap(),
        born: None,
        service: service(),
        address: SocketAddr::from(([127, 0, 0, host], 9000)),
        centre: "east".parse().unwrap(),
        slots: 4,
        leaving: false,
        cold_left: Duration::ZERO,
    }
}

fn name(name: &str) -> UpstreamName {
    name.parse().unwrap()
}

fn roster() -> UpstreamRegistry {
    let mut roster = UpstreamRegistry::default();
    roster.replace(vec![record("i-1"), record("i-2")], at(0));
    roster
}

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(10_000 + millis)
}

fn ready(roster: &UpstreamRegistry) -> usize {
    roster.ready(&service()).count()
}

/// A watch is cut off and the next one answers at once; the store was well all the time. A second
/// later an upstream leaves without a word before: its entry is removed. It must get no new work,
/// for its own time to go on serving is two seconds from then.
#[test]
fn short_hiccup() {
    let mut roster = roster();
    roster.store_returned(HICCUP, at(0));
    let (_, change) = roster.remove(&name("i-1"), at(1000));
    assert_eq!(change, UpstreamChange::Gone);
    assert_eq!(ready(&roster), 1);
}

/// The store is away for four seconds, no upstream can renew its entry, and all have lapsed when it
/// is back. They are well, and write themselves again within two seconds; until then requests go to
/// them as before.
#[test]
fn all_lapsed() {
    let mut roster = roster();
    roster.store_returned(OUTAGE, at(0));
    roster.replace(Vec::new(), at(10));
    assert_eq!(ready(&roster), 2);
    assert!(roster.expire(at(1500)).is_empty());
    roster.put(record("i-1"));
    let gone = roster.expire(at(3000));
    assert_eq!(gone, [name("i-2")]);
    assert_eq!(ready(&roster), 1);
}

/// The store is back for a second when an upstream's entry is removed: that isn't a lapse any more,
/// lapsed entries disappeared before the store came back.
#[test]
fn removed_later() {
    let mut roster = roster();
    roster.store_returned(OUTAGE, at(0));
    let (_, change) = roster.remove(&name("i-1"), at(1200));
    assert_eq!(change, UpstreamChange::Gone);
}

/// An upstream that said that it leaves is gone when its entry is, outage or not.
#[test]
fn leaving_one() {
    let mut roster = roster();
    let mut leaving = record("i-1");
    leaving.leaving = true;
    assert_eq!(roster.put(leaving).1, UpstreamChange::Leaving);
    assert_eq!(ready(&roster), 1);
    roster.store_returned(OUTAGE, at(0));
    assert_eq!(roster.remove(&name("i-1"), at(10)).1, UpstreamChange::Gone);
}

/// One instance was cut off from the store for eight seconds, the upstreams weren't. Just then one
/// of them left without a word before. The instance finds it missing among many that are still
/// listed: it has gone, it didn't lapse, and its two seconds of further service are running out.
#[test]
fn one_missing() {
    let mut roster = UpstreamRegistry::default();
    let all = ["i-1", "i-2", "i-3", "i-4"].map(record);
    roster.replace(all.to_vec(), at(0));
    roster.store_returned(OUTAGE, at(0));
    let changes = roster.replace(all[1..].to_vec(), at(10));
    assert_eq!(changes, [(name("i-1"), UpstreamChange::Gone)]);
    assert_eq!(roster.remove(&name("i-2"), at(20)).1, UpstreamChange::Gone);
}

/// An upstream's machine lost power; a new run of it has the address and answers that it isn't the
/// one that is meant. The old entry stands on the list until it lapses, and is written there again
/// by a late heartbeat. Nothing more is sent to it.
#[test]
fn replaced_run() {
    let mut roster = roster();
    roster.mark_replaced(&name("i-1"));
    assert_eq!(ready(&roster), 1);
    let mut late = record("i-1");
    late.slots = 5;
    roster.put(late);
    assert_eq!(ready(&roster), 1);
    roster.put(record("i-3"));
    assert_eq!(ready(&roster), 2);
}
