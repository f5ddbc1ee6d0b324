//! Budget accounting without I/O: books, grants, reservations, charges.
//!
//! A [`BookRecord`] is the store object for a share of the branches. A home takes grants out of it
//! and spends them without accessing the store again: [`HomeLedger`]. A grant's amount leaves the
//! book's free part before anything is spent from it. So the total that can be spent never exceeds
//! what was prepaid, even if several instances act as the branch's home.
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
//! # Ok::<(), sagespool_types::ParseError>(())
//! ```

mod account;
mod book;
mod branch_balance;
mod grant;
mod home;
mod intervals;
mod policy;
mod prepaid;
mod recovery;

pub use account::{BranchAccount, GrantRecord};
pub use book::{
    BOOK_COUNT, BookRecord, ReleaseOutcome, SpendBounds, TopUpOutcome, book_key, book_of,
};
pub use branch_balance::{ClassHoldback, OrphanCharge};
pub use home::{BudgetShortfall, HomeLedger, ReserveDecision};
pub use intervals::SequenceSet;
pub use policy::{BudgetMode, LedgerPolicy};
pub use prepaid::{GrantPolicy, HolderRecord, PrepaidBalance, PrepaidRecord, prepaid_key};
pub use recovery::{GrantRecovery, RecoveryVerdict};
