//! From a line to a query or a command.

mod changes;
mod fault;
mod items;
mod nearest;
mod queries;
mod reader;
mod verbs;
mod words;

pub use fault::LineError;
pub use nearest::nearest_of;
pub use verbs::{VerbHelp, verb_help};
pub use words::LineSpan;

use reader::LineReader;
use verbs::LineVerb;

use crate::{OperatorCommand, OperatorQuery};

/// What a line says.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorLine {
    /// A question.
    Query(OperatorQuery),
    /// Something to do.
    Command(OperatorCommand),
}

/// Reads a line.
///
/// # Errors
/// The first fault: its place in the line, and the known word that may have been meant.
///
/// ```
/// use sagespool_operations::{OperatorLine, parse_line};
///
/// assert!(matches!(parse_line("top-up ruwi-bids 5_000"), Ok(OperatorLine::Command(_))));
/// let fault = parse_line("spned ruwi-bids").expect_err("the word is misspelt");
/// assert_eq!(fault.nearest.as_deref(), Some("spend"));
/// assert_eq!((fault.at.start, fault.at.end), (0, 5));
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

/// `if version V`, behind a command that edits the configuration.
fn read_condition(
    verb: LineVerb,
    reader: &mut LineReader,
) -> Result<Option<sagespool_types::ConfigVersion>, LineError> {
    if !changes::is_change(verb) || !reader.accepts("if") {
        return Ok(None);
    }
    reader.expect("version")?;
    let version = reader.number("a configuration version", 0..=u64::MAX)?;
    Ok(Some(sagespool_types::ConfigVersion(version)))
}
