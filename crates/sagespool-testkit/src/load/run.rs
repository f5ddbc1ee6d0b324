//! Sending planned calls: open loop, so that a slow answer never slows the arrivals down.

use std::net::SocketAddr;
use std::time::Duration;

use sagespool_types::ClockTime;

use super::{CallOutcome, CallRecord, EntryBalancer, LoadCaller, PlannedCall};

/// How often a caller with a key comes back after its connection broke.
const MOST_SENDS: usize = 12;
const COME_BACK: Duration = Duration::from_millis(100);

/// Sends calls at their times to the entries, and waits until each has ended.
///
/// A caller whose connection breaks comes back through the next entry if it has a key, with the
/// same one, for as long as its deadline lasts; without a key it gives up, since it could ask for
/// a second run unknowingly. A refusal because an entry is leaving or not ready sends any caller on.
pub async fn run_calls(calls: Vec<PlannedCall>, entries: Vec<SocketAddr>) -> Vec<CallRecord> {
    run_balanced(calls, EntryBalancer::new(entries)).await
}

/// The same behind a balancer, which passes over entries that it knows not to be ready.
pub async fn run_balanced(calls: Vec<PlannedCall>, balancer: EntryBalancer) -> Vec<CallRecord> {
    let caller = LoadCaller::new();
    let start = ClockTime::now();
    let mut tasks = Vec::with_capacity(calls.len());
    for call in calls {
        let due = start.after(call.at);
        let now = ClockTime::now();
        if due > now {
            smol::Timer::after(due.since(now)).await;
        }
        let (caller, balancer) = (caller.clone(), balancer.clone());
        tasks.push(smol::spawn(async move { run_call(&caller, call, &balancer).await }));
    }
    let mut records = Vec::with_capacity(tasks.len());
    for task in tasks {
        records.push(task.await);
    }
    records
}

async fn run_call(caller: &LoadCaller, call: PlannedCall, balancer: &EntryBalancer) -> CallRecord {
    let mut record = CallRecord { call, sends: Vec::new() };
    let mut wanted = record.call.entry;
    let deadline = ClockTime::now().after(record.call.deadline);
    let mut repeat_left = record.call.repeated;
    while record.sends.len() < MOST_SENDS {
        let mut call = record.call.clone();
        call.deadline = deadline.since(ClockTime::now()).max(Duration::from_millis(50));
        let (entry, address) = balancer.pick(wanted);
        let send = caller.send(&call, entry, address).await;
        let outcome = send.outcome.clone();
        record.sends.push(send);
        let again = match &outcome {
            CallOutcome::Whole { .. } => std::mem::take(&mut repeat_left),
            CallOutcome::Broken(_) => record.call.key.is_some(),
            CallOutcome::Refused { reason, .. } => reason == "leaving" || reason == "not-ready",
            CallOutcome::Invalid { .. } => false,
        };
        let late = ClockTime::now() >= deadline;
        if !again || late {
            break;
        }
        wanted = entry + 1;
        if !matches!(outcome, CallOutcome::Whole { .. }) {
            smol::Timer::after(COME_BACK).await;
        }
    }
    record
}
