//! Small helpers for the stands' HTTP calls.

use sagespool_types::AttemptNumber;
use serde::Serialize;
use serde_json::json;
use trillium::{Conn, KnownHeaderName, Status};

use crate::crossing::OwnedAnswer;

/// Answers with a JSON document.
pub(crate) fn answer_json(conn: Conn, status: Status, value: &impl Serialize) -> Conn {
    let body = serde_json::to_vec(value).expect("an answer's types serialize to JSON");
    conn.with_status(status)
        .with_response_header(KnownHeaderName::ContentType, "application/json")
        .with_body(body)
        .halt()
}

/// Answers with an error for people.
pub(crate) fn answer_error(conn: Conn, status: Status, message: &str) -> Conn {
    answer_json(conn, status, &json!({ "error": message }))
}

/// The text of a request's header.
pub(crate) fn header_text(conn: &Conn, name: &'static str) -> Option<String> {
    conn.request_headers().get_str(name).map(str::to_owned)
}

/// The header `x-attempt`.
pub(crate) fn attempt_of(conn: &Conn) -> Option<AttemptNumber> {
    header_text(conn, "x-attempt")?.parse().ok()
}

/// Says whose an answer is, as the call named itself.
pub(crate) fn with_owner<T>(conn: Conn, answer: &OwnedAnswer<T>) -> Conn {
    let conn = match &answer.request {
        Some(request) => conn.with_response_header("x-request-id", request.clone()),
        None => conn,
    };
    match answer.attempt {
        Some(attempt) => conn.with_response_header("x-attempt", attempt.to_string()),
        None => conn,
    }
}

/// A number of the query.
pub(crate) fn query_number(conn: &Conn, name: &str) -> Option<u64> {
    let pairs = conn.querystring().split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(key, _)| *key == name).map(|(_, value)| value);
    values.next()?.parse().ok()
}
