//! Drains upstreams by an operator's command, by the instance list, and by a signal during an
//! outage of the platform; each returns and must receive work again.

use std::net::SocketAddr;
use std::time::Duration;

use sagespool_operations::{AnswerBody, ItemOutcome, OutcomeState, new_command_id};
use sagespool_types::{ClockTime, WallTime};

use super::context::FaultContext;
use super::graceful;
use super::rolling_restart::upstream_of;
use crate::fleet::{ProcessEventKind, RunningFleet};

/// Well over the 3 s after which an upstream must receive no more work.
const DRAIN_TIME: Duration = Duration::from_secs(6);
/// Long enough for entries to discover the sidecar's new incarnation.
const RESTART_SETTLE_TIME: Duration = Duration::from_secs(4);
/// Lag of the instance list that exceeds the duration of the outage.
const OUTAGE_LIST_LAG: Duration = Duration::from_secs(30);
/// Attempts for a command, all with the same id.
const MAX_ATTEMPTS: usize = 3;
/// Time limit for a stop, besides the configured one.
const STOP_LIMIT: Duration = Duration::from_secs(40);

/// Runs the three kinds of drain one after the other, each at another upstream.
pub(super) async fn drain(context: &FaultContext) {
    let mut rng = context.rng("drain");
    let mut sidecars: Vec<usize> = {
        let fleet = context.fleet().await;
        (0..fleet.members.len()).filter(|index| !fleet.members[*index].is_entry()).collect()
    };
    rng.shuffle(&mut sidecars);
    context.until(0.05).await;
    by_operator(context, sidecars[0]).await;
    by_list(context, sidecars[1]).await;
    without_platform(context, sidecars[2 % sidecars.len()]).await;
}

/// An operator drains an upstream through one entry and undrains it through another. The instance
/// list does not change.
async fn by_operator(context: &FaultContext, index: usize) {
    let Some(upstream) = upstream_of(context, index).await else { return };
    let entries = context.fleet().await.entry_addresses();
    let span = context.fault_log.begin_leaving(&upstream, "operator's drain", ClockTime::now());
    command(context, entries[0], &format!("drain {upstream}")).await;
    smol::Timer::after(DRAIN_TIME).await;
    // The upstream must stay drained after a restart of its sidecar.
    graceful::stop(context, index, false).await;
    graceful::start(context, index).await;
    smol::Timer::after(RESTART_SETTLE_TIME).await;
    context.fault_log.end_leaving(span, ClockTime::now(), true);
    command(context, entries[entries.len() - 1], &format!("undrain {upstream}")).await;
}

/// Repeats a command until it has ended; adds a finding if an item failed.
async fn command(context: &FaultContext, entry: SocketAddr, line: &str) {
    let operator = context.operator().await;
    let command = new_command_id(WallTime::now());
    let mut last_reply = String::new();
    for _ in 0..MAX_ATTEMPTS {
        match operator.run_command(entry, line, command).await {
            Ok(answer) => match ended_items(answer.answer) {
                Some(outcomes) if outcomes.iter().all(is_done) => return,
                Some(outcomes) => last_reply = format!("{outcomes:?}"),
                None => last_reply = "still running".to_owned(),
            },
            Err(error) => last_reply = error,
        }
    }
    context.fault_log.add_finding(format!(
        "command `{line}` not done after {MAX_ATTEMPTS} attempts: {last_reply}"
    ));
}

fn is_done(outcome: &ItemOutcome) -> bool {
    matches!(outcome.state, OutcomeState::Done | OutcomeState::Already)
}

fn ended_items(answer: AnswerBody) -> Option<Vec<ItemOutcome>> {
    let AnswerBody::Command(command) = answer else { return None };
    command.items.into_iter().map(|item| item.outcome).collect()
}

/// The platform removes an instance, which the instance list shows after its lag.
async fn by_list(context: &FaultContext, index: usize) {
    let Some(upstream) = upstream_of(context, index).await else { return };
    let (list_lag, limit) = {
        let mut fleet = context.fleet().await;
        fleet.record_process_event(index, ProcessEventKind::Stopping);
        fleet.list.mark_leaving(&fleet.members[index].instance);
        (fleet.options.list_lag, fleet.options.stop_limit + STOP_LIMIT)
    };
    // No process can learn of it before the list shows it.
    let span = context.fault_log.begin_leaving(
        &upstream,
        "instance list",
        ClockTime::now().after(list_lag),
    );
    graceful::wait_ended(context, index, limit).await;
    context.fault_log.end_leaving(span, ClockTime::now(), true);
    graceful::start(context, index).await;
}

/// Store and instance list are unreachable, and a sidecar gets a termination signal: entries can
/// learn of it from the sidecar only.
async fn without_platform(context: &FaultContext, index: usize) {
    let Some(upstream) = upstream_of(context, index).await else { return };
    {
        let fleet = context.fleet().await;
        fleet.list.set_lag(OUTAGE_LIST_LAG);
        set_platform(&fleet, false);
    }
    let span =
        context.fault_log.begin_leaving(&upstream, "stop without the platform", ClockTime::now());
    signal(context, index).await;
    smol::Timer::after(DRAIN_TIME).await;
    {
        let fleet = context.fleet().await;
        set_platform(&fleet, true);
        fleet.list.set_lag(fleet.options.list_lag);
    }
    graceful::wait_ended(context, index, STOP_LIMIT).await;
    context.fault_log.end_leaving(span, ClockTime::now(), true);
    graceful::start(context, index).await;
}

async fn signal(context: &FaultContext, index: usize) {
    let mut fleet = context.fleet().await;
    fleet.record_process_event(index, ProcessEventKind::Stopping);
    if let Some(process) = &fleet.members[index].process {
        let _ = process.terminate();
    }
}

/// Partitions every process from the store and the instance list, or heals the partition.
fn set_platform(fleet: &RunningFleet, reachable: bool) {
    let Some(proxy) = &fleet.proxy else { return };
    let members: Vec<&str> = fleet.members.iter().map(|member| member.instance.as_str()).collect();
    let platform = ["store", "list"];
    match reachable {
        true => proxy.heal_groups(&members, &platform),
        false => proxy.cut_groups(&members, &platform),
    }
}
