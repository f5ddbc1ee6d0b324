//! Changes the configuration every second while processes restart, some are partitioned from the
//! store or from all others, and the store has an outage.

use std::time::{Duration, SystemTime};

use fastrand::Rng;
use sagespool_platform::ObjectClient;
use sagespool_settings::{BranchObject, FLEET_OBJECT_KEY, branch_object_key, branch_shard};
use sagespool_types::{BranchName, StoreRevision};
use serde_json::Value;

use super::context::FaultContext;
use super::{process, store};
use crate::fleet::RunningFleet;

const CHANGE_PERIOD: Duration = Duration::from_secs(1);
const RESTARTS: u32 = 6;
const DOWN_TIME: Duration = Duration::from_millis(700);
/// Changes stop after this share of the time, so that the last of them can be applied.
const LAST_CHANGE_SHARE: f64 = 0.95;

/// Runs all parts concurrently.
pub(super) async fn run(context: &FaultContext) {
    let parts = [
        smol::spawn(change_often(context.clone())),
        smol::spawn(restart_often(context.clone())),
        smol::spawn(cut_from_store(context.clone())),
        smol::spawn(cut_from_all(context.clone())),
        smol::spawn(stop_store(context.clone())),
    ];
    for part in parts {
        part.await;
    }
}

async fn change_often(context: FaultContext) {
    let (objects, branches) = {
        let fleet = context.fleet().await;
        let branches: Vec<BranchName> = fleet.options.deployment.branches.keys().cloned().collect();
        (fleet.objects.clone(), branches)
    };
    let mut rng = context.rng("config-changes");
    let count = context.duration.mul_f64(LAST_CHANGE_SHARE).as_secs();
    for step in 1..=count {
        context.until((CHANGE_PERIOD * step as u32).div_duration_f64(context.duration)).await;
        let begun = SystemTime::now();
        let accepted = match step % 2 {
            0 => change_fleet(&objects, step).await,
            _ => change_branch(&objects, &branches[rng.usize(0..branches.len())], step).await,
        };
        let mut log = context.config_log().await;
        match accepted {
            Some((key, version)) => log.note_accepted(key, version, begun),
            // The store is down or slow, and did not confirm the change.
            None => log.not_accepted += 1,
        }
    }
}

/// Changes the retention of answers in the fleet object, which every process follows.
async fn change_fleet(objects: &ObjectClient, step: u64) -> Option<(String, StoreRevision)> {
    let mut stored = objects.get::<Value>(FLEET_OBJECT_KEY).await.ok()??;
    stored.value["answer_retention_ms"] = (600_000 + step).into();
    let version = objects.put(FLEET_OBJECT_KEY, stored.version, &stored.value).await.ok()?;
    Some((FLEET_OBJECT_KEY.to_owned(), version))
}

/// Changes a branch's weight in its shard object, which only entries follow.
async fn change_branch(
    objects: &ObjectClient,
    branch: &BranchName,
    step: u64,
) -> Option<(String, StoreRevision)> {
    let key = branch_object_key(branch_shard(branch));
    let mut stored = objects.get::<BranchObject>(&key).await.ok()??;
    stored.value.branches.get_mut(branch)?.weight = 1 + (step % 50) as u32;
    let version = objects.put(&key, stored.version, &stored.value).await.ok()?;
    Some((key, version))
}

/// Kills and restarts entries and sidecars in turn, also during the store's outage.
async fn restart_often(context: FaultContext) {
    let mut rng = context.rng("config-restarts");
    for step in 0..RESTARTS {
        context.until(0.1 + 0.8 * f64::from(step) / f64::from(RESTARTS)).await;
        let index = {
            let mut fleet = context.fleet().await;
            let Some(index) = process::pick(&fleet, step % 2 == 0, &mut rng) else { continue };
            process::kill(&mut fleet, index);
            context.config_log().await.note_absent(name_of(&fleet, index), SystemTime::now());
            index
        };
        smol::Timer::after(DOWN_TIME).await;
        let mut fleet = context.fleet().await;
        process::restart(&mut fleet, index);
        context.config_log().await.note_present(name_of(&fleet, index), SystemTime::now());
    }
}

/// Partitions one entry and one sidecar from the store only: changes must reach them through other
/// processes.
async fn cut_from_store(context: FaultContext) {
    let mut rng = context.rng("config-no-store");
    context.until(0.1).await;
    let cut = choose(&*context.fleet().await, &mut rng);
    set_cut(&*context.fleet().await, &cut, &["store".to_owned()], true);
    context.until(0.45).await;
    set_cut(&*context.fleet().await, &cut, &["store".to_owned()], false);
}

/// Partitions another entry and sidecar from all others; they must catch up once it is healed.
async fn cut_from_all(context: FaultContext) {
    let mut rng = context.rng("config-partition");
    context.until(0.5).await;
    let (cut, others) = {
        let fleet = context.fleet().await;
        let cut = choose(&fleet, &mut rng);
        let names = fleet.members.iter().map(|member| member.instance.to_string());
        let others = names.chain(["store".to_owned(), "list".to_owned()]);
        let others: Vec<String> = others.filter(|name| !cut.contains(name)).collect();
        set_cut(&fleet, &cut, &others, true);
        (cut, others)
    };
    for name in &cut {
        context.config_log().await.note_absent(name.clone(), SystemTime::now());
    }
    context.until(0.65).await;
    set_cut(&*context.fleet().await, &cut, &others, false);
    for name in &cut {
        context.config_log().await.note_present(name.clone(), SystemTime::now());
    }
}

async fn stop_store(context: FaultContext) {
    context.until(0.7).await;
    store::set_outage(&*context.fleet().await, true);
    context.until(0.85).await;
    store::set_outage(&*context.fleet().await, false);
}

fn name_of(fleet: &RunningFleet, index: usize) -> String {
    fleet.members[index].instance.to_string()
}

/// One running entry and one running sidecar.
fn choose(fleet: &RunningFleet, rng: &mut Rng) -> Vec<String> {
    let picked = [true, false].map(|entries| process::pick(fleet, entries, rng));
    let names = picked.into_iter().flatten().map(|index| name_of(fleet, index));
    names.collect()
}

fn set_cut(fleet: &RunningFleet, members: &[String], others: &[String], cut: bool) {
    let Some(proxy) = &fleet.proxy else { return };
    for member in members {
        for other in others {
            match cut {
                true => proxy.cut(member, other),
                false => proxy.heal(member, other),
            }
        }
    }
}
