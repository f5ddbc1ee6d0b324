//! `spend`: query the holders, read each book once, and query the holders again.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use sagespool_ledger::{BookRecord, book_key, book_of};
use sagespool_messages::{MemberRole, StatusQuery};
use sagespool_operations::{
    AnswerBody, BookFigures, GrantInDoubt, HolderUsage, SpendAnswer, SpendEstimate, SpendRow,
    TokenRange,
};
use sagespool_platform::{StoreError, StoredObject};
use sagespool_types::{BookNumber, BranchName, StoreRevision, TokenCount};

use super::basis::BasisBuilder;
use super::status_query::{MemberReplies, known_members, query_members};
use super::{AnswerWithBasis, OperatorRefusal, is_known, unknown_branch};
use crate::state::EntryState;

/// Maximum number of rows.
const MAX_ROWS: usize = 1000;

const READ_TIME_NOTE: &str = "each row is valid at the time at which its book was read; `running` just \
                           after it";

type BookRead = Result<StoredObject<BookRecord>, StoreError>;

/// Answers `spend`.
///
/// The order of the three steps makes the bounds valid, see [`SpendEstimate`]: what a holder had
/// used before the read had certainly been used at the read, and what it has used and holds after
/// the read is at least what it had used then.
pub(super) async fn answer(
    state: &Arc<EntryState>,
    line: &str,
    branches: &[BranchName],
) -> Result<AnswerWithBasis, OperatorRefusal> {
    let mut basis = BasisBuilder::new();
    let entries = known_members(state, Some(MemberRole::Entry));
    let only = if let [branch] = branches { Some(branch.clone()) } else { None };
    let query = StatusQuery { branch: only, running: 0 };
    let before = query_members(state, &entries, &query).await;
    basis.note_store_read(state.objects.seen_revision());
    let books = read_books(state, branches).await;
    let after = query_members(state, &entries, &query).await;
    basis.add_replies(&before);
    basis.add_replies(&after);
    for error in books.values().filter_map(|read| read.as_ref().err()) {
        basis.note_store_error(error);
    }
    basis.note(READ_TIME_NOTE);
    let wanted = wanted_branches(state, line, branches, &books)?;
    let left_out = wanted.len().saturating_sub(MAX_ROWS);
    let rows = wanted.iter().take(MAX_ROWS).map(|branch| {
        let read = &books[&book_of(branch)];
        row(branch, read.as_ref().ok(), &before, &after)
    });
    let answer = SpendAnswer { rows: rows.collect(), left_out: left_out as u64 };
    Ok((AnswerBody::Spend(answer), basis))
}

/// Reads the branches' books in parallel, or all books if no branch is named.
async fn read_books(
    state: &Arc<EntryState>,
    branches: &[BranchName],
) -> BTreeMap<BookNumber, BookRead> {
    let mut wanted: BTreeSet<BookNumber> = branches.iter().map(book_of).collect();
    if branches.is_empty() {
        wanted = (0..sagespool_ledger::BOOK_COUNT).map(BookNumber).collect();
    }
    let reads = wanted.into_iter().map(|book| {
        let state = Arc::clone(state);
        (book, smol::spawn(async move { read_book(&state, book).await }))
    });
    let reads: Vec<_> = reads.collect();
    let mut books = BTreeMap::new();
    for (book, read) in reads {
        books.insert(book, read.await);
    }
    books
}

/// Reads a book. One that does not exist has no accounts yet.
async fn read_book(state: &EntryState, book: BookNumber) -> BookRead {
    let stored = state.objects.get::<BookRecord>(&book_key(book)).await?;
    let empty = || StoredObject { version: StoreRevision::ZERO, value: BookRecord::default() };
    Ok(stored.unwrap_or_else(empty))
}

fn wanted_branches(
    state: &EntryState,
    line: &str,
    branches: &[BranchName],
    books: &BTreeMap<BookNumber, BookRead>,
) -> Result<Vec<BranchName>, OperatorRefusal> {
    let has_account = |branch: &BranchName| match &books[&book_of(branch)] {
        Ok(book) => book.value.branches.contains_key(branch),
        Err(_) => true,
    };
    let unknown = branches.iter().find(|branch| !is_known(state, branch) && !has_account(branch));
    if let Some(branch) = unknown {
        return Err(unknown_branch(state, line, branch));
    }
    if !branches.is_empty() {
        return Ok(branches.to_vec());
    }
    let mut all: BTreeSet<BranchName> = BTreeSet::new();
    if let Some(config) = state.config.current() {
        all.extend(config.branches().map(|(branch, _)| branch.clone()));
    }
    let accounts = books.values().filter_map(|read| read.as_ref().ok());
    all.extend(accounts.flat_map(|book| book.value.branches.keys().cloned()));
    Ok(all.into_iter().collect())
}

fn row(
    branch: &BranchName,
    book: Option<&StoredObject<BookRecord>>,
    before: &MemberReplies,
    after: &MemberReplies,
) -> SpendRow {
    let before = HolderUsage::of(branch, &before.replies);
    let after = HolderUsage::of(branch, &after.replies);
    let Some(book) = book else {
        return row_without_book(branch, &after);
    };
    let estimate = SpendEstimate::combine(&book.value, branch, &before, &after);
    SpendRow {
        branch: branch.clone(),
        book: Some(BookFigures {
            version: book.version,
            prepaid: estimate.book.prepaid,
            settled: estimate.book.settled,
            granted: estimate.book.granted,
            in_doubt: estimate.book.in_doubt,
            free: estimate.book.free,
        }),
        running: estimate.reserved,
        spent: estimate.spent,
        in_doubt_grants: grants_in_doubt(&book.value, branch),
    }
}

fn row_without_book(branch: &BranchName, replies: &HolderUsage) -> SpendRow {
    SpendRow {
        branch: branch.clone(),
        book: None,
        running: TokenRange::at_least(TokenCount::ZERO),
        spent: SpendEstimate::without_book(replies),
        in_doubt_grants: Vec::new(),
    }
}

fn grants_in_doubt(book: &BookRecord, branch: &BranchName) -> Vec<GrantInDoubt> {
    let grants = book.branches.get(branch).into_iter().flat_map(|account| &account.grants);
    let in_doubt = grants.filter(|(_, record)| record.is_unaccounted());
    let in_doubt = in_doubt.map(|(grant, record)| GrantInDoubt {
        grant: *grant,
        tokens: record.unsettled_amount().saturating_sub(record.known_use()),
    });
    in_doubt.collect()
}
