//! Entries that are killed with requests in flight, and callers that retry.

mod common;

use common::*;
use sagespool_testkit::RunEnd;
use sagespool_testkit::load::{CallOutcome, PlannedCall};
use sagespool_types::TokenCount;

/// Long enough that a kill falls into its run.
const LONG_ANSWER: u32 = 300;

/// Slowdown factor with which no run ends by itself within a test.
const SLOW: f64 = 100.0;

fn slow_engines(fleet: &TestFleet, factor: f64) {
    for engine in fleet.engines.values() {
        engine.set_slow_factor(factor);
    }
}

#[test]
fn home_killed() {
    // An entry, home of the branch, is killed with three requests in flight: a stream with a key and
    // a letter through itself, and a stream through the other entry. The first two callers retry with
    // their keys through the other entry. Each gets its whole answer, because the sidecars have the
    // keys that the dead home held. Nothing runs or is billed twice, and the dead home's unspent
    // grants return to the branch.
    run(async {
        let mut fleet = SmallFleet { answer_ms: 1500, ..Default::default() }.start().await;
        let BranchHome { home, holder, other, first } = home_of(&fleet, BRANCH).await;
        let stream = with_key(completion(BRANCH, LONG_ANSWER), "stream");
        let letter = letter(BRANCH, "letter");
        let elsewhere = completion(BRANCH, LONG_ANSWER);
        let stream_send = start_send(&fleet, &stream, home);
        let letter_send = start_send(&fleet, &letter, home);
        let elsewhere_send = start_send(&fleet, &elsewhere, other);
        wait_until_running(&fleet, &stream).await;
        wait_until_running(&fleet, &elsewhere).await;
        wait_until("the letter runs", || runs_of(&fleet, &letter).len() == 1).await;

        fleet.kill(home);
        let (stream_send, letter_send) = (stream_send.await, letter_send.await);
        assert!(matches!(stream_send.outcome, CallOutcome::Broken(_)), "{stream_send:?}");
        assert!(matches!(letter_send.outcome, CallOutcome::Broken(_)), "{letter_send:?}");
        let stream_again = send(&fleet, &stream, other).await;
        let letter_again = send(&fleet, &letter, other).await;
        let elsewhere_send = elsewhere_send.await;
        for whole in [&stream_again, &letter_again, &elsewhere_send] {
            assert!(is_own_whole(whole), "{whole:?}");
        }
        for call in [&stream, &letter, &elsewhere] {
            assert_eq!(runs_of(&fleet, call).len(), 1, "runs of {}", call.marker);
        }

        wait_until("the dead home's grants are settled", || {
            holds_no_grants(&fleet, BRANCH, holder)
        })
        .await;
        let costs = [&first.call, &stream, &letter, &elsewhere].map(PlannedCall::whole_cost);
        wait_until_settled(&fleet, BRANCH, costs.into_iter().sum::<TokenCount>().0).await;
        assert_eq!(spend(&fleet, BRANCH).in_doubt.0, 0);
        let records = [
            first,
            record(&stream, [stream_send, stream_again]),
            record(&letter, [letter_send, letter_again]),
            record(&elsewhere, [elsewhere_send]),
        ];
        assert_guarantees(&fleet, &records);
    });
}

#[test]
fn entry_killed() {
    // An entry that isn't the branch's home is killed during a stream without a key. The caller can't
    // retry, so the engine is freed, what ran is billed, and the rest of the reservation returns to
    // the branch, which can spend its last token.
    run(async {
        let prepaid = 700;
        let mut fleet = SmallFleet { prepaid, ..Default::default() }.start().await;
        let BranchHome { home, other, first, .. } = home_of(&fleet, BRANCH).await;
        let first_cost = first.call.whole_cost().0;
        let stream = completion(BRANCH, LONG_ANSWER);
        let stream_send = start_send(&fleet, &stream, other);
        wait_until_running(&fleet, &stream).await;

        slow_engines(&fleet, SLOW);
        fleet.kill(other);
        let stream_send = stream_send.await;
        assert!(matches!(stream_send.outcome, CallOutcome::Broken(_)), "{stream_send:?}");
        wait_until("the engine is free", || fleet.run_log.running().is_empty()).await;
        slow_engines(&fleet, 1.0);
        let runs = runs_of(&fleet, &stream);
        let ends: Vec<_> = runs.iter().map(|run| run.ended.map(|(end, _)| end)).collect();
        assert!(!ends.contains(&Some(RunEnd::Finished)), "{ends:?}");
        let prompt = runs[0].start.prompt_tokens.0;
        let least = first_cost + prompt;
        wait_until("what ran is settled", || spend(&fleet, BRANCH).settled.0 > least).await;

        let settled = spend(&fleet, BRANCH).settled.0;
        let used = settled - first_cost;
        assert!(used <= prompt + runs[0].produced.0, "{used} of {:?}", runs[0]);
        let last = completion_costing(BRANCH, prepaid - settled);
        let last_send = send(&fleet, &last, home).await;
        assert!(is_own_whole(&last_send), "{last_send:?}");
        wait_until_settled(&fleet, BRANCH, prepaid).await;
        let records = [first, record(&stream, [stream_send]), record(&last, [last_send])];
        assert_guarantees(&fleet, &records);
    });
}
