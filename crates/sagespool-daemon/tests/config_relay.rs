//! Configuration that comes from neighbours.

mod common;

use common::*;
use sagespool_settings::{BranchObject, FLEET_OBJECT_KEY, branch_object_key, branch_shard};
use sagespool_testkit::load::CallOutcome;
use sagespool_types::StoreRevision;
use serde_json::Value;

/// The versions of an object that a member has put in force, over all of its runs.
fn applied(fleet: &TestFleet, place: usize, key: &str) -> Vec<u64> {
    let log = std::fs::read_to_string(&fleet.members[place].log).unwrap_or_default();
    let event = format!("event=configuration-applied object={key} version=");
    let versions = log.lines().filter_map(|line| line.split_once(&event));
    versions.filter_map(|(_, version)| version.trim().parse().ok()).collect()
}

async fn until_applied(fleet: &TestFleet, place: usize, key: &str, version: StoreRevision) {
    let what = format!("{} has {key} at {version}", fleet.members[place].instance);
    until(&what, || applied(fleet, place, key).last() == Some(&version.0)).await;
}

fn shard_key() -> String {
    branch_object_key(branch_shard(&branch(BRANCH)))
}

/// Changes the weight of the branch, as an operator's edit does.
async fn change_branch(fleet: &TestFleet, weight: u32) -> StoreRevision {
    let stored = fleet.objects.get::<BranchObject>(&shard_key()).await.expect("the store is well");
    let mut stored = stored.expect("the branch is configured");
    let entry = stored.value.branches.get_mut(&branch(BRANCH)).expect("it is in this shard");
    entry.weight = weight;
    let put = fleet.objects.put(&shard_key(), stored.version, &stored.value).await;
    put.expect("nobody else writes")
}

/// Changes how long answers are kept.
async fn change_fleet(fleet: &TestFleet, answer_retention_ms: u64) -> StoreRevision {
    let stored = fleet.objects.get::<Value>(FLEET_OBJECT_KEY).await.expect("the store is well");
    let mut stored = stored.expect("the fleet is configured");
    stored.value["answer_retention_ms"] = answer_retention_ms.into();
    let put = fleet.objects.put(FLEET_OBJECT_KEY, stored.version, &stored.value).await;
    put.expect("nobody else writes")
}

fn name(fleet: &TestFleet, place: usize) -> String {
    fleet.members[place].instance.to_string()
}

/// Cuts a member off from some others, or takes that back.
fn set_cut(fleet: &TestFleet, place: usize, others: &[String], cut: bool) {
    let proxy = fleet.proxy.as_ref().expect("the fleet is proxied");
    for other in others {
        match cut {
            true => proxy.cut(&name(fleet, place), other),
            false => proxy.heal(&name(fleet, place), other),
        }
    }
}

#[test]
fn outage_start() {
    // An operator raises a branch's weight; then the store goes down, and an entry is replaced by
    // the platform. The new one can read nothing. Its callers would be turned away for as long as
    // the outage lasts, though its neighbour has all that it needs. It gets the configuration there,
    // the newest version, and takes callers.
    run(async {
        let mut fleet = SmallFleet::default().start().await;
        let entries = home_of(&fleet, BRANCH).await;
        warm_up(&fleet, &entries, BRANCH).await;
        let other = entries.other;
        let version = change_branch(&fleet, 7).await;
        for entry in fleet.entries() {
            until_applied(&fleet, entry, &shard_key(), version).await;
        }
        fleet.change_store(|faults| faults.outage = true);
        let before = applied(&fleet, other, &shard_key()).len();
        fleet.kill(other);
        fleet.start_member(other).expect("an entry can be started again");
        until_ready(&fleet, other).await;
        assert_eq!(applied(&fleet, other, &shard_key())[before..], [version.0]);
        let served = completion(BRANCH, 5);
        let sent = send(&fleet, &served, other).await;
        assert!(is_own_whole(&sent), "{sent:?}");
    });
}

