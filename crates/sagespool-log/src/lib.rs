//! Structured logs: one line of key=value pairs for each event.
//!
//! ```
//! use sagespool_log::{LogLevel, log_event, start_log};
//!
//! start_log(LogLevel::Info);
//! log_event!(info, "request-ended", branch = "ruwi-bids", billed = 120);
//! ```
//!
//! gives on standard error
//!
//! ```text
//! time=2026-03-01T08:30:00.000125Z level=info event=request-ended branch=ruwi-bids billed=120
//! ```

mod event;
mod format;
mod level;
mod logger;
mod macros;

pub use event::EventLine;
pub use format::format_line;
pub use level::LogLevel;
pub use logger::{flush_log, is_enabled, start_log, start_log_queued, start_log_to, write_event};
