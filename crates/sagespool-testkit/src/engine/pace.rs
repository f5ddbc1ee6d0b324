//! How an engine works while its faults last.

/// The pace of an engine, set by its faults.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EnginePace {
    pub(crate) frozen: bool,
    pub(crate) slow_factor: f64,
    /// The share of runs that break in the middle of their streams.
    pub(crate) break_share: f64,
}

impl Default for EnginePace {
    fn default() -> Self {
        Self { frozen: false, slow_factor: 1.0, break_share: 0.0 }
    }
}
