//! Which entry is home of a branch.

mod fleet;

use std::collections::{BTreeMap, BTreeSet};

use fleet::{Fleet, address, info};
use sagespool_membership::MembershipPolicy;
use sagespool_messages::{MemberInfo, MemberRole};
use sagespool_types::{BranchName, ClockTime, InstanceCapacity, InstanceName};

fn branches(count: u32) -> Vec<BranchName> {
    let name = |number| format!("branch-{number}").parse().expect("a valid name");
    (0..count).map(name).collect()
}

fn homes(fleet: &Fleet, index: u16) -> BTreeMap<BranchName, InstanceName> {
    let table = fleet.at(index);
    let home = |branch: &BranchName| {
        table.home_of(branch, fleet.now).expect("there are live entries").instance
    };
    branches(400).into_iter().map(|branch| (branch.clone(), home(&branch))).collect()
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::start(5, 6, MembershipPolicy::default());
    fleet.run_until(100, Fleet::is_complete).expect("the fleet assembles");
    fleet
}

#[test]
fn same_everywhere() {
    let fleet = fleet();
    let expected = homes(&fleet, 0);
    for index in 1..11 {
        assert_eq!(homes(&fleet, index), expected, "entries and sidecars agree");
    }
    let mut shares: BTreeMap<_, u32> = BTreeMap::new();
    for home in expected.values() {
        *shares.entry(home).or_default() += 1;
    }
    assert_eq!(shares.len(), 5);
    assert!(shares.values().all(|share| (40..=120).contains(share)), "{shares:?}");
}

/// A home dies, leaves or restarts. Only its own branches may move, since each move requires new
/// grants and the sealing of the old ones.
#[test]
fn few_moves() {
    for change in ["killed", "leaving"] {
        let mut fleet = fleet();
        let before = homes(&fleet, 0);
        let moved = before.values().find(|home| home.as_str() == "entry-2").cloned().unwrap();
        match change {
            "killed" => fleet.kill(2),
            _ => fleet.at(2).update_own(|own| own.leaving = true),
        }
        fleet.run(40);
        for (branch, home) in homes(&fleet, 0) {
            let expected = before[&branch] == home || before[&branch] == moved;
            assert!(expected && home != moved, "{change}: {branch} moved to {home}");
        }
        fleet.kill(2);
        fleet.join(info(2, 2, MemberRole::Entry));
        fleet.run(40);
        assert_eq!(homes(&fleet, 0), before, "{change}: it gets its branches back");
    }
}

#[test]
fn own_region() {
    let mut fleet = fleet();
    let mut other = info(30, 1, MemberRole::Entry);
    other.region = "bc-coast".parse().unwrap();
    fleet.join(other);
    fleet.run(50);
    assert!(homes(&fleet, 0).values().all(|home| home.as_str() != "entry-30"));
    assert!(homes(&fleet, 30).values().all(|home| home.as_str() == "entry-30"));
}

/// What gateways note at a sidecar has to be found by those that start after all gateways were killed.
#[test]
fn sidecars_of_subject() {
    let mut fleet = fleet();
    let subjects: Vec<String> = (0..50).map(|number| format!("stream-{number}")).collect();
    let first = |fleet: &Fleet, index, subject: &str| {
        let found = fleet.at(index).sidecars_of_subject(subject, 2, fleet.now);
        assert!(found.len() == 2 && found.iter().all(|info| info.role == MemberRole::Sidecar));
        found[0].instance.clone()
    };
    let before: Vec<InstanceName> =
        subjects.iter().map(|subject| first(&fleet, 0, subject)).collect();
    assert!(before.iter().collect::<BTreeSet<_>>().len() > 1);
    for entry in 0..5 {
        fleet.kill(entry);
    }
    for entry in 0..5 {
        fleet.join(info(entry, 2, MemberRole::Entry));
    }
    fleet.run(60);
    for (subject, noted) in subjects.iter().zip(&before) {
        assert_eq!(first(&fleet, 4, subject), *noted);
    }
}

