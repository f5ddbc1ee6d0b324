//! Heartbeat rounds of meshes and larger fleets, and failure detection.

mod fleet;

use fleet::{Fleet, address, info};
use sagespool_membership::{MemberTable, MembershipPolicy, max_encoded_bytes};
use sagespool_messages::{MemberInfo, MemberRole};
use sagespool_types::{ClockTime, IncarnationId};

const MESH: (u16, u16) = (3, 13);
const GOSSIP: (u16, u16) = (20, 60);

fn complete_fleet(size: (u16, u16)) -> Fleet {
    let mut fleet = Fleet::start(size.0, size.1, MembershipPolicy::default());
    fleet.run_until(600, Fleet::is_complete).expect("three seeds suffice for a complete fleet");
    fleet.run(200);
    fleet
}

fn usable(table: &MemberTable, now: ClockTime) -> Vec<MemberInfo> {
    let mut usable = table.live(MemberRole::Entry, now);
    usable.extend(table.live(MemberRole::Sidecar, now));
    usable
}

#[test]
fn fleet_assembles() {
    for size in [MESH, GOSSIP] {
        let fleet = complete_fleet(size);
        assert!(fleet.is_complete(), "{size:?} stays complete");
        assert!(fleet.all_but(&[], MemberTable::is_settled));
    }
}

/// A sidecar's machine is switched off. Until the entries detect it, each request sent to it costs
/// its caller a timeout. The limit is 3 s for a mesh and 10 s for a larger fleet, and no other
/// member may be declared dead.
#[test]
fn death_detected() {
    for (size, most) in [(MESH, 30), (GOSSIP, 100)] {
        let mut fleet = complete_fleet(size);
        let dead = fleet.at(10).own().incarnation;
        fleet.kill(10);
        let noticed = fleet
            .run_until(most, |fleet| fleet.all_but(&[], |table| table.is_gone(dead, fleet.now)));
        assert!(noticed.is_some(), "{size:?}: dead for everyone within {most} ticks");
        assert!(fleet.is_complete(), "no other member is missing");
    }
}

/// The link between two members breaks while both reach all others. If each declared the other
/// dead, the grants of a serving home would be sealed. The others' heartbeats prevent that, and in
/// a mesh the others don't even suspect either: their requests go on to the same home.
#[test]
fn broken_link() {
    for size in [MESH, GOSSIP] {
        let mut fleet = complete_fleet(size);
        fleet.cut(0, 1);
        let (left, right) = (fleet.at(0).own().incarnation, fleet.at(1).own().incarnation);
        for _ in 0..300 {
            fleet.step();
            assert!(!fleet.at(0).is_gone(right, fleet.now), "{size:?}");
            assert!(!fleet.at(1).is_gone(left, fleet.now), "{size:?}");
            let all_usable = fleet.all_but(&[0, 1], |table| usable(table, fleet.now).len() == 15);
            assert!(size == GOSSIP || all_usable, "{size:?}");
        }
    }
}

/// A process is paused for a minute. By its own clock everyone was silent for a minute; if it
/// declared them dead, it would be home of every branch. The others declared it dead, and must
/// accept it again after its next heartbeat.
#[test]
fn paused_process() {
    let mut fleet = complete_fleet(MESH);
    let paused = fleet.at(2).own().incarnation;
    fleet.paused.insert(address(2));
    fleet.run(600);
    assert!(fleet.at(0).is_gone(paused, fleet.now));
    fleet.paused.clear();
    fleet.step();
    let usable = usable(fleet.at(2), fleet.now).len();
    assert_eq!(usable, fleet.tables.len() - 1, "no other member counts as unusable");
    let back =
        fleet.run_until(30, |fleet| fleet.all_but(&[], |table| !table.is_gone(paused, fleet.now)));
    assert!(back.is_some());
}

