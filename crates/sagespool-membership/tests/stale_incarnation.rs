//! A restarted process and its predecessor.

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

/// An entry restarts. A peer that was cut off still passes on the old run, with
/// a higher count of heartbeats than the new one has. If that brought the old
/// one back, requests would go to a process that is no more, and the new one
/// would be taken for it.
#[test]
fn late_gossip() {
    let run = |started_at: Option<u64>, number| {
        let mut run = info(5, number, MemberRole::Sidecar);
        run.started_at = started_at.map(StoreRevision);
        run.number = number;
        run
    };
    // What the two runs know of their start, which is heard first, and which must win.
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

/// A sidecar dies. A minute later a peer that was paused passes on what it last
/// knew: the sidecar, alive. If that were believed, it would be routed to again,
/// and each pause of any member would bring dead ones back.
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
    assert!(fleet.at(1).is_gone(dead.incarnation, fleet.now), "the paused one learns it too");
}

/// An instance's clock was set back and the store is away, so neither tells that
/// the restarted entry is the newer run; nor does its address, which is another.
/// Its dead predecessor looks newer to all, and the entry would never be home of
/// anything: it has to outnumber the rumour.
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

/// A process restarts at its old address within a second, before anyone missed
/// it. Its peers must not go on with the old run's promises.
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

/// An instance is taken down, and another gets its address. Whoever calls the
/// address gets an answer, so no call to the old one ever fails: it would be
/// routed to for as long as its successor lives.
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
    // A run counts a few heartbeats a second, the clock a thousand milliseconds.
    assert!(initial_heartbeat_number(started) + 60 * 10 < initial_heartbeat_number(restarted));
}

quickcheck! {
    /// Whatever the order and repetition in which runs of one instance are heard
    /// of, the newest by the store's revision is the one that remains.
    fn newest_remains(heard: Vec<(u8, u16)>) -> TestResult {
        let table = table();
        let mut newest = 0;
        for (run, number) in heard {
            let run = u64::from(run % 4) + 1;
            newest = newest.max(run);
            let mut said = info(5, run, MemberRole::Entry);
            said.number = u64::from(number);
            table.handle_heartbeat(&gossip(vec![said]), NOW);
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
