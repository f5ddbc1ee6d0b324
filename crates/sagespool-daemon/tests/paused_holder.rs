//! A home that is paused for longer than all timeouts and then resumes with stale state.

mod common;

use common::*;
use sagespool_testkit::fleet::top_up;
use sagespool_testkit::load::first_deposits;
use sagespool_types::{ClockTime, CommandId, TokenCount};

const PREPAID: u64 = 1000;

#[test]
fn stale_grant() {
    // The home is paused with unspent grants and a stream in flight. The others consider it dead and
    // seal its grants, and another entry spends the returned budget to the last token. Meanwhile a
    // request waits at the home. After the resume the home dispatches it under its stale grant: every
    // sidecar must refuse the sealed grant, or the branch pays twice. The caller is refused, and
    // after a top-up the home serves again.
    run(async {
        let fleet = SmallFleet { prepaid: PREPAID, ..Default::default() }.start().await;
        let entries = home_of(&fleet, BRANCH).await;
        let mut records = build_up_grants(&fleet, &entries, BRANCH).await;
        let BranchHome { home, holder, other, first } = entries;
        let stream = with_key(completion(BRANCH, 100), "stream");
        let stream_send = start_send(&fleet, &stream, home);
        wait_until_running(&fleet, &stream).await;

        fleet.pause(home, true);
        let stream_again = send(&fleet, &stream, other).await;
        assert!(is_own_whole(&stream_again), "{stream_again:?}");
        wait_until("the paused home's grants are settled", || {
            holds_no_grants(&fleet, BRANCH, holder)
        })
        .await;
        let left = PREPAID - spend(&fleet, BRANCH).settled.0;
        let last = completion_costing(BRANCH, left);
        let last_send = send(&fleet, &last, other).await;
        assert!(is_own_whole(&last_send), "{last_send:?}");
        let late = completion(BRANCH, 40);
        let waiting = send_raw(fleet.members[home].http, &raw_request(&late));

        fleet.pause(home, false);
        let answer = smol::unblock(|| read_raw(waiting)).await;
        let error = &answer.json()["error"];
        let refusal = (error["reason"].as_str(), error["run_state"].as_str());
        // The first dispatch may have been written to a connection that the sidecar has closed. Then
        // the home can't know its outcome and must report that.
        let allowed = [
            (Some("budget-exhausted"), Some("not-run")),
            (Some("upstream-failed"), Some("unknown")),
        ];
        assert!(allowed.contains(&refusal), "{answer:?}");
        wait_until_settled(&fleet, BRANCH, PREPAID).await;
        assert!(runs_of(&fleet, &late).is_empty(), "{:?}", runs_of(&fleet, &late));

        let mut deposits = first_deposits(&fleet.options);
        let more = completion_costing(BRANCH, 100);
        let amount = more.greatest_cost();
        let topped = top_up(&fleet.objects, &branch(BRANCH), amount, CommandId::random()).await;
        topped.expect("the store answers");
        deposits.note(&branch(BRANCH), amount, ClockTime::now());
        let more_send = send(&fleet, &more, home).await;
        assert!(is_own_whole(&more_send), "{more_send:?}");
        wait_until_settled(&fleet, BRANCH, (TokenCount(PREPAID) + amount).0).await;

        records.push(first);
        records.push(record(&stream, [stream_send.await, stream_again]));
        records.push(record(&last, [last_send]));
        records.push(record(&more, [more_send]));
        assert_guarantees_after(&fleet, &records, &deposits);
    });
}

#[test]
fn late_letter() {
    // A letter waits at a paused home. Its caller sends it again through the other entry, where it
    // runs. Then the sidecar that ran it is replaced, so that only the store has a record of the key.
    // The home resumes and handles the letter: only the claim in the store shows that the letter may
    // have run, and the caller must get an unknown outcome.
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
        wait_until_member_count(&fleet, sidecar, fleet.members.len() - 1).await;

        fleet.pause(home, false);
        let answer = smol::unblock(|| read_raw(waiting)).await;
        let error = &answer.json()["error"];
        assert_eq!(error["reason"], "outcome-unknown", "{answer:?}");
        assert_eq!(error["run_state"], "unknown", "{answer:?}");
        assert_eq!(runs_of(&fleet, &letter).len(), 1, "runs of the letter");
        let cost = first.call.whole_cost() + letter.whole_cost();
        wait_until_settled(&fleet, BRANCH, cost.0).await;
        assert_guarantees(&fleet, &[first, record(&letter, [again])]);
    });
}