/// A partition lasts long enough for each side to declare the other dead, and the platform is down,
/// so no instance list helps. After it heals both sides must find each other, or the fleet keeps
/// two homes for each branch.
#[test]
fn healed_partition() {
    for size in [MESH, GOSSIP] {
        let mut fleet = complete_fleet(size);
        let all = size.0 + size.1;
        for left in 0..all / 2 {
            for right in all / 2..all {
                fleet.cut(left, right);
            }
        }
        fleet.run(1000);
        assert_eq!(fleet.at(0).members().len(), usize::from(all / 2), "{size:?}");
        fleet.tables.values().for_each(|table| {
            table.apply_instance_list(&[], fleet.now);
        });
        fleet.cut.clear();
        let healed = fleet.run_until(1500, Fleet::is_complete);
        assert!(healed.is_some(), "{size:?}");
        let before = fleet.exchanges;
        fleet.run(600);
        let calls = (fleet.exchanges - before) as f64 / fleet.tables.len() as f64;
        let most = if size == MESH { 1000.0 } else { 90.0 };
        assert!(
            calls < most,
            "{size:?}: {calls} calls a member in a minute: stale updates circulate"
        );
    }
}

/// A whole fleet starts at once and everyone discovers everyone. If each gossiped every discovery
/// as an update, a large fleet would be busy with it for many minutes.
#[test]
fn quiet_start() {
    let mut fleet = complete_fleet(GOSSIP);
    fleet.size_of = Some(|heartbeat| heartbeat.others.len());
    fleet.run(100);
    assert!(fleet.bytes < 80, "{} members passed on in 10 s", fleet.bytes);
}

#[test]
fn bounded_traffic() {
    let mut fleet = complete_fleet(GOSSIP);
    fleet.run(600);
    let before = fleet.exchanges;
    fleet.run(600);
    let calls = (fleet.exchanges - before) as f64 / fleet.tables.len() as f64;
    // Three neighbours every three seconds for a minute, and an occasional repair.
    assert!(calls < 72.0, "{calls} calls a member in a minute");
    for (_, heartbeat) in fleet.tables.values().flat_map(|table| table.due_heartbeats(fleet.now)) {
        let updates: usize = heartbeat.others.iter().map(max_encoded_bytes).sum();
        assert!(updates <= MembershipPolicy::default().max_update_bytes);
    }
}

/// An entry of a large fleet needs the load of two sidecars that it routes to. Gossip carries no
/// loads, so it has to call them, at little extra cost.
#[test]
fn watched_loads() {
    let mut fleet = complete_fleet(GOSSIP);
    let watched: Vec<_> = [40, 50].map(|index| fleet.at(index).own().incarnation).to_vec();
    fleet.at(0).set_watched(watched.clone());
    for running in [3, 5] {
        for index in [40, 50] {
            fleet.at(index).update_own(|own| {
                let served = own.serves.as_mut().expect("a sidecar");
                served.load.running = running;
            });
        }
        let known = fleet.run_until(80, |fleet| {
            watched.iter().all(|member| {
                let info = fleet.at(0).find(*member).and_then(|info| info.serves);
                info.is_some_and(|served| served.load.running == running)
            })
        });
        assert!(known.is_some(), "two rounds are enough");
    }
}

/// A process that has just started has an empty view. It must not take an unknown holder of a grant
/// for dead, or it would seal the grants of every live home.
#[test]
fn unknown_holder() {
    let mut fleet = Fleet::start(4, 0, MembershipPolicy::default());
    let unknown = IncarnationId(77);
    assert!(!fleet.at(0).is_gone(unknown, fleet.now));
    fleet.run(10);
    assert!(!fleet.at(0).is_gone(unknown, fleet.now), "the view has not settled yet");
    fleet.run(300);
    assert!(fleet.at(0).is_gone(unknown, fleet.now));
    let alone = MemberTable::new(info(9, 1, MemberRole::Entry), MembershipPolicy::default(), 1);
    alone.add_seeds(&[address(0)], ClockTime::default());
    for tick in 0..600 {
        alone.due_heartbeats(ClockTime::from_millis(tick * 100));
    }
    assert!(!alone.is_gone(unknown, ClockTime::from_millis(60_000)), "no member ever answered");
}
