//! How many calls went to the store.

/// Calls of one client since it was made. Each counts against the platform's rates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StoreCounters {
    /// Gets and lists.
    pub reads: u64,
    /// Puts and deletes.
    pub writes: u64,
    /// Watches, of objects and of the instance list.
    pub watches: u64,
    /// Writes that found another version.
    pub conflicts: u64,
    /// Calls that the platform turned away over its rate.
    pub rate_limited: u64,
    /// Calls that got no answer that could be used.
    pub failures: u64,
}
