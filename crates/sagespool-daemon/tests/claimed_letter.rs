//! A letter whose entry dies after it was claimed, while the store is out of reach.

mod common;

use std::time::Duration;

use common::*;
use sagespool_claims::{ClaimsRecord, claim_key, claim_shard};
use sagespool_testkit::load::PlannedCall;
use sagespool_types::KeyDigest;

const KEY: &str = "letter";
const PATIENCE: Duration = Duration::from_secs(2);

fn outage(fleet: &TestFleet, outage: bool) {
    fleet.change_store(|faults| faults.outage = outage);
}

/// True if the store holds a claim on the letter's key.
fn is_claimed(fleet: &TestFleet) -> bool {
    let key = KeyDigest::of(&branch(BRANCH), KEY);
    let held = fleet.store.object(&claim_key(claim_shard(key)));
    let record = held.and_then(|held| held.parse::<ClaimsRecord>().ok());
    record.is_some_and(|record| record.is_claimed(key))
}

/// Sends the letter again through an entry with little time; it must be told that nobody knows.
async fn told_unknown(fleet: &TestFleet, letter: &PlannedCall, entry: usize, reason: &str) {
    let again = send(fleet, &patient(letter.clone(), PATIENCE), entry).await;
    assert_eq!(refusal(&again), Some((reason, "unknown")), "{again:?}");
}

#[test]
fn claimed_unsent() {
    // A letter is claimed in the store, but its dispatch doesn't get through to the sidecar, and its
    // entry dies. Another serves the branch when the store goes away, and the caller comes back: the
    // claim can't be seen, nor what became of it. Told `not-run`, the caller would write the letter
    // anew under another key. When the store is back, the sidecar says that the letter never came,
    // and it goes out once.
    run(async {
        let start = SmallFleet { proxied: true, ..Default::default() };
        let mut fleet = start.start().await;
        let entries = home_of(&fleet, BRANCH).await;
        let mut records = warm_up(&fleet, &entries, BRANCH).await;
        let BranchHome { home, other, first, .. } = entries;
        records.push(first);
        let sidecar = fleet.sidecars(LETTERS)[0];
        let names = [home, sidecar].map(|place| fleet.members[place].instance.to_string());
        fleet.proxy.as_ref().expect("the fleet is proxied").cut(&names[0], &names[1]);
        let letter = letter(BRANCH, KEY);
        let first_send = start_send(&fleet, &letter, home);
        until("the letter is claimed", || is_claimed(&fleet)).await;
        fleet.kill(home);
        let first_send = first_send.await;
        for _ in 0..4 {
            let served = completion(BRANCH, 40);
            let served_send = send(&fleet, &served, other).await;
            assert!(is_own_whole(&served_send), "{served_send:?}");
            records.push(record(&served, [served_send]));
        }
        until_settled(&fleet, BRANCH, records.iter().map(|record| record.billed().0).sum()).await;
        let holder = incarnation_of(&fleet, other).await;
        until("the other entry holds grants ahead of need", || {
            let grants = account(&fleet, BRANCH).grants.into_iter();
            let own = grants.filter(|(id, _)| id.holder == holder);
            own.map(|(_, grant)| grant.unsettled_amount().0).sum::<u64>() >= HELD
        })
        .await;
        outage(&fleet, true);
        told_unknown(&fleet, &letter, other, "claim-unreachable").await;
        assert!(runs_of(&fleet, &letter).is_empty(), "{:?}", runs_of(&fleet, &letter));

        outage(&fleet, false);
        let again = send(&fleet, &letter, other).await;
        assert!(is_own_whole(&again), "{again:?}");
        assert_eq!(runs_of(&fleet, &letter).len(), 1, "runs of the letter");
        records.push(record(&letter, [first_send, again]));
        assert_promises(&fleet, &records);
    });
}

#[test]
fn sent_and_forgotten() {
    // A letter is on its way when the store goes away, its entry dies and its sidecar is replaced:
    // no process is left that knows of it. The caller comes back, during the outage and after it.
    // It is told each time that the outcome is unknown, and the letter doesn't go out again.
    run(async {
        let start = SmallFleet { proxied: true, answer_ms: 2000, ..Default::default() };
        let mut fleet = start.start().await;
        let entries = home_of(&fleet, BRANCH).await;
        let mut records = warm_up(&fleet, &entries, BRANCH).await;
        let BranchHome { home, other, first, .. } = entries;
        records.push(first);
        let letter = letter(BRANCH, KEY);
        let first_send = start_send(&fleet, &letter, home);
        until("the letter runs", || !runs_of(&fleet, &letter).is_empty()).await;
        outage(&fleet, true);
        let sidecar = fleet.sidecars(LETTERS)[0];
        fleet.kill(home);
        fleet.kill(sidecar);
        fleet.start_member(sidecar).expect("a sidecar can be started again");
        let first_send = first_send.await;
        told_unknown(&fleet, &letter, other, "budget-unreachable").await;

        outage(&fleet, false);
        until_ready(&fleet, sidecar).await;
        let again = send(&fleet, &letter, other).await;
        assert_eq!(refusal(&again), Some(("outcome-unknown", "unknown")), "{again:?}");
        assert_eq!(runs_of(&fleet, &letter).len(), 1, "runs of the letter");
        records.push(record(&letter, [first_send, again]));
        assert_promises_but_refusals(&fleet, &records);
    });
}
