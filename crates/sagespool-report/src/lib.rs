//! Reading gateways' logs afterwards.
//!
//! [`AccountReport`] tells for each client account what its total went to; [`LossReport`] tells when
//! and why requests of each route weren't answered. Both need gateways' own log lines only, in any
//! order of instances, and pass over what else stands between them.

mod accounts;
mod line;
mod losses;

pub use accounts::{AccountReport, AccountSpend};
pub use line::LogLine;
pub use losses::{LossCause, LossReport};
