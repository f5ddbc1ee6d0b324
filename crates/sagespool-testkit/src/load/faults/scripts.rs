//! One script per fault. Each undoes its fault before the traffic ends.

use std::time::Duration;

use sagespool_types::{BranchName, TokenCount};

use super::context::FaultContext;
use super::{
    config_churn, drain, home, operators_race, process, rolling_restart, stale_order, store,
};

/// Names of the faults.
pub const FAULT_NAMES: [&str; 15] = [
    "partition-topup",
    "entry-kill",
    "store-outage",
    "lost-answers",
    "paused-holder",
    "sidecar-kill",
    "poison",
    "late-poison",
    "crossed-answers",
    "upstream-kill",
    "rolling-restart",
    "drain",
    "stale-order",
    "operators-race",
    "config-churn",
];

/// Longer than any process's failure detection takes.
const PAUSE: Duration = Duration::from_secs(7);
const LOST_SHARE: f64 = 0.3;
const REORDERED_SHARE: f64 = 0.05;
const DUPLICATED_SHARE: f64 = 0.05;
/// Together with the crashes, about one run in ten fails.
const BROKEN_SHARE: f64 = 0.1;
const TOP_UP: TokenCount = TokenCount(2_000);
const TOP_UPS: u32 = 6;

/// Runs the script of a fault; false if the name is unknown. `poison` and `late-poison` have no
/// script: they are part of the traffic.
pub async fn run_fault(name: &str, context: FaultContext) -> bool {
    match name {
        "partition-topup" => partition_topup(&context).await,
        "entry-kill" => entry_kill(&context).await,
        "store-outage" => store_outage(&context).await,
        "lost-answers" => lost_answers(&context).await,
        "paused-holder" => paused_holder(&context).await,
        "sidecar-kill" => sidecar_kill(&context).await,
        "crossed-answers" => crossed_answers(&context).await,
        "upstream-kill" => upstream_kill(&context).await,
        "rolling-restart" => rolling_restart::rolling_restart(&context).await,
        "drain" => drain::drain(&context).await,
        "stale-order" => stale_order::stale_order(&context).await,
        "operators-race" => operators_race::operators_race(&context).await,
        "config-churn" => config_churn::run(&context).await,
        "poison" | "late-poison" => {}
        _ => return false,
    }
    true
}

/// Partitions one entry and half of the sidecars from the others and the store, and tops up
/// branches meanwhile.
async fn partition_topup(context: &FaultContext) {
    let mut rng = context.rng("partition");
    context.until(0.15).await;
    let (isolated, others) = {
        let fleet = context.fleet().await;
        let Some(proxy) = &fleet.proxy else { return };
        let Some(entry) = process::pick(&fleet, true, &mut rng) else { return };
        let mut isolated = vec![fleet.members[entry].instance.to_string()];
        let mut others = vec!["store".to_owned(), "list".to_owned()];
        for (index, member) in fleet.members.iter().enumerate().filter(|(index, _)| *index != entry)
        {
            let is_isolated = !member.is_entry() && index % 2 == 0;
            if is_isolated { &mut isolated } else { &mut others }.push(member.instance.to_string());
        }
        let names = |group: &[String]| group.iter().map(String::clone).collect::<Vec<_>>();
        proxy.cut_groups(&refs(&isolated), &refs(&others));
        (names(&isolated), names(&others))
    };
    let branches: Vec<BranchName> =
        context.fleet().await.options.deployment.branches.keys().cloned().collect();
    for step in 0..TOP_UPS {
        context.until(0.2 + 0.5 * f64::from(step) / f64::from(TOP_UPS)).await;
        let branch = &branches[rng.usize(0..branches.len())];
        context.top_up(branch, TOP_UP).await;
    }
    context.until(0.75).await;
    let fleet = context.fleet().await;
    if let Some(proxy) = &fleet.proxy {
        proxy.heal_groups(&refs(&isolated), &refs(&others));
    }
}

