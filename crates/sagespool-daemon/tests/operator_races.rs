//! Concurrent conflicting commands of operators.

#![allow(clippy::unwrap_used)]

mod operator;

use operator::{
    EAST, OperatorHarness, WEST, clear_store_faults, configuration, new_id, upstream, weight,
};
use sagespool_operations::{FenceRecord, OutcomeState, UpstreamState, fence_key};
use sagespool_settings::{branch_object_key, branch_shard};
use sagespool_testkit::StoreFaults;
use sagespool_types::TokenCount;

/// Number of repetitions of a race.
const ROUNDS: u32 = 4;

/// Two operators change one field through different entries, both conditional on the version that
/// they read. One succeeds; the other's answer reports the conflict, with the other command and the
/// difference.
#[test]
fn racing_edits() {
    smol::block_on(async {
        let harness = OperatorHarness::start().await;
        for round in 1..=5 {
            let shown = configuration(&harness, EAST, "configuration branch first").shown.unwrap();
            let ids = [new_id(), new_id()];
            let lines = [10, 20].map(|add| {
                format!("set first weight {} if version {}", add + round, shown.version)
            });
            let east = harness.start_command(EAST, ids[0], &lines[0]);
            let west = harness.start_command(WEST, ids[1], &lines[1]);
            let outputs = [east.await, west.await];
            let states: Vec<OutcomeState> =
                outputs.iter().flat_map(|output| output.states()).collect();
            let winner = states.iter().position(|state| *state == OutcomeState::Done).unwrap();
            let loser = 1 - winner;
            assert_eq!(states[loser], OutcomeState::Conflict, "{outputs:?}");
            assert_eq!(outputs[loser].code, Some(1));
            assert_eq!(weight(&harness, "first"), [10, 20][winner] + round);
            let refused = &outputs[loser].outcomes()[0];
            assert!(refused.message.contains(&ids[winner].to_string()), "{refused:?}");
            // A new command with the same line reports what the winner changed.
            let again = harness.send_line(loser, &lines[loser]);
            let refused = &again.outcomes()[0];
            assert_eq!(refused.state, OutcomeState::Conflict);
            let path = "branches.first.weight";
            let changed = refused.changes.iter().find(|change| change.path == path).unwrap();
            assert_eq!(changed.after, Some(weight(&harness, "first").into()));
        }
    });
}

/// Operators send concurrent orders to one engine, which ignores fencing numbers. Orders arrive at
/// the engine in the order of their numbers, although they came through different entries.
#[test]
fn racing_orders() {
    smol::block_on(async {
        let harness = OperatorHarness::start().await;
        let loads: Vec<_> = (0..16)
            .map(|load| harness.start_command(load % 2, new_id(), "load small-model on engines-1"))
            .collect();
        let mut states = Vec::new();
        for load in loads {
            states.extend(load.await.states());
        }
        let ended = [OutcomeState::Done, OutcomeState::Conflict];
        assert!(states.iter().all(|state| ended.contains(state)), "{states:?}");
        assert!(states.contains(&OutcomeState::Done), "{states:?}");
        let orders = harness.fleet.engines[&"engines-1".parse().unwrap()].orders();
        let fences: Vec<u64> = orders.iter().map(|order| order.fenced.fence.0).collect();
        assert!(fences.len() >= 4 && fences.is_sorted(), "{fences:?}");
    });
}

/// Two operators drain and undrain an upstream concurrently, several times. Whatever the order of
/// completion, the sidecar ends in the state of the newest order in the store.
#[test]
fn racing_drains() {
    smol::block_on(async {
        let harness = OperatorHarness::start().await;
        for _ in 0..5 {
            let drain = harness.start_command(EAST, new_id(), "drain engines-1");
            let undrain = harness.start_command(WEST, new_id(), "undrain engines-1");
            let states = [drain.await.states(), undrain.await.states()].concat();
            let ended = [OutcomeState::Done, OutcomeState::Conflict];
            assert!(states.iter().all(|state| ended.contains(state)), "{states:?}");
            let key = fence_key(&"engines-1".parse().unwrap());
            let record: FenceRecord = harness.stored_object(&key).unwrap();
            let winner = usize::from(!record.drained);
            assert_eq!(states[winner], OutcomeState::Done, "{states:?} {record:?}");
            harness
                .wait_until("the sidecar has applied the newest order", || {
                    let state = upstream(&harness, EAST, "engines-1").state;
                    (state == UpstreamState::Drained) == record.drained
                })
                .await;
        }
    });
}

/// Two operators change one field through different entries, both conditional on the version that
/// they read, and both top the branch up. Meanwhile the store loses responses to writes that took
/// effect, and neither operator gets an answer, so that each repeats the commands through the other
/// entry. One edit succeeds and its operator is told so; the other operator is told what changed and
/// by which command. Nothing is done twice: the edited object has one new version, and each top-up is
/// added once.
#[test]
fn races_with_lost_answers() {
    smol::block_on(async {
        let harness = OperatorHarness::start_proxied().await;
        let prepaid = harness.account("first").prepaid;
        let key = branch_object_key(branch_shard(&"first".parse().unwrap()));
        for round in 1..=ROUNDS {
            let shown = configuration(&harness, EAST, "configuration branch first").shown.unwrap();
            let (edits, top_ups) = ([new_id(), new_id()], [new_id(), new_id()]);
            let lines = [100, 200].map(|add| {
                format!("set first weight {} if version {}", add + round, shown.version)
            });
            harness.fleet.store.set_faults(StoreFaults::builder().lose_answer_share(0.5).build());
            let lost = [
                harness.start_command(EAST, edits[0], &lines[0]),
                harness.start_command(WEST, edits[1], &lines[1]),
                harness.start_command(EAST, top_ups[0], "top-up first 10"),
                harness.start_command(WEST, top_ups[1], "top-up first 20"),
            ];
            for output in lost {
                output.await;
            }
            clear_store_faults(&harness);
            let made_at = harness.fleet.store.object(&key).unwrap().version;
            let outputs = [
                harness.send_command(WEST, edits[0], &lines[0]),
                harness.send_command(EAST, edits[1], &lines[1]),
            ];
            let states = outputs.each_ref().map(|output| output.states()[0]);
            let winner = states.iter().position(|state| *state == OutcomeState::Done).unwrap();
            let loser = 1 - winner;
            assert_eq!(states[loser], OutcomeState::Conflict, "{outputs:?}");
            assert_eq!(weight(&harness, "first"), [100, 200][winner] + round);
            let refused = &outputs[loser].outcomes()[0];
            assert!(refused.message.contains(&edits[winner].to_string()), "{refused:?}");
            let new_command = harness.send_line(loser, &lines[loser]);
            let refused = &new_command.outcomes()[0];
            assert_eq!(refused.state, OutcomeState::Conflict, "{refused:?}");
            let path = "branches.first.weight";
            let changed = refused.changes.iter().find(|change| change.path == path).unwrap();
            assert_eq!(changed.after, Some(weight(&harness, "first").into()));
            assert_eq!(harness.fleet.store.object(&key).unwrap().version, made_at);
            for (entry, command, line) in
                [(WEST, top_ups[0], "top-up first 10"), (EAST, top_ups[1], "top-up first 20")]
            {
                let again = harness.send_command(entry, command, line);
                assert_eq!(again.states(), [OutcomeState::Done], "{again:?}");
            }
            let added = TokenCount(u64::from(30 * round));
            assert_eq!(harness.account("first").prepaid, prepaid + added);
        }
        assert!(harness.fleet.store.counts().lost_answers > 0, "no answer was lost");
    });
}
