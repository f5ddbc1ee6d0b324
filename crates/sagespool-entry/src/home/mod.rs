//! The home of a branch: budgets, idempotency keys and claims, for the callers of this entry and of
//! other entries.

mod acquisition;
mod books;
mod claims;
mod crashes;
mod finish;
mod keys;
mod place;
mod recall;
mod recovery;
mod reserve;
mod seal_targets;

pub(crate) use acquisition::BudgetAcquisitions;
pub(crate) use books::{BookWriter, WriteCause, run_book_writer, write_book};
pub(crate) use claims::ClaimWriter;
pub use claims::claim;
pub(crate) use crashes::{broadcast_crash, clear_suspect, record_crash, run_crash_watch};
pub use finish::finish;
pub(crate) use finish::{abandon, record_charges};
pub(crate) use place::home_name;
pub(crate) use recall::handle_recall;
pub(crate) use recovery::run_recovery;
pub use reserve::reserve;
pub(crate) use seal_targets::SealTargetRegistry;
