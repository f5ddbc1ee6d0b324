//! The key-value pairs of one event.

use std::fmt::{self, Display, Write};

/// The pairs of one event, with values quoted where needed: always a single line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventLine(String);

impl EventLine {
    /// A line that starts with `event=NAME`.
    pub fn new(event: &str) -> Self {
        let mut line = Self(String::with_capacity(TYPICAL_LINE_BYTES));
        line.push("event", &event);
        line
    }

    /// Adds `key=value`. Keys must come from the source code; values may be untrusted.
    pub fn push(&mut self, key: &str, value: &dyn Display) {
        if !self.0.is_empty() {
            self.0.push(' ');
        }
        self.0.push_str(key);
        self.0.push('=');
        push_value(&mut self.0, &value.to_string());
    }

    /// The line without a line break.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

const TYPICAL_LINE_BYTES: usize = 160;

impl Display for EventLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Guards against forged lines and pairs: a line break, a quote or ` level=` in a
/// caller's header could appear as an event of its own, or change the meaning of
/// one. Such a value is written as a quoted string in which all unprintable
/// characters are escaped.
fn push_value(line: &mut String, value: &str) {
    if is_plain(value) {
        line.push_str(value);
        return;
    }
    write!(line, "{value:?}").expect("writing to a string doesn't fail");
}

fn is_plain(value: &str) -> bool {
    let is_plain_char =
        |c: char| c.is_alphanumeric() || (c.is_ascii_graphic() && !"\"=\\".contains(c));
    !value.is_empty() && value.chars().all(is_plain_char)
}
