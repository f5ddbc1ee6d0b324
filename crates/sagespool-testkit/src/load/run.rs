//! Sends planned calls in an open loop: slow answers do not delay later arrivals.

use std::net::SocketAddr;
use std::time::Duration;

use sagespool_types::ClockTime;

use super::{CallOutcome, CallRecord, EntryBalancer, LoadCaller, PlannedCall};

/// Limit on the sends of one call.
const MAX_SENDS: usize = 12;
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Sends calls to the entries at their planned times and waits for all outcomes.
///
/// After a broken connection a call with a key is retried through the next entry with the same key
/// until its deadline. A call without a key is not retried, since that could cause a second run. A
/// refusal by an entry that is leaving or not ready is always retried.
pub async fn run_calls(calls: Vec<PlannedCall>, entries: Vec<SocketAddr>) -> Vec<CallRecord> {
    run_balanced(calls, EntryBalancer::new(entries)).await
}

/// Like [`run_calls`], through a balancer that skips entries that are not ready.
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
    while record.sends.len() < MAX_SENDS {
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
            smol::Timer::after(RETRY_PAUSE).await;
        }
    }
    record
}
