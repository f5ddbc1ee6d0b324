//! The entry's HTTP server.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use futures_lite::AsyncReadExt;
use sagespool_http::http_server;
use sagespool_messages::CallTarget;
use sagespool_settings::FleetConfiguration;
use sagespool_types::{
    BranchName, ClockTime, ContentDigest, KeyDigest, RefusalReason, RequestId, RunState,
    ServiceName, TokenCount,
};
use trillium::{Conn, KnownHeaderName, Status};
use trillium_http::HttpConfig;
use trillium_server_common::ServerHandle;

use super::answer::{respond_events, respond_service, respond_whole};
use super::error::respond_refusal;
use super::headers::CallHeaders;
use super::identity::{check_branch, read_identity};
use super::service_call::read_service_call;
use super::{CallerError, read_completion, read_headers};
use crate::run::{RequestSpec, start_run};
use crate::state::EntryState;

const COMPLETIONS_PATH: &str = "/v1/chat/completions";
const SERVICES_PREFIX: &str = "/services/";
/// How far a request head may exceed the limit and still be read, so that it gets a response; a
/// longer one closes its connection.
const HEAD_MARGIN: usize = 64 * 1024;

/// Starts serving callers on the address, and returns the handle that stops the server.
///
/// # Errors
/// If the address can't be bound. Bound in the server's own task, a failure would end only that
/// task, and the process would go on as an entry without an HTTP port.
pub fn serve(state: Arc<EntryState>, listen: SocketAddr) -> io::Result<ServerHandle> {
    let server = http_server(TcpListener::bind(listen)?)?;
    let head_limit = state.settings.header_limit.0 as usize;
    let http_config = HttpConfig::default().with_head_max_len(head_limit + HEAD_MARGIN);
    let handler = move |conn: Conn| {
        let state = Arc::clone(&state);
        async move { route(state, conn).await }
    };
    Ok(server.with_http_config(http_config).spawn(handler))
}

async fn route(state: Arc<EntryState>, conn: Conn) -> Conn {
    if let Err(error) = check_head(&conn, state.settings.header_limit.0 as usize) {
        return error.respond(conn, RequestId::random());
    }
    let path = conn.path().to_owned();
    match path.as_str() {
        "/healthz" => conn.ok(format!("ok incarnation={}\n", state.incarnation)).halt(),
        "/readyz" => respond_ready(&state, conn),
        "/metrics" => respond_metrics(&state, conn),
        COMPLETIONS_PATH => completion(state, conn).await,
        _ if path.starts_with(SERVICES_PREFIX) => service(state, conn, &path).await,
        _ if path.starts_with("/operator/") => crate::operator::route(state, conn).await,
        _ => {
            let message = format!("no such path: {path}");
            let help = format!("{COMPLETIONS_PATH} or {SERVICES_PREFIX}NAME/…");
            let error = CallerError::new(Status::NotFound, "unknown-path", message, help);
            error.respond(conn, RequestId::random())
        }
    }
}

/// Bytes of a request head on the connection, except for a few of the request line and of each
/// header.
fn head_length(conn: &Conn) -> usize {
    let headers = conn.request_headers().iter().flat_map(|(name, values)| {
        let name = name.as_ref().len();
        values.iter().map(move |value| name + AsRef::<[u8]>::as_ref(value).len())
    });
    conn.path().len() + conn.querystring().len() + headers.sum::<usize>()
}

fn check_head(conn: &Conn, most: usize) -> Result<(), CallerError> {
    if head_length(conn) <= most {
        return Ok(());
    }
    let message = format!("the request line and headers exceed {most} bytes");
    let help = format!("at most {most} bytes; long texts belong in the body");
    Err(CallerError::new(Status::RequestHeaderFieldsTooLarge, "head-too-large", message, help))
}

fn respond_ready(state: &EntryState, conn: Conn) -> Conn {
    match state.not_ready_reason() {
        None => conn.ok("ready\n").halt(),
        Some(reason) => {
            conn.with_status(Status::ServiceUnavailable).with_body(format!("{reason}\n")).halt()
        }
    }
}

