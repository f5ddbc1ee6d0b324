//! HTTP responses for invalid requests and refusals.

use std::time::Duration;

use sagespool_messages::RefusalNotice;
use sagespool_types::{RefusalReason, RequestId, RunState, TokenCount};
use serde_json::{Value, json};
use trillium::{Conn, KnownHeaderName, Status};

/// A request that is rejected for its content or its credentials. It did not run and nothing is
/// billed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerError {
    /// HTTP status.
    pub status: Status,
    /// Machine-readable code, for example `malformed-json`.
    pub code: &'static str,
    /// Human-readable message.
    pub message: String,
    /// What is accepted instead.
    pub help: String,
}

impl CallerError {
    /// An error with a message and what is accepted instead.
    pub fn new(
        status: Status,
        code: &'static str,
        message: impl Into<String>,
        help: impl Into<String>,
    ) -> Self {
        Self { status, code, message: message.into(), help: help.into() }
    }

    /// An error with status 400.
    pub fn bad(code: &'static str, message: impl Into<String>, help: impl Into<String>) -> Self {
        Self::new(Status::BadRequest, code, message, help)
    }

    /// The error as an HTTP response.
    pub fn respond(&self, conn: Conn, request: RequestId) -> Conn {
        let body = json!({"error": {
            "type": "invalid-request",
            "code": self.code,
            "message": self.message,
            "help": self.help,
            "run_state": RunState::NotRun.to_string(),
            "request_id": request.to_string(),
        }});
        let conn = with_request_headers(conn, request, TokenCount::ZERO);
        let conn = match self.status {
            Status::Unauthorized => {
                conn.with_response_header(KnownHeaderName::WwwAuthenticate, "Bearer")
            }
            _ => conn,
        };
        conn.with_response_header("sagespool-run-state", RunState::NotRun.to_string())
            .with_response_header(KnownHeaderName::ContentType, "application/json")
            .with_status(self.status)
            .with_body(body.to_string())
            .halt()
    }
}

/// Adds the headers that every response to a request has.
pub(super) fn with_request_headers(conn: Conn, request: RequestId, billed: TokenCount) -> Conn {
    conn.with_response_header("sagespool-request-id", request.to_string())
        .with_response_header("sagespool-billed", billed.to_string())
}

/// The HTTP status of a refusal.
pub fn refusal_status(reason: RefusalReason) -> Status {
    match reason {
        RefusalReason::BudgetExhausted => Status::PaymentRequired,
        RefusalReason::BudgetUnreachable
        | RefusalReason::ClaimUnreachable
        | RefusalReason::Overloaded
        | RefusalReason::NoUpstream
        | RefusalReason::Leaving
        | RefusalReason::NotReady => Status::ServiceUnavailable,
        RefusalReason::KeyReused => Status::UnprocessableEntity,
        RefusalReason::OutcomeUnknown | RefusalReason::Quarantined => Status::Conflict,
        RefusalReason::DeadlineExceeded => Status::GatewayTimeout,
        RefusalReason::LimitReached => Status::TooManyRequests,
        RefusalReason::UpstreamFailed => Status::BadGateway,
    }
}

/// The JSON body of a refusal.
pub(super) fn refusal_body(
    notice: &RefusalNotice,
    request: RequestId,
    billed: TokenCount,
) -> Value {
    json!({"error": {
        "type": "refusal",
        "reason": notice.reason.as_str(),
        "run_state": notice.run_state.to_string(),
        "message": notice.message,
        "retry_after_ms": notice.retry_after.map(|wait| wait.as_millis() as u64),
        "request_id": request.to_string(),
        "billed": billed,
    }})
}

/// A refusal as an HTTP response.
pub(super) fn respond_refusal(
    conn: Conn,
    notice: &RefusalNotice,
    request: RequestId,
    billed: TokenCount,
) -> Conn {
    let body = refusal_body(notice, request, billed);
    let conn = with_request_headers(conn, request, billed);
    let conn = with_retry_headers(conn, notice.retry_after);
    conn.with_response_header("sagespool-refusal", notice.reason.as_str())
        .with_response_header("sagespool-run-state", notice.run_state.to_string())
        .with_response_header(KnownHeaderName::ContentType, "application/json")
        .with_status(refusal_status(notice.reason))
        .with_body(body.to_string())
        .halt()
}

fn with_retry_headers(conn: Conn, wait: Option<Duration>) -> Conn {
    let Some(wait) = wait else {
        return conn;
    };
    let seconds = wait.as_secs_f64().ceil() as u64;
    conn.with_response_header(KnownHeaderName::RetryAfter, seconds.to_string())
        .with_response_header("sagespool-retry-after-ms", wait.as_millis().to_string())
}
