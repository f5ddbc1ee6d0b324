//! Gossip between data centres, whose links are billed by the byte.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, info};
use sagespool_membership::MembershipPolicy;
use sagespool_messages::MemberRole;

/// Ticks in which a change, a start or a death is known to all: as with neighbours chosen from all
/// members.
const START_TICKS: u32 = 60;
const CHANGE_TICKS: u32 = 60;
const DEATH_TICKS: u32 = 160;

fn policy() -> MembershipPolicy {
    MembershipPolicy::builder().mesh_limit(8).gossip_period(Duration::from_millis(1500)).build()
}

/// Guards against gossip that mostly crosses data centres: with neighbours chosen from all members of
/// six, five in six bytes did.
#[test]
fn few_remote_exchanges() {
    let mut fleet = Fleet::start(120, 180, policy());
    fleet.run_until(START_TICKS, Fleet::is_complete).expect("the fleet assembles");
    fleet.run(100);
    (fleet.exchanges, fleet.remote_exchanges) = (0, 0);
    fleet.run(100);
    let share = fleet.remote_exchanges as f64 / fleet.exchanges as f64;
    assert!(share <= 0.45, "{share:.2} of the exchanges are between data centres");
}

/// Guards against news that stays in its data centre.
#[test]
fn news_reach_all() {
    let mut fleet = Fleet::start(120, 180, policy());
    fleet.run_until(START_TICKS, Fleet::is_complete).expect("the fleet assembles");
    fleet.run(100);
    fleet.at(7).update_own(|own| own.leaving = true);
    let leaving = fleet.at(7).own().incarnation;
    let knows = |fleet: &Fleet| {
        fleet.all_but(&[], |table| table.find(leaving).is_some_and(|member| member.leaving))
    };
    fleet.run_until(CHANGE_TICKS, knows).expect("all know of the leaving member");
    let dead = fleet.at(8).own().incarnation;
    fleet.kill(8);
    let knows = |fleet: &Fleet| fleet.all_but(&[], |table| table.is_gone(dead, fleet.now));
    fleet.run_until(DEATH_TICKS, knows).expect("all know of the death");
}

/// Guards against a small data centre that hears of the others too late: its members choose their
/// neighbours from all.
#[test]
fn small_data_centre() {
    let mut fleet = Fleet::start(40, 40, policy());
    for index in 200..203 {
        let mut member = info(index, 1, MemberRole::Entry);
        member.centre = "bc-coast".parse().expect("a valid name");
        fleet.join(member);
    }
    fleet.run_until(START_TICKS, Fleet::is_complete).expect("the fleet assembles");
    fleet.run(100);
    fleet.at(3).update_own(|own| own.leaving = true);
    let leaving = fleet.at(3).own().incarnation;
    let knows = |fleet: &Fleet| {
        let known = |index| fleet.at(index).find(leaving);
        (200..203).all(|index| known(index).is_some_and(|member| member.leaving))
    };
    fleet.run_until(CHANGE_TICKS, knows).expect("the small data centre knows of the change");
}
