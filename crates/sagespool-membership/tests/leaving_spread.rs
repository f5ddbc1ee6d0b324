//! The spread of a member's leaving state.

mod fleet;

use fleet::{Fleet, address, info, listed};
use sagespool_membership::{MemberTable, MembershipPolicy};
use sagespool_messages::MemberRole;

fn known_leaving(fleet: &Fleet, index: u16) -> bool {
    let member = address(index);
    fleet.all_but(&[], |table| {
        let seen = table.members().into_iter().find(|info| info.address == member);
        seen.is_some_and(|info| info.leaving)
    })
}

/// An upstream is about to be taken down. Its sidecar announces it, long before the instance list
/// does. Every entry that doesn't have it within 3 s sends work that the sidecar has to refuse.
#[test]
fn leaving_spreads() {
    for (entries, sidecars) in [(3, 13), (20, 80)] {
        let mut fleet = Fleet::start(entries, sidecars, MembershipPolicy::default());
        fleet.run_until(600, Fleet::is_complete).expect("the fleet assembles");
        fleet.run(300);
        fleet.at(entries + 2).update_own(|own| own.leaving = true);
        let known = fleet.run_until(30, |fleet| known_leaving(fleet, entries + 2));
        assert!(known.is_some(), "{entries} entries, {sidecars} sidecars");
    }
}

/// A process that is stopping is announced as leaving; a later change of its description must not
/// make peers send it work again.
#[test]
fn leaving_not_unset() {
    let table = MemberTable::new(info(0, 1, MemberRole::Entry), MembershipPolicy::default(), 7);
    table.update_own(|own| own.leaving = true);
    table.update_own(|own| own.leaving = false);
    assert!(table.own().leaving);
}

#[test]
fn immediate_round() {
    let mut fleet = Fleet::start(2, 2, MembershipPolicy::default());
    fleet.run(50);
    // Right after a round nothing is due.
    fleet
        .run_until(20, |fleet| fleet.at(0).due_heartbeats(fleet.now).is_empty())
        .expect("rounds end");
    let now = fleet.now.after(std::time::Duration::from_millis(1));
    assert!(fleet.at(0).due_heartbeats(now).is_empty());
    fleet.at(0).update_own(|own| own.leaving = true);
    let heartbeats = fleet.at(0).due_heartbeats(now);
    assert_eq!(heartbeats.len(), 3, "one heartbeat to each peer at once");
    assert!(heartbeats.iter().all(|(_, heartbeat)| heartbeat.from.leaving));
}

/// The instance list shows an instance as leaving before its process announces it, and later as
/// live again. The view follows the list both ways.
#[test]
fn listed_leaving() {
    let mut fleet = Fleet::start(3, 3, MembershipPolicy::default());
    fleet.run(50);
    let sidecar = fleet.at(4).own();
    let before = fleet.at(0).changes_since(0).position;
    for leaving in [true, false] {
        fleet.at(0).apply_instance_list(&[listed(&sidecar, leaving)], fleet.now);
        let live = fleet.at(0).live(MemberRole::Sidecar, fleet.now);
        let seen = live.iter().find(|info| info.incarnation == sidecar.incarnation);
        assert_eq!(seen.map(|info| info.leaving), Some(leaving));
        let changes = fleet.at(0).changes_since(before);
        assert!(changes.updated.iter().any(|info| info.incarnation == sidecar.incarnation));
    }
    let own = fleet.at(0).own();
    assert!(
        fleet.at(0).apply_instance_list(&[listed(&own, true)], fleet.now),
        "the own instance has to leave"
    );
    assert!(fleet.is_complete(), "the list removes no member");
}

/// A process is stopped and its instance is used again. The list still shows the instance as
/// leaving, which refers to the earlier run. The new run must not stop because of it, and must
/// follow the list from then on.
#[test]
fn listed_leaving_of_earlier_run() {
    let own = info(0, 1, MemberRole::Sidecar);
    let table = MemberTable::new(own.clone(), MembershipPolicy::default(), 7);
    let now = sagespool_types::ClockTime(1);
    assert!(
        !table.apply_instance_list(&[listed(&own, true)], now),
        "the listing refers to the earlier run"
    );
    assert!(table.is_listed_leaving());
    assert!(!table.apply_instance_list(&[listed(&own, false)], now));
    assert!(!table.is_listed_leaving());
    assert!(
        table.apply_instance_list(&[listed(&own, true)], now),
        "the listing refers to this run"
    );
    let table = MemberTable::new(own.clone(), MembershipPolicy::default(), 7);
    assert!(!table.apply_instance_list(&[listed(&own, true)], now));
    let later = now.after(std::time::Duration::from_secs(60));
    assert!(table.apply_instance_list(&[listed(&own, true)], later), "no list lags for so long");
}
