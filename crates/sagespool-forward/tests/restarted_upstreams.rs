//! Upstreams that restart under the same name.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod support;

use sagespool_forward::{
    LoadBalancer, PlacedAttempt, PlacementPolicy, RequestProfile, SendOutcome, UpstreamChange,
    UpstreamRecord, UpstreamRegistry, UpstreamRun,
};
use sagespool_types::{ClockTime, UpstreamStartTime};
use support::{centre, upstream};

const REQUESTS: usize = 5;
/// When an entry is listed for so long that only an upstream that renews it can have written it.
const RENEWED_MS: u64 = 5_000;

fn record(born: u64) -> UpstreamRecord {
    UpstreamRecord { born: Some(UpstreamStartTime(born)), ..upstream("i-1") }
}

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn choose(
    balancer: &mut LoadBalancer,
    record: &UpstreamRecord,
    tried: &[UpstreamRun],
) -> Option<PlacedAttempt> {
    let centre = centre();
    let profile = RequestProfile { parts: &[], engine: None, centre: &centre, repeatable: true };
    balancer.choose(std::iter::once(record), profile, tried, at(10))
}

#[test]
fn restart_noticed() {
    let mut registry = UpstreamRegistry::default();
    assert_eq!(registry.put(record(1), at(10)).1, UpstreamChange::Joined);
    assert_eq!(registry.put(record(1), at(10)).1, UpstreamChange::Unchanged);
    assert_eq!(registry.put(record(2), at(10)).1, UpstreamChange::Restarted);
    // Clocks may step back: a different start time is another run, unless a late write left it.
    assert_eq!(registry.put(record(1), at(10)).1, UpstreamChange::Late);
    let renewed = registry.take_restarted(at(RENEWED_MS));
    assert_eq!(renewed, [record(1)]);
    let changes = renewed.into_iter().map(|record| registry.restart(record, at(RENEWED_MS)).1);
    assert_eq!(changes.collect::<Vec<_>>(), [UpstreamChange::Restarted]);
}

/// Requests of the earlier run never end at the new one. If they were counted there, it would seem
/// loaded for good and get fewer requests than others.
#[test]
fn requests_of_earlier_run() {
    let mut balancer = LoadBalancer::new(PlacementPolicy::default());
    let name = record(1).name;
    let attempts: Vec<PlacedAttempt> =
        (0..REQUESTS).map(|_| choose(&mut balancer, &record(1), &[]).unwrap()).collect();
    assert_eq!(balancer.running(&name) as usize, REQUESTS);
    balancer.forget(&name);
    let fresh = choose(&mut balancer, &record(2), &[]).unwrap();
    for attempt in attempts {
        balancer.finish(attempt, SendOutcome::Broken, at(20));
    }
    assert_eq!(balancer.running(&name), 1);
    // Broken responses of the earlier run don't eject the new one either.
    balancer.finish(fresh, SendOutcome::Answered, at(25));
    assert_eq!(balancer.running(&name), 0);
}

#[test]
fn restarted_run_untried() {
    let mut balancer = LoadBalancer::new(PlacementPolicy::default());
    let tried = [record(1).run()];
    assert!(choose(&mut balancer, &record(1), &tried).is_none());
    assert!(choose(&mut balancer, &record(2), &tried).is_some());
}

#[test]
fn replaced_then_restarted() {
    let mut registry = UpstreamRegistry::default();
    let service = record(1).service;
    registry.put(record(1), at(10));
    registry.mark_replaced(&record(1).name);
    assert_eq!(registry.ready(&service).count(), 0);
    registry.put(record(2), at(10));
    assert_eq!(registry.ready(&service).count(), 1);
}

/// Another writer corrupts the entry of an upstream, which then counts as leaving. An unknown
/// upstream stays unknown.
#[test]
fn unreadable_entry() {
    let mut registry = UpstreamRegistry::default();
    let name = record(1).name;
    assert!(registry.record_for_unreadable(&name).is_none());
    registry.put(record(1), at(10));
    let substitute = registry.record_for_unreadable(&name).unwrap();
    assert_eq!(registry.put(substitute, at(10)).1, UpstreamChange::Leaving);
    assert_eq!(registry.ready(&record(1).service).count(), 0);
    assert!(registry.get(&name).is_some());
    assert_eq!(registry.put(record(1), at(10)).1, UpstreamChange::Joined);
    assert_eq!(registry.ready(&record(1).service).count(), 1);
}
