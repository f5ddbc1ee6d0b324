//! The injected faults of an engine that leave it running.

/// The injected faults of an engine; the default is none.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EngineFaults {
    pub(crate) frozen: bool,
    /// Factor on the time of all work; 1 is normal speed.
    pub(crate) slow_factor: f64,
    /// Share of the runs whose streams break before their end.
    pub(crate) break_share: f64,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self { frozen: false, slow_factor: 1.0, break_share: 0.0 }
    }
}
