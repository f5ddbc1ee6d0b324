//! The log of all runs, as recorded by the fake upstreams.
//!
//! The load tool's oracle uses this log and the commands that the test issued. Runs are
//! identified by the marker that the load tool puts into the prompt, path or body, so the verdict
//! does not depend on anything that the router reports.

mod log;
mod marker;
mod record;

pub use log::{RunLog, RunRecorder};
pub use marker::RunMarker;
pub use record::{RunEnd, RunRecord, RunStart, TokenUsage};
