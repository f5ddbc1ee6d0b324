//! Parsing of commands that edit the configuration.

use sagespool_settings::{BranchConfig, BranchRule, ClassHoldback, RouteRule};
use sagespool_types::{BranchName, SecretHash, TokenCount};

use super::LineError;
use super::reader::LineReader;
use super::verbs::LineVerb;
use crate::{BranchChange, ClassChange, ConfigEdit, LimitChange, LimitKind, ServiceChange};

/// Bounds of the configuration schema, repeated here so that an error points at the word in the line.
const MAX_TOKENS: u64 = 1 << 53;
const MAX_WEIGHT: u64 = 1000;
const MAX_LIMIT: u64 = 1_000_000;
const MAX_PRIORITY: u64 = 255;

const LIMITS: [(&str, LimitKind); 2] = [("running", LimitKind::Running), ("rate", LimitKind::Rate)];
const METHODS: [(&str, Option<&str>); 8] = [
    ("any", None),
    ("GET", Some("GET")),
    ("HEAD", Some("HEAD")),
    ("POST", Some("POST")),
    ("PUT", Some("PUT")),
    ("PATCH", Some("PATCH")),
    ("DELETE", Some("DELETE")),
    ("OPTIONS", Some("OPTIONS")),
];

/// True if the verb edits the configuration; such a line may end with a condition on the version.
pub(super) fn is_edit(verb: LineVerb) -> bool {
    matches!(
        verb,
        LineVerb::Create
            | LineVerb::Set
            | LineVerb::HoldBack
            | LineVerb::NonIdempotent
            | LineVerb::Idempotent
            | LineVerb::Add
            | LineVerb::Revoke
    )
}

/// Reads the keyword after the verb in `create branch`, `add key`, `revoke key`.
pub(super) fn read_object_keyword(
    verb: LineVerb,
    reader: &mut LineReader,
) -> Result<(), LineError> {
    match verb {
        LineVerb::Create => reader.expect("branch"),
        LineVerb::Add | LineVerb::Revoke => reader.expect("key"),
        _ => Ok(()),
    }
}

/// Reads one edit.
pub(super) fn read_edit(verb: LineVerb, reader: &mut LineReader) -> Result<ConfigEdit, LineError> {
    match verb {
        LineVerb::Create => read_create(reader),
        LineVerb::Set => read_set(reader),
        LineVerb::HoldBack => read_hold_back(reader),
        LineVerb::NonIdempotent => read_declaration(reader, true),
        LineVerb::Idempotent => read_declaration(reader, false),
        LineVerb::Add => {
            let branch = reader.value("a branch name")?;
            let change = BranchChange::AddKey(reader.value("a key hash")?);
            Ok(ConfigEdit::Branch { branch, change })
        }
        LineVerb::Revoke => {
            let branch = reader.value("a branch name")?;
            let change = BranchChange::RevokeKey(reader.value("a key hash or its prefix")?);
            Ok(ConfigEdit::Branch { branch, change })
        }
        other => unreachable!("{other:?} is no edit"),
    }
}

fn read_create(reader: &mut LineReader) -> Result<ConfigEdit, LineError> {
    #[derive(Clone, Copy)]
    enum BranchOption {
        KeyHash,
        Operator,
        Weight,
        Running,
        Rate,
    }
    const OPTIONS: [(&str, BranchOption); 5] = [
        ("key-hash", BranchOption::KeyHash),
        ("operator", BranchOption::Operator),
        ("weight", BranchOption::Weight),
        ("running", BranchOption::Running),
        ("rate", BranchOption::Rate),
    ];
    let branch = reader.value("a branch name")?;
    let mut entry = BranchConfig::builder().build();
    reader.expect("key-hash")?;
    entry.key_hashes.push(reader.value::<SecretHash>("a key hash")?);
    while !reader.ends_item() && !reader.is_at_keyword("if") {
        match reader.one_of("an option of `create branch`", &OPTIONS)? {
            BranchOption::KeyHash => entry.key_hashes.push(reader.value("a key hash")?),
            BranchOption::Operator => entry.operator = true,
            BranchOption::Weight => entry.weight = read_weight(reader)?,
            BranchOption::Running => entry.limits.running = Some(read_bound(reader)?),
            BranchOption::Rate => entry.limits.requests_per_second = Some(read_bound(reader)?),
        }
    }
    Ok(ConfigEdit::Branch { branch, change: BranchChange::Create(entry) })
}

