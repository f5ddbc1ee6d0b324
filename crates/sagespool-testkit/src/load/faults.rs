//! The faults of the load tool, as scripts that run beside the traffic.

mod config_churn;
mod drain;
mod graceful;
mod home;
mod operators_race;
mod process;
mod rolling_restart;
mod scripts;
mod stage;
mod stale_order;
mod store;

pub use scripts::{FAULT_NAMES, run_fault};
pub use stage::FaultStage;
