//! HTTP helpers of the fake engine, service and weight store.

use sagespool_types::AttemptNumber;
use serde::Serialize;
use serde_json::json;
use trillium::{Conn, KnownHeaderName, Status};

use crate::mixed_answers::RequestAnswer;

/// Responds with a JSON document.
pub(crate) fn json_response(conn: Conn, status: Status, value: &impl Serialize) -> Conn {
    let body = serde_json::to_vec(value).expect("an answer's types serialize to JSON");
    conn.with_status(status)
        .with_response_header(KnownHeaderName::ContentType, "application/json")
        .with_body(body)
        .halt()
}

/// Responds with `{"error": message}`.
pub(crate) fn error_response(conn: Conn, status: Status, message: &str) -> Conn {
    json_response(conn, status, &json!({ "error": message }))
}

/// The value of a request header as text.
pub(crate) fn header_text(conn: &Conn, name: &'static str) -> Option<String> {
    conn.request_headers().get_str(name).map(str::to_owned)
}

/// The value of the header `x-attempt`, if valid.
pub(crate) fn attempt_of(conn: &Conn) -> Option<AttemptNumber> {
    header_text(conn, "x-attempt")?.parse().ok()
}

/// Adds the request headers of the call that the answer belongs to.
pub(crate) fn with_request_headers<T>(conn: Conn, answer: &RequestAnswer<T>) -> Conn {
    let conn = match &answer.request {
        Some(request) => conn.with_response_header("x-request-id", request.clone()),
        None => conn,
    };
    match answer.attempt {
        Some(attempt) => conn.with_response_header("x-attempt", attempt.to_string()),
        None => conn,
    }
}

/// The first value of a query parameter as a number, if valid.
pub(crate) fn query_number(conn: &Conn, name: &str) -> Option<u64> {
    let pairs = conn.querystring().split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(key, _)| *key == name).map(|(_, value)| value);
    values.next()?.parse().ok()
}
