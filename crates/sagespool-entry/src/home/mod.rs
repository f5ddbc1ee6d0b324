//! The home of a branch: budgets, idempotency keys and claims, for the callers of this entry and of
//! other entries.

mod books;
mod claims;
mod crashes;
mod finish;
mod keys;
mod place;
mod recall;
mod recovery;
mod reserve;
mod rounds;
mod witnesses;

pub(crate) use books::{BookWriter, WriteCause, run_book_writer, write_book};
pub(crate) use claims::ClaimWriter;
pub use claims::claim;
pub(crate) use crashes::{clear_suspect, record_crash, run_crash_watch, spread_crash};
pub use finish::finish;
pub(crate) use finish::{abandon, take_report};
pub(crate) use place::home_name;
pub(crate) use recall::give_back;
pub(crate) use recovery::run_recovery;
pub use reserve::reserve;
pub(crate) use rounds::BudgetRounds;
pub(crate) use witnesses::WitnessBoard;
