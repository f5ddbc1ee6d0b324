//! What is wrong with a line, and where.

use std::error::Error;
use std::fmt;

use sagespool_types::derives;

use super::LineSpan;

derives! { record;
    /// A line that says nothing that can be asked or done. Nothing was done.
    #[derive(Eq)]
    pub struct LineError {
        /// The line.
        pub line: String,
        /// The place in it that is wrong.
        pub at: LineSpan,
        /// What is wrong there.
        pub message: String,
        /// The known word most like the one that stands there.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub nearest: Option<String>,
        /// What would be accepted.
        pub help: String,
    }
}

impl LineError {
    pub(crate) fn new(
        line: &str,
        at: LineSpan,
        message: impl Into<String>,
        help: impl Into<String>,
    ) -> Self {
        let (message, help) = (message.into(), help.into());
        Self { line: line.to_owned(), at, message, nearest: None, help }
    }

    pub(crate) fn with_nearest(self, nearest: Option<String>) -> Self {
        Self { nearest, ..self }
    }

    /// A fault at the first place where a word stands that the line was read from, found only when
    /// the line was looked at beside the fleet: an unknown branch, for example.
    pub fn at_word(line: &str, word: &str, message: impl Into<String>, known: &[&str]) -> Self {
        let found = super::words::split_words(line).unwrap_or_default();
        let place = found.iter().find(|found| found.text == word);
        let end = line.chars().count();
        let at = place.map_or(LineSpan { start: 0, end }, |found| found.span);
        let help = "see `help`, or ask for the names that there are";
        Self::new(line, at, message, help).with_nearest(super::nearest_of(word, known))
    }
}

impl fmt::Display for LineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let length = self.at.end.saturating_sub(self.at.start).max(1);
        writeln!(f, "{}", self.message)?;
        writeln!(f, "  {}", self.line)?;
        writeln!(f, "  {}{}", " ".repeat(self.at.start), "^".repeat(length))?;
        if let Some(nearest) = &self.nearest {
            writeln!(f, "did you mean `{nearest}`?")?;
        }
        write!(f, "help: {}", self.help)
    }
}

impl Error for LineError {}
