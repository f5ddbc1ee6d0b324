//! Who hears from whom, and how a dead member shows.

mod fleet;

use fleet::{Fleet, address, info};
use sagespool_membership::{MemberTable, MembershipPolicy, max_encoded_bytes};
use sagespool_messages::{MemberInfo, MemberRole};
use sagespool_types::{ClockTime, IncarnationId};

const MESH: (u16, u16) = (3, 13);
const GOSSIP: (u16, u16) = (20, 60);

fn complete_fleet(size: (u16, u16)) -> Fleet {
    let mut fleet = Fleet::start(size.0, size.1, MembershipPolicy::default());
    fleet.run_until(600, Fleet::is_complete).expect("everyone finds everyone from three seeds");
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

/// A sidecar's machine is switched off. Until the entries notice, each request
/// sent its way costs its caller a time-out; the mesh has to notice in 3 s, a
/// larger fleet by rumour in 10 s, and in neither may another member be blamed.
#[test]
fn death_detected() {
    for (size, most) in [(MESH, 30), (GOSSIP, 100)] {
        let mut fleet = complete_fleet(size);
        let dead = fleet.at(10).own().incarnation;
        fleet.kill(10);
        let noticed = fleet
            .run_until(most, |fleet| fleet.all_but(&[], |table| table.is_gone(dead, fleet.now)));
        assert!(noticed.is_some(), "{size:?}: dead for everyone within {most} ticks");
        assert!(fleet.is_complete(), "nobody else is missing");
    }
}

/// The link between two members breaks while both reach everyone else. Each
/// finds the other silent; if that meant death, a home would be declared dead
/// and its grants sealed while it serves. The others' word keeps it alive, and in
/// a mesh they don't even doubt it: their requests go on to the same home.
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
            let trusted = fleet.all_but(&[0, 1], |table| usable(table, fleet.now).len() == 15);
            assert!(size == GOSSIP || trusted, "{size:?}");
        }
    }
}

/// A process is stopped for a minute and goes on. By its own clock everyone has
/// been silent for a minute; if it believed that, it would be home of every
/// branch. The others believed it dead, and take it back once it speaks.
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
    assert_eq!(usable, fleet.tables.len() - 1, "it blames itself, not others");
    let back =
        fleet.run_until(30, |fleet| fleet.all_but(&[], |table| !table.is_gone(paused, fleet.now)));
    assert!(back.is_some());
}

/// A partition lasts for an hour, with the platform down, so that no list says
/// who is there. Each side buries the other. After it heals both must find each
/// other by themselves, or the fleet stays in two halves with two homes a branch.
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
        assert!(calls < most, "{size:?}: {calls} calls a member in a minute: old rumours go round");
    }
}

/// A whole fleet starts at once. Everyone discovers everyone, and if each passed
/// each on as news, a large fleet would be busy with it for many minutes.
#[test]
fn quiet_start() {
    let mut fleet = complete_fleet(GOSSIP);
    fleet.size_of = Some(|beat| beat.others.len());
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
    // Three neighbours every three seconds for a minute, and a repair now and then.
    assert!(calls < 72.0, "{calls} calls a member in a minute");
    for (_, beat) in fleet.tables.values().flat_map(|table| table.due_heartbeats(fleet.now)) {
        let news: usize = beat.others.iter().map(max_encoded_bytes).sum();
        assert!(news <= MembershipPolicy::default().max_update_bytes);
    }
}

/// An entry of a large fleet wants the load of two sidecars that it routes to.
/// No rumour carries loads: it has to ask, a little more than it would anyway.
#[test]
fn watched_loads() {
    let mut fleet = complete_fleet(GOSSIP);
    let watched: Vec<_> = [40, 50].map(|place| fleet.at(place).own().incarnation).to_vec();
    fleet.at(0).set_watched(watched.clone());
    for running in [3, 5] {
        for place in [40, 50] {
            fleet.at(place).update_own(|own| {
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

/// A process that has just started knows nobody. A grant's holder that it never
/// heard of isn't dead for that, or it would seal the grants of every live home.
#[test]
fn unknown_holder() {
    let mut fleet = Fleet::start(4, 0, MembershipPolicy::default());
    let stranger = IncarnationId(77);
    assert!(!fleet.at(0).is_gone(stranger, fleet.now));
    fleet.run(10);
    assert!(!fleet.at(0).is_gone(stranger, fleet.now), "the view has not settled yet");
    fleet.run(300);
    assert!(fleet.at(0).is_gone(stranger, fleet.now));
    let alone = MemberTable::new(info(9, 1, MemberRole::Entry), MembershipPolicy::default(), 1);
    alone.add_seeds(&[address(0)], ClockTime::default());
    for tick in 0..600 {
        alone.due_heartbeats(ClockTime::from_millis(tick * 100));
    }
    assert!(!alone.is_gone(stranger, ClockTime::from_millis(60_000)), "nobody ever answered it");
}
