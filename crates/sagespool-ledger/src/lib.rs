//! Budgets as pure decisions: books, grants, reservations, charges.
//!
//! A [`BookRecord`] is the store's object for a share of the branches. A home takes grants out of
//! it and spends them without asking the store again: [`HomeLedger`]. Because a grant's amount has
//! left the book's free part before anything is spent from it, the sum of what can be spent never
//! passes what was prepaid, whoever else believes to be the branch's home.
//!
//! ```
//! use sagespool_ledger::{BookRecord, TopUpOutcome};
//! use sagespool_types::{CommandId, TokenCount};
//!
//! let mut book = BookRecord::default();
//! let branch = "ruwi-bids".parse()?;
//! let command = CommandId(1);
//! assert_eq!(book.top_up(command, &branch, TokenCount(500)), TopUpOutcome::Applied);
//! assert_eq!(book.top_up(command, &branch, TokenCount(500)), TopUpOutcome::AlreadyApplied);
//! assert_eq!(book.free(&branch), TokenCount(500));
//! # Ok::<(), sagespool_types::ParseFault>(())
//! ```

mod account;
mod book;
mod grant;
mod home;
mod intervals;
mod policy;
mod prepaid;
mod purse;
mod recovery;

pub use account::{BranchAccount, GrantRecord};
pub use book::{
    BOOK_COUNT, BookRecord, ReleaseOutcome, SpendBounds, TopUpOutcome, book_key, book_of,
};
pub use home::{BudgetShortfall, HomeLedger, ReserveDecision};
pub use intervals::SequenceSet;
pub use policy::{BudgetMode, LedgerPolicy};
pub use prepaid::{GrantPolicy, HolderRecord, PrepaidBalance, PrepaidRecord, prepaid_key};
pub use purse::{ClassHoldback, OrphanCharge};
pub use recovery::{GrantRecovery, RecoveryVerdict};