/// Requests to a home fail while its heartbeats still count as recent. Two consecutive failures
/// switch to the next home in order, well before the silence timeout.
#[test]
fn unanswered_home() {
    let fleet = fleet();
    let branch = &branches(1)[0];
    let order = fleet.at(9).homes_of(branch, 5, fleet.now);
    assert_eq!(fleet.at(9).home_of(branch, fleet.now).as_ref(), order.first());
    for _ in 0..2 {
        fleet.at(9).record_call_failure(order[0].address, fleet.now);
    }
    assert_eq!(fleet.at(9).home_of(branch, fleet.now).as_ref(), order.get(1));
    assert!(fleet.at(9).find(order[0].incarnation).is_some());
    assert_ne!(order[0].address, address(9));
}

/// A home dies and the next in order takes its branches. It must not assume that it has their
/// earlier keys, else a caller whose answer was cut off gets a second run. The same holds for a
/// home that the others took for dead for a while and that continues afterwards.
#[test]
fn home_since_takeover() {
    let mut fleet = fleet();
    let started = ClockTime::from_millis(1200);
    let branch = &branches(1)[0];
    let order: Vec<u16> = fleet.at(0).homes_of(branch, 5, fleet.now).iter().map(index).collect();
    let since = |fleet: &Fleet, index| fleet.at(index).home_since(branch, fleet.now);
    assert!(since(&fleet, order[0]).is_some_and(|since| since < started));
    assert_eq!(since(&fleet, order[1]), None, "not home");
    fleet.paused.insert(address(order[0]));
    let paused_at = fleet.now;
    fleet.run(60);
    assert!(since(&fleet, order[1]).is_some_and(|since| since > paused_at));
    assert!(fleet.at(order[2]).exclusive_since(fleet.now).is_some_and(|since| since > paused_at));
    let resumed_at = fleet.now;
    fleet.paused.clear();
    fleet.run(60);
    assert!(since(&fleet, order[0]).is_some_and(|since| since >= resumed_at));
    // An entry later in the order was never home of this branch.
    fleet.kill(order[4]);
    let before = since(&fleet, order[0]);
    fleet.run(60);
    assert_eq!(since(&fleet, order[0]), before);
    assert!(fleet.at(order[0]).exclusive_since(fleet.now) > before, "but it may have been");
    let mut other = info(30, 1, MemberRole::Entry);
    other.region = "bc-coast".parse().expect("a valid name");
    fleet.join(other);
    fleet.run(60);
    assert_eq!(
        fleet.at(order[0]).exclusive_since(fleet.now),
        None,
        "another region has its own homes"
    );
}

fn index(info: &MemberInfo) -> u16 {
    (info.incarnation.0 % 1_000_000) as u16
}

/// Guards against homes that can't answer: in a fleet of many small machines, each is home of as many
/// branches as a large one. With too few large ones, the loss of one would concern many branches.
#[test]
fn strong_homes() {
    for (strong, only_strong) in [(34, true), (29, false)] {
        let mut fleet = Fleet::start(0, 0, MembershipPolicy::default());
        for index in 0..61 {
            let mut entry = info(index, 1, MemberRole::Entry);
            entry.capacity = InstanceCapacity(if index < strong { 10 } else { 5 });
            fleet.join(entry);
        }
        fleet.run_until(200, Fleet::is_complete).expect("the fleet assembles");
        let is_strong = |home: &InstanceName| {
            (0..strong).any(|index| home.as_str() == format!("entry-{index}"))
        };
        let homes = homes(&fleet, 5);
        assert_eq!(homes.values().all(is_strong), only_strong, "{strong} strong entries");
        let expected = if only_strong { usize::from(strong) } else { 61 };
        assert_eq!(fleet.at(5).home_count(), expected);
    }
}
