//! What the stands saw: every run, by the upstream that ran it.
//!
//! The oracle of a trial judges by this log and by the commands that the trial
//! itself gave. A run is found by the marker that the load tool put into its
//! prompt, path or body, so nothing rests on what a router says of itself.

mod log;
mod marker;
mod record;

pub use log::{RunLog, RunRecorder};
pub use marker::RunMarker;
pub use record::{RunEnd, RunRecord, RunStart, TokenUsage};
