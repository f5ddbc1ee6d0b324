//! Reports from gateway logs.
//!
//! [`AccountReport`] breaks down the prepaid total of each client account. [`LossReport`] counts the
//! requests of each route that were not answered, by time and reason. [`ArrivalReport`] counts requests
//! by gateway, account and reason. All read only the gateways' own log lines, in any order of instances,
//! and skip other text between them.

mod accounts;
mod arrivals;
mod line;
mod losses;

pub use accounts::{AccountReport, AccountSpend};
pub use arrivals::{ArrivalLoss, ArrivalReport, GatewayArrivals};
pub use line::LogLine;
pub use losses::{LossGroup, LossReport};
