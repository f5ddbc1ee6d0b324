//! Edits of branches.

use std::fmt;

use sagespool_settings::{BranchConfig, BranchObject, BranchRule, ClassHoldback};
use sagespool_types::{BranchName, SecretHash};

use super::{BranchChange, EditError, HashPrefix, write_declaration};

/// Applies an edit to a branch. Fields that have the requested value already stay unchanged.
pub(super) fn apply(
    object: &mut BranchObject,
    branch: &BranchName,
    change: &BranchChange,
) -> Result<(), EditError> {
    if let BranchChange::Create(entry) = change {
        return create(object, branch, entry);
    }
    let names: Vec<&str> = object.branches.keys().map(BranchName::as_str).collect();
    if !object.branches.contains_key(branch) {
        return Err(EditError::unknown("branch", branch.as_str(), &names));
    }
    let entry = object.branches.get_mut(branch).expect("it was found above");
    match change {
        BranchChange::Create(_) => {}
        BranchChange::Weight(weight) => entry.weight = *weight,
        BranchChange::Limit(change) => change.apply(&mut entry.limits),
        BranchChange::HoldBack(holdback) => set_holdback(entry, holdback),
        BranchChange::Declare { rule, declared } => declare(entry, rule, *declared),
        BranchChange::AddKey(hash) => add_key(entry, hash),
        BranchChange::RevokeKey(prefix) => return revoke_key(entry, prefix),
    }
    Ok(())
}

fn create(
    object: &mut BranchObject,
    branch: &BranchName,
    entry: &BranchConfig,
) -> Result<(), EditError> {
    match object.branches.get(branch) {
        Some(present) if present == entry => Ok(()),
        Some(_) => {
            let message = format!("branch `{branch}` already exists with other settings");
            Err(EditError::new(message))
        }
        None => {
            object.branches.insert(branch.clone(), entry.clone());
            Ok(())
        }
    }
}

fn set_holdback(entry: &mut BranchConfig, holdback: &ClassHoldback) {
    entry.held_back.retain(|present| present.class != holdback.class);
    if holdback.tokens.0 > 0 {
        entry.held_back.push(holdback.clone());
        entry.held_back.sort_by(|a, b| a.class.cmp(&b.class));
    }
}

fn declare(entry: &mut BranchConfig, rule: &BranchRule, declared: bool) {
    let present = entry.non_idempotent.contains(rule);
    match (present, declared) {
        (false, true) => entry.non_idempotent.push(rule.clone()),
        (true, false) => entry.non_idempotent.retain(|present| present != rule),
        _ => {}
    }
}

fn add_key(entry: &mut BranchConfig, hash: &SecretHash) {
    if !entry.key_hashes.contains(hash) {
        entry.key_hashes.push(hash.clone());
    }
}

/// Removes the key whose hash has the prefix. An unknown key counts as revoked. A prefix that several
/// keys share is refused, so that no key is revoked by mistake.
fn revoke_key(entry: &mut BranchConfig, prefix: &HashPrefix) -> Result<(), EditError> {
    let matching = entry.key_hashes.iter().filter(|hash| prefix.matches(hash)).count();
    if matching > 1 {
        let message =
            format!("{matching} keys begin with `{prefix}`: give more digits of the hash");
        return Err(EditError::new(message));
    }
    entry.key_hashes.retain(|hash| !prefix.matches(hash));
    Ok(())
}

pub(super) fn write_change(
    f: &mut fmt::Formatter<'_>,
    branch: &BranchName,
    change: &BranchChange,
) -> fmt::Result {
    match change {
        BranchChange::Create(entry) => write_create(f, branch, entry),
        BranchChange::Weight(weight) => write!(f, "set branch {branch} weight {weight}"),
        BranchChange::Limit(change) => write!(f, "set branch {branch} {change}"),
        BranchChange::HoldBack(holdback) => {
            write!(f, "hold-back {branch} {} {}", holdback.class, holdback.tokens)
        }
        BranchChange::Declare { rule, declared } => {
            write_declaration(f, &rule.service, &rule.route, *declared)?;
            write!(f, " for {branch}")
        }
        BranchChange::AddKey(hash) => write!(f, "add key {branch} {hash}"),
        BranchChange::RevokeKey(prefix) => write!(f, "revoke key {branch} {prefix}"),
    }
}

fn write_create(
    f: &mut fmt::Formatter<'_>,
    branch: &BranchName,
    entry: &BranchConfig,
) -> fmt::Result {
    write!(f, "create branch {branch}")?;
    for hash in &entry.key_hashes {
        write!(f, " key-hash {hash}")?;
    }
    if entry.operator {
        write!(f, " operator")?;
    }
    write!(f, " weight {}", entry.weight)?;
    if let Some(running) = entry.limits.running {
        write!(f, " running {running}")?;
    }
    if let Some(rate) = entry.limits.requests_per_second {
        write!(f, " rate {rate}")?;
    }
    Ok(())
}
