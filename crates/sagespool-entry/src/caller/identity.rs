//! Authentication: the branch of a bearer token.

use sagespool_settings::FleetConfiguration;
use sagespool_types::BranchName;
use trillium::{Headers, Status};

use super::CallerError;
use super::headers::text;

const KEY_HELP: &str = "send `Authorization: Bearer KEY` with the branch's key";

/// The branch that the caller's key belongs to.
///
/// # Errors
/// 401 without a key, or with one that no branch has. The response differs only by whether a key
/// was sent, so that it does not reveal which keys exist. 400 with two.
pub fn read_identity(
    headers: &Headers,
    config: &FleetConfiguration,
) -> Result<BranchName, CallerError> {
    let missing = || {
        CallerError::new(Status::Unauthorized, "missing-key", "the bearer key is missing", KEY_HELP)
    };
    let unknown = || {
        CallerError::new(Status::Unauthorized, "unknown-key", "the key is not a branch's", KEY_HELP)
    };
    let header = text(headers, "authorization")?.ok_or_else(missing)?;
    let (scheme, token) = header.split_once(' ').ok_or_else(missing)?;
    if !scheme.eq_ignore_ascii_case("bearer") || token.trim().is_empty() {
        return Err(missing());
    }
    config.branch_by_token(token.trim()).cloned().ok_or_else(unknown)
}

/// Checks that a branch named in the request is the caller's own.
///
/// # Errors
/// 403 if the key belongs to another branch, 400 if two branches are named.
pub fn check_branch(headers: &Headers, branch: &BranchName) -> Result<(), CallerError> {
    let Some(named) = text(headers, "sagespool-branch")? else {
        return Ok(());
    };
    if named == branch.as_str() {
        return Ok(());
    }
    let message = format!("the key is not a key of branch `{named}`");
    let help = "leave `sagespool-branch` out, or use that branch's key";
    Err(CallerError::new(Status::Forbidden, "other-branch", message, help))
}
