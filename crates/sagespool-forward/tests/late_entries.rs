//! Writes of upstreams' entries that the store executes after newer ones.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod support;

use quickcheck::quickcheck;
use sagespool_forward::{UpstreamChange, UpstreamRecord, UpstreamRegistry};
use sagespool_types::{ClockTime, EntrySequence, ServiceName, UpstreamStartTime};
use support::upstream;

/// Longer than the store lists the entry of a silent upstream.
const EXPIRED_MS: u64 = 5_000;
/// Longer than the store takes to execute a write.
const EXECUTED_MS: u64 = 10_000;

fn service() -> ServiceName {
    "plain".parse().unwrap()
}

fn record(sequence: u64, leaving: bool) -> UpstreamRecord {
    UpstreamRecord {
        sequence: EntrySequence(sequence),
        service: service(),
        slots: 4,
        leaving,
        ..upstream("i-1")
    }
}

fn ready(sequence: u64) -> UpstreamRecord {
    record(sequence, false)
}

fn draining(sequence: u64) -> UpstreamRecord {
    record(sequence, true)
}

fn of_run(born: u64, record: UpstreamRecord) -> UpstreamRecord {
    UpstreamRecord { born: Some(UpstreamStartTime(born)), ..record }
}

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(60_000 + millis)
}

fn eligible(registry: &UpstreamRegistry) -> usize {
    registry.ready(&service()).count()
}

/// A registry that has read these writes, one a second.
fn registry_of(writes: &[UpstreamRecord]) -> UpstreamRegistry {
    let mut registry = UpstreamRegistry::default();
    for (second, write) in writes.iter().enumerate() {
        registry.put(write.clone(), at(1000 * second as u64));
    }
    registry
}

/// Takes over the entries that have been listed for long; returns their changes.
fn take_restarted(registry: &mut UpstreamRegistry, now: ClockTime) -> Vec<UpstreamChange> {
    let restarted = registry.take_restarted(now).into_iter();
    restarted.map(|record| registry.restart(record, now).1).collect()
}

/// Guards against new requests to a draining upstream after a heartbeat that was written before.
#[test]
fn late_heartbeat() {
    let mut registry = registry_of(&[ready(1), draining(9)]);
    assert_eq!(registry.put(ready(5), at(4_000)).1, UpstreamChange::Late);
    assert_eq!(eligible(&registry), 0);
    // Neighbours that have read the late write need the next one.
    assert_eq!(registry.put(draining(10), at(5_000)).1, UpstreamChange::Restored);
    assert_eq!(registry.put(draining(11), at(6_000)).1, UpstreamChange::Unchanged);
    assert_eq!(take_restarted(&mut registry, at(60_000)), []);
    assert_eq!(eligible(&registry), 0);
}

/// Guards against the same by a full listing.
#[test]
fn late_in_listing() {
    let mut registry = registry_of(&[ready(1), draining(9)]);
    let changes = registry.replace(vec![ready(5)], at(4_000));
    assert_eq!(changes, [(ready(5).name, UpstreamChange::Late)]);
    assert_eq!(eligible(&registry), 0);
    let changes = registry.replace(vec![draining(10)], at(5_000));
    assert_eq!(changes, [(ready(5).name, UpstreamChange::Restored)]);
}

/// Guards against requests addressed to an earlier run after a heartbeat of that run.
#[test]
fn late_of_earlier_run() {
    for sequence in [2, 400] {
        let mut registry = registry_of(&[of_run(1, ready(300)), of_run(2, draining(3))]);
        let late = of_run(1, ready(sequence));
        assert_eq!(registry.put(late.clone(), at(3_000)).1, UpstreamChange::Late);
        assert!(!registry.is_ready(&late.run()));
        assert_eq!(eligible(&registry), 0);
        assert_eq!(registry.put(of_run(3, ready(1)), at(4_000)).1, UpstreamChange::Restarted);
        assert_eq!(eligible(&registry), 1);
    }
}

/// Guards against an upstream that is eligible again because its late heartbeat stays listed: the start
/// time shows that it hasn't restarted.
#[test]
fn late_of_same_run() {
    let mut registry = registry_of(&[of_run(1, ready(1)), of_run(1, draining(9))]);
    for second in [4, 20] {
        let late = of_run(1, ready(5));
        assert_eq!(registry.put(late, at(1_000 * second)).1, UpstreamChange::Late);
        assert_eq!(take_restarted(&mut registry, at(1_000 * second + EXPIRED_MS)), []);
        assert_eq!(eligible(&registry), 0);
    }
}

