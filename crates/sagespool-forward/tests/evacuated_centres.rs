//! Eligible upstreams while data centres are evacuated, and when upstreams change addresses.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use sagespool_forward::{AllowedRegions, UpstreamChange, UpstreamRecord, UpstreamRegistry};
use sagespool_types::{CentreName, ClockTime, RegionName, ServiceName};
use support::upstream;

const NOW: ClockTime = ClockTime(1_000_000);

fn centre(name: &str) -> CentreName {
    name.parse().expect("valid name")
}

fn service() -> ServiceName {
    "plain".parse().expect("valid name")
}

fn record(name: &str, at: &str, port: u16) -> UpstreamRecord {
    UpstreamRecord {
        service: service(),
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        centre: centre(at),
        slots: 8,
        ..upstream(name)
    }
}

fn ready(registry: &UpstreamRegistry) -> Vec<String> {
    registry.ready(&service()).map(|record| record.name.to_string()).collect()
}

/// Guards against new requests to an evacuated data centre, also to upstreams that join it later.
#[test]
fn no_new_requests() {
    let mut registry = UpstreamRegistry::default();
    registry.replace(vec![record("i-1", "east", 1), record("i-2", "west", 2)], NOW);
    assert!(registry.evacuate(centre("east")));
    assert!(!registry.evacuate(centre("east")));
    registry.put(record("i-3", "east", 3), NOW);
    assert_eq!(ready(&registry), ["i-2"]);
    assert!(!registry.is_evacuated(&service()));
    // Requests in flight there continue: their connections need the upstream's record.
    assert!(registry.get(&"i-1".parse().expect("valid name")).is_some());
    let readmitted = registry.readmit(&centre("east")).expect("evacuated data centre");
    assert_eq!(readmitted.len(), 2);
    assert_eq!(ready(&registry), ["i-1", "i-2", "i-3"]);
    assert_eq!(registry.readmit(&centre("east")), None);
}

/// Guards against confusing an evacuated service with one that has no upstreams.
#[test]
fn only_evacuated() {
    let mut registry = UpstreamRegistry::default();
    assert!(!registry.is_evacuated(&service()));
    registry.replace(vec![record("i-1", "east", 1)], NOW);
    registry.evacuate(centre("west"));
    assert!(!registry.is_evacuated(&service()));
    registry.evacuate(centre("east"));
    assert!(registry.is_evacuated(&service()));
}

/// Guards against requests to the former upstream of an address for as long as both are listed.
#[test]
fn later_owner() {
    let mut registry = UpstreamRegistry::default();
    registry.replace(vec![record("i-9", "east", 1), record("i-2", "east", 2)], NOW);
    let (_, change) = registry.put(record("i-1", "east", 1), NOW);
    assert_eq!(change, UpstreamChange::Joined);
    assert_eq!(ready(&registry), ["i-1", "i-2"]);
    // Another writer overwrites the former upstream's entry, which doesn't bring it back.
    registry.put(record("i-9", "west", 1), NOW);
    assert_eq!(ready(&registry), ["i-1", "i-2"]);
    // The successor didn't own the address: its entry was the wrong one.
    registry.mark_replaced(&"i-1".parse().expect("valid name"));
    assert_eq!(ready(&registry), ["i-2", "i-9"]);
}

/// Guards against a full listing in which the order of names decides which upstream owns an
/// address.
#[test]
fn listed_together() {
    let mut registry = UpstreamRegistry::default();
    registry.replace(vec![record("i-1", "east", 1), record("i-2", "east", 1)], NOW);
    assert_eq!(ready(&registry), ["i-1", "i-2"]);
    let mut fresh = record("i-1", "east", 1);
    fresh.cold_left = Duration::from_secs(3);
    let mut registry = UpstreamRegistry::default();
    registry.replace(vec![fresh, record("i-2", "east", 1)], NOW);
    assert_eq!(ready(&registry), ["i-1"]);
}

/// Guards against restrictions that exclude every region, and against unknown regions that are
/// admitted.
#[test]
fn allowed_regions() {
    let region = |name: &str| -> RegionName { name.parse().expect("valid name") };
    let unrestricted = AllowedRegions::default();
    assert!(unrestricted.allow(None));
    let restricted = AllowedRegions(vec![region("local"), region("near")]);
    assert!(restricted.allow(Some(&region("near"))));
    assert!(!restricted.allow(Some(&region("far"))));
    assert!(!restricted.allow(None));
}
