//! A long network partition, with top-ups on one side.

mod common;

use std::time::Duration;

use common::*;
use sagespool_testkit::fleet::top_up;
use sagespool_testkit::load::{CallRecord, first_deposits};
use sagespool_types::{ClockTime, CommandId, TokenCount};

const PREPAID: u64 = 800;
const FIRST_TOP_UP: TokenCount = TokenCount(300);
const SECOND_TOP_UP: TokenCount = TokenCount(200);
const CALL_DEADLINE: Duration = Duration::from_secs(2);
const MAX_CALLS: usize = 40;

/// Spends through an entry that is cut off from the store until it refuses. Returns all calls, the
/// refused one included.
async fn spend_to_refusal(fleet: &TestFleet, entry: usize) -> Vec<CallRecord> {
    let mut records = Vec::new();
    for _ in 0..MAX_CALLS {
        let call = with_deadline(completion(BRANCH, 20), CALL_DEADLINE);
        let sent = send(fleet, &call, entry).await;
        let is_whole = is_own_whole(&sent);
        records.push(record(&call, [sent.clone()]));
        if !is_whole {
            assert_eq!(refusal(&sent), Some(("budget-unreachable", "not-run")), "{sent:?}");
            assert!(runs_of(fleet, &call).is_empty(), "a refused call ran");
            return records;
        }
    }
    panic!("the cut-off side never refused");
}

#[test]
fn cut_off_home() {
    // The home of a branch is cut off from the store for long, with unspent grants and an engine on
    // its side, and serves from these grants. On the other side an operator tops the branch up, and
    // callers spend all free tokens. The two sides can't see each other's spend: together they must
    // not spend more than was prepaid. A second top-up takes effect on the cut-off side only after
    // the partition has healed. Repeated under its id, neither top-up adds anything.
    run(async {
        let start = SmallFleet { proxied: true, prepaid: PREPAID, ..Default::default() };
        let fleet = start.start().await;
        let entries = home_of(&fleet, BRANCH).await;
        let mut records = build_up_grants(&fleet, &entries, BRANCH).await;
        let BranchHome { home, other, first, .. } = entries;
        records.push(first);
        let isolated = [home, fleet.engine_sidecar_near(home)];
        let partition = NetworkPartition::cut(&fleet, &isolated);
        wait_until_member_count(&fleet, home, isolated.len()).await;
        wait_until_member_count(&fleet, other, fleet.members.len() - isolated.len()).await;

        let mut deposits = first_deposits(&fleet.options);
        let commands = [CommandId::random(), CommandId::random()];
        let send_top_up = async |command: CommandId, amount: TokenCount| {
            let topped = top_up(&fleet.objects, &branch(BRANCH), amount, command).await;
            topped.expect("the store answers");
        };
        send_top_up(commands[0], FIRST_TOP_UP).await;
        deposits.note(&branch(BRANCH), FIRST_TOP_UP, ClockTime::now());
        let free = spend(&fleet, BRANCH).free;
        assert!(free > FIRST_TOP_UP, "{free} are free after the top-up");
        let here = completion_costing(BRANCH, free.0);
        let here_send = send(&fleet, &here, other).await;
        assert!(is_own_whole(&here_send), "{here_send:?}");
        records.push(record(&here, [here_send]));
        let beyond = with_deadline(completion(BRANCH, 20), CALL_DEADLINE);
        let beyond_send = send(&fleet, &beyond, other).await;
        let (_, run_state) = refusal(&beyond_send).expect("nothing is free on this side");
        assert_eq!(run_state, "not-run", "{beyond_send:?}");
        records.push(record(&beyond, [beyond_send]));

        let there = spend_to_refusal(&fleet, home).await;
        assert!(there.len() > 1, "the cut-off side served nothing");
        records.extend(there);
        send_top_up(commands[1], SECOND_TOP_UP).await;
        deposits.note(&branch(BRANCH), SECOND_TOP_UP, ClockTime::now());
        let after_top_up = with_deadline(completion(BRANCH, 20), CALL_DEADLINE);
        let after_top_up_send = send(&fleet, &after_top_up, home).await;
        assert_eq!(
            refusal(&after_top_up_send),
            Some(("budget-unreachable", "not-run")),
            "{after_top_up_send:?}"
        );
        records.push(record(&after_top_up, [after_top_up_send]));

        partition.heal(&fleet);
        wait_until_joined(&fleet, fleet.members.len()).await;
        let spent: u64 = records.iter().map(|record| record.billed().0).sum();
        wait_until_settled(&fleet, BRANCH, spent).await;
        let all = TokenCount(PREPAID) + FIRST_TOP_UP + SECOND_TOP_UP;
        let remainder = completion_costing(BRANCH, all.0 - spent);
        let remainder_send = send(&fleet, &remainder, home).await;
        assert!(is_own_whole(&remainder_send), "{remainder_send:?}");
        records.push(record(&remainder, [remainder_send]));
        wait_until_settled(&fleet, BRANCH, all.0).await;
        send_top_up(commands[0], FIRST_TOP_UP).await;
        send_top_up(commands[1], SECOND_TOP_UP).await;
        assert_eq!(account(&fleet, BRANCH).prepaid, all);
        for entry in [home, other] {
            let more = with_deadline(completion(BRANCH, 1), CALL_DEADLINE);
            let more_send = send(&fleet, &more, entry).await;
            assert_eq!(refusal(&more_send), Some(("budget-exhausted", "not-run")), "{more_send:?}");
            records.push(record(&more, [more_send]));
        }
        assert_guarantees_but_refusals_after(&fleet, &records, &deposits);
    });
}
