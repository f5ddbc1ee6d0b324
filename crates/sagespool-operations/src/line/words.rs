//! Splitting of a line into words with their positions.

use sagespool_types::derives;

use crate::LineError;

derives! { value;
    /// A range of characters in a line, counted from 0; the end is exclusive.
    pub struct LineSpan {
        /// The first character.
        pub start: usize,
        /// The character after the last one.
        pub end: usize,
    }
}

/// The kind of a word.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WordKind {
    Bare,
    /// In double quotes: any text, never a keyword.
    Quoted,
    /// The comma between two items.
    Comma,
}

/// One word of a line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct LineWord {
    pub text: String,
    pub span: LineSpan,
    pub kind: WordKind,
}

/// Splits a line into its words.
///
/// # Errors
/// If a quoted text is not closed.
pub(super) fn split_words(line: &str) -> Result<Vec<LineWord>, LineError> {
    let characters: Vec<char> = line.chars().collect();
    let mut words = Vec::new();
    let mut at = 0;
    while at < characters.len() {
        let first = characters[at];
        if first.is_whitespace() {
            at += 1;
            continue;
        }
        let word = match first {
            ',' => comma(at),
            '"' => quoted(line, &characters, at)?,
            _ => bare(&characters, at),
        };
        at = word.span.end;
        words.push(word);
    }
    Ok(words)
}

fn comma(start: usize) -> LineWord {
    let span = LineSpan { start, end: start + 1 };
    LineWord { text: ",".to_owned(), span, kind: WordKind::Comma }
}

fn bare(characters: &[char], start: usize) -> LineWord {
    let ends = |c: &char| c.is_whitespace() || *c == ',' || *c == '"';
    let length = characters[start..].iter().position(ends).unwrap_or(characters.len() - start);
    let span = LineSpan { start, end: start + length };
    let text = characters[span.start..span.end].iter().collect();
    LineWord { text, span, kind: WordKind::Bare }
}

/// Reads a text in double quotes, in which `\` escapes the next character.
fn quoted(line: &str, characters: &[char], start: usize) -> Result<LineWord, LineError> {
    let mut text = String::new();
    let mut at = start + 1;
    while at < characters.len() {
        match characters[at] {
            '"' => {
                let span = LineSpan { start, end: at + 1 };
                return Ok(LineWord { text, span, kind: WordKind::Quoted });
            }
            '\\' if at + 1 < characters.len() => {
                text.push(characters[at + 1]);
                at += 2;
            }
            character => {
                text.push(character);
                at += 1;
            }
        }
    }
    let span = LineSpan { start, end: characters.len() };
    let message = "the quoted text is not closed";
    Err(LineError::new(line, span, message, "end it with `\"`"))
}
