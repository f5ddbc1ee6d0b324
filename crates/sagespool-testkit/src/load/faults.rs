//! The faults of the load tool, as scripts that run beside the traffic.

mod config_churn;
mod process;
mod scripts;
mod stage;
mod store;

pub use scripts::{FAULT_NAMES, run_fault};
pub use stage::FaultStage;
