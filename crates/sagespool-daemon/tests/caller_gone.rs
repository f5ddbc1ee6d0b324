//! Callers that close their connection during the answer.

mod common;

use std::net::Shutdown;

use common::*;
use sagespool_testkit::load::{CallOutcome, PlannedCall, SendRecord};
use sagespool_testkit::{RunEnd, RunRecord};
use sagespool_types::{ClockTime, TokenCount};

/// Covers the long answer, and leaves a remainder that one other answer can spend.
const PREPAID: u64 = 1040;
/// Takes an engine 5 s, so that the run can't end by itself before it is cancelled.
const LONG_ANSWER: u32 = 1000;

/// Sends a call, closes the connection once an engine generates tokens for it, and waits until the run
/// has ended.
async fn close_during_run(fleet: &TestFleet, call: &PlannedCall, request: &[u8]) -> RunRecord {
    let connection = send_raw(fleet.members[fleet.entries()[0]].http, request);
    wait_until_running(fleet, call).await;
    connection.shutdown(Shutdown::Both).expect("the connection is open");
    drop(connection);
    wait_until("the run has ended", || runs_of(fleet, call)[0].ended.is_some()).await;
    let runs = runs_of(fleet, call);
    assert_eq!(runs.len(), 1, "{runs:?}");
    runs.into_iter().next().expect("there is one")
}

/// Waits until a branch has settled more than `before` tokens, and returns how many more.
async fn newly_settled(fleet: &TestFleet, before: u64) -> u64 {
    let settled = || spend(fleet, BRANCH).settled.0;
    wait_until("the cancelled request is settled", || settled() > before).await;
    settled() - before
}

async fn assert_billed_for_used(request_of: impl Fn(&PlannedCall) -> Vec<u8>) {
    let fleet = SmallFleet { prepaid: PREPAID, ..Default::default() }.start().await;
    let BranchHome { first, .. } = home_of(&fleet, BRANCH).await;
    let before = first.call.whole_cost();
    wait_until_settled(&fleet, BRANCH, before.0).await;
    let call = completion(BRANCH, LONG_ANSWER);
    let run = close_during_run(&fleet, &call, &request_of(&call)).await;
    let (end, _) = run.ended.expect("the run has ended");
    assert!(matches!(end, RunEnd::Cancelled | RunEnd::Dropped), "{run:?}");
    assert!(run.produced < TokenCount(LONG_ANSWER.into()), "{run:?}");

    let billed = newly_settled(&fleet, before.0).await;
    let used = run.start.prompt_tokens.0 + run.produced.0;
    assert!((run.start.prompt_tokens.0..=used).contains(&billed), "billed {billed}, used {used}");
    // The unused part of its reservation is free again: the branch can spend the whole remainder.
    let entry = fleet.entries()[1];
    let remainder = spend_remainder(&fleet, BRANCH, entry, PREPAID, before.0 + billed).await;
    let dropped = record(&call, [broken_send()]);
    assert_guarantees(&fleet, &[first, dropped, remainder]);
}

/// The send record of a caller that closed its connection.
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
    // A caller closes its connection during a stream. The engine must be stopped, the branch pays
    // only for what ran, and the unused part of the reservation is released. Otherwise the engine
    // generates tokens for seconds that nobody reads.
    run(assert_billed_for_used(raw_stream));
}

#[test]
fn whole_answer_dropped() {
    // As above, for a caller that waits for one whole answer. Nothing is written to it before the
    // end, so no failed write shows that the connection is closed.
    run(assert_billed_for_used(raw_request));
}

#[test]
fn kept_for_key() {
    // A caller with an idempotency key loses its connection during an answer and retries. The request
    // must not be cancelled with the connection: the retry gets the whole answer, which runs and is
    // billed once.
    run(async {
        let fleet = SmallFleet { prepaid: PREPAID, ..Default::default() }.start().await;
        let BranchHome { home, first, .. } = home_of(&fleet, BRANCH).await;
        let call = with_key(completion(BRANCH, 100), "tender-7");
        let connection = send_raw(fleet.members[home].http, &raw_stream(&call));
        wait_until_running(&fleet, &call).await;
        drop(connection);
        let again = send(&fleet, &call, home).await;
        assert!(is_own_whole(&again), "{again:?}");
        assert_eq!(runs_of(&fleet, &call).len(), 1, "runs of the call");
        let cost = first.call.whole_cost() + call.whole_cost();
        wait_until_settled(&fleet, BRANCH, cost.0).await;
        assert_guarantees(&fleet, &[first, record(&call, [again])]);
    });
}
