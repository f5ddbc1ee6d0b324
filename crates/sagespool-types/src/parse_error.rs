//! The error of parsing an id, a size or a name.

use std::error::Error;
use std::fmt;

/// Text that can't be parsed as a value of a type.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseError {
    /// The expected kind of value, for example `a branch name`.
    pub wanted: &'static str,
    /// The rejected text, truncated to 64 characters.
    pub found: String,
    /// The accepted form.
    pub help: &'static str,
}

const MAX_SHOWN_CHARACTERS: usize = 64;

impl ParseError {
    /// An error that keeps at most 64 characters of `found`.
    pub fn new(wanted: &'static str, found: &str, help: &'static str) -> Self {
        let found = found.chars().take(MAX_SHOWN_CHARACTERS).collect();
        Self { wanted, found, help }
    }
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}` is not {}: {}", self.found, self.wanted, self.help)
    }
}

impl Error for ParseError {}
