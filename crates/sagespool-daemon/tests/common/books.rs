//! Reads books from the store directly, past injected faults.

use sagespool_ledger::{BookRecord, BranchAccount, SpendBounds, book_key, book_of};
use sagespool_testkit::fleet::RunningFleet;

use super::{branch, wait_until};

/// The book with a branch's account.
pub fn book(fleet: &RunningFleet, name: &str) -> BookRecord {
    let key = book_key(book_of(&branch(name)));
    let held = fleet.store.object(&key).expect("every branch was topped up");
    held.parse().expect("a book is valid JSON of its type")
}

/// A branch's account.
pub fn account(fleet: &RunningFleet, name: &str) -> BranchAccount {
    book(fleet, name).branches.remove(&branch(name)).expect("every branch was topped up")
}

/// Bounds of a branch's spend, from its book alone.
pub fn spend(fleet: &RunningFleet, name: &str) -> SpendBounds {
    book(fleet, name).spend(&branch(name)).expect("every branch was topped up")
}

/// Waits until exactly `tokens` of a branch are settled.
pub async fn wait_until_settled(fleet: &RunningFleet, name: &str, tokens: u64) {
    let what = format!("{name} has settled {tokens} tokens");
    wait_until(&what, || spend(fleet, name).settled.0 >= tokens).await;
    assert_eq!(spend(fleet, name).settled.0, tokens, "settled tokens of {name}");
}
