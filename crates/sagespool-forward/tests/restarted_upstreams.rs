//! Upstreams that start again under the name that they had.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::time::Duration;

use sagespool_forward::{
    LoadBalancer, PlacedAttempt, PlacementPolicy, RequestProfile, SendOutcome, UpstreamChange,
    UpstreamRecord, UpstreamRegistry, UpstreamRun,
};
use sagespool_types::{CentreName, ClockTime, UpstreamBirth};

const REQUESTS: usize = 5;

fn centre() -> CentreName {
    "east".parse().unwrap()
}

fn record(born: u64) -> UpstreamRecord {
    UpstreamRecord {
        name: "i-1".parse().unwrap(),
        born: Some(UpstreamBirth(born)),
        service: "plain".parse().unwrap(),
        address: "127.0.0.1:9000".parse().unwrap(),
        centre: centre(),
        slots: 6,
        leaving: false,
        cold_left: Duration::ZERO,
    }
}

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn choose(
    board: &mut LoadBalancer,
    record: &UpstreamRecord,
    tried: &[UpstreamRun],
) -> Option<PlacedAttempt> {
    let centre = centre();
    let shape = RequestProfile { parts: &[], engine: None, centre: &centre, repeatable: true };
    board.choose(std::iter::once(record), shape, tried, at(10))
}

#[test]
fn restart_noticed() {
    let mut roster = UpstreamRegistry::default();
    assert_eq!(roster.put(record(1)).1, UpstreamChange::Joined);
    assert_eq!(roster.put(record(1)).1, UpstreamChange::Unchanged);
    assert_eq!(roster.put(record(2)).1, UpstreamChange::Restarted);
    // Clocks step back: another time is another run, whichever is later.
    assert_eq!(roster.put(record(1)).1, UpstreamChange::Restarted);
}

/// A new run is counted busy with requests of the run before, which never end there: it seems full
/// for the rest of the day, and gets less work than others.
#[test]
fn requests_of_before() {
    let mut board = LoadBalancer::new(PlacementPolicy::default());
    let name = record(1).name;
    let tickets: Vec<PlacedAttempt> =
        (0..REQUESTS).map(|_| choose(&mut board, &record(1), &[]).unwrap()).collect();
    assert_eq!(board.running(&name) as usize, REQUESTS);
    board.forget(&name);
    let fresh = choose(&mut board, &record(2), &[]).unwrap();
    for ticket in tickets {
        board.finish(ticket, SendOutcome::Broken, at(20));
    }
    assert_eq!(board.running(&name), 1);
    // Nor do the broken answers of the run before eject the new one.
    board.finish(fresh, SendOutcome::Answered, at(25));
    assert_eq!(board.running(&name), 0);
}

#[test]
fn tried_before() {
    let mut board = LoadBalancer::new(PlacementPolicy::default());
    let tried = [record(1).run()];
    assert!(choose(&mut board, &record(1), &tried).is_none());
    assert!(choose(&mut board, &record(2), &tried).is_some());
}

#[test]
fn replaced_then_back() {
    let mut roster = UpstreamRegistry::default();
    let service = record(1).service;
    roster.put(record(1));
    roster.mark_replaced(&record(1).name);
    assert_eq!(roster.ready(&service).count(), 0);
    roster.put(record(2));
    assert_eq!(roster.ready(&service).count(), 1);
}

/// Another writer spoils the entry of an upstream: it stands for one that leaves. Of an upstream
/// that was never known it tells nothing.
#[test]
fn unreadable_entry() {
    let mut roster = UpstreamRegistry::default();
    let name = record(1).name;
    assert!(roster.record_for_unreadable(&name).is_none());
    roster.put(record(1));
    let stands_for = roster.record_for_unreadable(&name).unwrap();
    assert_eq!(roster.put(stands_for).1, UpstreamChange::Leaving);
    assert_eq!(roster.ready(&record(1).service).count(), 0);
    assert!(roster.get(&name).is_some());
    assert_eq!(roster.put(record(1)).1, UpstreamChange::Joined);
    assert_eq!(roster.ready(&record(1).service).count(), 1);
}
