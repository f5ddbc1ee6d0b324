//! The format of a log line.

use std::fmt::Write;
use std::time::SystemTime;

use chrono::{DateTime, SecondsFormat, Utc};
use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::{Record, StringBuf};

use crate::LogLevel;

/// Formats a line, without its line break: time in RFC 3339 (UTC, microseconds), level, event.
pub fn format_line(at: SystemTime, level: LogLevel, event: &str) -> String {
    let time = DateTime::<Utc>::from(at).to_rfc3339_opts(SecondsFormat::Micros, true);
    format!("time={time} level={level} {event}")
}

/// Formats the log library's records with [`format_line`].
#[derive(Clone)]
pub(crate) struct KeyValueFormatter;

impl Formatter for KeyValueFormatter {
    fn format(
        &self,
        record: &Record,
        dest: &mut StringBuf,
        _: &mut FormatterContext,
    ) -> spdlog::Result<()> {
        let level = LogLevel::from_library(record.level());
        let line = format_line(record.time(), level, record.payload());
        writeln!(dest, "{line}").map_err(spdlog::Error::FormatRecord)
    }
}
