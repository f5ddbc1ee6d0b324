//! What a home gives back when another home asks for it.

mod fixture;

use fixture::{HOME, OTHER_HOME, StoredBook, at, usual_home};
use sagespool_types::TokenCount;

/// A caller sees `budget-exhausted` for 2 tokens while its branch has 9. After the death of a
/// branch's home two entries stand in. One of them holds the rest of the budget, and has just
/// refused a request that the rest doesn't cover. The other recalls the rest, and finds nothing
/// free in the book: the holder's write gave the rest back and took it again for its own need. The
/// logs say so: `grant-recalled returned=9 written=true`, 4 ms later `budget-short free=0
/// others=9`.
#[test]
fn recalled_rest() {
    let mut book = StoredBook::new(100);
    let (holder, asker) = (usual_home(HOME), usual_home(OTHER_HOME));
    let charge = book.reserve(&holder, 91, at(1)).charge;
    book.ran(&holder, charge, 91, at(1));
    book.grant(&holder, 9, at(2));
    assert!(book.short(&holder, 94, at(3)).is_some());
    holder.note_waiting(&book.branch, TokenCount(94), at(3));
    holder.note_waiting(&book.branch, TokenCount(2), at(3));

    assert_eq!(holder.return_unspent(&book.branch, TokenCount(94), at(3)), TokenCount(9));
    book.write(&holder, at(3));

    assert_eq!(book.free(), 9, "given back and taken again by one write");
    book.reserve(&asker, 2, at(3));
}
