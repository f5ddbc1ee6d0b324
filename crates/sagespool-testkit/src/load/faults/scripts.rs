//! One script a fault. Each undoes what it did before the traffic ends.

use std::time::Duration;

use sagespool_types::{BranchName, TokenCount};

use super::stage::FaultStage;
use super::{
    config_churn, drain, home, operators_race, process, rolling_restart, stale_order, store,
};

/// The faults by name.
pub const FAULT_NAMES: [&str; 14] = [
    "partition-topup",
    "entry-kill",
    "store-outage",
    "lost-answers",
    "paused-holder",
    "sidecar-kill",
    "poison",
    "crossed-answers",
    "upstream-kill",
    "rolling-restart",
    "drain",
    "stale-order",
    "operators-race",
    "config-churn",
];

/// Longer than any process takes to believe another dead.
const PAUSE: Duration = Duration::from_secs(7);
const LOST_SHARE: f64 = 0.3;
const REORDERED_SHARE: f64 = 0.05;
const DUPLICATED_SHARE: f64 = 0.05;
/// With the crashes, about one run in ten fails.
const BROKEN_SHARE: f64 = 0.1;
const TOP_UP: TokenCount = TokenCount(2_000);
const TOP_UPS: u32 = 6;

/// Runs the script of a fault; false if there is none of that name. `poison` is in the traffic.
pub async fn run_fault(name: &str, stage: FaultStage) -> bool {
    match name {
        "partition-topup" => partition_topup(&stage).await,
        "entry-kill" => entry_kill(&stage).await,
        "store-outage" => store_outage(&stage).await,
        "lost-answers" => lost_answers(&stage).await,
        "paused-holder" => paused_holder(&stage).await,
        "sidecar-kill" => sidecar_kill(&stage).await,
        "crossed-answers" => crossed_answers(&stage).await,
        "upstream-kill" => upstream_kill(&stage).await,
        "rolling-restart" => rolling_restart::rolling_restart(&stage).await,
        "drain" => drain::drain(&stage).await,
        "stale-order" => stale_order::stale_order(&stage).await,
        "operators-race" => operators_race::operators_race(&stage).await,
        "config-churn" => config_churn::run(&stage).await,
        "poison" => {}
        _ => return false,
    }
    true
}

/// One entry and half of the sidecars are cut off from the rest and from the store, while the
/// branches are topped up.
async fn partition_topup(stage: &FaultStage) {
    let mut rng = stage.rng("partition");
    stage.until(0.15).await;
    let (lone, others) = {
        let fleet = stage.fleet().await;
        let Some(proxy) = &fleet.proxy else { return };
        let Some(entry) = process::pick(&fleet, true, &mut rng) else { return };
        let mut lone = vec![fleet.members[entry].instance.to_string()];
        let mut others = vec!["store".to_owned(), "list".to_owned()];
        for (place, member) in fleet.members.iter().enumerate().filter(|(place, _)| *place != entry)
        {
            let with_lone = !member.is_entry() && place % 2 == 0;
            if with_lone { &mut lone } else { &mut others }.push(member.instance.to_string());
        }
        let names = |group: &[String]| group.iter().map(String::clone).collect::<Vec<_>>();
        proxy.cut_groups(&refs(&lone), &refs(&others));
        (names(&lone), names(&others))
    };
    let branches: Vec<BranchName> =
        stage.fleet().await.options.deployment.branches.keys().cloned().collect();
    for step in 0..TOP_UPS {
        stage.until(0.2 + 0.5 * f64::from(step) / f64::from(TOP_UPS)).await;
        let branch = &branches[rng.usize(0..branches.len())];
        stage.top_up(branch, TOP_UP).await;
    }
    stage.until(0.75).await;
    let fleet = stage.fleet().await;
    if let Some(proxy) = &fleet.proxy {
        proxy.heal_groups(&refs(&lone), &refs(&others));
    }
}

fn refs(names: &[String]) -> Vec<&str> {
    names.iter().map(String::as_str).collect()
}

