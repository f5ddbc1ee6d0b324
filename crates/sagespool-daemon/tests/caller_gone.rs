//! Callers that go away in the middle of their answer.

mod common;

use std::net::Shutdown;

use common::*;
use sagespool_testkit::load::{CallOutcome, PlannedCall, SendRecord};
use sagespool_testkit::{RunEnd, RunRecord};
use sagespool_types::{ClockTime, TokenCount};

/// Enough for the long answer, and little enough that one other answer can spend what it leaves.
const PREPAID: u64 = 1040;
/// Five seconds of an engine, so that nobody waits for its end by accident.
const LONG_ANSWER: u32 = 1000;

/// Sends a call, drops the connection once an engine makes tokens for it, and waits until the
/// engine has stopped.
async fn drop_midway(fleet: &TestFleet, call: &PlannedCall, request: &[u8]) -> RunRecord {
    let connection = send_raw(fleet.members[fleet.entries()[0]].http, request);
    until_running(fleet, call).await;
    connection.shutdown(Shutdown::Both).expect("the connection is open");
    drop(connection);
    until("the run has ended", || runs_of(fleet, call)[0].ended.is_some()).await;
    let runs = runs_of(fleet, call);
    assert_eq!(runs.len(), 1, "{runs:?}");
    runs.into_iter().next().expect("there is one")
}

/// Waits until the book holds nothing for a running request any more and says what was spent.
async fn settled_beyond(fleet: &TestFleet, before: u64) -> u64 {
    let settled = || spend(fleet, BRANCH).settled.0;
    until("the cancelled request is settled", || settled() > before).await;
    settled() - before
}

async fn pays_for_what_ran(request_of: impl Fn(&PlannedCall) -> Vec<u8>) {
    let fleet = SmallFleet { prepaid: PREPAID, ..Default::default() }.start().await;
    let BranchHome { first, .. } = home_of(&fleet, BRANCH).await;
    let before = first.call.whole_cost();
    until_settled(&fleet, BRANCH, before.0).await;
    let call = completion(BRANCH, LONG_ANSWER);
    let run = drop_midway(&fleet, &call, &request_of(&call)).await;
    let (end, _) = run.ended.expect("the run has ended");
    assert!(matches!(end, RunEnd::Cancelled | RunEnd::Dropped), "{run:?}");
    assert!(run.produced < TokenCount(LONG_ANSWER.into()), "{run:?}");

    let billed = settled_beyond(&fleet, before.0).await;
    let used = run.start.prompt_tokens.0 + run.produced.0;
    assert!((run.start.prompt_tokens.0..=used).contains(&billed), "billed {billed}, used {used}");
    // What it had reserved beyond that is free again: the branch can spend all the rest.
    let entry = fleet.entries()[1];
    let rest = spend_rest(&fleet, BRANCH, entry, PREPAID, before.0 + billed).await;
    let dropped = record(&call, [broken_send()]);
    assert_promises(&fleet, &[first, dropped, rest]);
}

/// What a caller has that closed its connection.
fn broken_send() -> SendRecord {
    SendRecord {
        entry: 0,
        sent: ClockTime::now(),
        ended: ClockTime::now(),
        first_token: None,
        request: None,
        outcome: CallOutcome::Broken("closed by its caller".to_owned()),
    }
}

#[test]
fn stream_dropped() {
    // A caller reads the beginning of a stream and closes its connection. The engine would go on
    // for seconds with tokens that nobody reads: it is stopped, the branch pays for what ran and
    // no more, and what was reserved for the rest is free again.
    run(pays_for_what_ran(raw_stream));
}

#[test]
fn whole_answer_dropped() {
    // As above, by a caller that waits for one whole answer: nothing is written to it until the
    // end, so no failed write shows that it is gone.
    run(pays_for_what_ran(raw_request));
}

#[test]
fn kept_for_key() {
    // A caller with an idempotency key loses its connection in the middle of an answer and comes
    // back. Its request must not be stopped with the connection: the answer is there for it,
    // whole, and it ran and is billed once.
    run(async {
        let fleet = SmallFleet { prepaid: PREPAID, ..Default::default() }.start().await;
        let BranchHome { home, first, .. } = home_of(&fleet, BRANCH).await;
        let call = keyed(completion(BRANCH, 100), "tender-7");
        let connection = send_raw(fleet.members[home].http, &raw_stream(&call));
        until_running(&fleet, &call).await;
        drop(connection);
        let again = send(&fleet, &call, home).await;
        assert!(is_own_whole(&again), "{again:?}");
        assert_eq!(runs_of(&fleet, &call).len(), 1, "runs of the call");
        let cost = first.call.whole_cost() + call.whole_cost();
        until_settled(&fleet, BRANCH, cost.0).await;
        assert_promises(&fleet, &[first, record(&call, [again])]);
    });
}
