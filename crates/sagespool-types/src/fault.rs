//! The error of reading an id, a size or a name from text.

use std::error::Error;
use std::fmt;

/// Text that is not a value of the wanted type.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseError {
    /// What was wanted, for example `a branch name`.
    pub wanted: &'static str,
    /// The text as it was found, cut to a readable length.
    pub found: String,
    /// What would have been accepted.
    pub help: &'static str,
}

const SHOWN_CHARACTERS: usize = 64;

impl ParseError {
    /// A fault that shows at most 64 characters of the text.
    pub fn new(wanted: &'static str, found: &str, help: &'static str) -> Self {
        let found = found.chars().take(SHOWN_CHARACTERS).collect();
        Self { wanted, found, help }
    }
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}` is not {}: {}", self.found, self.wanted, self.help)
    }
}

impl Error for ParseError {}