fn refs(names: &[String]) -> Vec<&str> {
    names.iter().map(String::as_str).collect()
}

/// Kills an entry that is home of some branch while streams are open, and restarts it later as
/// another incarnation.
async fn entry_kill(context: &FaultContext) {
    let mut rng = context.rng("entry-kill");
    context.until(0.3).await;
    let Some(kill) = home::kill_one(&mut *context.fleet().await, &mut rng).await else { return };
    let index = kill.index;
    let watch = smol::spawn(home::watch_settled(context.clone(), kill));
    context.until(0.7).await;
    process::restart(&mut *context.fleet().await, index);
    watch.await;
}

/// An outage of the store for half of the time.
async fn store_outage(context: &FaultContext) {
    context.until(0.25).await;
    store::set_outage(&*context.fleet().await, true);
    context.until(0.75).await;
    store::set_outage(&*context.fleet().await, false);
}

/// The store applies writes but loses a share of the answers.
async fn lost_answers(context: &FaultContext) {
    context.until(0.1).await;
    store::set_lost_answers(&*context.fleet().await, LOST_SHARE);
    context.until(0.9).await;
    store::set_lost_answers(&*context.fleet().await, 0.0);
}

/// Pauses an entry for longer than any timeout of the others, and resumes it.
async fn paused_holder(context: &FaultContext) {
    let mut rng = context.rng("paused-holder");
    context.until(0.3).await;
    let index = {
        let fleet = context.fleet().await;
        let Some(index) = process::pick(&fleet, true, &mut rng) else { return };
        if let Some(process) = &fleet.members[index].process {
            let _ = process.pause();
        }
        index
    };
    smol::Timer::after(PAUSE).await;
    let fleet = context.fleet().await;
    if let Some(process) = &fleet.members[index].process {
        let _ = process.resume();
    }
}

/// Kills a sidecar while its upstream continues, and restarts it later without its state.
async fn sidecar_kill(context: &FaultContext) {
    let mut rng = context.rng("sidecar-kill");
    context.until(0.35).await;
    let index = {
        let mut fleet = context.fleet().await;
        let Some(index) = process::pick(&fleet, false, &mut rng) else { return };
        process::kill(&mut fleet, index);
        index
    };
    context.until(0.55).await;
    process::restart(&mut *context.fleet().await, index);
}

/// Reorders and duplicates packets between processes.
async fn crossed_answers(context: &FaultContext) {
    let set = async |reordered: f64, duplicated: f64| {
        let fleet = context.fleet().await;
        let Some(proxy) = &fleet.proxy else { return };
        let names: Vec<String> =
            fleet.members.iter().map(|member| member.instance.to_string()).collect();
        for (index, one) in names.iter().enumerate() {
            for other in &names[index + 1..] {
                proxy.reorder_share(one, other, reordered);
                proxy.duplicate_share(one, other, duplicated);
            }
        }
    };
    context.until(0.1).await;
    set(REORDERED_SHARE, DUPLICATED_SHARE).await;
    context.until(0.9).await;
    set(0.0, 0.0).await;
}

/// Engines break a share of their streams throughout; four times one of them crashes during its
/// other streams and restarts.
async fn upstream_kill(context: &FaultContext) {
    let mut rng = context.rng("upstream-kill");
    let break_streams = async |share: f64| {
        for engine in context.fleet().await.engines.values() {
            engine.set_break_share(share);
        }
    };
    break_streams(BROKEN_SHARE).await;
    for step in 0..4 {
        let share = 0.15 + 0.18 * f64::from(step);
        context.until(share).await;
        let engine = {
            let fleet = context.fleet().await;
            let engines: Vec<_> = fleet.engines.values().cloned().collect();
            rng.choice(engines)
        };
        let Some(engine) = engine else { return };
        engine.crash();
        context.until(share + 0.09).await;
        if let Err(report) = engine.restart() {
            eprintln!("{report:?}");
        }
    }
    context.until(0.95).await;
    break_streams(0.0).await;
}