#[test]
fn cut_store() {
    // One entry and one sidecar can't reach the store, but their neighbours. A key that an operator
    // revokes would open the door there until the network is mended. Every change, and a deletion,
    // has to come from the neighbours.
    run(async {
        let fleet = SmallFleet { proxied: true, ..Default::default() }.start().await;
        let (entry, sidecar) = (fleet.entries()[0], fleet.sidecars(ENGINES)[0]);
        for place in [entry, sidecar] {
            set_cut(&fleet, place, &["store".to_owned()], true);
        }
        for step in 1..4 {
            let shard = change_branch(&fleet, 10 + step).await;
            until_applied(&fleet, entry, &shard_key(), shard).await;
            let whole = change_fleet(&fleet, 700_000 + u64::from(step)).await;
            until_applied(&fleet, entry, FLEET_OBJECT_KEY, whole).await;
            until_applied(&fleet, sidecar, FLEET_OBJECT_KEY, whole).await;
        }
        let at = *applied(&fleet, entry, &shard_key()).last().expect("it was applied");
        fleet.objects.delete(&shard_key(), StoreRevision(at)).await.expect("the store is well");
        let last = || applied(&fleet, entry, &shard_key()).last().copied();
        until("the deletion comes", || last() > Some(at)).await;
        let sent = send(&fleet, &completion(BRANCH, 5), entry).await;
        let is_unknown = matches!(sent.outcome, CallOutcome::Invalid { status: 401, .. });
        assert!(is_unknown, "the key of a branch that is gone opens nothing: {sent:?}");
    });
}

#[test]
fn old_relay() {
    // One entry is cut off from everybody while an operator changes the fleet's object. Then the
    // store goes down, the cut is mended, and the other entry is replaced. The only entry that the
    // new one can ask is the old relay: it would bring back what its predecessor saw replaced. The
    // sidecars know of the newer version, so the new one waits for it, and takes no callers on
    // guesses. When the store is back, both have the newest.
    run(async {
        let mut fleet = SmallFleet { proxied: true, ..Default::default() }.start().await;
        let (stale, fresh) = (fleet.entries()[0], fleet.entries()[1]);
        let others: Vec<String> = (0..fleet.members.len())
            .filter(|place| *place != stale)
            .map(|place| name(&fleet, place))
            .chain(["store".to_owned()])
            .collect();
        let first = applied(&fleet, stale, FLEET_OBJECT_KEY);
        set_cut(&fleet, stale, &others, true);
        let newest = change_fleet(&fleet, 700_000).await;
        for place in (0..fleet.members.len()).filter(|place| *place != stale) {
            until_applied(&fleet, place, FLEET_OBJECT_KEY, newest).await;
        }
        fleet.change_store(|faults| faults.outage = true);
        fleet.kill(fresh);
        set_cut(&fleet, stale, &others, false);
        until_knows(&fleet, stale, fleet.members.len() - 1).await;
        fleet.start_member(fresh).expect("an entry can be started again");
        until_joined(&fleet, fleet.members.len()).await;
        let asked = "event=configuration-waits";
        let log = || std::fs::read_to_string(&fleet.members[fresh].log).unwrap_or_default();
        until("the new entry has found the relay old", || log().contains(asked)).await;
        assert_eq!(applied(&fleet, stale, FLEET_OBJECT_KEY), first, "nobody could tell it");
        let sent = send(&fleet, &completion(BRANCH, 5), fresh).await;
        assert_eq!(refusal(&sent), Some(("not-ready", "not-run")), "{sent:?}");

        fleet.change_store(|faults| faults.outage = false);
        until_ready(&fleet, fresh).await;
        for place in [stale, fresh] {
            until_applied(&fleet, place, FLEET_OBJECT_KEY, newest).await;
            let versions = applied(&fleet, place, FLEET_OBJECT_KEY);
            assert!(versions.is_sorted(), "{}: {versions:?}", name(&fleet, place));
        }
    });
}