/// An entry that is home of some branch dies with streams open, and comes back later as another
/// incarnation.
async fn entry_kill(stage: &FaultStage) {
    let mut rng = stage.rng("entry-kill");
    stage.until(0.3).await;
    let Some(kill) = home::kill_one(&mut *stage.fleet().await, &mut rng).await else { return };
    let place = kill.place;
    let watch = smol::spawn(home::watch_settled(stage.clone(), kill));
    stage.until(0.7).await;
    process::restart(&mut *stage.fleet().await, place);
    watch.await;
}

/// The store is out of service for half of the time.
async fn store_outage(stage: &FaultStage) {
    stage.until(0.25).await;
    store::set_outage(&*stage.fleet().await, true);
    stage.until(0.75).await;
    store::set_outage(&*stage.fleet().await, false);
}

/// The store takes writes and loses their answers.
async fn lost_answers(stage: &FaultStage) {
    stage.until(0.1).await;
    store::set_lost_answers(&*stage.fleet().await, LOST_SHARE);
    stage.until(0.9).await;
    store::set_lost_answers(&*stage.fleet().await, 0.0);
}

/// An entry is paused for longer than anybody waits for it, and goes on unaware.
async fn paused_holder(stage: &FaultStage) {
    let mut rng = stage.rng("paused-holder");
    stage.until(0.3).await;
    let place = {
        let fleet = stage.fleet().await;
        let Some(place) = process::pick(&fleet, true, &mut rng) else { return };
        if let Some(process) = &fleet.members[place].process {
            let _ = process.pause();
        }
        place
    };
    smol::Timer::after(PAUSE).await;
    let fleet = stage.fleet().await;
    if let Some(process) = &fleet.members[place].process {
        let _ = process.resume();
    }
}

/// A sidecar dies, its upstream goes on; it comes back later with nothing remembered.
async fn sidecar_kill(stage: &FaultStage) {
    let mut rng = stage.rng("sidecar-kill");
    stage.until(0.35).await;
    let place = {
        let mut fleet = stage.fleet().await;
        let Some(place) = process::pick(&fleet, false, &mut rng) else { return };
        process::kill(&mut fleet, place);
        place
    };
    stage.until(0.55).await;
    process::restart(&mut *stage.fleet().await, place);
}

/// Packets between processes are late, doubled and out of order.
async fn crossed_answers(stage: &FaultStage) {
    let set = async |reordered: f64, duplicated: f64| {
        let fleet = stage.fleet().await;
        let Some(proxy) = &fleet.proxy else { return };
        let names: Vec<String> =
            fleet.members.iter().map(|member| member.instance.to_string()).collect();
        for (place, one) in names.iter().enumerate() {
            for other in &names[place + 1..] {
                proxy.reorder_share(one, other, reordered);
                proxy.duplicate_share(one, other, duplicated);
            }
        }
    };
    stage.until(0.1).await;
    set(REORDERED_SHARE, DUPLICATED_SHARE).await;
    stage.until(0.9).await;
    set(0.0, 0.0).await;
}

/// Engines break a share of their streams all the time, and crash in the middle of the others
/// one after the other, and come back.
async fn upstream_kill(stage: &FaultStage) {
    let mut rng = stage.rng("upstream-kill");
    let break_streams = async |share: f64| {
        for engine in stage.fleet().await.engines.values() {
            engine.set_break_share(share);
        }
    };
    break_streams(BROKEN_SHARE).await;
    for step in 0..4 {
        let share = 0.15 + 0.18 * f64::from(step);
        stage.until(share).await;
        let engine = {
            let fleet = stage.fleet().await;
            let engines: Vec<_> = fleet.engines.values().cloned().collect();
            rng.choice(engines)
        };
        let Some(engine) = engine else { return };
        engine.crash();
        stage.until(share + 0.09).await;
        if let Err(report) = engine.restart() {
            eprintln!("{report:?}");
        }
    }
    stage.until(0.95).await;
    break_streams(0.0).await;
}
