//! What a home returns when another home recalls it.

mod fixture;

use fixture::{HOME, OTHER_HOME, StoredBook, at, default_home};
use sagespool_types::TokenCount;

/// Guards against a `budget-exhausted` refusal for 2 tokens while the branch has 9. After the death
/// of the branch's home, two entries act as its home. One of them holds the remaining budget and
/// has just refused a request that exceeds it. The other recalls that budget and finds nothing free
/// in the book: the holder's write returned it and took it again for its own waiting request. The
/// logs of such a case: `grant-recalled returned=9 written=true`, 4 ms later `budget-short free=0
/// others=9`.
#[test]
fn recalled_rest() {
    let mut book = StoredBook::new(100);
    let (holder, asker) = (default_home(HOME), default_home(OTHER_HOME));
    let charge = book.reserve(&holder, 91, at(1)).charge;
    book.finish_ran(&holder, charge, 91, at(1));
    book.grant(&holder, 9, at(2));
    assert!(book.shortfall(&holder, 94, at(3)).is_some());
    holder.note_waiting(&book.branch, TokenCount(94), at(3));
    holder.note_waiting(&book.branch, TokenCount(2), at(3));

    assert_eq!(holder.return_unspent(&book.branch, TokenCount(94), at(3)), TokenCount(9));
    book.write(&holder, at(3));

    assert_eq!(book.free(), 9, "returned and taken again by one write");
    book.reserve(&asker, 2, at(3));
}
