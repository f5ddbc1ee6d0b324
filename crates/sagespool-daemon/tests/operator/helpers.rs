//! Queries and changes of the fleet for operators' tests.

use std::time::Duration;

use sagespool_ledger::{BookRecord, book_key, book_of};
use sagespool_operations::{
    AnswerBody, CommandRecord, ConfigurationAnswer, HistoryAnswer, OperatorLine, UpstreamRow,
    command_key, new_command_id, parse_line,
};
use sagespool_platform::{UpdateChoice, update_object};
use sagespool_settings::{BranchObject, branch_object_key, branch_shard};
use sagespool_testkit::StoreFaults;
use sagespool_testkit::load::{PlanBuilder, PlannedCall, traffic_of};
use sagespool_types::{BranchName, CommandId, IncarnationId, StoreRevision, WallTime};

use super::OperatorHarness;

/// Member index of the entry in the data centre `east`.
pub const EAST: usize = 0;
/// Member index of the entry in the data centre `west`.
pub const WEST: usize = 1;

/// Generates a command id.
pub fn new_id() -> CommandId {
    new_command_id(WallTime::now())
}

/// Delays every call of the store.
pub fn delay_store(harness: &OperatorHarness, millis: u64) {
    let delay = Duration::from_millis(millis);
    harness.fleet.store.set_faults(StoreFaults::builder().delay(delay).build());
}

/// Removes all faults from the store.
pub fn clear_store_faults(harness: &OperatorHarness) {
    harness.fleet.store.set_faults(StoreFaults::default());
}

/// Plans calls of the deployment's usual traffic, `rate` a second on average.
pub fn planned_calls(
    harness: &OperatorHarness,
    seed: u64,
    count: usize,
    rate: f64,
) -> Vec<PlannedCall> {
    let mix = traffic_of(&harness.fleet.options);
    let mut builder = PlanBuilder::new(seed);
    let mut at = Duration::ZERO;
    let mut calls = Vec::new();
    while calls.len() < count {
        at += builder.gap(rate);
        calls.push(builder.call(&mix, at));
    }
    calls
}

/// A branch's weight in the stored configuration.
pub fn weight(harness: &OperatorHarness, branch: &str) -> u32 {
    let branch: BranchName = branch.parse().unwrap();
    let object: BranchObject =
        harness.stored_object(&branch_object_key(branch_shard(&branch))).unwrap();
    object.branches[&branch].weight
}

/// An entry's answer to a configuration query.
pub fn configuration(harness: &OperatorHarness, entry: usize, line: &str) -> ConfigurationAnswer {
    match harness.send_line(entry, line).answer().answer {
        AnswerBody::Configuration(answer) => answer,
        other => panic!("{other:?}"),
    }
}

/// The row of an upstream in an entry's answer to `upstreams`.
pub fn upstream(harness: &OperatorHarness, entry: usize, name: &str) -> UpstreamRow {
    let AnswerBody::Upstreams(answer) = harness.send_line(entry, "upstreams").answer().answer
    else {
        panic!("not an answer about upstreams")
    };
    answer.rows.into_iter().find(|row| row.upstream.as_str() == name).unwrap()
}

/// An entry's answer to a query for a key or a request.
pub fn history(harness: &OperatorHarness, line: &str) -> HistoryAnswer {
    match harness.send_line(EAST, line).answer().answer {
        AnswerBody::History(answer) => answer,
        other => panic!("{other:?}"),
    }
}

/// Writes a command's record as an entry leaves it that dies before it records an outcome.
pub async fn write_unfinished_record(
    harness: &OperatorHarness,
    command: CommandId,
    line: &str,
    mark: Option<CommandId>,
) {
    let Ok(OperatorLine::Command(parsed)) = parse_line(line) else { panic!("{line}") };
    let (by, dead) = ("desk".parse().unwrap(), IncarnationId(0xdead));
    let mut record = CommandRecord::new(command, line, &by, parsed, dead, WallTime::now());
    record.items[0].account_mark = mark;
    let key = command_key(command);
    harness.fleet.objects.put(&key, StoreRevision::ZERO, &record).await.unwrap();
}

/// Updates a branch's book in the store.
pub async fn update_book(
    harness: &OperatorHarness,
    branch: &str,
    change: impl Fn(&mut BookRecord),
) {
    let key = book_key(book_of(&branch.parse().unwrap()));
    let change = |book: &mut BookRecord| {
        change(book);
        UpdateChoice::Write
    };
    let limit = Duration::from_secs(5);
    update_object(&harness.fleet.objects, &key, limit, change).await.unwrap();
}
