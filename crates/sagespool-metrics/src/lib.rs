//! Metrics of a process: histograms by class and branch, counters, gauges, and their exposition.
//!
//! ```
//! use std::time::Duration;
//! use sagespool_metrics::FleetMetrics;
//! use sagespool_types::{BranchName, ClassName};
//!
//! let metrics = FleetMetrics::new();
//! let class: ClassName = "lookup".parse()?;
//! let branch: BranchName = "ruwi-bids".parse()?;
//! metrics.count_admitted(&class, &branch);
//! metrics.observe_first_token(&class, &branch, Duration::from_millis(4));
//! assert!(metrics.encode().contains("sagespool_admitted_total{class=\"lookup\"} 1"));
//! # Ok::<(), sagespool_types::ParseError>(())
//! ```

mod fleet;
mod labels;
mod timings;

pub use fleet::FleetMetrics;
pub use labels::{DropCause, StoreCallKind};
pub use timings::RequestTimings;
