//! Reports from gateway logs.
//!
//! [`AccountReport`] breaks down the prepaid total of each client account. [`LossReport`] counts the
//! requests of each route that were not answered, by time and reason. Both read only the gateways' own
//! log lines, in any order of instances, and skip other text between them.

mod accounts;
mod line;
mod losses;

pub use accounts::{AccountReport, AccountSpend};
pub use line::LogLine;
pub use losses::{LossGroup, LossReport};
