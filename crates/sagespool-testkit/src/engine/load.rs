//! The load report of an engine.

use sagespool_types::derives;

use super::EngineOptions;

derives! { record;
    /// The load of an engine at one time.
    pub struct EngineLoad {
        /// Running requests.
        pub running: usize,
        /// Waiting requests.
        pub waiting: usize,
        /// Requests that can run concurrently.
        pub capacity: usize,
        /// Tokens generated per second, over all requests.
        pub tokens_per_second: u64,
        /// Models and adapters that are served.
        pub models: Vec<String>,
        /// The role of the engine, as set by its options or by an order.
        pub role: String,
    }
}

impl EngineLoad {
    /// The load of an idle engine.
    pub(crate) fn idle(options: &EngineOptions, models: Vec<String>, role: String) -> Self {
        let capacity = options.capacity;
        Self { running: 0, waiting: 0, capacity, tokens_per_second: 0, models, role }
    }
}
