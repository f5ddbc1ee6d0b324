//! Two faults at the same time.

mod common;

use std::time::Duration;

use common::*;
use sagespool_testkit::load::CallOutcome;

const PREPAID: u64 = 1000;
/// Long enough that a kill falls into its run.
const LONG_ANSWER: u32 = 200;
const CALL_DEADLINE: Duration = Duration::from_secs(2);

fn set_outage(fleet: &TestFleet, outage: bool) {
    fleet.change_store(|faults| faults.outage = outage);
}

#[test]
fn outage_and_kill() {
    // The store becomes unreachable, and then the home of a branch is killed with a stream and a
    // letter in flight and unspent grants. Their callers retry through the other entry, which can
    // only query the sidecars: both get their whole answer, and neither runs again. That entry has no
    // grant, so a new request is refused and doesn't run. When the store is back, the dead home's
    // grants are settled, and the branch spends its last token.
    run(async {
        let start =
            SmallFleet { proxied: true, prepaid: PREPAID, answer_ms: 1000, ..Default::default() };
        let mut fleet = start.start().await;
        let entries = home_of(&fleet, BRANCH).await;
        let mut records = build_up_grants(&fleet, &entries, BRANCH).await;
        let BranchHome { home, holder, other, first } = entries;
        records.push(first);
        let stream = with_key(completion(BRANCH, LONG_ANSWER), "stream");
        let letter = letter(BRANCH, "letter");
        let sends = [&stream, &letter].map(|call| start_send(&fleet, call, home));
        wait_until_running(&fleet, &stream).await;
        wait_until("the letter runs", || !runs_of(&fleet, &letter).is_empty()).await;
        set_outage(&fleet, true);
        fleet.kill(home);
        for (call, broken) in [&stream, &letter].into_iter().zip(sends) {
            let broken = broken.await;
            assert!(matches!(broken.outcome, CallOutcome::Broken(_)), "{broken:?}");
            let again = send(&fleet, call, other).await;
            assert!(is_own_whole(&again), "{again:?}");
            assert_eq!(runs_of(&fleet, call).len(), 1, "runs of {}", call.marker);
            records.push(record(call, [broken, again]));
        }
        let unpaid = with_deadline(completion(BRANCH, 10), CALL_DEADLINE);
        let unpaid_send = send(&fleet, &unpaid, other).await;
        let refused = refusal(&unpaid_send);
        assert_eq!(refused, Some(("budget-unreachable", "not-run")), "{unpaid_send:?}");
        records.push(record(&unpaid, [unpaid_send]));

        set_outage(&fleet, false);
        wait_until("the dead home's grants are settled", || {
            holds_no_grants(&fleet, BRANCH, holder)
        })
        .await;
        let spent: u64 = records.iter().map(|record| record.billed().0).sum();
        wait_until_settled(&fleet, BRANCH, spent).await;
        assert_eq!(spend(&fleet, BRANCH).in_doubt.0, 0);
        records.push(spend_remainder(&fleet, BRANCH, other, PREPAID, spent).await);
        assert_guarantees_but_refusals(&fleet, &records);
    });
}

#[test]
fn partition_and_sidecar_kill() {
    // The home of a branch and an engine's sidecar are cut off together, and a request is answered
    // there. Then that sidecar is killed, and restarts without state on the other side of the
    // partition. The other side considers the home dead and queries all sidecars for the charges
    // under its grants: all reply, and none has the request. The rest of the grants must stay in
    // doubt, or it would be spent there a second time. After the partition has healed, the home
    // reports the charge, and the branch spends its last token and no more.
    run(async {
        let start = SmallFleet { proxied: true, prepaid: PREPAID, ..Default::default() };
        let mut fleet = start.start().await;
        let entries = home_of(&fleet, BRANCH).await;
        let mut records = build_up_grants(&fleet, &entries, BRANCH).await;
        let BranchHome { home, holder, other, first } = entries;
        records.push(first);
        let sidecar = fleet.engine_sidecar_near(home);
        let mut partition = NetworkPartition::cut(&fleet, &[home, sidecar]);
        wait_until_member_count(&fleet, home, 2).await;
        let unseen = completion(BRANCH, 40);
        let unseen_send = send(&fleet, &unseen, home).await;
        assert!(is_own_whole(&unseen_send), "{unseen_send:?}");
        records.push(record(&unseen, [unseen_send]));
        fleet.kill(sidecar);
        partition.move_to_others(&fleet, sidecar);
        fleet.start_member(sidecar).expect("a sidecar can be started again");
        wait_until_ready(&fleet, sidecar).await;

        let is_doubted = || {
            let grants = account(&fleet, BRANCH).grants.into_iter();
            let mut held = grants.filter(|(id, _)| id.holder == holder).peekable();
            held.peek().is_some() && held.all(|(_, grant)| grant.in_doubt)
        };
        wait_until("what the cut-off home held is in doubt", is_doubted).await;
        let here = completion_costing(BRANCH, spend(&fleet, BRANCH).free.0);
        let here_send = send(&fleet, &here, other).await;
        assert!(is_own_whole(&here_send), "{here_send:?}");
        records.push(record(&here, [here_send]));
        let beyond = with_deadline(completion(BRANCH, 10), CALL_DEADLINE);
        let beyond_send = send(&fleet, &beyond, other).await;
        let (_, run_state) = refusal(&beyond_send).expect("nothing is free on this side");
        assert_eq!(run_state, "not-run", "{beyond_send:?}");
        records.push(record(&beyond, [beyond_send]));

        partition.heal(&fleet);
        wait_until_joined(&fleet, fleet.members.len()).await;
        let spent: u64 = records.iter().map(|record| record.billed().0).sum();
        wait_until_settled(&fleet, BRANCH, spent).await;
        wait_until("the home's grants are settled", || spend(&fleet, BRANCH).in_doubt.0 == 0).await;
        records.push(spend_remainder(&fleet, BRANCH, home, PREPAID, spent).await);
        assert_guarantees_but_refusals(&fleet, &records);
    });
}
