//! Orders that arrive late: through an entry far away, from an entry that was paused, and at a
//! sidecar that was restarted in between. Every second engine ignores fencing numbers.

use std::net::SocketAddr;
use std::time::Duration;

use sagespool_operations::new_command_id;
use sagespool_types::{CommandId, UpstreamName, WallTime};

use super::stage::FaultStage;
use super::{graceful, process};

/// How long the late order is on its way.
const LATENESS: Duration = Duration::from_millis(1500);
/// An order's number is taken within this time.
const NUMBER_TIME: Duration = Duration::from_millis(500);
/// Slows the number's taking down, so that a pause can fall just behind it.
const STORE_DELAY: Duration = Duration::from_millis(60);
/// The longest wait before the pause.
const PAUSE_AFTER_MS: u64 = 700;
/// Another entry takes a command up after 3 s of silence.
const PAUSED_FOR: Duration = Duration::from_secs(5);

/// An order that is under way.
type GivenOrder = smol::Task<()>;

/// The three ways at each engine in turn, for as long as the traffic lasts.
pub(super) async fn stale_order(stage: &FaultStage) {
    let mut rng = stage.rng("stale-order");
    let sidecars: Vec<(usize, UpstreamName)> = {
        let fleet = stage.fleet().await;
        let members = fleet.members.iter().enumerate();
        let beside =
            members.filter_map(|(place, member)| Some((place, member.upstream.clone()?.0)));
        beside.filter(|(_, upstream)| fleet.engines.contains_key(upstream)).collect()
    };
    stage.until(0.05).await;
    let mut round = 0;
    while stage.share_passed() < 0.8 {
        let (place, upstream) = &sidecars[round % sidecars.len()];
        match (round + round / sidecars.len()) % 3 {
            0 => delayed_entry(stage, *place, upstream, false).await,
            1 => delayed_entry(stage, *place, upstream, true).await,
            _ => {
                let wait = Duration::from_millis(rng.u64(0..PAUSE_AFTER_MS));
                paused_entry(stage, upstream, wait).await;
            }
        }
        round += 1;
    }
}

async fn entry_at(stage: &FaultStage, place: usize) -> SocketAddr {
    stage.fleet().await.entry_addresses()[place]
}

/// Gives an order of its own: to unload a model that nobody has. Orders to load take turns over the
/// whole fleet, so that none overtakes another.
async fn give(
    stage: &FaultStage,
    entry: usize,
    upstream: &UpstreamName,
    command: CommandId,
) -> GivenOrder {
    let operator = stage.operator().await;
    let address = entry_at(stage, entry).await;
    let name = command.to_string();
    let model = format!("spare-{}", &name[name.len().saturating_sub(6)..]);
    let line = format!("unload {model} on {upstream}");
    let notes = stage.notes.clone();
    smol::spawn(async move {
        if let Err(fault) = operator.give(address, &line, command).await
            && !fault.contains("no answer")
        {
            notes.find(format!("an order wasn't answered: {fault}"));
        }
    })
}

fn new_id() -> CommandId {
    new_command_id(WallTime::now())
}

/// The first entry's order is on its way for long; another's overtakes it. The sidecar may die and
/// come back in between: then the late order is among the first that it gets.
async fn delayed_entry(
    stage: &FaultStage,
    sidecar: usize,
    upstream: &UpstreamName,
    restarts: bool,
) {
    set_delay(stage, sidecar, LATENESS).await;
    let late = give(stage, 0, upstream, new_id()).await;
    smol::Timer::after(NUMBER_TIME).await;
    give(stage, 1, upstream, new_id()).await.await;
    if restarts {
        process::kill(&mut *stage.fleet().await, sidecar);
        graceful::start(stage, sidecar).await;
    }
    late.await;
    set_delay(stage, sidecar, Duration::ZERO).await;
}

async fn set_delay(stage: &FaultStage, sidecar: usize, delay: Duration) {
    let fleet = stage.fleet().await;
    let names = (&fleet.members[0].instance, &fleet.members[sidecar].instance);
    if let Some(proxy) = &fleet.proxy {
        proxy.delay(names.0.as_str(), names.1.as_str(), delay);
    }
}

/// The first entry is paused while it gives an order. The operator comes back through another with
/// the same command, and gives one more; then the first goes on unaware.
async fn paused_entry(stage: &FaultStage, upstream: &UpstreamName, wait: Duration) {
    set_store_delay(stage, STORE_DELAY).await;
    let command = new_id();
    let first = give(stage, 0, upstream, command).await;
    smol::Timer::after(wait).await;
    if let Some(process) = &stage.fleet().await.members[0].process {
        let _ = process.pause();
    }
    set_store_delay(stage, Duration::ZERO).await;
    let second = give(stage, 1, upstream, command).await;
    smol::Timer::after(PAUSED_FOR).await;
    give(stage, 1, upstream, new_id()).await.await;
    if let Some(process) = &stage.fleet().await.members[0].process {
        let _ = process.resume();
    }
    first.await;
    second.await;
}

async fn set_store_delay(stage: &FaultStage, delay: Duration) {
    let fleet = stage.fleet().await;
    let mut faults = fleet.store.faults();
    faults.delay = delay;
    fleet.store.set_faults(faults);
}
