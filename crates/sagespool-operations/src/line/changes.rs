//! Lines that edit the configuration.

use sagespool_settings::{BranchConfig, BranchRule, ClassHoldback, RouteRule};
use sagespool_types::{BranchName, SecretHash, TokenCount};

use super::LineError;
use super::reader::LineReader;
use super::verbs::LineVerb;
use crate::{BranchChange, ClassChange, ConfigEdit, LimitChange, LimitKind, ServiceChange};

/// What the store's schema allows; the check of the whole object says it again.
const MOST_TOKENS: u64 = 1 << 53;
const GREATEST_WEIGHT: u64 = 1000;
const GREATEST_LIMIT: u64 = 1_000_000;
const GREATEST_PRIORITY: u64 = 255;

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

/// Whether a verb's line edits the configuration, and so may have a condition.
pub(super) fn is_change(verb: LineVerb) -> bool {
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

/// The word that belongs to the verb: `create branch`, `add key`, `revoke key`.
pub(super) fn read_noun(verb: LineVerb, reader: &mut LineReader) -> Result<(), LineError> {
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
            let change = BranchChange::RevokeKey(reader.value("a key hash or its beginning")?);
            Ok(ConfigEdit::Branch { branch, change })
        }
        other => unreachable!("{other:?} is read before"),
    }
}

fn read_create(reader: &mut LineReader) -> Result<ConfigEdit, LineError> {
    #[derive(Clone, Copy)]
    enum BranchWord {
        KeyHash,
        Operator,
        Weight,
        Running,
        Rate,
    }
    const WORDS: [(&str, BranchWord); 5] = [
        ("key-hash", BranchWord::KeyHash),
        ("operator", BranchWord::Operator),
        ("weight", BranchWord::Weight),
        ("running", BranchWord::Running),
        ("rate", BranchWord::Rate),
    ];
    let branch = reader.value("a name for the branch")?;
    let mut entry = BranchConfig::builder().build();
    reader.expect("key-hash")?;
    entry.key_hashes.push(reader.value::<SecretHash>("a key hash")?);
    while !reader.ends_item() && !reader.stands("if") {
        match reader.one_of("a part of a branch", &WORDS)? {
            BranchWord::KeyHash => entry.key_hashes.push(reader.value("a key hash")?),
            BranchWord::Operator => entry.operator = true,
            BranchWord::Weight => entry.weight = read_weight(reader)?,
            BranchWord::Running => entry.limits.running = Some(read_bound(reader)?),
            BranchWord::Rate => entry.limits.requests_per_second = Some(read_bound(reader)?),
        }
    }
    Ok(ConfigEdit::Branch { branch, change: BranchChange::Create(entry) })
}

fn read_weight(reader: &mut LineReader) -> Result<u32, LineError> {
    let weight = reader.number("a weight", 1..=GREATEST_WEIGHT)?;
    Ok(u32::try_from(weight).expect("the range is one of u32"))
}

fn read_bound(reader: &mut LineReader) -> Result<u32, LineError> {
    let bound = reader.number("a limit", 1..=GREATEST_LIMIT)?;
    Ok(u32::try_from(bound).expect("the range is one of u32"))
}

/// `NAME …` is short for `branch NAME …`; a branch with the name of another kind of thing needs the
/// longer form.
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
            let priority = reader.number("a priority", 0..=GREATEST_PRIORITY)?;
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
    let tokens = TokenCount(reader.number("a number of tokens", 0..=MOST_TOKENS)?);
    let change = BranchChange::HoldBack(ClassHoldback { class, tokens });
    Ok(ConfigEdit::Branch { branch, change })
}

fn read_declaration(reader: &mut LineReader, declared: bool) -> Result<ConfigEdit, LineError> {
    let service = reader.value("a service name")?;
    let method = reader.one_of("an HTTP method or `any`", &METHODS)?;
    let path_prefix = reader.text("a path from `/`")?;
    if !path_prefix.starts_with('/') {
        return Err(reader.fault_at_last(format!("`{path_prefix}` is not a path from `/`")));
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
