//! Word-by-word reader of a line.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use sagespool_types::ParseError;

use super::words::{LineWord, WordKind, split_words};
use super::{LineError, LineSpan, nearest_of};

/// Limit on the characters of a line. A command for hundreds of branches fits.
const MAX_LINE_CHARS: usize = 16 * 1024;

/// A line and the position of the next word to read.
pub(super) struct LineReader<'a> {
    line: &'a str,
    words: Vec<LineWord>,
    next: usize,
    usage: String,
}

impl<'a> LineReader<'a> {
    pub fn new(line: &'a str) -> Result<Self, LineError> {
        if line.chars().count() > MAX_LINE_CHARS {
            let start: String = line.chars().take(40).collect();
            let at = LineSpan { start: 0, end: 40 };
            let message = format!("the line is longer than {MAX_LINE_CHARS} characters");
            return Err(LineError::new(&start, at, message, "split it into several commands"));
        }
        let words = split_words(line)?;
        let usage = "see `help` for every query and command".to_owned();
        Ok(Self { line, words, next: 0, usage })
    }

    /// Sets the usage line that the following errors show as help.
    pub fn set_usage(&mut self, usage: &str) {
        self.usage = usage.to_owned();
    }

    fn peek(&self) -> Option<&LineWord> {
        self.words.get(self.next)
    }

    pub fn is_at_end(&self) -> bool {
        self.next == self.words.len()
    }

    /// The position of the word that was read last.
    pub fn last_span(&self) -> LineSpan {
        let last = self.next.checked_sub(1).and_then(|last| self.words.get(last));
        last.map_or(LineSpan { start: 0, end: 0 }, |word| word.span)
    }

    /// An error at the word that was read last.
    pub fn error_at_last(&self, message: impl Into<String>) -> LineError {
        LineError::new(self.line, self.last_span(), message, self.usage.clone())
    }

    fn error_at_end(&self, wanted: impl Display) -> LineError {
        let end = self.line.trim_end().chars().count();
        let at = LineSpan { start: end, end: end + 1 };
        let message = format!("the line ends where {wanted} is expected");
        LineError::new(self.line, at, message, self.usage.clone())
    }

    fn next_word(&mut self, wanted: impl Display) -> Result<LineWord, LineError> {
        let Some(word) = self.peek().cloned() else {
            return Err(self.error_at_end(wanted));
        };
        self.next += 1;
        if word.kind == WordKind::Comma {
            return Err(self.error_at_last(format!("found a comma where {wanted} is expected")));
        }
        Ok(word)
    }

    /// Reads one of the known keywords and returns its value.
    pub fn one_of<T: Copy>(
        &mut self,
        wanted: &str,
        known: &[(&'static str, T)],
    ) -> Result<T, LineError> {
        let word = self.next_word(wanted)?;
        let found = known
            .iter()
            .find(|(text, _)| word.kind == WordKind::Bare && word.text.eq_ignore_ascii_case(text));
        if let Some((_, value)) = found {
            return Ok(*value);
        }
        let texts: Vec<&str> = known.iter().map(|(text, _)| *text).collect();
        let nearest = nearest_of(&word.text, &texts);
        let message = format!("`{}` is not {wanted}", word.text);
        Err(self.error_at_last(message).with_nearest(nearest))
    }

    /// Reads a required keyword.
    pub fn expect(&mut self, keyword: &'static str) -> Result<(), LineError> {
        self.one_of(&format!("the keyword `{keyword}`"), &[(keyword, ())])
    }

    /// Reads an optional keyword; true if it was present.
    pub fn accepts(&mut self, keyword: &str) -> bool {
        let is_present = self.is_at_keyword(keyword);
        self.next += usize::from(is_present);
        is_present
    }

    /// True if the keyword is the next word.
    pub fn is_at_keyword(&self, keyword: &str) -> bool {
        self.peek().is_some_and(|word| {
            word.kind == WordKind::Bare && word.text.eq_ignore_ascii_case(keyword)
        })
    }

    /// True if a comma or the end of the line follows.
    pub fn ends_item(&self) -> bool {
        self.peek().is_none_or(|word| word.kind == WordKind::Comma)
    }

    /// Reads an optional comma; true if it was present.
    pub fn accepts_comma(&mut self) -> bool {
        let is_present = !self.is_at_end() && self.ends_item();
        self.next += usize::from(is_present);
        is_present
    }

    /// Reads a word and parses it, for example as a name or an id.
    pub fn value<T: FromStr<Err = ParseError>>(&mut self, wanted: &str) -> Result<T, LineError> {
        let word = self.next_word(wanted)?;
        word.text.parse().map_err(|error: ParseError| {
            let message = format!("`{}` is not {wanted}: {}", error.found, error.help);
            self.error_at_last(message)
        })
    }

    /// Reads a word as text.
    pub fn text(&mut self, wanted: &str) -> Result<String, LineError> {
        Ok(self.next_word(wanted)?.text)
    }

    /// Reads a whole number, in which `_` may separate digits.
    pub fn number(&mut self, wanted: &str, allowed: RangeInclusive<u64>) -> Result<u64, LineError> {
        let word = self.next_word(wanted)?;
        let digits = word.text.replace('_', "");
        let is_decimal = digits.chars().all(|digit| digit.is_ascii_digit());
        let number = digits.parse().ok().filter(|number| is_decimal && allowed.contains(number));
        number.ok_or_else(|| {
            let (min, max) = (allowed.start(), allowed.end());
            let message =
                format!("`{}` is not {wanted}: a whole number from {min} to {max}", word.text);
            self.error_at_last(message)
        })
    }

    /// Checks that the line ends here. `known` are the keywords that could follow; they are suggested for
    /// a misspelt one.
    pub fn end(&mut self, known: &[&str]) -> Result<(), LineError> {
        let Some(word) = self.peek().cloned() else {
            return Ok(());
        };
        self.next += 1;
        let nearest = nearest_of(&word.text, known);
        Err(self
            .error_at_last(format!("`{}` is not expected here", word.text))
            .with_nearest(nearest))
    }
}
