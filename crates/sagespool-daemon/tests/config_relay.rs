//! Configuration that processes receive from neighbours.

mod common;

use common::*;
use sagespool_settings::{BranchObject, FLEET_OBJECT_KEY, branch_object_key, branch_shard};
use sagespool_testkit::load::CallOutcome;
use sagespool_types::StoreRevision;
use serde_json::Value;

/// The versions of an object that a member has applied, over all its incarnations, from its log.
fn applied(fleet: &TestFleet, index: usize, key: &str) -> Vec<u64> {
    let log = std::fs::read_to_string(&fleet.members[index].log).unwrap_or_default();
    let event = format!("event=configuration-applied object={key} version=");
    let versions = log.lines().filter_map(|line| line.split_once(&event));
    versions.filter_map(|(_, version)| version.trim().parse().ok()).collect()
}

async fn wait_until_applied(fleet: &TestFleet, index: usize, key: &str, version: StoreRevision) {
    let what = format!("{} has {key} at {version}", fleet.members[index].instance);
    wait_until(&what, || applied(fleet, index, key).last() == Some(&version.0)).await;
}

fn shard_key() -> String {
    branch_object_key(branch_shard(&branch(BRANCH)))
}

/// Changes the weight of the branch in the store, as an operator's edit does.
async fn change_branch(fleet: &TestFleet, weight: u32) -> StoreRevision {
    let stored = fleet.objects.get::<BranchObject>(&shard_key()).await.expect("the store answers");
    let mut stored = stored.expect("the branch is configured");
    let entry = stored.value.branches.get_mut(&branch(BRANCH)).expect("it is in this shard");
    entry.weight = weight;
    let put = fleet.objects.put(&shard_key(), stored.version, &stored.value).await;
    put.expect("no concurrent write")
}

/// Changes the retention time of answers in the fleet object.
async fn change_fleet(fleet: &TestFleet, answer_retention_ms: u64) -> StoreRevision {
    let stored = fleet.objects.get::<Value>(FLEET_OBJECT_KEY).await.expect("the store answers");
    let mut stored = stored.expect("the fleet is configured");
    stored.value["answer_retention_ms"] = answer_retention_ms.into();
    let put = fleet.objects.put(FLEET_OBJECT_KEY, stored.version, &stored.value).await;
    put.expect("no concurrent write")
}

fn name(fleet: &TestFleet, index: usize) -> String {
    fleet.members[index].instance.to_string()
}

/// Cuts a member off from others, or reconnects it.
fn set_cut(fleet: &TestFleet, index: usize, others: &[String], cut: bool) {
    let proxy = fleet.proxy.as_ref().expect("the fleet is proxied");
    for other in others {
        match cut {
            true => proxy.cut(&name(fleet, index), other),
            false => proxy.heal(&name(fleet, index), other),
        }
    }
}

#[test]
fn outage_start() {
    // An operator changes a branch's weight, then the store fails and an entry is replaced. The new
    // entry can't read the store, and would refuse its callers for the whole outage. It gets the
    // newest configuration from its neighbour and serves.
    run(async {
        let mut fleet = SmallFleet::default().start().await;
        let entries = home_of(&fleet, BRANCH).await;
        build_up_grants(&fleet, &entries, BRANCH).await;
        let other = entries.other;
        let version = change_branch(&fleet, 7).await;
        for entry in fleet.entries() {
            wait_until_applied(&fleet, entry, &shard_key(), version).await;
        }
        fleet.change_store(|faults| faults.outage = true);
        let before = applied(&fleet, other, &shard_key()).len();
        fleet.kill(other);
        fleet.start_member(other).expect("an entry can be started again");
        wait_until_ready(&fleet, other).await;
        assert_eq!(applied(&fleet, other, &shard_key())[before..], [version.0]);
        let served = completion(BRANCH, 5);
        let sent = send(&fleet, &served, other).await;
        assert!(is_own_whole(&sent), "{sent:?}");
    });
}

