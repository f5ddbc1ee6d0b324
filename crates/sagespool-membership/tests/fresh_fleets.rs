//! How soon the view of a starting process is complete.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, TICK, info};
use sagespool_membership::{MemberTable, MembershipPolicy};
use sagespool_messages::MemberRole;

/// The limit in ticks: detecting a member must take no longer than detecting its loss.
fn settle_limit_ticks() -> u32 {
    let policy = MembershipPolicy::default();
    let limit: Duration = policy.suspect_after + policy.mesh_refute_timeout;
    (limit.as_millis() / TICK.as_millis()) as u32
}

/// All processes of a fleet start at once, as after a power loss. Callers were refused with 503 for
/// ten seconds (`the fleet's members aren't known yet`), since each entry waited for a window of
/// five seconds without discoveries and the first window holds the discovery of all members: 108
/// ticks for the fleet of four.
#[test]
fn whole_start() {
    for (entries, sidecars) in [(2, 2), (3, 5), (4, 16)] {
        let mut fleet = Fleet::start(entries, sidecars, MembershipPolicy::default());
        let took = fleet.run_until(200, |fleet| fleet.all_but(&[], MemberTable::is_settled));
        let took = took.expect("settled within 20 s");
        assert!(fleet.is_complete());
        assert!(took <= settle_limit_ticks(), "{entries} and {sidecars}: after {took} ticks");
    }
}

/// One entry of a running fleet is restarted. It refuses its callers until its view is settled,
/// though it has every member after a few rounds.
#[test]
fn entry_restart() {
    let mut fleet = Fleet::start(3, 5, MembershipPolicy::default());
    fleet.run(300);
    fleet.kill(1);
    fleet.run(3);
    fleet.join(info(1, 2, MemberRole::Entry));
    let took = fleet.run_until(200, |fleet| fleet.at(1).is_settled());
    let took = took.expect("settled within 20 s");
    assert!(took <= settle_limit_ticks(), "after {took} ticks");
}

/// A process starts while it can't reach a member that the instance list shows. It must not take
/// that member for gone as soon as its view agrees with those of the members that it can reach:
/// the member may be alive.
#[test]
fn unreached_seed() {
    let mut fleet = Fleet::start(3, 2, MembershipPolicy::default());
    fleet.kill(0);
    fleet.cut(1, 0);
    fleet.cut(2, 0);
    let unknown = info(0, 1, MemberRole::Entry).incarnation;
    fleet.run(settle_limit_ticks());
    assert!(!fleet.at(1).is_settled() && !fleet.at(1).is_gone(unknown, fleet.now));
}
