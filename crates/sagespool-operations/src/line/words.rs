//! Splitting a line into words, with the place of each.

use sagespool_types::derives;

use crate::LineError;

derives! { value;
    /// A place in a line, counted in characters from 0; the end is not part of it.
    pub struct LineSpan {
        /// Its first character.
        pub start: usize,
        /// The character after its last.
        pub end: usize,
    }
}

/// What a word of a line is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WordKind {
    Bare,
    /// Written between double quotes: any text, never a keyword.
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

/// The words of a line, in order.
///
/// # Errors
/// If a quoted text has no end.
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

/// A text between double quotes, in which `\` takes the next character as it is.
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
    let message = "the quoted text has no end";
    Err(LineError::new(line, span, message, "close it with `\"`"))
}
