//! What the books in the store say, past every fault.

use sagespool_ledger::{BookRecord, BranchAccount, SpendBounds, book_key, book_of};
use sagespool_testkit::fleet::RunningFleet;

use super::{branch, until};

/// The book that holds a branch's account.
pub fn book(fleet: &RunningFleet, name: &str) -> BookRecord {
    let key = book_key(book_of(&branch(name)));
    let held = fleet.store.object(&key).expect("every branch was topped up");
    held.parse().expect("a book is as the fleet writes it")
}

/// A branch's account.
pub fn account(fleet: &RunningFleet, name: &str) -> BranchAccount {
    book(fleet, name).branches.remove(&branch(name)).expect("every branch was topped up")
}

/// What the book alone says of a branch's spend.
pub fn spend(fleet: &RunningFleet, name: &str) -> SpendBounds {
    book(fleet, name).spend(&branch(name)).expect("every branch was topped up")
}

/// Waits until so many tokens of a branch are settled, no more and no less.
pub async fn until_settled(fleet: &RunningFleet, name: &str, tokens: u64) {
    let what = format!("{name} has settled {tokens} tokens");
    until(&what, || spend(fleet, name).settled.0 >= tokens).await;
    assert_eq!(spend(fleet, name).settled.0, tokens, "what {name} has settled");
}
