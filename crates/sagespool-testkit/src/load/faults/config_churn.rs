//! The configuration changes every second while processes restart, some are cut off from the store
//! or from everybody, and the store goes down for a while.

use std::time::{Duration, SystemTime};

use fastrand::Rng;
use sagespool_platform::ObjectClient;
use sagespool_settings::{BranchObject, FLEET_OBJECT_KEY, branch_object_key, branch_shard};
use sagespool_types::{BranchName, StoreRevision};
use serde_json::Value;

use super::stage::FaultStage;
use super::{process, store};
use crate::fleet::RunningFleet;

const CHANGE_PERIOD: Duration = Duration::from_secs(1);
const RESTARTS: u32 = 6;
const DOWN_TIME: Duration = Duration::from_millis(700);
/// Changes stop here, so that the last of them have time to spread.
const LAST_CHANGE: f64 = 0.95;

/// Runs all parts side by side.
pub(super) async fn run(stage: &FaultStage) {
    let parts = [
        smol::spawn(change_often(stage.clone())),
        smol::spawn(restart_often(stage.clone())),
        smol::spawn(cut_from_store(stage.clone())),
        smol::spawn(cut_from_all(stage.clone())),
        smol::spawn(stop_store(stage.clone())),
    ];
    for part in parts {
        part.await;
    }
}

async fn change_often(stage: FaultStage) {
    let (objects, branches) = {
        let fleet = stage.fleet().await;
        let branches: Vec<BranchName> = fleet.options.deployment.branches.keys().cloned().collect();
        (fleet.objects.clone(), branches)
    };
    let mut rng = stage.rng("config-changes");
    let count = stage.lasting.mul_f64(LAST_CHANGE).as_secs();
    for step in 1..=count {
        stage.until((CHANGE_PERIOD * step as u32).div_duration_f64(stage.lasting)).await;
        let begun = SystemTime::now();
        let accepted = match step % 2 {
            0 => change_fleet(&objects, step).await,
            _ => change_branch(&objects, &branches[rng.usize(0..branches.len())], step).await,
        };
        let mut log = stage.config_log().await;
        match accepted {
            Some((key, version)) => log.accept(key, version, begun),
            // The store is down or slow: nobody was told that the change is accepted.
            None => log.not_accepted += 1,
        }
    }
}

/// Changes how long answers are kept: every process follows this object.
async fn change_fleet(objects: &ObjectClient, step: u64) -> Option<(String, StoreRevision)> {
    let mut stored = objects.get::<Value>(FLEET_OBJECT_KEY).await.ok()??;
    stored.value["answer_retention_ms"] = (600_000 + step).into();
    let version = objects.put(FLEET_OBJECT_KEY, stored.version, &stored.value).await.ok()?;
    Some((FLEET_OBJECT_KEY.to_owned(), version))
}

/// Changes a branch's weight: entries follow its shard.
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

/// Kills entries and sidecars in turn and starts them again, also while the store is down.
async fn restart_often(stage: FaultStage) {
    let mut rng = stage.rng("config-restarts");
    for step in 0..RESTARTS {
        stage.until(0.1 + 0.8 * f64::from(step) / f64::from(RESTARTS)).await;
        let place = {
            let mut fleet = stage.fleet().await;
            let Some(place) = process::pick(&fleet, step % 2 == 0, &mut rng) else { continue };
            process::kill(&mut fleet, place);
            stage.config_log().await.leave(name_of(&fleet, place), SystemTime::now());
            place
        };
        smol::Timer::after(DOWN_TIME).await;
        let mut fleet = stage.fleet().await;
        process::restart(&mut fleet, place);
        stage.config_log().await.come_back(name_of(&fleet, place), SystemTime::now());
    }
}

/// One entry and one sidecar lose the store, but not their neighbours: changes must reach them.
async fn cut_from_store(stage: FaultStage) {
    let mut rng = stage.rng("config-no-store");
    stage.until(0.1).await;
    let cut = choose(&*stage.fleet().await, &mut rng);
    set_cut(&*stage.fleet().await, &cut, &["store".to_owned()], true);
    stage.until(0.45).await;
    set_cut(&*stage.fleet().await, &cut, &["store".to_owned()], false);
}

/// Another entry and sidecar are alone with each other; what they miss comes when it is mended.
async fn cut_from_all(stage: FaultStage) {
    let mut rng = stage.rng("config-partition");
    stage.until(0.5).await;
    let (cut, others) = {
        let fleet = stage.fleet().await;
        let cut = choose(&fleet, &mut rng);
        let names = fleet.members.iter().map(|member| member.instance.to_string());
        let others = names.chain(["store".to_owned(), "list".to_owned()]);
        let others: Vec<String> = others.filter(|name| !cut.contains(name)).collect();
        set_cut(&fleet, &cut, &others, true);
        (cut, others)
    };
    for name in &cut {
        stage.config_log().await.leave(name.clone(), SystemTime::now());
    }
    stage.until(0.65).await;
    set_cut(&*stage.fleet().await, &cut, &others, false);
    for name in &cut {
        stage.config_log().await.come_back(name.clone(), SystemTime::now());
    }
}

async fn stop_store(stage: FaultStage) {
    stage.until(0.7).await;
    store::set_outage(&*stage.fleet().await, true);
    stage.until(0.85).await;
    store::set_outage(&*stage.fleet().await, false);
}

fn name_of(fleet: &RunningFleet, place: usize) -> String {
    fleet.members[place].instance.to_string()
}

/// An entry and a sidecar that run.
fn choose(fleet: &RunningFleet, rng: &mut Rng) -> Vec<String> {
    let picked = [true, false].map(|entries| process::pick(fleet, entries, rng));
    let names = picked.into_iter().flatten().map(|place| name_of(fleet, place));
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
