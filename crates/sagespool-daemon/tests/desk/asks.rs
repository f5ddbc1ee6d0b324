//! What operators' tests ask of the fleet, and do to it.

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

use super::DeskFleet;

/// The entries, by their places.
pub const EAST: usize = 0;
pub const WEST: usize = 1;

/// A new command's id.
pub fn id() -> CommandId {
    new_command_id(WallTime::now())
}

/// Makes every call of the store take so long.
pub fn slow_store(desk: &DeskFleet, millis: u64) {
    let delay = Duration::from_millis(millis);
    desk.fleet.store.set_faults(StoreFaults::builder().delay(delay).build());
}

/// Takes back what is wrong with the store.
pub fn whole_store(desk: &DeskFleet) {
    desk.fleet.store.set_faults(StoreFaults::default());
}

/// Calls of the deployment's usual traffic.
pub fn calls(desk: &DeskFleet, seed: u64, count: usize, rate: f64) -> Vec<PlannedCall> {
    let mix = traffic_of(&desk.fleet.options);
    let mut builder = PlanBuilder::new(seed);
    let mut at = Duration::ZERO;
    let mut calls = Vec::new();
    while calls.len() < count {
        at += builder.gap(rate);
        calls.push(builder.call(&mix, at));
    }
    calls
}

/// A branch's weight in the store's configuration.
pub fn weight(desk: &DeskFleet, branch: &str) -> u32 {
    let branch: BranchName = branch.parse().unwrap();
    let object: BranchObject = desk.stored(&branch_object_key(branch_shard(&branch))).unwrap();
    object.branches[&branch].weight
}

/// What an entry answers to a question about the configuration.
pub fn configuration(desk: &DeskFleet, entry: usize, line: &str) -> ConfigurationAnswer {
    match desk.line(entry, line).answer().answer {
        AnswerBody::Configuration(answer) => answer,
        other => panic!("{other:?}"),
    }
}

/// What an entry says of an upstream.
pub fn upstream(desk: &DeskFleet, entry: usize, name: &str) -> UpstreamRow {
    let AnswerBody::Upstreams(answer) = desk.line(entry, "upstreams").answer().answer else {
        panic!("not about upstreams")
    };
    answer.rows.into_iter().find(|row| row.upstream.as_str() == name).unwrap()
}

/// What an entry knows of a key or a request.
pub fn history(desk: &DeskFleet, line: &str) -> HistoryAnswer {
    match desk.line(EAST, line).answer().answer {
        AnswerBody::History(answer) => answer,
        other => panic!("{other:?}"),
    }
}

/// A record as a dead entry leaves it: written, and nothing noted.
pub async fn leave_record(
    desk: &DeskFleet,
    command: CommandId,
    line: &str,
    mark: Option<CommandId>,
) {
    let Ok(OperatorLine::Command(wish)) = parse_line(line) else { panic!("{line}") };
    let (by, dead) = ("desk".parse().unwrap(), IncarnationId(0xdead));
    let mut record = CommandRecord::new(command, line, &by, wish, dead, WallTime::now());
    record.items[0].account_mark = mark;
    let key = command_key(command);
    desk.fleet.objects.put(&key, StoreRevision::ZERO, &record).await.unwrap();
}

/// Changes a branch's book in the store.
pub async fn change_book(desk: &DeskFleet, branch: &str, change: impl Fn(&mut BookRecord)) {
    let key = book_key(book_of(&branch.parse().unwrap()));
    let change = |book: &mut BookRecord| {
        change(book);
        UpdateChoice::Write
    };
    let limit = Duration::from_secs(5);
    update_object(&desk.fleet.objects, &key, limit, change).await.unwrap();
}