fn read_weight(reader: &mut LineReader) -> Result<u32, LineError> {
    let weight = reader.number("a weight", 1..=MAX_WEIGHT)?;
    Ok(u32::try_from(weight).expect("the range is one of u32"))
}

fn read_bound(reader: &mut LineReader) -> Result<u32, LineError> {
    let bound = reader.number("a limit", 1..=MAX_LIMIT)?;
    Ok(u32::try_from(bound).expect("the range is one of u32"))
}

/// Reads the edit of a `set` line. `set NAME …` is short for `set branch NAME …`; a branch named `class`,
/// `service` or `branch` needs the long form.
fn read_set(reader: &mut LineReader) -> Result<ConfigEdit, LineError> {
    if reader.accepts("class") {
        return read_set_class(reader);
    }
    if reader.accepts("service") {
        return read_set_service(reader);
    }
    reader.accepts("branch");
    let branch: BranchName = reader.value("a branch name")?;
    const WORDS: [(&str, bool); 2] = [("weight", true), ("limit", false)];
    let change = match reader.one_of("`weight` or `limit`", &WORDS)? {
        true => BranchChange::Weight(read_weight(reader)?),
        false => BranchChange::Limit(read_limit(reader)?),
    };
    Ok(ConfigEdit::Branch { branch, change })
}

fn read_set_class(reader: &mut LineReader) -> Result<ConfigEdit, LineError> {
    let class = reader.value("a class name")?;
    const WORDS: [(&str, bool); 2] = [("priority", true), ("limit", false)];
    let change = match reader.one_of("`priority` or `limit`", &WORDS)? {
        true => {
            let priority = reader.number("a priority", 0..=MAX_PRIORITY)?;
            ClassChange::Priority(u8::try_from(priority).expect("the range is one of u8"))
        }
        false => ClassChange::Limit(read_limit(reader)?),
    };
    Ok(ConfigEdit::Class { class, change })
}

fn read_set_service(reader: &mut LineReader) -> Result<ConfigEdit, LineError> {
    let service = reader.value("a service name")?;
    reader.expect("limit")?;
    let change = ServiceChange::Limit(read_limit(reader)?);
    Ok(ConfigEdit::Service { service, change })
}

fn read_limit(reader: &mut LineReader) -> Result<LimitChange, LineError> {
    let kind = reader.one_of("`running` or `rate`", &LIMITS)?;
    let limit = if reader.accepts("none") { None } else { Some(read_bound(reader)?) };
    Ok(LimitChange { kind, limit })
}

fn read_hold_back(reader: &mut LineReader) -> Result<ConfigEdit, LineError> {
    let branch = reader.value("a branch name")?;
    let class = reader.value("a class name")?;
    let tokens = TokenCount(reader.number("a number of tokens", 0..=MAX_TOKENS)?);
    let change = BranchChange::HoldBack(ClassHoldback { class, tokens });
    Ok(ConfigEdit::Branch { branch, change })
}

fn read_declaration(reader: &mut LineReader, declared: bool) -> Result<ConfigEdit, LineError> {
    let service = reader.value("a service name")?;
    let method = reader.one_of("an HTTP method or `any`", &METHODS)?;
    let path_prefix = reader.text("a path that begins with `/`")?;
    if !path_prefix.starts_with('/') {
        return Err(reader.error_at_last(format!("`{path_prefix}` does not begin with `/`")));
    }
    let route = RouteRule { method: method.map(str::to_owned), path_prefix };
    if !reader.accepts("for") {
        return Ok(ConfigEdit::Service {
            service,
            change: ServiceChange::Declare { route, declared },
        });
    }
    let branch = reader.value("a branch name")?;
    let rule = BranchRule { service, route };
    Ok(ConfigEdit::Branch { branch, change: BranchChange::Declare { rule, declared } })
}
