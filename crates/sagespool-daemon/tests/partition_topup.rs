//! A long partition, with top-ups on one side of it.

mod common;

use std::time::Duration;

use common::*;
use sagespool_testkit::fleet::top_up;
use sagespool_testkit::load::{CallRecord, first_deposits};
use sagespool_types::{ClockTime, CommandId, TokenCount};

const PREPAID: u64 = 800;
const FIRST_TOP_UP: TokenCount = TokenCount(300);
const SECOND_TOP_UP: TokenCount = TokenCount(200);
const PATIENCE: Duration = Duration::from_secs(2);
const MOST_CALLS: usize = 40;

/// Spends through an entry that is cut off from the store until it refuses; what was answered, and
/// the refusal.
async fn spend_to_refusal(fleet: &TestFleet, entry: usize) -> Vec<CallRecord> {
    let mut records = Vec::new();
    for _ in 0..MOST_CALLS {
        let call = patient(completion(BRANCH, 20), PATIENCE);
        let sent = send(fleet, &call, entry).await;
        let is_whole = is_own_whole(&sent);
        records.push(record(&call, [sent.clone()]));
        if !is_whole {
            assert_eq!(refusal(&sent), Some(("budget-unreachable", "not-run")), "{sent:?}");
            assert!(runs_of(fleet, &call).is_empty(), "a refused call ran");
            return records;
        }
    }
    panic!("the cut-off side spent on and on");
}

#[test]
fn cut_off_home() {
    // The home of a branch is cut off from the store for long, with unspent grants and an engine of
    // its own, and goes on serving from them. On the other side an operator tops the branch up, and
    // callers there spend it at once, to the last token that is free. Neither side can see what the
    // other does: together they must not spend more than was prepaid. A second top-up waits until
    // the partition has healed; then the cut-off side's callers spend it. Given again, neither
    // command adds anything.
    run(async {
        let start = SmallFleet { proxied: true, prepaid: PREPAID, ..Default::default() };
        let fleet = start.start().await;
        let entries = home_of(&fleet, BRANCH).await;
        let mut records = warm_up(&fleet, &entries, BRANCH).await;
        let BranchHome { home, other, first, .. } = entries;
        records.push(first);
        let lone = [home, fleet.engine_beside(home)];
        let split = SplitFleet::cut(&fleet, &lone);
        until_knows(&fleet, home, lone.len()).await;
        until_knows(&fleet, other, fleet.members.len() - lone.len()).await;

        let mut deposits = first_deposits(&fleet.options);
        let commands = [CommandId::random(), CommandId::random()];
        let give = async |command: CommandId, amount: TokenCount| {
            let topped = top_up(&fleet.objects, &branch(BRANCH), amount, command).await;
            topped.expect("the store is well");
        };
        give(commands[0], FIRST_TOP_UP).await;
        deposits.note(&branch(BRANCH), FIRST_TOP_UP, ClockTime::now());
        let free = spend(&fleet, BRANCH).free;
        assert!(free > FIRST_TOP_UP, "{free} are free after the top-up");
        let here = costing(BRANCH, free.0);
        let here_send = send(&fleet, &here, other).await;
        assert!(is_own_whole(&here_send), "{here_send:?}");
        records.push(record(&here, [here_send]));
        let beyond = patient(completion(BRANCH, 20), PATIENCE);
        let beyond_send = send(&fleet, &beyond, other).await;
        let (_, run_state) = refusal(&beyond_send).expect("nothing is free on this side");
        assert_eq!(run_state, "not-run", "{beyond_send:?}");
        records.push(record(&beyond, [beyond_send]));

        let there = spend_to_refusal(&fleet, home).await;
        assert!(there.len() > 1, "the cut-off side served nothing");
        records.extend(there);
        give(commands[1], SECOND_TOP_UP).await;
        deposits.note(&branch(BRANCH), SECOND_TOP_UP, ClockTime::now());
        let at_door = patient(completion(BRANCH, 20), PATIENCE);
        let door_send = send(&fleet, &at_door, home).await;
        assert_eq!(refusal(&door_send), Some(("budget-unreachable", "not-run")), "{door_send:?}");
        records.push(record(&at_door, [door_send]));

        split.heal(&fleet);
        until_joined(&fleet, fleet.members.len()).await;
        let spent: u64 = records.iter().map(|record| record.billed().0).sum();
        until_settled(&fleet, BRANCH, spent).await;
        let all = TokenCount(PREPAID) + FIRST_TOP_UP + SECOND_TOP_UP;
        let rest = costing(BRANCH, all.0 - spent);
        let rest_send = send(&fleet, &rest, home).await;
        assert!(is_own_whole(&rest_send), "{rest_send:?}");
        records.push(record(&rest, [rest_send]));
        until_settled(&fleet, BRANCH, all.0).await;
        give(commands[0], FIRST_TOP_UP).await;
        give(commands[1], SECOND_TOP_UP).await;
        assert_eq!(account(&fleet, BRANCH).prepaid, all);
        for entry in [home, other] {
            let more = patient(completion(BRANCH, 1), PATIENCE);
            let more_send = send(&fleet, &more, entry).await;
            assert_eq!(refusal(&more_send), Some(("budget-exhausted", "not-run")), "{more_send:?}");
            records.push(record(&more, [more_send]));
        }
        assert_promises_but_refusals_after(&fleet, &records, &deposits);
    });
}
