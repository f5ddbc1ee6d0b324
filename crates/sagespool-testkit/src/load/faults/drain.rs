//! Upstreams are drained by an operator, by the instance list, and by a signal while the platform is
//! down; each comes back and gets work again.

use std::net::SocketAddr;
use std::time::Duration;

use sagespool_operations::{AnswerBody, ItemOutcome, OutcomeState, new_command_id};
use sagespool_types::{ClockTime, WallTime};

use super::graceful;
use super::rolling_restart::upstream_of;
use super::stage::FaultStage;
use crate::fleet::{ProcessEventKind, RunningFleet};

/// Well over the 3 s after which nothing may come any more.
const DRAINED_FOR: Duration = Duration::from_secs(6);
/// Long enough for entries to find the sidecar's new run.
const RESTARTED_FOR: Duration = Duration::from_secs(4);
/// The list is so late that it says nothing in time.
const LATE_LIST: Duration = Duration::from_secs(30);
/// Times that a command is given again, with the same id, until it has ended.
const MOST_TRIES: usize = 3;
/// For a stop by the instance list, after it has said so.
const STOP_LIMIT: Duration = Duration::from_secs(40);

/// The three ways, one after the other, each at another upstream.
pub(super) async fn drain(stage: &FaultStage) {
    let mut rng = stage.rng("drain");
    let mut sidecars: Vec<usize> = {
        let fleet = stage.fleet().await;
        (0..fleet.members.len()).filter(|place| !fleet.members[*place].is_entry()).collect()
    };
    rng.shuffle(&mut sidecars);
    stage.until(0.05).await;
    by_operator(stage, sidecars[0]).await;
    by_list(stage, sidecars[1]).await;
    without_platform(stage, sidecars[2 % sidecars.len()]).await;
}

/// An operator drains an upstream through one entry and lets it work again through another. The
/// instance list never says anything.
async fn by_operator(stage: &FaultStage, place: usize) {
    let Some(upstream) = upstream_of(stage, place).await else { return };
    let entries = stage.fleet().await.entry_addresses();
    let span = stage.notes.begin(&upstream, "operator's drain", ClockTime::now());
    command(stage, entries[0], &format!("drain {upstream}")).await;
    smol::Timer::after(DRAINED_FOR).await;
    // The sidecar's next run must still be drained.
    graceful::stop(stage, place, false).await;
    graceful::start(stage, place).await;
    smol::Timer::after(RESTARTED_FOR).await;
    stage.notes.end(span, ClockTime::now(), true);
    command(stage, entries[entries.len() - 1], &format!("undrain {upstream}")).await;
}

/// Gives a command until it has ended; a finding if an item didn't go well.
async fn command(stage: &FaultStage, entry: SocketAddr, line: &str) {
    let operator = stage.operator().await;
    let command = new_command_id(WallTime::now());
    let mut heard = String::new();
    for _ in 0..MOST_TRIES {
        match operator.give(entry, line, command).await {
            Ok(answer) => match ended_items(answer.answer) {
                Some(outcomes) if outcomes.iter().all(is_done) => return,
                Some(outcomes) => heard = format!("{outcomes:?}"),
                None => heard = "it is under way".to_owned(),
            },
            Err(fault) => heard = fault,
        }
    }
    stage.notes.find(format!("`{line}` wasn't done: {heard}"));
}

fn is_done(outcome: &ItemOutcome) -> bool {
    matches!(outcome.state, OutcomeState::Done | OutcomeState::Already)
}

fn ended_items(answer: AnswerBody) -> Option<Vec<ItemOutcome>> {
    let AnswerBody::Command(command) = answer else { return None };
    command.items.into_iter().map(|item| item.outcome).collect()
}

/// The platform takes an instance away: its list says so, late.
async fn by_list(stage: &FaultStage, place: usize) {
    let Some(upstream) = upstream_of(stage, place).await else { return };
    let (list_lag, limit) = {
        let mut fleet = stage.fleet().await;
        fleet.record_process_event(place, ProcessEventKind::Stopping);
        fleet.list.mark_leaving(&fleet.members[place].instance);
        (fleet.options.list_lag, fleet.options.stop_limit + STOP_LIMIT)
    };
    // Nobody can know before the list shows it.
    let span = stage.notes.begin(&upstream, "instance list", ClockTime::now().after(list_lag));
    graceful::wait_ended(stage, place, limit).await;
    stage.notes.end(span, ClockTime::now(), true);
    graceful::start(stage, place).await;
}

/// The platform is down, store and list, and a sidecar is told to end: only it knows.
async fn without_platform(stage: &FaultStage, place: usize) {
    let Some(upstream) = upstream_of(stage, place).await else { return };
    {
        let fleet = stage.fleet().await;
        fleet.list.set_lag(LATE_LIST);
        set_platform(&fleet, false);
    }
    let span = stage.notes.begin(&upstream, "stop without the platform", ClockTime::now());
    signal(stage, place).await;
    smol::Timer::after(DRAINED_FOR).await;
    {
        let fleet = stage.fleet().await;
        set_platform(&fleet, true);
        fleet.list.set_lag(fleet.options.list_lag);
    }
    graceful::wait_ended(stage, place, STOP_LIMIT).await;
    stage.notes.end(span, ClockTime::now(), true);
    graceful::start(stage, place).await;
}

async fn signal(stage: &FaultStage, place: usize) {
    let mut fleet = stage.fleet().await;
    fleet.record_process_event(place, ProcessEventKind::Stopping);
    if let Some(process) = &fleet.members[place].process {
        let _ = process.terminate();
    }
}

/// Cuts every process off from the store and the list, or not any more.
fn set_platform(fleet: &RunningFleet, is_there: bool) {
    let Some(proxy) = &fleet.proxy else { return };
    let members: Vec<&str> = fleet.members.iter().map(|member| member.instance.as_str()).collect();
    let platform = ["store", "list"];
    match is_there {
        true => proxy.heal_groups(&members, &platform),
        false => proxy.cut_groups(&members, &platform),
    }
}
