//! A home that is paused for longer than anybody waits for it, and goes on unaware.

mod common;

use common::*;
use sagespool_testkit::fleet::top_up;
use sagespool_testkit::load::{CallRecord, first_deposits};
use sagespool_types::{ClockTime, CommandId, TokenCount};

const PREPAID: u64 = 1000;
const ANSWER: u32 = 40;
/// What the home holds unspent when it is paused, at least.
const HELD: u64 = 150;

/// What a branch's grants hold beyond what is settled.
fn held(fleet: &TestFleet) -> u64 {
    spend(fleet, BRANCH).granted.0
}

/// Spends through the home until it holds more than it needs, all of it settled.
async fn warm_up(fleet: &TestFleet, entries: &BranchHome) -> Vec<CallRecord> {
    let mut records = Vec::new();
    let mut cost = entries.first.call.whole_cost();
    for _ in 0..4 {
        let call = completion(BRANCH, ANSWER);
        let sent = send(fleet, &call, entries.home).await;
        assert!(is_own_whole(&sent), "{sent:?}");
        cost += call.whole_cost();
        records.push(record(&call, [sent]));
    }
    until_settled(fleet, BRANCH, cost.0).await;
    until("the home holds grants ahead of need", || held(fleet) >= HELD).await;
    records
}

#[test]
fn stale_grant() {
    // The home stops with unspent grants and a stream in flight. The others take it for dead, seal
    // its grants, and another entry spends what they held to the last token. A request has waited
    // at the home's door all the while. It wakes, still believes in its grants and dispatches at
    // once: every sidecar must refuse the sealed grant, or the branch pays twice. The caller is
    // refused, and after a top-up the home serves again.
    run(async {
        let fleet = SmallFleet { prepaid: PREPAID, ..Default::default() }.start().await;
        let entries = home_of(&fleet, BRANCH).await;
        let mut records = warm_up(&fleet, &entries).await;
        let BranchHome { home, holder, other, first } = entries;
        let stream = keyed(completion(BRANCH, 100), "stream");
        let stream_send = start_send(&fleet, &stream, home);
        until_running(&fleet, &stream).await;

        fleet.pause(home, true);
        let stream_again = send(&fleet, &stream, other).await;
        assert!(is_own_whole(&stream_again), "{stream_again:?}");
        until("the paused home's grants are settled", || holds_nothing(&fleet, BRANCH, holder))
            .await;
        let left = PREPAID - spend(&fleet, BRANCH).settled.0;
        let last = costing(BRANCH, left);
        let last_send = send(&fleet, &last, other).await;
        assert!(is_own_whole(&last_send), "{last_send:?}");
        let late = completion(BRANCH, ANSWER);
        let waiting = send_raw(fleet.members[home].http, &raw_request(&late));

        fleet.pause(home, false);
        let answer = smol::unblock(|| read_raw(waiting)).await;
        let error = &answer.json()["error"];
        let told = (error["reason"].as_str(), error["run_state"].as_str());
        // The first dispatch may have been written to a connection that the sidecar gave up long
        // ago; then the home can't tell what became of it, and says so.
        let honest = [
            (Some("budget-exhausted"), Some("not-run")),
            (Some("upstream-failed"), Some("unknown")),
        ];
        assert!(honest.contains(&told), "{answer:?}");
        until_settled(&fleet, BRANCH, PREPAID).await;
        assert!(runs_of(&fleet, &late).is_empty(), "{:?}", runs_of(&fleet, &late));

        let mut deposits = first_deposits(&fleet.options);
        let more = costing(BRANCH, 100);
        let amount = more.greatest_cost();
        let topped = top_up(&fleet.objects, &branch(BRANCH), amount, CommandId::random()).await;
        topped.expect("the store is well");
        deposits.note(&branch(BRANCH), amount, ClockTime::now());
        let more_send = send(&fleet, &more, home).await;
        assert!(is_own_whole(&more_send), "{more_send:?}");
        until_settled(&fleet, BRANCH, (TokenCount(PREPAID) + amount).0).await;

        records.push(first);
        records.push(record(&stream, [stream_send.await, stream_again]));
        records.push(record(&last, [last_send]));
        records.push(record(&more, [more_send]));
        assert_promises_after(&fleet, &records, &deposits);
    });
}

#[test]
fn late_letter() {
    // A letter waits at the door of a paused home. Its caller sends it again through the other
    // entry, and it goes out. Then the sidecar that ran it is replaced, so that nobody remembers
    // the key but the store. The paused home wakes and takes the letter up: only the claim in the
    // store tells it that the letter may have gone out, and the caller must be told so.
    run(async {
        let mut fleet = SmallFleet::default().start().await;
        let BranchHome { home, other, first, .. } = home_of(&fleet, BRANCH).await;
        let letter = letter(BRANCH, "letter");
        fleet.pause(home, true);
        let waiting = send_raw(fleet.members[home].http, &raw_request(&letter));
        let again = send(&fleet, &letter, other).await;
        assert!(is_own_whole(&again), "{again:?}");
        let sidecar = fleet.sidecars(LETTERS)[0];
        fleet.kill(sidecar);
        fleet.start_member(sidecar).expect("a sidecar can be started again");
        until_knows(&fleet, sidecar, fleet.members.len() - 1).await;

        fleet.pause(home, false);
        let answer = smol::unblock(|| read_raw(waiting)).await;
        let error = &answer.json()["error"];
        assert_eq!(error["reason"], "outcome-unknown", "{answer:?}");
        assert_eq!(error["run_state"], "unknown", "{answer:?}");
        assert_eq!(runs_of(&fleet, &letter).len(), 1, "runs of the letter");
        let cost = first.call.whole_cost() + letter.whole_cost();
        until_settled(&fleet, BRANCH, cost.0).await;
        assert_promises(&fleet, &[first, record(&letter, [again])]);
    });
}
