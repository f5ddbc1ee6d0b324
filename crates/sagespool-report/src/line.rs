//! Parsing of one log line.

use std::str::FromStr;

use chrono::DateTime;

/// The fields of a log line.
#[derive(Debug, Clone, Copy)]
pub struct LogLine<'a> {
    prefix: &'a str,
    fields: &'a str,
}

impl<'a> LogLine<'a> {
    /// Finds the log line in a line of text, after any prefix that a log collector added. `None` if
    /// there is none.
    pub fn parse(text: &'a str) -> Option<Self> {
        let start = text.find("time=")?;
        let line = Self { prefix: &text[..start], fields: &text[start..] };
        line.field("event").map(|_| line)
    }

    /// The name of the instance that a log collector put before the line; `None` if there is none.
    pub fn source(self) -> Option<&'a str> {
        self.prefix.split_ascii_whitespace().next_back()
    }

    /// The text of a field, without its quotes; `None` if there is no such field.
    pub fn field(self, name: &str) -> Option<&'a str> {
        let values = self.fields.split_ascii_whitespace().filter_map(|pair| pair.split_once('='));
        let mut values = values.filter(|(key, _)| *key == name);
        values.next().map(|(_, value)| value.trim_matches('"'))
    }

    /// The parsed value of a field; `None` if it is absent or doesn't parse.
    pub fn value<T: FromStr>(self, name: &str) -> Option<T> {
        self.field(name)?.parse().ok()
    }

    /// The name of the event; empty if there is none.
    pub fn event(self) -> &'a str {
        self.field("event").unwrap_or_default()
    }

    /// The time of the line in Unix milliseconds; `None` if it doesn't parse.
    pub fn millis(self) -> Option<i64> {
        let time = DateTime::parse_from_rfc3339(self.field("time")?).ok()?;
        Some(time.timestamp_millis())
    }
}
