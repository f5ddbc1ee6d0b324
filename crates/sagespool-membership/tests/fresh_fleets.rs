//! How soon a process that starts knows the fleet.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, TICK, info};
use sagespool_membership::{MemberTable, MembershipPolicy};
use sagespool_messages::MemberRole;

/// A fleet takes no longer to learn that a member is there than to learn that one is gone.
fn known_within() -> u32 {
    let policy = MembershipPolicy::default();
    let limit: Duration = policy.suspect_after + policy.mesh_refute_timeout;
    (limit.as_millis() / TICK.as_millis()) as u32
}

/// All processes of a fleet start at once, as after a loss of power, and callers are refused with
/// 503 for ten seconds (`the fleet's members aren't known yet`). Each entry waited for a window of
/// five seconds without discoveries, and the first window holds the discovery of everybody: 108
/// ticks for the fleet of four.
#[test]
fn whole_start() {
    for (entries, sidecars) in [(2, 2), (3, 5), (4, 16)] {
        let mut fleet = Fleet::start(entries, sidecars, MembershipPolicy::default());
        let took = fleet.run_until(200, |fleet| fleet.all_but(&[], MemberTable::is_settled));
        let took = took.expect("settled within 20 s");
        assert!(fleet.is_complete());
        assert!(took <= known_within(), "{entries} and {sidecars}: after {took} ticks");
    }
}

/// One entry of a running fleet is restarted. Its callers are refused until it is settled, though
/// it knows every member after a few rounds.
#[test]
fn entry_restart() {
    let mut fleet = Fleet::start(3, 5, MembershipPolicy::default());
    fleet.run(300);
    fleet.kill(1);
    fleet.run(3);
    fleet.join(info(1, 2, MemberRole::Entry));
    let took = fleet.run_until(200, |fleet| fleet.at(1).is_settled());
    let took = took.expect("settled within 20 s");
    assert!(took <= known_within(), "after {took} ticks");
}

/// A process starts while it is cut off from a member that the instance list shows. It must not
/// take that member for gone as soon as it agrees with the others it reaches: it knows only that it
/// can't ask.
#[test]
fn unreached_seed() {
    let mut fleet = Fleet::start(3, 2, MembershipPolicy::default());
    fleet.kill(0);
    fleet.cut(1, 0);
    fleet.cut(2, 0);
    let stranger = info(0, 1, MemberRole::Entry).incarnation;
    fleet.run(known_within());
    assert!(!fleet.at(1).is_settled() && !fleet.at(1).is_gone(stranger, fleet.now));
}
