//! Operators who race each other with conflicting commands.

#![allow(clippy::unwrap_used)]

mod desk;

use desk::{DeskFleet, EAST, WEST, configuration, id, upstream, weight, whole_store};
use sagespool_operations::{FenceRecord, OutcomeState, UpstreamState, fence_key};
use sagespool_settings::{branch_object_key, branch_shard};
use sagespool_testkit::StoreFaults;
use sagespool_types::TokenCount;

/// How often a race is run.
const ROUNDS: u32 = 4;

/// Two operators change one field through different entries, both conditional on the version that they
/// saw. One wins; the other is told that, by whom, and what is different.
#[test]
fn racing_edits() {
    smol::block_on(async {
        let desk = DeskFleet::start().await;
        for round in 1..=5 {
            let shown = configuration(&desk, EAST, "configuration branch first").shown.unwrap();
            let ids = [id(), id()];
            let lines = [10, 20].map(|add| {
                format!("set first weight {} if version {}", add + round, shown.version)
            });
            let east = desk.begin(EAST, ids[0], &lines[0]);
            let west = desk.begin(WEST, ids[1], &lines[1]);
            let outputs = [east.await, west.await];
            let states: Vec<OutcomeState> =
                outputs.iter().flat_map(|output| output.states()).collect();
            let winner = states.iter().position(|state| *state == OutcomeState::Done).unwrap();
            let loser = 1 - winner;
            assert_eq!(states[loser], OutcomeState::Conflict, "{outputs:?}");
            assert_eq!(outputs[loser].code, Some(1));
            assert_eq!(weight(&desk, "first"), [10, 20][winner] + round);
            let told = &outputs[loser].outcomes()[0];
            assert!(told.message.contains(&ids[winner].to_string()), "{told:?}");
            // Given anew, it is told what the winner changed.
            let again = desk.line(loser, &lines[loser]);
            let told = &again.outcomes()[0];
            assert_eq!(told.state, OutcomeState::Conflict);
            let path = "branches.first.weight";
            let changed = told.changes.iter().find(|change| change.path == path).unwrap();
            assert_eq!(changed.after, Some(weight(&desk, "first").into()));
        }
    });
}

/// Operators race each other with orders to one engine, which ignores fencing numbers. Those that reach
/// it do so in the order of their numbers, though each came through another entry.
#[test]
fn racing_orders() {
    smol::block_on(async {
        let desk = DeskFleet::start().await;
        let loads: Vec<_> = (0..16)
            .map(|load| desk.begin(load % 2, id(), "load small-model on engines-1"))
            .collect();
        let mut states = Vec::new();
        for load in loads {
            states.extend(load.await.states());
        }
        let ended = [OutcomeState::Done, OutcomeState::Conflict];
        assert!(states.iter().all(|state| ended.contains(state)), "{states:?}");
        assert!(states.contains(&OutcomeState::Done), "{states:?}");
        let orders = desk.fleet.engines[&"engines-1".parse().unwrap()].orders();
        let fences: Vec<u64> = orders.iter().map(|order| order.fenced.fence.0).collect();
        assert!(fences.len() >= 4 && fences.is_sorted(), "{fences:?}");
    });
}

/// Two operators drain an upstream and take that back, at the same time, again and again. Whatever order
/// they end in, the sidecar does what the newest order in the store says.
#[test]
fn racing_drains() {
    smol::block_on(async {
        let desk = DeskFleet::start().await;
        for _ in 0..5 {
            let drain = desk.begin(EAST, id(), "drain engines-1");
            let undrain = desk.begin(WEST, id(), "undrain engines-1");
            let states = [drain.await.states(), undrain.await.states()].concat();
            let ended = [OutcomeState::Done, OutcomeState::Conflict];
            assert!(states.iter().all(|state| ended.contains(state)), "{states:?}");
            let key = fence_key(&"engines-1".parse().unwrap());
            let record: FenceRecord = desk.stored(&key).unwrap();
            let winner = usize::from(!record.drained);
            assert_eq!(states[winner], OutcomeState::Done, "{states:?} {record:?}");
            desk.until("the sidecar shows what the newest order says", || {
                let state = upstream(&desk, EAST, "engines-1").state;
                (state == UpstreamState::Drained) == record.drained
            })
            .await;
        }
    });
}

/// Two operators change one field through different entries, both conditional on the version that they
/// saw, and both also top the branch up. The store loses answers to writes that took effect meanwhile, and
/// neither operator's own answer arrives, so that each gives the command again through the other entry. One
/// edit is made, and its operator is told so; the other operator is told what changed and by whom. Nothing
/// is done twice: the edit's object has one new version, and each top-up is added once.
#[test]
fn races_with_lost_answers() {
    smol::block_on(async {
        let desk = DeskFleet::start_proxied().await;
        let prepaid = desk.account("first").prepaid;
        let key = branch_object_key(branch_shard(&"first".parse().unwrap()));
        for round in 1..=ROUNDS {
            let shown = configuration(&desk, EAST, "configuration branch first").shown.unwrap();
            let (edits, top_ups) = ([id(), id()], [id(), id()]);
            let lines = [100, 200].map(|add| {
                format!("set first weight {} if version {}", add + round, shown.version)
            });
            desk.fleet.store.set_faults(StoreFaults::builder().lose_answer_share(0.5).build());
            let unheard = [
                desk.begin(EAST, edits[0], &lines[0]),
                desk.begin(WEST, edits[1], &lines[1]),
                desk.begin(EAST, top_ups[0], "top-up first 10"),
                desk.begin(WEST, top_ups[1], "top-up first 20"),
            ];
            for output in unheard {
                output.await;
            }
            whole_store(&desk);
            let made_at = desk.fleet.store.object(&key).unwrap().version;
            let outputs =
                [desk.give(WEST, edits[0], &lines[0]), desk.give(EAST, edits[1], &lines[1])];
            let states = outputs.each_ref().map(|output| output.states()[0]);
            let winner = states.iter().position(|state| *state == OutcomeState::Done).unwrap();
            let loser = 1 - winner;
            assert_eq!(states[loser], OutcomeState::Conflict, "{outputs:?}");
            assert_eq!(weight(&desk, "first"), [100, 200][winner] + round);
            let told = &outputs[loser].outcomes()[0];
            assert!(told.message.contains(&edits[winner].to_string()), "{told:?}");
            let asked_anew = desk.line(loser, &lines[loser]);
            let told = &asked_anew.outcomes()[0];
            assert_eq!(told.state, OutcomeState::Conflict, "{told:?}");
            let path = "branches.first.weight";
            let changed = told.changes.iter().find(|change| change.path == path).unwrap();
            assert_eq!(changed.after, Some(weight(&desk, "first").into()));
            assert_eq!(desk.fleet.store.object(&key).unwrap().version, made_at);
            for (entry, command, line) in
                [(WEST, top_ups[0], "top-up first 10"), (EAST, top_ups[1], "top-up first 20")]
            {
                let again = desk.give(entry, command, line);
                assert_eq!(again.states(), [OutcomeState::Done], "{again:?}");
            }
            let added = TokenCount(u64::from(30 * round));
            assert_eq!(desk.account("first").prepaid, prepaid + added);
        }
        assert!(desk.fleet.store.counts().lost_answers > 0, "no answer was lost");
    });
}
