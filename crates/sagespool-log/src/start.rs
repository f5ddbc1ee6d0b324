//! Where a process's log goes.

use std::io::Write;
use std::sync::Arc;

use spdlog::sink::{Sink, StdStreamSink, WriteSink};
use spdlog::terminal_style::StyleMode;
use spdlog::{Logger, log};

use crate::format::PairFormatter;
use crate::{EventLine, LogLevel};

/// Sends the process's log to standard error.
pub fn start_log(level: LogLevel) {
    let sink = StdStreamSink::builder()
        .stderr()
        .style_mode(StyleMode::Never)
        .formatter(PairFormatter)
        .build_arc()
        .expect("a sink on standard error has nothing to open");
    replace_logger(level, sink);
}

/// Sends the process's log to a writer, for programs that embed the fleet.
pub fn start_log_to<W: Write + Send + 'static>(level: LogLevel, writer: W) {
    let sink = WriteSink::builder()
        .target(writer)
        .formatter(PairFormatter)
        .build_arc()
        .expect("a sink on a writer has nothing to open");
    replace_logger(level, sink);
}

/// Whether events of a level are logged.
pub fn is_enabled(level: LogLevel) -> bool {
    spdlog::default_logger().should_log(level.to_library())
}

/// Writes an event to the process's log. [`log_event!`](crate::log_event) calls it.
pub fn write_event(level: LogLevel, line: &EventLine) {
    log!(level.to_library(), "{}", line.as_str());
}

fn replace_logger(level: LogLevel, sink: Arc<dyn Sink>) {
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(level.to_filter())
        .build_arc()
        .expect("a logger without a name is always valid");
    spdlog::set_default_logger(logger);
}