#[test]
fn cut_store() {
    // One entry and one sidecar can't reach the store, but can reach their neighbours. A revoked key
    // would be accepted there until the network is repaired. Each change and a deletion must arrive
    // through the neighbours.
    run(async {
        let fleet = SmallFleet { proxied: true, ..Default::default() }.start().await;
        let (entry, sidecar) = (fleet.entries()[0], fleet.sidecars(ENGINES)[0]);
        for index in [entry, sidecar] {
            set_cut(&fleet, index, &["store".to_owned()], true);
        }
        for step in 1..4 {
            let shard = change_branch(&fleet, 10 + step).await;
            wait_until_applied(&fleet, entry, &shard_key(), shard).await;
            let whole = change_fleet(&fleet, 700_000 + u64::from(step)).await;
            wait_until_applied(&fleet, entry, FLEET_OBJECT_KEY, whole).await;
            wait_until_applied(&fleet, sidecar, FLEET_OBJECT_KEY, whole).await;
        }
        let at = *applied(&fleet, entry, &shard_key()).last().expect("it was applied");
        fleet.objects.delete(&shard_key(), StoreRevision(at)).await.expect("the store answers");
        let last = || applied(&fleet, entry, &shard_key()).last().copied();
        wait_until("the deletion comes", || last() > Some(at)).await;
        let sent = send(&fleet, &completion(BRANCH, 5), entry).await;
        let is_unknown = matches!(sent.outcome, CallOutcome::Invalid { status: 401, .. });
        assert!(is_unknown, "the key of a deleted branch is accepted: {sent:?}");
    });
}

#[test]
fn old_relay() {
    // One entry is cut off from all others while an operator changes the fleet object. Then the store
    // fails, the cut is healed, and the other entry is replaced. The only entry from which the new
    // one can read has an old version, which would undo the change. The sidecars report the newer
    // version, so the new entry waits for it and accepts no callers. When the store is back, both
    // entries apply the newest version.
    run(async {
        let mut fleet = SmallFleet { proxied: true, ..Default::default() }.start().await;
        let (stale, fresh) = (fleet.entries()[0], fleet.entries()[1]);
        let others: Vec<String> = (0..fleet.members.len())
            .filter(|index| *index != stale)
            .map(|index| name(&fleet, index))
            .chain(["store".to_owned()])
            .collect();
        let first = applied(&fleet, stale, FLEET_OBJECT_KEY);
        set_cut(&fleet, stale, &others, true);
        let newest = change_fleet(&fleet, 700_000).await;
        for index in (0..fleet.members.len()).filter(|index| *index != stale) {
            wait_until_applied(&fleet, index, FLEET_OBJECT_KEY, newest).await;
        }
        fleet.change_store(|faults| faults.outage = true);
        fleet.kill(fresh);
        set_cut(&fleet, stale, &others, false);
        wait_until_member_count(&fleet, stale, fleet.members.len() - 1).await;
        fleet.start_member(fresh).expect("an entry can be started again");
        wait_until_joined(&fleet, fleet.members.len()).await;
        let event = "event=configuration-waits";
        let log = || std::fs::read_to_string(&fleet.members[fresh].log).unwrap_or_default();
        wait_until("the new entry waits for a newer version", || log().contains(event)).await;
        assert_eq!(
            applied(&fleet, stale, FLEET_OBJECT_KEY),
            first,
            "the stale entry had no source"
        );
        let sent = send(&fleet, &completion(BRANCH, 5), fresh).await;
        assert_eq!(refusal(&sent), Some(("not-ready", "not-run")), "{sent:?}");

        fleet.change_store(|faults| faults.outage = false);
        wait_until_ready(&fleet, fresh).await;
        for index in [stale, fresh] {
            wait_until_applied(&fleet, index, FLEET_OBJECT_KEY, newest).await;
            let versions = applied(&fleet, index, FLEET_OBJECT_KEY);
            assert!(versions.is_sorted(), "{}: {versions:?}", name(&fleet, index));
        }
    });
}
