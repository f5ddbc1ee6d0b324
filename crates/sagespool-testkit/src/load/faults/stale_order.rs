//! Orders that arrive late: over a delayed link, from an entry that was paused, and at a sidecar
//! that was restarted in between. Every second engine ignores fencing numbers.

use std::net::SocketAddr;
use std::time::Duration;

use sagespool_operations::new_command_id;
use sagespool_types::{CommandId, UpstreamName, WallTime};

use super::context::FaultContext;
use super::{graceful, process};

/// Network delay of the late order.
const ORDER_DELAY: Duration = Duration::from_millis(1500);
/// An order gets its fencing number within this time.
const FENCE_ASSIGN_TIME: Duration = Duration::from_millis(500);
/// Slows the assignment of the number, so that a pause can begin just after it.
const STORE_DELAY: Duration = Duration::from_millis(60);
/// Upper bound of the random wait before the pause.
const MAX_PAUSE_WAIT_MS: u64 = 700;
/// Exceeds the 3 s of silence after which another entry takes over a command.
const PAUSE_TIME: Duration = Duration::from_secs(5);

/// The task that sends an order and waits for its answer.
type OrderTask = smol::Task<()>;

/// Runs the three kinds of late order at each engine in turn, during the traffic.
pub(super) async fn stale_order(context: &FaultContext) {
    let mut rng = context.rng("stale-order");
    let sidecars: Vec<(usize, UpstreamName)> = {
        let fleet = context.fleet().await;
        let members = fleet.members.iter().enumerate();
        let beside =
            members.filter_map(|(index, member)| Some((index, member.upstream.clone()?.0)));
        beside.filter(|(_, upstream)| fleet.engines.contains_key(upstream)).collect()
    };
    context.until(0.05).await;
    let mut round = 0;
    while context.share_passed() < 0.8 {
        let (index, upstream) = &sidecars[round % sidecars.len()];
        match (round + round / sidecars.len()) % 3 {
            0 => delayed_entry(context, *index, upstream, false).await,
            1 => delayed_entry(context, *index, upstream, true).await,
            _ => {
                let wait = Duration::from_millis(rng.u64(0..MAX_PAUSE_WAIT_MS));
                paused_entry(context, upstream, wait).await;
            }
        }
        round += 1;
    }
}

async fn entry_at(context: &FaultContext, index: usize) -> SocketAddr {
    context.fleet().await.entry_addresses()[index]
}

/// Sends an order to unload a model that no engine has. Orders to load a model are serialized over
/// the whole fleet, so that none could overtake another.
async fn send_order(
    context: &FaultContext,
    entry: usize,
    upstream: &UpstreamName,
    command: CommandId,
) -> OrderTask {
    let operator = context.operator().await;
    let address = entry_at(context, entry).await;
    let name = command.to_string();
    let model = format!("spare-{}", &name[name.len().saturating_sub(6)..]);
    let line = format!("unload {model} on {upstream}");
    let fault_log = context.fault_log.clone();
    smol::spawn(async move {
        if let Err(error) = operator.run_command(address, &line, command).await
            && !error.contains("no answer")
        {
            fault_log.add_finding(format!("order failed: {error}"));
        }
    })
}

fn new_id() -> CommandId {
    new_command_id(WallTime::now())
}

/// The first entry's order is delayed and another entry's overtakes it. With `restarts` the sidecar
/// is restarted in between, so that the late order is among the first that it receives.
async fn delayed_entry(
    context: &FaultContext,
    sidecar: usize,
    upstream: &UpstreamName,
    restarts: bool,
) {
    set_delay(context, sidecar, ORDER_DELAY).await;
    let late = send_order(context, 0, upstream, new_id()).await;
    smol::Timer::after(FENCE_ASSIGN_TIME).await;
    send_order(context, 1, upstream, new_id()).await.await;
    if restarts {
        process::kill(&mut *context.fleet().await, sidecar);
        graceful::start(context, sidecar).await;
    }
    late.await;
    set_delay(context, sidecar, Duration::ZERO).await;
}

async fn set_delay(context: &FaultContext, sidecar: usize, delay: Duration) {
    let fleet = context.fleet().await;
    let names = (&fleet.members[0].instance, &fleet.members[sidecar].instance);
    if let Some(proxy) = &fleet.proxy {
        proxy.delay(names.0.as_str(), names.1.as_str(), delay);
    }
}

/// Pauses the first entry while it carries out an order. The operator repeats the command through
/// another entry and sends one more; then the first entry resumes.
async fn paused_entry(context: &FaultContext, upstream: &UpstreamName, wait: Duration) {
    set_store_delay(context, STORE_DELAY).await;
    let command = new_id();
    let first = send_order(context, 0, upstream, command).await;
    smol::Timer::after(wait).await;
    if let Some(process) = &context.fleet().await.members[0].process {
        let _ = process.pause();
    }
    set_store_delay(context, Duration::ZERO).await;
    let second = send_order(context, 1, upstream, command).await;
    smol::Timer::after(PAUSE_TIME).await;
    send_order(context, 1, upstream, new_id()).await.await;
    if let Some(process) = &context.fleet().await.members[0].process {
        let _ = process.resume();
    }
    first.await;
    second.await;
}

async fn set_store_delay(context: &FaultContext, delay: Duration) {
    let fleet = context.fleet().await;
    let mut faults = fleet.store.faults();
    faults.delay = delay;
    fleet.store.set_faults(faults);
}
