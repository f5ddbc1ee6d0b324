//! Choosing the home of a branch.

use sagespool_ledger::book_of;
use sagespool_types::BranchName;

/// The name that rendezvous hashing uses to choose a branch's home. It is the name of the branch's
/// book, so that all branches of a book have one home in a region. With a home per branch, hundreds
/// of entries would write the same books and run into conflicts.
pub(crate) fn home_name(branch: &BranchName) -> BranchName {
    let name = format!("book-{}", book_of(branch));
    name.parse().unwrap_or_else(|_| branch.clone())
}
