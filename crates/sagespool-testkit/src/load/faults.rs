//! Fault injection: scripts that run concurrently with the traffic.

mod config_churn;
mod context;
mod drain;
mod graceful;
mod home;
mod operators_race;
mod process;
mod rolling_restart;
mod scripts;
mod stale_order;
mod store;

pub use context::FaultContext;
pub use scripts::{FAULT_NAMES, run_fault};
