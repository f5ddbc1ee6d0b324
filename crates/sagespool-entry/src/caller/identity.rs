//! Who calls: the branch behind a bearer token.

use sagespool_settings::FleetConfiguration;
use sagespool_types::BranchName;
use trillium::{Headers, Status};

use super::CallFault;
use super::headers::text;

const KEY_HELP: &str = "send `Authorization: Bearer KEY` with the branch's key";

/// The branch that the caller's key belongs to.
///
/// # Errors
/// 401 without a key, or with one that no branch has: the two are told apart only by whether a
/// key was sent, so that nobody learns which keys exist. 400 with two.
pub fn read_identity(
    headers: &Headers,
    config: &FleetConfiguration,
) -> Result<BranchName, CallFault> {
    let missing =
        || CallFault::new(Status::Unauthorized, "missing-key", "no bearer key is given", KEY_HELP);
    let unknown = || {
        CallFault::new(Status::Unauthorized, "unknown-key", "the key is not a branch's", KEY_HELP)
    };
    let header = text(headers, "authorization")?.ok_or_else(missing)?;
    let (scheme, token) = header.split_once(' ').ok_or_else(missing)?;
    if !scheme.eq_ignore_ascii_case("bearer") || token.trim().is_empty() {
        return Err(missing());
    }
    config.branch_by_token(token.trim()).cloned().ok_or_else(unknown)
}

/// Checks that a caller who names a branch names its own.
///
/// # Errors
/// 403 if the key is another branch's, 400 if two are named.
pub fn check_branch(headers: &Headers, branch: &BranchName) -> Result<(), CallFault> {
    let Some(named) = text(headers, "sagespool-branch")? else {
        return Ok(());
    };
    if named == branch.as_str() {
        return Ok(());
    }
    let message = format!("the key is not a key of branch `{named}`");
    let help = "leave `sagespool-branch` out, or use that branch's key";
    Err(CallFault::new(Status::Forbidden, "other-branch", message, help))
}
