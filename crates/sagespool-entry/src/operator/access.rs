//! Authentication and parsing of operators' requests.

use futures_lite::AsyncReadExt;
use sagespool_operations::LineRequest;
use sagespool_types::BranchName;
use trillium::{Conn, Method, Status};

use super::OperatorRefusal;
use crate::caller::read_identity;
use crate::state::EntryState;

/// Maximum body size: a line of 16,384 characters of several bytes each, and the other members.
const BODY_LIMIT: u64 = 128 * 1024;

/// The operator's branch.
///
/// # Errors
/// 401 if the key belongs to no branch, 403 if the branch is not an operator's. The key is looked
/// up by its hash and compared in constant time.
pub(super) fn check_operator(
    state: &EntryState,
    conn: &Conn,
) -> Result<BranchName, OperatorRefusal> {
    let Some(config) = state.config.current() else {
        let message = "this entry has no configuration yet and can't authenticate operators";
        let help = "try another entry, or retry shortly";
        return Err(OperatorRefusal::new(Status::ServiceUnavailable, "not-ready", message, help));
    };
    let branch = read_identity(conn.request_headers(), &config).map_err(|fault| {
        OperatorRefusal::new(fault.status, fault.code, fault.message, fault.help)
    })?;
    let is_operator = config.branch(&branch).is_some_and(|entry| entry.operator);
    if !is_operator {
        let message = format!("branch `{branch}` is not an operator's");
        let help = "use the key of a branch whose entry has `operator` set";
        return Err(OperatorRefusal::new(Status::Forbidden, "not-an-operator", message, help));
    }
    Ok(branch)
}

/// The parsed request body.
pub(super) async fn read_request(conn: &mut Conn) -> Result<LineRequest, OperatorRefusal> {
    let help = r#"POST {"line": "spend"}"#;
    if conn.method() != Method::Post {
        let message = format!("method {} is not allowed here", conn.method());
        return Err(OperatorRefusal::new(Status::MethodNotAllowed, "method", message, help));
    }
    let mut body = Vec::new();
    let reader = conn.request_body();
    let read = reader.take(BODY_LIMIT + 1).read_to_end(&mut body).await;
    if let Err(error) = read {
        let message = format!("the body can't be read: {error}");
        return Err(OperatorRefusal::new(Status::BadRequest, "unreadable-body", message, help));
    }
    if body.len() as u64 > BODY_LIMIT {
        let message = format!("the body exceeds {BODY_LIMIT} bytes");
        return Err(OperatorRefusal::new(Status::PayloadTooLarge, "body-too-large", message, help));
    }
    serde_json::from_slice(&body).map_err(|error| {
        let message = format!("the body is not a valid request: {error}");
        OperatorRefusal::new(Status::BadRequest, "malformed-json", message, help)
    })
}
