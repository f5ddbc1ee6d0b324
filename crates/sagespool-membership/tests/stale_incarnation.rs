//! Restarted processes and stale information about their earlier runs.

mod fleet;

use fleet::{Fleet, address, info};
use quickcheck::{TestResult, quickcheck};
use sagespool_membership::{MemberTable, MembershipPolicy, initial_heartbeat_number};
use sagespool_messages::{Heartbeat, MemberInfo, MemberRole};
use sagespool_types::{ClockTime, StoreRevision, WallTime};

const NOW: ClockTime = ClockTime::from_millis(1000);

fn table() -> MemberTable {
    MemberTable::new(info(0, 1, MemberRole::Entry), MembershipPolicy::default(), 7)
}

fn gossip(others: Vec<MemberInfo>) -> Heartbeat {
    Heartbeat {
        from: info(1, 1, MemberRole::Entry),
        others,
        view_digest: 0,
        suspects: Vec::new(),
        slices: Vec::new(),
    }
}

/// An entry restarts, and a peer that was cut off still gossips the old run, with a higher number
/// than the new run has. The old run must stay gone, else requests are sent to a process that
/// doesn't exist any more, and the new run is taken for it.
#[test]
fn late_gossip() {
    let run = |started_at: Option<u64>, number| {
        let mut run = info(5, number, MemberRole::Sidecar);
        run.started_at = started_at.map(StoreRevision);
        run.number = number;
        run
    };
    // Revisions and numbers of the two runs; the second one must win in either order of arrival.
    let cases = [
        ("by the store's revision", run(Some(10), 90), run(Some(20), 50)),
        ("one started while the store was away", run(None, 50), run(Some(20), 90)),
        ("nothing written in between", run(Some(10), 50), run(Some(10), 90)),
        ("no revision at all", run(None, 50), run(None, 90)),
    ];
    for (case, old, new) in cases {
        for order in [[&old, &new], [&new, &old]] {
            let table = table();
            for info in order {
                table.handle_heartbeat(&gossip(vec![info.clone()]), NOW);
            }
            let mut later = old.clone();
            later.number = old.number + 3;
            table.handle_heartbeat(&gossip(vec![later]), NOW);
            assert!(table.is_gone(old.incarnation, NOW), "{case}: the old run is gone");
            assert!(!table.is_gone(new.incarnation, NOW), "{case}: the new run is there");
            let sidecars = table.live(MemberRole::Sidecar, NOW);
            assert_eq!(sidecars, std::slice::from_ref(&new), "{case}: one run of the instance");
        }
    }
}

/// A sidecar dies, and a minute later a peer that was paused gossips it as alive. If this were
/// accepted, each pause of any member would bring dead members back into routing.
#[test]
fn dead_stays_dead() {
    let mut fleet = Fleet::start(3, 5, MembershipPolicy::default());
    fleet.run(100);
    let dead = fleet.at(7).own();
    fleet.paused.insert(address(1));
    fleet.kill(7);
    fleet.run(100);
    assert!(fleet.at(0).is_gone(dead.incarnation, fleet.now));
    fleet.paused.clear();
    for _ in 0..100 {
        fleet.step();
        assert!(fleet.at(0).is_gone(dead.incarnation, fleet.now));
    }
    assert!(fleet.at(1).is_gone(dead.incarnation, fleet.now), "the paused member learns it too");
}

/// An instance's clock was set back and the store is unavailable, so neither shows that the
/// restarted entry is the newer run; its address is a different one, too. The dead run looks newer
/// to all members, so the entry has to raise its number above it, or it never becomes a home.
#[test]
fn clock_set_back() {
    for down_ticks in [2, 60] {
        let mut fleet = Fleet::start(4, 0, MembershipPolicy::default());
        let mut old = info(3, 9, MemberRole::Entry);
        old.started_at = None;
        fleet.join(old.clone());
        fleet.run(50);
        fleet.kill(3);
        fleet.run(down_ticks);
        let mut new = info(3, 2, MemberRole::Entry);
        new.started_at = None;
        new.address = address(9);
        fleet.join(new.clone());
        let known = fleet.run_until(50, |fleet| {
            fleet.all_but(&[9], |table| {
                let live = table.live(MemberRole::Entry, fleet.now);
                live.iter().any(|info| info.incarnation == new.incarnation)
            })
        });
        assert!(known.is_some(), "down for {down_ticks} ticks");
        assert!(fleet.all_but(&[], |table| table.is_gone(old.incarnation, fleet.now)));
    }
}

/// A process restarts at its old address within a second, before any call to it failed. Its peers
/// must drop the old run's state.
#[test]
fn quick_restart() {
    let mut fleet = Fleet::start(3, 5, MembershipPolicy::default());
    fleet.run(50);
    let old = fleet.at(6).own().incarnation;
    fleet.kill(6);
    fleet.step();
    fleet.join(info(6, 2, MemberRole::Sidecar));
    let replaced =
        fleet.run_until(20, |fleet| fleet.all_but(&[6], |table| table.is_gone(old, fleet.now)));
    assert!(replaced.is_some());
    assert!(fleet.is_complete());
}

/// An instance is removed and another one gets its address. Calls to the address succeed, so the
/// old member never looks silent and would be routed to as long as the new one lives.
#[test]
fn reused_address() {
    let table = table();
    let old = info(5, 1, MemberRole::Sidecar);
    table.handle_heartbeat(&gossip(vec![old.clone()]), NOW);
    let mut new = info(6, 1, MemberRole::Sidecar);
    new.address = old.address;
    let answer = Heartbeat { from: new.clone(), ..gossip(Vec::new()) };
    table.handle_reply(old.address, &answer, NOW);
    assert!(table.is_gone(old.incarnation, NOW));
    assert_eq!(table.live(MemberRole::Sidecar, NOW), [new]);
}

#[test]
fn first_numbers() {
    let started = WallTime(1_700_000_000_000);
    let restarted = WallTime(started.0 + 60_000);
    // A run counts a few heartbeats per second, the clock a thousand milliseconds.
    assert!(initial_heartbeat_number(started) + 60 * 10 < initial_heartbeat_number(restarted));
}

quickcheck! {
    /// For any order and repetition of descriptions of an instance's runs, the newest by the
    /// store's revision remains.
    fn newest_remains(heard: Vec<(u8, u16)>) -> TestResult {
        let table = table();
        let mut newest = 0;
        for (run, number) in heard {
            let run = u64::from(run % 4) + 1;
            newest = newest.max(run);
            let mut description = info(5, run, MemberRole::Entry);
            description.number = u64::from(number);
            table.handle_heartbeat(&gossip(vec![description]), NOW);
        }
        let entries = table.live(MemberRole::Entry, NOW);
        let found = entries.iter().find(|info| info.address == address(5));
        let found = found.map(|info| info.started_at);
        TestResult::from_bool(match newest {
            0 => found.is_none(),
            newest => found == Some(Some(StoreRevision(newest))),
        })
    }
}
