//! Operators' requests over HTTP.

use std::sync::Arc;

use sagespool_types::RequestId;
use trillium::{Conn, Status};

use crate::caller::CallFault;
use crate::state::EntryState;

/// Answers an operator's request.
pub(crate) async fn route(_state: Arc<EntryState>, conn: Conn) -> Conn {
    let message = format!("nothing is served at {}", conn.path());
    let fault = CallFault::new(Status::NotFound, "unknown-path", message, "see docs/OPERATORS.md");
    fault.respond(conn, RequestId::random())
}