/// Guards against a write that brings back the entry of an upstream that has left.
#[test]
fn late_after_removal() {
    for sequence in [5, 10] {
        let mut registry = registry_of(&[ready(1), draining(9)]);
        registry.remove(&ready(1).name, at(3_000));
        assert_eq!(registry.put(ready(sequence), at(4_000)).1, UpstreamChange::Late);
        assert_eq!(eligible(&registry), 0);
        // The store removes it again, since the upstream is silent.
        match sequence {
            5 => drop(registry.replace(Vec::new(), at(7_600))),
            _ => drop(registry.remove(&ready(1).name, at(7_600))),
        }
        assert_eq!(take_restarted(&mut registry, at(4_000 + EXPIRED_MS)), []);
        assert_eq!(eligible(&registry), 0);
    }
}

/// Guards against an upstream that gets no requests after it restarted under its name without a start
/// time, whether its heartbeats change its entry or not.
#[test]
fn restart_without_start_time() {
    for renewals in [0, 4] {
        for removed in [false, true] {
            let mut registry = registry_of(&[ready(1), draining(9)]);
            if removed {
                registry.remove(&ready(1).name, at(3_500));
            }
            for renewal in 0..=renewals {
                let now = at(4_000 + 1_200 * renewal);
                assert_eq!(registry.put(ready(1 + renewal), now).1, UpstreamChange::Late);
            }
            assert_eq!(take_restarted(&mut registry, at(4_100)), []);
            let change = if removed { UpstreamChange::Joined } else { UpstreamChange::Restarted };
            assert_eq!(take_restarted(&mut registry, at(4_000 + EXPIRED_MS)), [change]);
            assert_eq!(eligible(&registry), 1);
            assert_eq!(registry.put(draining(20), at(10_000)).1, UpstreamChange::Leaving);
        }
    }
}

/// Guards against a delay of a restart when no write of the earlier run can be executed any more.
#[test]
fn restart_long_after() {
    let mut registry = registry_of(&[draining(900)]);
    registry.note_leaving(&ready(1).run(), at(100));
    let now = at(EXECUTED_MS);
    assert_eq!(registry.put(ready(1), now).1, UpstreamChange::Restarted);
    assert_eq!(eligible(&registry), 1);
}

/// Guards against an upstream without requests after the store removed its entry although it runs.
#[test]
fn returned_after_removal() {
    let mut registry = registry_of(&[ready(1)]);
    registry.remove(&ready(1).name, at(1_000));
    assert_eq!(registry.put(ready(2), at(1_500)).1, UpstreamChange::Joined);
    assert_eq!(eligible(&registry), 1);
}

quickcheck! {
    /// Guards against requests to an upstream that has reported that it is leaving, whichever of its
    /// earlier heartbeats the store executes late, and however it is read.
    fn never_eligible_after_leaving(delays: Vec<Option<u8>>, listed: Vec<bool>) -> bool {
        let heartbeats = delays.len() as u64;
        let mut executed: Vec<(u64, UpstreamRecord)> = Vec::new();
        for (number, delay) in delays.iter().enumerate() {
            let written_at = 1_200 * number as u64;
            let late = delay.map_or(0, |delay| 1_000 + 5_000 * u64::from(delay) / 255);
            executed.push((written_at + late, ready(1 + number as u64)));
        }
        let left_at = 1_200 * heartbeats;
        for number in 0..8 {
            executed.push((left_at + 1_200 * number, draining(1 + heartbeats + number)));
        }
        executed.sort_by_key(|(time, _)| *time);
        let mut registry = UpstreamRegistry::default();
        let mut has_reported = false;
        for (number, (time, write)) in executed.into_iter().enumerate() {
            has_reported |= write.leaving;
            match listed.get(number % listed.len().max(1)) {
                Some(true) => drop(registry.replace(vec![write], at(time))),
                _ => drop(registry.put(write, at(time))),
            }
            take_restarted(&mut registry, at(time));
            if has_reported && eligible(&registry) > 0 {
                return false;
            }
        }
        true
    }
}
