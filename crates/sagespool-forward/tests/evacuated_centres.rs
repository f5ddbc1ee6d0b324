//! Where work may go while operators keep data centres free of it, and when upstreams change places.

use std::net::SocketAddr;
use std::time::Duration;

use sagespool_forward::{AllowedRegions, UpstreamChange, UpstreamRecord, UpstreamRegistry};
use sagespool_types::{CentreName, ClockTime, RegionName, ServiceName};

const NOW: ClockTime = ClockTime(1_000_000);

fn centre(name: &str) -> CentreName {
    name.parse().expect("a name")
}

fn service() -> ServiceName {
    "plain".parse().expect("a name")
}

fn record(name: &str, at: &str, port: u16) -> UpstreamRecord {
    UpstreamRecord {
        name: name.parse().expect("a name"),
        born: None,
        service: service(),
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        centre: centre(at),
        slots: 8,
        leaving: false,
        cold_left: Duration::ZERO,
    }
}

fn ready(roster: &UpstreamRegistry) -> Vec<String> {
    roster.ready(&service()).map(|record| record.name.to_string()).collect()
}

/// Guards against work for an evacuated data centre, also by upstreams that come to it later.
#[test]
fn nothing_new() {
    let mut roster = UpstreamRegistry::default();
    roster.replace(vec![record("i-1", "east", 1), record("i-2", "west", 2)], NOW);
    assert!(roster.evacuate(centre("east")));
    assert!(!roster.evacuate(centre("east")));
    roster.put(record("i-3", "east", 3));
    assert_eq!(ready(&roster), ["i-2"]);
    assert!(!roster.is_evacuated(&service()));
    // What runs there is left to end: its connections need the upstream's entry.
    assert!(roster.get(&"i-1".parse().expect("a name")).is_some());
    let back = roster.readmit(&centre("east")).expect("it was evacuated");
    assert_eq!(back.len(), 2);
    assert_eq!(ready(&roster), ["i-1", "i-2", "i-3"]);
    assert_eq!(roster.readmit(&centre("east")), None);
}

/// Guards against a service that is told apart wrongly from one that has no upstream at all.
#[test]
fn nowhere_left() {
    let mut roster = UpstreamRegistry::default();
    assert!(!roster.is_evacuated(&service()));
    roster.replace(vec![record("i-1", "east", 1)], NOW);
    roster.evacuate(centre("west"));
    assert!(!roster.is_evacuated(&service()));
    roster.evacuate(centre("east"));
    assert!(roster.is_evacuated(&service()));
}

/// Guards against requests that are sent to the former upstream of an address for as long as the list
/// shows both.
#[test]
fn later_owner() {
    let mut roster = UpstreamRegistry::default();
    roster.replace(vec![record("i-9", "east", 1), record("i-2", "east", 2)], NOW);
    let (_, change) = roster.put(record("i-1", "east", 1));
    assert_eq!(change, UpstreamChange::Joined);
    assert_eq!(ready(&roster), ["i-1", "i-2"]);
    // The former one's entry is written over by somebody, which doesn't bring it back.
    roster.put(record("i-9", "west", 1));
    assert_eq!(ready(&roster), ["i-1", "i-2"]);
    // The successor was sent away there: its entry was the false one.
    roster.mark_replaced(&"i-1".parse().expect("a name"));
    assert_eq!(ready(&roster), ["i-2", "i-9"]);
}

/// Guards against a whole listing in which the order of names decides who owns an address.
#[test]
fn listed_together() {
    let mut roster = UpstreamRegistry::default();
    roster.replace(vec![record("i-1", "east", 1), record("i-2", "east", 1)], NOW);
    assert_eq!(ready(&roster), ["i-1", "i-2"]);
    let mut fresh = record("i-1", "east", 1);
    fresh.cold_left = Duration::from_secs(3);
    let mut roster = UpstreamRegistry::default();
    roster.replace(vec![fresh, record("i-2", "east", 1)], NOW);
    assert_eq!(ready(&roster), ["i-1"]);
}

/// Guards against homes that shut out everybody, and against regions that nobody knows.
#[test]
fn home_regions() {
    let region = |name: &str| -> RegionName { name.parse().expect("a name") };
    let anywhere = AllowedRegions::default();
    assert!(anywhere.allow(None));
    let homes = AllowedRegions(vec![region("local"), region("near")]);
    assert!(homes.allow(Some(&region("near"))));
    assert!(!homes.allow(Some(&region("far"))));
    assert!(!homes.allow(None));
}
