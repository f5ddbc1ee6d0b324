//! A store whose writes take effect but whose responses are lost.

mod common;

use common::*;
use sagespool_testkit::fleet::top_up;
use sagespool_testkit::load::PlannedCall;
use sagespool_types::{CommandId, TokenCount};

const PREPAID: u64 = 600;
const TOP_UP: TokenCount = TokenCount(100);
/// Limit on attempts of a top-up until two are answered.
const MAX_TRIES: u32 = 50;

#[test]
fn lost_grants() {
    // Every write takes effect and no response arrives: grants, settlements, the claim of a letter. A
    // home that took such writes for undone would request each grant twice and strand the first,
    // until the branch is refused budget that it prepaid, and it would never send the letter. The
    // home reads books and claims again and finds its writes by id: everything is answered and run
    // once, and the branch spends its last token.
    run(async {
        let fleet = SmallFleet { prepaid: PREPAID, ..Default::default() }.start().await;
        fleet.change_store(|faults| faults.lose_answer_share = 1.0);
        let mut calls: Vec<PlannedCall> = (0..6).map(|_| completion(BRANCH, 30)).collect();
        calls.push(letter(BRANCH, "letter"));
        let spent: TokenCount = calls.iter().map(PlannedCall::whole_cost).sum();
        calls.push(completion_costing(BRANCH, PREPAID - spent.0));
        let entries = fleet.entries();
        let mut records = Vec::new();
        for (index, call) in calls.iter().enumerate() {
            let sent = send(&fleet, call, entries[index % entries.len()]).await;
            assert!(is_own_whole(&sent), "{sent:?}");
            assert_eq!(runs_of(&fleet, call).len(), 1, "runs of {}", call.marker);
            records.push(record(call, [sent]));
        }
        wait_until_settled(&fleet, BRANCH, PREPAID).await;
        assert!(fleet.store.counts().lost_answers > 0, "no answer was lost");
        assert_guarantees(&fleet, &records);
    });
}

#[test]
fn lost_top_up() {
    // The store's response to a top-up is lost. The command is repeated under its own id until it is
    // answered: the branch gets the amount once.
    run(async {
        let fleet = SmallFleet { prepaid: PREPAID, ..Default::default() }.start().await;
        fleet.change_store(|faults| faults.lose_answer_share = 0.5);
        let command = CommandId::random();
        let mut answered = 0;
        for _ in 0..MAX_TRIES {
            let topped = top_up(&fleet.objects, &branch(BRANCH), TOP_UP, command).await;
            answered += u32::from(topped.is_ok());
            if answered >= 2 && fleet.store.counts().lost_answers > 0 {
                break;
            }
        }
        assert!(answered >= 2, "the store answered {answered} of {MAX_TRIES} commands");
        assert_eq!(account(&fleet, BRANCH).prepaid, TokenCount(PREPAID) + TOP_UP);
        fleet.change_store(|faults| faults.lose_answer_share = 0.0);
        let all = completion_costing(BRANCH, PREPAID + TOP_UP.0);
        let sent = send(&fleet, &all, fleet.entries()[0]).await;
        assert!(is_own_whole(&sent), "{sent:?}");
    });
}
