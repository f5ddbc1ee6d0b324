//! Entries that disappear around an outage of the store.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use sagespool_forward::{UpstreamChange, UpstreamRecord, UpstreamRegistry};
use sagespool_types::{ClockTime, ServiceName, UpstreamName};
use support::upstream;

const OUTAGE: Duration = Duration::from_secs(4);
const SHORT_OUTAGE: Duration = Duration::from_millis(120);

fn service() -> ServiceName {
    "engines".parse().unwrap()
}

fn record(name: &str) -> UpstreamRecord {
    let host = name.bytes().last().unwrap();
    UpstreamRecord {
        service: service(),
        address: SocketAddr::from(([127, 0, 0, host], 9000)),
        slots: 4,
        ..upstream(name)
    }
}

fn name(name: &str) -> UpstreamName {
    name.parse().unwrap()
}

fn registry() -> UpstreamRegistry {
    let mut registry = UpstreamRegistry::default();
    registry.replace(vec![record("i-1"), record("i-2")], at(0));
    registry
}

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(10_000 + millis)
}

fn ready(registry: &UpstreamRegistry) -> usize {
    registry.ready(&service()).count()
}

/// A watch breaks and the next one succeeds at once; the store was available all the time. A second
/// later an upstream leaves without a prior report, and its entry is removed. It must get no new
/// requests, since it serves for only two more seconds.
#[test]
fn short_outage() {
    let mut registry = registry();
    registry.store_returned(SHORT_OUTAGE, at(0));
    let (_, change) = registry.remove(&name("i-1"), at(1000));
    assert_eq!(change, UpstreamChange::Gone);
    assert_eq!(ready(&registry), 1);
}

/// The store is unavailable for four seconds, no upstream can renew its entry, and all entries have
/// lapsed when it recovers. The upstreams are healthy and rewrite their entries within two seconds.
/// Until then they keep getting requests.
#[test]
fn all_lapsed() {
    let mut registry = registry();
    registry.store_returned(OUTAGE, at(0));
    registry.replace(Vec::new(), at(10));
    assert_eq!(ready(&registry), 2);
    assert!(registry.expire(at(1500)).is_empty());
    registry.put(record("i-1"), at(1500));
    let gone = registry.expire(at(3000));
    assert_eq!(gone, [name("i-2")]);
    assert_eq!(ready(&registry), 1);
}

/// An upstream's entry is removed more than a second after the store recovered. This is no lapse,
/// since lapsed entries disappear before the recovery.
#[test]
fn removed_later() {
    let mut registry = registry();
    registry.store_returned(OUTAGE, at(0));
    let (_, change) = registry.remove(&name("i-1"), at(1200));
    assert_eq!(change, UpstreamChange::Gone);
}

/// An upstream that reported that it is leaving is gone when its entry is, with or without an
/// outage.
#[test]
fn leaving_upstream() {
    let mut registry = registry();
    let mut leaving = record("i-1");
    leaving.leaving = true;
    assert_eq!(registry.put(leaving, at(0)).1, UpstreamChange::Leaving);
    assert_eq!(ready(&registry), 1);
    registry.store_returned(OUTAGE, at(0));
    assert_eq!(registry.remove(&name("i-1"), at(10)).1, UpstreamChange::Gone);
}

/// One instance was partitioned from the store for eight seconds, the upstreams were not. One
/// upstream left meanwhile without a prior report. The instance finds it missing while most others
/// are listed: it has not lapsed but left, and serves for at most two more seconds.
#[test]
fn one_missing() {
    let mut registry = UpstreamRegistry::default();
    let all = ["i-1", "i-2", "i-3", "i-4"].map(record);
    registry.replace(all.to_vec(), at(0));
    registry.store_returned(OUTAGE, at(0));
    let changes = registry.replace(all[1..].to_vec(), at(10));
    assert_eq!(changes, [(name("i-1"), UpstreamChange::Gone)]);
    assert_eq!(registry.remove(&name("i-2"), at(20)).1, UpstreamChange::Gone);
}

/// An upstream's machine lost power. A new run has its address and replies that it isn't the
/// addressed one. The old entry stays listed until it lapses, and a late heartbeat rewrites it. No
/// more requests go to it.
#[test]
fn replaced_run() {
    let mut registry = registry();
    registry.mark_replaced(&name("i-1"));
    assert_eq!(ready(&registry), 1);
    let mut late = record("i-1");
    late.slots = 5;
    registry.put(late, at(1500));
    assert_eq!(ready(&registry), 1);
    registry.put(record("i-3"), at(1500));
    assert_eq!(ready(&registry), 2);
}
