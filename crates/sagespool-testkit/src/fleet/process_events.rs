//! What was done to processes, and when.

use sagespool_types::{ClockTime, InstanceName};

/// What was done to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessEventKind {
    /// It was started.
    Started,
    /// It was told to stop, or its instance to leave.
    Stopping,
    /// It has ended.
    Ended,
}

/// What was done to a process, and when.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProcessEvent {
    /// Its instance.
    pub instance: InstanceName,
    /// When, on the clock of the stand-ins.
    pub at: ClockTime,
    /// What.
    pub kind: ProcessEventKind,
}