fn respond_metrics(state: &EntryState, conn: Conn) -> Conn {
    let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    state.refresh_gauges();
    conn.with_response_header(KnownHeaderName::ContentType, content_type)
        .with_status(Status::Ok)
        .with_body(state.metrics.encode())
        .halt()
}

/// The parts that every accepted request has.
struct AcceptedCall {
    request: RequestId,
    arrived: ClockTime,
    branch: BranchName,
    headers: CallHeaders,
    body: Vec<u8>,
    config: Arc<FleetConfiguration>,
}

/// The refusal of every request if this entry serves no callers now. The outcome of an earlier send
/// with the same key is not known here, so the run state of a keyed request is `unknown`.
fn unavailable_refusal(
    state: &EntryState,
    conn: &Conn,
) -> Option<sagespool_messages::RefusalNotice> {
    let (reason, message) = if state.is_leaving() {
        (RefusalReason::Leaving, "this entry is leaving; retry at another entry")
    } else if state.config.current().is_none() {
        (RefusalReason::NotReady, "this entry has no configuration yet")
    } else {
        return None;
    };
    let keyed = conn.request_headers().has_header("idempotency-key");
    Some(sagespool_messages::RefusalNotice {
        reason,
        run_state: if keyed { RunState::Unknown } else { RunState::NotRun },
        message: message.into(),
        retry_after: Some(Duration::from_millis(200)),
    })
}

async fn read_body(conn: &mut Conn, most: usize) -> Result<Vec<u8>, CallerError> {
    let too_large = || {
        let message = format!("the body exceeds {most} bytes");
        let help = format!("at most {most} bytes");
        CallerError::new(Status::PayloadTooLarge, "body-too-large", message, help)
    };
    let declared = conn.request_headers().get_str(KnownHeaderName::ContentLength);
    let declared: Option<usize> = declared.and_then(|length| length.parse().ok());
    if declared.is_some_and(|length| length > most) {
        return Err(too_large());
    }
    let mut body = Vec::new();
    let reader = conn.request_body();
    let unread = |error| {
        CallerError::bad(
            "unreadable-body",
            format!("the body can't be read: {error}"),
            "a whole body",
        )
    };
    reader.take(most as u64 + 1).read_to_end(&mut body).await.map_err(unread)?;
    if body.len() > most {
        return Err(too_large());
    }
    Ok(body)
}

/// Authenticates the caller and checks the headers before the body is read, so that unauthenticated
/// callers can't make the entry buffer one.
async fn accept(
    state: &EntryState,
    conn: &mut Conn,
    config: Arc<FleetConfiguration>,
    request: RequestId,
) -> Result<AcceptedCall, CallerError> {
    let arrived = ClockTime::now();
    let branch = read_identity(conn.request_headers(), &config)?;
    check_branch(conn.request_headers(), &branch)?;
    let headers = read_headers(conn.request_headers(), &config)?;
    let body = read_body(conn, state.settings.body_limit.0 as usize).await?;
    Ok(AcceptedCall { request, arrived, branch, headers, body, config })
}

fn check_method(conn: &Conn) -> Result<(), CallerError> {
    if conn.method() == trillium::Method::Post {
        return Ok(());
    }
    let message = format!("method {} is not allowed here", conn.method());
    Err(CallerError::new(Status::MethodNotAllowed, "method", message, "POST"))
}

/// Rejects a non-idempotent request without a key, since a repeated send could not be distinguished
/// from a new request.
fn check_key(headers: &CallHeaders, non_idempotent: bool) -> Result<(), CallerError> {
    if !non_idempotent || headers.key.is_some() {
        return Ok(());
    }
    let message = "a non-idempotent request needs an idempotency key";
    Err(CallerError::bad(
        "key-needed",
        message,
        "send `Idempotency-Key: KEY`, and the same key in a retry",
    ))
}

/// The parts of a request that depend on its kind.
struct CallDetails {
    service: ServiceName,
    target: CallTarget,
    content: ContentDigest,
    amount: TokenCount,
    non_idempotent: bool,
    prefix: Option<u128>,
}

