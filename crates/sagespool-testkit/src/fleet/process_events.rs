//! Start and stop events of processes.

use sagespool_types::{ClockTime, InstanceName};

/// The type of a process event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessEventKind {
    /// The process was started.
    Started,
    /// The process was ordered to stop, or its instance to leave.
    Stopping,
    /// The process has ended.
    Ended,
}

/// A start or stop event of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProcessEvent {
    /// Instance name.
    pub instance: InstanceName,
    /// Time of the event, by the clock of the fakes.
    pub at: ClockTime,
    /// Type of the event.
    pub kind: ProcessEventKind,
}
