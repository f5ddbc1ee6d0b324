//! What an engine reports of its load.

use sagespool_types::derives;

use super::EngineOptions;

derives! { record;
    /// An engine's load at some moment.
    pub struct EngineLoad {
        /// Requests that run.
        pub running: usize,
        /// Requests that wait.
        pub waiting: usize,
        /// Requests that can run at once.
        pub capacity: usize,
        /// Tokens a second that it makes, over all requests.
        pub tokens_per_second: u64,
        /// Models and adapters that it serves.
        pub models: Vec<String>,
        /// Its role.
        pub role: String,
    }
}

impl EngineLoad {
    /// The load of an engine that does nothing.
    pub(crate) fn idle(options: &EngineOptions, models: Vec<String>, role: String) -> Self {
        let capacity = options.capacity;
        Self { running: 0, waiting: 0, capacity, tokens_per_second: 0, models, role }
    }
}
