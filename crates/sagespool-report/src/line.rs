//! One line of a log.

use std::str::FromStr;

use chrono::DateTime;

/// A log line's fields.
#[derive(Debug, Clone, Copy)]
pub struct LogLine<'a> {
    fields: &'a str,
}

impl<'a> LogLine<'a> {
    /// Finds the log line in a line of text. Whatever collected the logs may have put something
    /// before it. Nothing if there is none.
    pub fn parse(text: &'a str) -> Option<Self> {
        let start = text.find("time=")?;
        let line = Self { fields: &text[start..] };
        line.field("event").map(|_| line)
    }

    /// A field's text.
    pub fn field(self, name: &str) -> Option<&'a str> {
        let values = self.fields.split_ascii_whitespace().filter_map(|pair| pair.split_once('='));
        let mut values = values.filter(|(key, _)| *key == name);
        values.next().map(|(_, value)| value.trim_matches('"'))
    }

    /// A field's value; nothing if there is none or it is of another type.
    pub fn value<T: FromStr>(self, name: &str) -> Option<T> {
        self.field(name)?.parse().ok()
    }

    /// What happened.
    pub fn event(self) -> &'a str {
        self.field("event").unwrap_or_default()
    }

    /// When it was written, in milliseconds since 1970.
    pub fn millis(self) -> Option<i64> {
        let time = DateTime::parse_from_rfc3339(self.field("time")?).ok()?;
        Some(time.timestamp_millis())
    }
}
