//! Non-idempotent calls (letters) whose entry dies after the claim, while the store is unreachable.

mod common;

use std::time::Duration;

use common::*;
use sagespool_claims::{ClaimsRecord, claim_key, claim_shard};
use sagespool_testkit::load::PlannedCall;
use sagespool_types::KeyDigest;

const KEY: &str = "letter";
const CALL_DEADLINE: Duration = Duration::from_secs(2);

fn set_outage(fleet: &TestFleet, outage: bool) {
    fleet.change_store(|faults| faults.outage = outage);
}

/// Whether the store has a claim on the letter's key.
fn is_claimed(fleet: &TestFleet) -> bool {
    let key = KeyDigest::of(&branch(BRANCH), KEY);
    let held = fleet.store.object(&claim_key(claim_shard(key)));
    let record = held.and_then(|held| held.parse::<ClaimsRecord>().ok());
    record.is_some_and(|record| record.is_claimed(key))
}

/// Sends the letter again with a short deadline, and asserts the run state `unknown`.
async fn assert_outcome_unknown(
    fleet: &TestFleet,
    letter: &PlannedCall,
    entry: usize,
    reason: &str,
) {
    let again = send(fleet, &with_deadline(letter.clone(), CALL_DEADLINE), entry).await;
    assert_eq!(refusal(&again), Some((reason, "unknown")), "{again:?}");
}

#[test]
fn claimed_unsent() {
    // A letter is claimed in the store, but its dispatch doesn't reach the sidecar, and its entry
    // dies. Another entry serves the branch when the store becomes unreachable, and the caller
    // retries: neither the claim nor its outcome can be read. A reply `not-run` would make the caller
    // send the letter again under another key. When the store is back, the sidecar reports that it
    // never received the letter, and the letter runs once.
    run(async {
        let start = SmallFleet { proxied: true, ..Default::default() };
        let mut fleet = start.start().await;
        let entries = home_of(&fleet, BRANCH).await;
        let mut records = build_up_grants(&fleet, &entries, BRANCH).await;
        let BranchHome { home, other, first, .. } = entries;
        records.push(first);
        let sidecar = fleet.sidecars(LETTERS)[0];
        let names = [home, sidecar].map(|index| fleet.members[index].instance.to_string());
        fleet.proxy.as_ref().expect("the fleet is proxied").cut(&names[0], &names[1]);
        let letter = letter(BRANCH, KEY);
        let first_send = start_send(&fleet, &letter, home);
        wait_until("the letter is claimed", || is_claimed(&fleet)).await;
        fleet.kill(home);
        let first_send = first_send.await;
        for _ in 0..4 {
            let served = completion(BRANCH, 40);
            let served_send = send(&fleet, &served, other).await;
            assert!(is_own_whole(&served_send), "{served_send:?}");
            records.push(record(&served, [served_send]));
        }
        wait_until_settled(&fleet, BRANCH, records.iter().map(|record| record.billed().0).sum())
            .await;
        let holder = incarnation_of(&fleet, other).await;
        wait_until("the other entry holds grants ahead of need", || {
            let grants = account(&fleet, BRANCH).grants.into_iter();
            let own = grants.filter(|(id, _)| id.holder == holder);
            own.map(|(_, grant)| grant.unsettled_amount().0).sum::<u64>() >= MIN_HELD_TOKENS
        })
        .await;
        set_outage(&fleet, true);
        assert_outcome_unknown(&fleet, &letter, other, "claim-unreachable").await;
        assert!(runs_of(&fleet, &letter).is_empty(), "{:?}", runs_of(&fleet, &letter));

        set_outage(&fleet, false);
        let again = send(&fleet, &letter, other).await;
        assert!(is_own_whole(&again), "{again:?}");
        assert_eq!(runs_of(&fleet, &letter).len(), 1, "runs of the letter");
        records.push(record(&letter, [first_send, again]));
        assert_guarantees(&fleet, &records);
    });
}

#[test]
fn sent_and_forgotten() {
    // A letter is running when the store becomes unreachable, its entry dies and its sidecar is
    // replaced: no process has a record of it. The caller retries during the outage and after it.
    // Each reply must report an unknown outcome, and the letter must not run again.
    run(async {
        let start = SmallFleet { proxied: true, answer_ms: 2000, ..Default::default() };
        let mut fleet = start.start().await;
        let entries = home_of(&fleet, BRANCH).await;
        let mut records = build_up_grants(&fleet, &entries, BRANCH).await;
        let BranchHome { home, other, first, .. } = entries;
        records.push(first);
        let letter = letter(BRANCH, KEY);
        let first_send = start_send(&fleet, &letter, home);
        wait_until("the letter runs", || !runs_of(&fleet, &letter).is_empty()).await;
        set_outage(&fleet, true);
        let sidecar = fleet.sidecars(LETTERS)[0];
        fleet.kill(home);
        fleet.kill(sidecar);
        fleet.start_member(sidecar).expect("a sidecar can be started again");
        let first_send = first_send.await;
        assert_outcome_unknown(&fleet, &letter, other, "budget-unreachable").await;

        set_outage(&fleet, false);
        wait_until_ready(&fleet, sidecar).await;
        let again = send(&fleet, &letter, other).await;
        assert_eq!(refusal(&again), Some(("outcome-unknown", "unknown")), "{again:?}");
        assert_eq!(runs_of(&fleet, &letter).len(), 1, "runs of the letter");
        records.push(record(&letter, [first_send, again]));
        assert_guarantees_but_refusals(&fleet, &records);
    });
}
