//! Parsing of a line into a query or a command.

mod changes;
mod error;
mod items;
mod nearest;
mod queries;
mod reader;
mod verbs;
mod words;

pub use error::LineError;
pub use nearest::nearest_of;
pub use verbs::{VerbHelp, verb_help};
pub use words::LineSpan;

use reader::LineReader;
use verbs::LineVerb;

use crate::{OperatorCommand, OperatorQuery};

/// A parsed line.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorLine {
    /// A query, which changes nothing.
    Query(OperatorQuery),
    /// A command.
    Command(OperatorCommand),
}

/// Parses a line.
///
/// # Errors
/// The first error, with its position in the line and the closest known word.
///
/// ```
/// use sagespool_operations::{OperatorLine, parse_line};
///
/// assert!(matches!(parse_line("top-up ruwi-bids 5_000"), Ok(OperatorLine::Command(_))));
/// let error = parse_line("spned ruwi-bids").expect_err("the word is misspelt");
/// assert_eq!(error.nearest.as_deref(), Some("spend"));
/// assert_eq!((error.at.start, error.at.end), (0, 5));
/// ```
pub fn parse_line(line: &str) -> Result<OperatorLine, LineError> {
    let mut reader = LineReader::new(line)?;
    let verb = verbs::read_verb(&mut reader)?;
    if let Some(query) = queries::read_query(verb, &mut reader)? {
        return Ok(OperatorLine::Query(query));
    }
    let items = items::read_items(verb, &mut reader)?;
    let seen = read_condition(verb, &mut reader)?;
    reader.end(&["if"])?;
    Ok(OperatorLine::Command(OperatorCommand { items, seen }))
}

/// Reads an optional `if version V` at the end of a command that edits the configuration.
fn read_condition(
    verb: LineVerb,
    reader: &mut LineReader,
) -> Result<Option<sagespool_types::ConfigVersion>, LineError> {
    if !changes::is_edit(verb) || !reader.accepts("if") {
        return Ok(None);
    }
    reader.expect("version")?;
    let version = reader.number("a configuration version", 0..=u64::MAX)?;
    Ok(Some(sagespool_types::ConfigVersion(version)))
}
