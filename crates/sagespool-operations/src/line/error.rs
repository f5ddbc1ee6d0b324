//! Errors in a line, with their position.

use std::error::Error;
use std::fmt;

use sagespool_types::derives;

use super::LineSpan;

derives! { record;
    /// A line that is neither a valid query nor a valid command. Nothing was executed.
    #[derive(Eq)]
    pub struct LineError {
        /// The line.
        pub line: String,
        /// The position of the error in the line.
        pub at: LineSpan,
        /// The error at this position.
        pub message: String,
        /// The known word closest to the one at this position.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub nearest: Option<String>,
        /// The accepted syntax, or what to do instead.
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

    /// An error at the first occurrence of `word`, for errors that are found only after parsing, when the
    /// line is compared with the fleet's state: an unknown branch, for example.
    pub fn at_word(line: &str, word: &str, message: impl Into<String>, known: &[&str]) -> Self {
        let words = super::words::split_words(line).unwrap_or_default();
        let position = words.iter().find(|candidate| candidate.text == word);
        let end = line.chars().count();
        let at = position.map_or(LineSpan { start: 0, end }, |found| found.span);
        let help = "see `help`, or list the known names with a query";
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
