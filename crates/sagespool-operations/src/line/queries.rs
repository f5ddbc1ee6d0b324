//! Parsing of queries.

use super::reader::LineReader;
use super::verbs::{LineVerb, read_help_word};
use crate::{ConfigSection, LineError, OperatorQuery};

/// Reads the rest of a query; `None` if the verb belongs to a command.
pub(super) fn read_query(
    verb: LineVerb,
    reader: &mut LineReader,
) -> Result<Option<OperatorQuery>, LineError> {
    let query = match verb {
        LineVerb::Spend => read_spend(reader)?,
        LineVerb::Running => OperatorQuery::Running { branch: optional_branch(reader)? },
        LineVerb::Upstreams => OperatorQuery::Upstreams,
        LineVerb::Members => OperatorQuery::Members,
        LineVerb::Configuration => OperatorQuery::Configuration { place: read_section(reader)? },
        LineVerb::Request => OperatorQuery::Request { request: reader.value("a request id")? },
        LineVerb::Key => OperatorQuery::Key {
            branch: reader.value("a branch name")?,
            key: reader.text("an idempotency key")?,
        },
        LineVerb::Quarantine => OperatorQuery::Quarantine,
        LineVerb::Commands => OperatorQuery::Commands,
        LineVerb::Command => OperatorQuery::Command { command: reader.value("a command id")? },
        LineVerb::Help => OperatorQuery::Help { word: optional_verb(reader)? },
        _ => return Ok(None),
    };
    reader.end(&[])?;
    Ok(Some(query))
}

fn read_spend(reader: &mut LineReader) -> Result<OperatorQuery, LineError> {
    let mut branches = Vec::new();
    if reader.is_at_end() {
        return Ok(OperatorQuery::Spend { branches });
    }
    loop {
        branches.push(reader.value("a branch name")?);
        if !reader.accepts_comma() {
            return Ok(OperatorQuery::Spend { branches });
        }
    }
}

fn optional_branch(
    reader: &mut LineReader,
) -> Result<Option<sagespool_types::BranchName>, LineError> {
    if reader.is_at_end() { Ok(None) } else { reader.value("a branch name").map(Some) }
}

fn optional_verb(reader: &mut LineReader) -> Result<Option<String>, LineError> {
    if reader.is_at_end() { Ok(None) } else { read_help_word(reader).map(Some) }
}

fn read_section(reader: &mut LineReader) -> Result<Option<ConfigSection>, LineError> {
    #[derive(Clone, Copy)]
    enum SectionKind {
        Branch,
        Class,
        Service,
    }
    const KINDS: [(&str, SectionKind); 3] = [
        ("branch", SectionKind::Branch),
        ("class", SectionKind::Class),
        ("service", SectionKind::Service),
    ];
    if reader.is_at_end() {
        return Ok(None);
    }
    let section = match reader.one_of("`branch`, `class` or `service`", &KINDS)? {
        SectionKind::Branch => ConfigSection::Branch(reader.value("a branch name")?),
        SectionKind::Class => ConfigSection::Class(reader.value("a class name")?),
        SectionKind::Service => ConfigSection::Service(reader.value("a service name")?),
    };
    Ok(Some(section))
}
