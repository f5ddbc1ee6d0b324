//! Reading a line word by word.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use sagespool_types::ParseError;

use super::words::{LineWord, WordKind, split_words};
use super::{LineError, LineSpan, nearest_of};

/// Most characters of a line; a command for hundreds of branches fits.
const LONGEST_LINE: usize = 16 * 1024;

/// A line, read from its first word to its last.
pub(super) struct LineReader<'a> {
    line: &'a str,
    words: Vec<LineWord>,
    next: usize,
    usage: String,
}

impl<'a> LineReader<'a> {
    pub fn new(line: &'a str) -> Result<Self, LineError> {
        if line.chars().count() > LONGEST_LINE {
            let start: String = line.chars().take(40).collect();
            let at = LineSpan { start: 0, end: 40 };
            let message = format!("the line is longer than {LONGEST_LINE} characters");
            return Err(LineError::new(&start, at, message, "give several commands"));
        }
        let words = split_words(line)?;
        let usage = "see `help` for every query and command".to_owned();
        Ok(Self { line, words, next: 0, usage })
    }

    /// From here on, what would be accepted is this.
    pub fn set_usage(&mut self, usage: &str) {
        self.usage = usage.to_owned();
    }

    fn peek(&self) -> Option<&LineWord> {
        self.words.get(self.next)
    }

    pub fn is_at_end(&self) -> bool {
        self.next == self.words.len()
    }

    /// The place of the word read last.
    pub fn last_span(&self) -> LineSpan {
        let last = self.next.checked_sub(1).and_then(|last| self.words.get(last));
        last.map_or(LineSpan { start: 0, end: 0 }, |word| word.span)
    }

    /// A fault at the word read last.
    pub fn fault_at_last(&self, message: impl Into<String>) -> LineError {
        LineError::new(self.line, self.last_span(), message, self.usage.clone())
    }

    fn fault_at_end(&self, wanted: impl Display) -> LineError {
        let end = self.line.trim_end().chars().count();
        let at = LineSpan { start: end, end: end + 1 };
        let message = format!("the line ends where {wanted} is wanted");
        LineError::new(self.line, at, message, self.usage.clone())
    }

    fn take(&mut self, wanted: impl Display) -> Result<LineWord, LineError> {
        let Some(word) = self.peek().cloned() else {
            return Err(self.fault_at_end(wanted));
        };
        self.next += 1;
        if word.kind == WordKind::Comma {
            return Err(self.fault_at_last(format!("a comma stands where {wanted} is wanted")));
        }
        Ok(word)
    }

    /// One of some keywords, as what it stands for.
    pub fn one_of<T: Copy>(
        &mut self,
        wanted: &str,
        known: &[(&'static str, T)],
    ) -> Result<T, LineError> {
        let word = self.take(wanted)?;
        let found = known
            .iter()
            .find(|(text, _)| word.kind == WordKind::Bare && word.text.eq_ignore_ascii_case(text));
        if let Some((_, meaning)) = found {
            return Ok(*meaning);
        }
        let texts: Vec<&str> = known.iter().map(|(text, _)| *text).collect();
        let nearest = nearest_of(&word.text, &texts);
        let message = format!("`{}` is not {wanted}", word.text);
        Err(self.fault_at_last(message).with_nearest(nearest))
    }

    /// The keyword, which has to stand here.
    pub fn expect(&mut self, keyword: &'static str) -> Result<(), LineError> {
        self.one_of(&format!("the word `{keyword}`"), &[(keyword, ())])
    }

    /// True if the keyword stands here; it is read then.
    pub fn accepts(&mut self, keyword: &str) -> bool {
        let stands = self.stands(keyword);
        self.next += usize::from(stands);
        stands
    }

    /// True if the keyword stands here.
    pub fn stands(&self, keyword: &str) -> bool {
        self.peek().is_some_and(|word| {
            word.kind == WordKind::Bare && word.text.eq_ignore_ascii_case(keyword)
        })
    }

    /// True if a comma or nothing follows.
    pub fn ends_item(&self) -> bool {
        self.peek().is_none_or(|word| word.kind == WordKind::Comma)
    }

    /// True if a comma stands here; it is read then.
    pub fn accepts_comma(&mut self) -> bool {
        let stands = !self.is_at_end() && self.ends_item();
        self.next += usize::from(stands);
        stands
    }

    /// A name, an id or the like.
    pub fn value<T: FromStr<Err = ParseError>>(&mut self, wanted: &str) -> Result<T, LineError> {
        let word = self.take(wanted)?;
        word.text.parse().map_err(|fault: ParseError| {
            let message = format!("`{}` is not {wanted}: {}", fault.found, fault.help);
            self.fault_at_last(message)
        })
    }

    /// Any text.
    pub fn text(&mut self, wanted: &str) -> Result<String, LineError> {
        Ok(self.take(wanted)?.text)
    }

    /// A whole number, in which `_` may part the digits.
    pub fn number(&mut self, wanted: &str, allowed: RangeInclusive<u64>) -> Result<u64, LineError> {
        let word = self.take(wanted)?;
        let digits = word.text.replace('_', "");
        let plain = digits.chars().all(|digit| digit.is_ascii_digit());
        let number = digits.parse().ok().filter(|number| plain && allowed.contains(number));
        number.ok_or_else(|| {
            let (least, most) = (allowed.start(), allowed.end());
            let message =
                format!("`{}` is not {wanted}: a whole number from {least} to {most}", word.text);
            self.fault_at_last(message)
        })
    }

    /// Makes sure that nothing follows. `known` are the keywords that could have.
    pub fn end(&mut self, known: &[&str]) -> Result<(), LineError> {
        let Some(word) = self.peek().cloned() else {
            return Ok(());
        };
        self.next += 1;
        let nearest = nearest_of(&word.text, known);
        Err(self
            .fault_at_last(format!("`{}` is not expected here", word.text))
            .with_nearest(nearest))
    }
}
