//! Choosing an upstream as pure decisions: load, affinity, queues, retries, limits.
