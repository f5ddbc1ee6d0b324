//! Two faults at a time.

mod common;

use std::time::Duration;

use common::*;
use sagespool_testkit::load::CallOutcome;

const PREPAID: u64 = 1000;
/// Long enough that a kill falls into the middle of it.
const LONG_ANSWER: u32 = 200;
const PATIENCE: Duration = Duration::from_secs(2);

fn outage(fleet: &TestFleet, outage: bool) {
    fleet.change_store(|faults| faults.outage = outage);
}

#[test]
fn outage_and_kill() {
    // The store goes away, and then the home of a branch dies with a stream and a letter in flight
    // and unspent grants. Their callers come back through the other entry, which can ask nobody but
    // the sidecars: both get their whole answer and neither runs again. It has no grant, so a new
    // request is refused, and doesn't run. When the store is back, what the dead home held is
    // settled, and the branch spends its last token.
    run(async {
        let start =
            SmallFleet { proxied: true, prepaid: PREPAID, answer_ms: 1000, ..Default::default() };
        let mut fleet = start.start().await;
        let entries = home_of(&fleet, BRANCH).await;
        let mut records = warm_up(&fleet, &entries, BRANCH).await;
        let BranchHome { home, holder, other, first } = entries;
        records.push(first);
        let stream = keyed(completion(BRANCH, LONG_ANSWER), "stream");
        let letter = letter(BRANCH, "letter");
        let sends = [&stream, &letter].map(|call| start_send(&fleet, call, home));
        until_running(&fleet, &stream).await;
        until("the letter runs", || !runs_of(&fleet, &letter).is_empty()).await;
        outage(&fleet, true);
        fleet.kill(home);
        for (call, broken) in [&stream, &letter].into_iter().zip(sends) {
            let broken = broken.await;
            assert!(matches!(broken.outcome, CallOutcome::Broken(_)), "{broken:?}");
            let again = send(&fleet, call, other).await;
            assert!(is_own_whole(&again), "{again:?}");
            assert_eq!(runs_of(&fleet, call).len(), 1, "runs of {}", call.marker);
            records.push(record(call, [broken, again]));
        }
        let unpaid = patient(completion(BRANCH, 10), PATIENCE);
        let unpaid_send = send(&fleet, &unpaid, other).await;
        let told = refusal(&unpaid_send);
        assert_eq!(told, Some(("budget-unreachable", "not-run")), "{unpaid_send:?}");
        records.push(record(&unpaid, [unpaid_send]));

        outage(&fleet, false);
        until("the dead home's grants are settled", || holds_nothing(&fleet, BRANCH, holder)).await;
        let spent: u64 = records.iter().map(|record| record.billed().0).sum();
        until_settled(&fleet, BRANCH, spent).await;
        assert_eq!(spend(&fleet, BRANCH).in_doubt.0, 0);
        records.push(spend_rest(&fleet, BRANCH, other, PREPAID, spent).await);
        assert_promises_but_refusals(&fleet, &records);
    });
}

#[test]
fn partition_and_sidecar_kill() {
    // The home of a branch and an engine's sidecar are cut off together, and a request is answered
    // there. Then that sidecar dies, and a new one starts on the other side of the partition, with
    // nothing remembered. The other side takes the home for dead and asks all sidecars what ran
    // under its grants: all answer, and none knows of the request. What is left of the grants must
    // stay in doubt, or it is spent there for a second time. When the partition has healed, the home
    // accounts for the request; the branch spends its last token, and no more.
    run(async {
        let start = SmallFleet { proxied: true, prepaid: PREPAID, ..Default::default() };
        let mut fleet = start.start().await;
        let entries = home_of(&fleet, BRANCH).await;
        let mut records = warm_up(&fleet, &entries, BRANCH).await;
        let BranchHome { home, holder, other, first } = entries;
        records.push(first);
        let sidecar = fleet.engine_beside(home);
        let mut split = SplitFleet::cut(&fleet, &[home, sidecar]);
        until_knows(&fleet, home, 2).await;
        let unseen = completion(BRANCH, 40);
        let unseen_send = send(&fleet, &unseen, home).await;
        assert!(is_own_whole(&unseen_send), "{unseen_send:?}");
        records.push(record(&unseen, [unseen_send]));
        fleet.kill(sidecar);
        split.bring_over(&fleet, sidecar);
        fleet.start_member(sidecar).expect("a sidecar can be started again");
        until_ready(&fleet, sidecar).await;

        let is_doubted = || {
            let grants = account(&fleet, BRANCH).grants.into_iter();
            let mut held = grants.filter(|(id, _)| id.holder == holder).peekable();
            held.peek().is_some() && held.all(|(_, grant)| grant.in_doubt)
        };
        until("what the cut-off home held is in doubt", is_doubted).await;
        let here = costing(BRANCH, spend(&fleet, BRANCH).free.0);
        let here_send = send(&fleet, &here, other).await;
        assert!(is_own_whole(&here_send), "{here_send:?}");
        records.push(record(&here, [here_send]));
        let beyond = patient(completion(BRANCH, 10), PATIENCE);
        let beyond_send = send(&fleet, &beyond, other).await;
        let (_, run_state) = refusal(&beyond_send).expect("nothing is free on this side");
        assert_eq!(run_state, "not-run", "{beyond_send:?}");
        records.push(record(&beyond, [beyond_send]));

        split.heal(&fleet);
        until_joined(&fleet, fleet.members.len()).await;
        let spent: u64 = records.iter().map(|record| record.billed().0).sum();
        until_settled(&fleet, BRANCH, spent).await;
        until("the home's grants are settled", || spend(&fleet, BRANCH).in_doubt.0 == 0).await;
        records.push(spend_rest(&fleet, BRANCH, home, PREPAID, spent).await);
        assert_promises_but_refusals(&fleet, &records);
    });
}
