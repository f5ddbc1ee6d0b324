//! Where a branch's home is.

use sagespool_ledger::book_of;
use sagespool_types::BranchName;

/// The name by whose rendezvous order a branch's home is chosen: that of its book, so that all
/// branches of a book have one home in a region. With a home for each branch, hundreds of entries
/// would write the same books and meet in conflicts.
pub(crate) fn home_name(branch: &BranchName) -> BranchName {
    let name = format!("book-{}", book_of(branch));
    name.parse().unwrap_or_else(|_| branch.clone())
}