fn request_spec(call: AcceptedCall, details: CallDetails) -> RequestSpec {
    let key = call.headers.key.as_deref().map(|key| KeyDigest::of(&call.branch, key));
    RequestSpec::builder()
        .request(call.request)
        .branch(call.branch)
        .service(details.service)
        .class(call.headers.class)
        .priority(call.headers.priority)
        .maybe_key(key)
        .content(details.content)
        .non_idempotent(details.non_idempotent)
        .amount(details.amount)
        .arrived(call.arrived)
        .deadline(call.arrived.after(call.headers.time_left))
        .target(details.target)
        .body(Arc::new(call.body))
        .maybe_prefix(details.prefix)
        .build()
}

async fn completion(state: Arc<EntryState>, mut conn: Conn) -> Conn {
    let request = RequestId::random();
    if let Err(error) = check_method(&conn) {
        return error.respond(conn, request).with_response_header(KnownHeaderName::Allow, "POST");
    }
    if let Some(notice) = unavailable_refusal(&state, &conn) {
        return respond_refusal(conn, &notice, request, TokenCount::ZERO);
    }
    let Some(config) = state.config.current() else {
        return conn;
    };
    let call = match accept(&state, &mut conn, config, request).await {
        Ok(call) => call,
        Err(error) => return error.respond(conn, request),
    };
    let parsed = read_completion(&call.body, &call.config).and_then(|parsed| {
        let declared =
            call.config.is_non_idempotent(&call.branch, &parsed.service, "POST", COMPLETIONS_PATH);
        let non_idempotent = declared || call.headers.non_idempotent;
        check_key(&call.headers, non_idempotent)?;
        Ok((parsed, non_idempotent))
    });
    let (parsed, non_idempotent) = match parsed {
        Ok(parsed) => parsed,
        Err(error) => return error.respond(conn, request),
    };
    state.metrics.count_admitted(&call.headers.class, &call.branch);
    let details = CallDetails {
        service: parsed.service.clone(),
        target: CallTarget::Completion {
            model: parsed.model.clone(),
            max_tokens: parsed.max_tokens,
            prompt_tokens: parsed.prompt_tokens,
            resume: None,
        },
        content: parsed.content,
        amount: parsed.max_cost(),
        non_idempotent,
        prefix: Some(parsed.prefix),
    };
    let answers = start_run(Arc::clone(&state), request_spec(call, details));
    if parsed.stream {
        return respond_events(conn, parsed, request, answers).await;
    }
    respond_whole(conn, &parsed, request, answers).await
}

async fn service(state: Arc<EntryState>, mut conn: Conn, path: &str) -> Conn {
    let request = RequestId::random();
    if let Some(notice) = unavailable_refusal(&state, &conn) {
        return respond_refusal(conn, &notice, request, TokenCount::ZERO);
    }
    let Some(config) = state.config.current() else {
        return conn;
    };
    let call = match accept(&state, &mut conn, config, request).await {
        Ok(call) => call,
        Err(error) => return error.respond(conn, request),
    };
    let rest = path.strip_prefix(SERVICES_PREFIX).unwrap_or_default();
    let (name, inner) = rest.split_once('/').unwrap_or((rest, ""));
    let query = conn.querystring();
    let inner = if query.is_empty() { format!("/{inner}") } else { format!("/{inner}?{query}") };
    let method = conn.method().as_str();
    let parsed =
        read_service_call(name, method, &inner, conn.request_headers(), &call.body, &call.config);
    let parsed = parsed.and_then(|parsed| {
        let declared = call.config.is_non_idempotent(&call.branch, &parsed.service, method, &inner);
        let non_idempotent = declared || call.headers.non_idempotent;
        check_key(&call.headers, non_idempotent)?;
        Ok((parsed, non_idempotent))
    });
    let (parsed, non_idempotent) = match parsed {
        Ok(parsed) => parsed,
        Err(error) => return error.respond(conn, request),
    };
    state.metrics.count_admitted(&call.headers.class, &call.branch);
    let details = CallDetails {
        service: parsed.service,
        target: parsed.target,
        content: parsed.content,
        amount: TokenCount(u64::from(parsed.price)),
        non_idempotent,
        prefix: None,
    };
    let answers = start_run(Arc::clone(&state), request_spec(call, details));
    respond_service(conn, request, answers).await
}
