//! Calls that run a request on the upstream.

use std::io;

use futures_lite::{AsyncReadExt, StreamExt};
use sagespool_messages::HeaderPair;
use sagespool_types::{AttemptNumber, RequestId};
use trillium_client::{
    Conn, EventStream, HeaderName, Headers, KnownHeaderName, Method, SseError, SseErrorKind,
};
use trillium_http::{Error, Status};

use super::connector::CallId;
use super::{UpstreamCallError, UpstreamClient, forwarded_headers, is_connection_header};
use crate::EngineEvent;

/// Carries the request id in a call and its answer.
const REQUEST_HEADER: &str = "x-request-id";
/// Carries the attempt number in a call and its answer.
const ATTEMPT_HEADER: &str = "x-attempt";

/// Most bytes of an error response that are included in the error.
const MAX_ERROR_DETAIL_BYTES: usize = 300;

/// Most bytes of a body that are forwarded at once.
const BODY_BUFFER_BYTES: usize = 16 * 1024;

/// One call that runs a request. It is kept while it matters whether the call may have run.
#[derive(Debug)]
pub struct RunCall {
    id: CallId,
    request: RequestId,
    attempt: AttemptNumber,
}

impl RunCall {
    /// Whether the upstream may have received the call.
    pub fn may_have_run(&self) -> bool {
        self.id.was_connected()
    }

    /// Checks that an answer belongs to this call, if its headers name a call.
    ///
    /// An upstream that mixes up its answers, or sends that of an earlier attempt late, would
    /// expose one branch's answer to a caller of another. It echoes the request's two headers.
    fn check_identity(&self, headers: &Headers) -> Result<(), UpstreamCallError> {
        let named = |name: &'static str| headers.get_str(name).map(str::to_owned);
        let (request, attempt) = (named(REQUEST_HEADER), named(ATTEMPT_HEADER));
        let is_request = request.as_ref().is_none_or(|named| *named == self.request.to_string());
        let is_attempt = attempt.as_ref().is_none_or(|named| *named == self.attempt.to_string());
        if is_request && is_attempt {
            return Ok(());
        }
        let part = |named: Option<String>| named.unwrap_or_else(|| "none".to_owned());
        let detail = format!("request {}, attempt {}", part(request), part(attempt));
        Err(UpstreamCallError::Crossed { detail })
    }

    fn call_error(&self, error: &Error) -> UpstreamCallError {
        let detail = error.to_string();
        if self.may_have_run() {
            return UpstreamCallError::Lost { detail };
        }
        let refused =
            matches!(error, Error::Io(error) if error.kind() == io::ErrorKind::ConnectionRefused);
        UpstreamCallError::NotSent { detail, refused }
    }
}

/// A call to a plain service.
#[derive(Debug)]
pub struct ServiceCall<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Headers to forward.
    pub headers: &'a [HeaderPair],
    /// Request body.
    pub body: Vec<u8>,
}

impl UpstreamClient {
    /// Creates a call; it is sent by [`Self::start_completion`] or [`Self::call_service`].
    pub fn new_call(&self, request: RequestId, attempt: AttemptNumber) -> RunCall {
        RunCall { id: self.connector.next_call(), request, attempt }
    }

    /// Starts a completion and waits for its stream to open.
    ///
    /// # Errors
    ///
    /// Returns an [`UpstreamCallError`]. Statuses 4xx and 503 mean that the engine did
    /// not run the call; with any other error status it may have.
    pub async fn start_completion(
        &self,
        call: &RunCall,
        body: Vec<u8>,
    ) -> Result<CompletionStream, UpstreamCallError> {
        let conn = self
            .run_conn(call, Method::Post, "/v1/chat/completions")
            .with_request_header(KnownHeaderName::ContentType, "application/json")
            .with_body(body);
        match conn.into_sse().await {
            Ok(events) => {
                call.check_identity(events.conn().response_headers())?;
                Ok(CompletionStream { events })
            }
            Err(error) => Err(stream_error(call, error).await),
        }
    }

    /// Calls a plain service and waits for the headers of its answer.
    ///
    /// # Errors
    ///
    /// Returns an [`UpstreamCallError`]. Statuses 429 and 503 mean that the service did
    /// not run the call; any other status is an answer.
    pub async fn call_service(
        &self,
        call: &RunCall,
        request: ServiceCall<'_>,
    ) -> Result<ServiceAnswer, UpstreamCallError> {
        let not_sent = |detail| Err(UpstreamCallError::NotSent { detail, refused: false });
        let Ok(method) = request.method.parse::<Method>() else {
            return not_sent(format!("`{}` is not a valid HTTP method", request.method));
        };
        // Without the slash, the path would become part of the URL's host, which
        // carries the call's id, and the call would count as not sent.
        if !request.path.starts_with('/') {
            return not_sent(format!("`{}` is not an absolute path", request.path));
        }
        let mut conn = self.run_conn(call, method, request.path);
        for pair in request.headers {
            let name = HeaderName::from(pair.name.clone());
            if !is_connection_header(&name) {
                conn.request_headers_mut().append(name, pair.value.clone());
            }
        }
        let mut conn = conn.with_body(request.body);
        (&mut conn).await.map_err(|error| call.call_error(&error))?;
        let status = conn.status().unwrap_or(Status::BadGateway);
        if matches!(status, Status::TooManyRequests | Status::ServiceUnavailable) {
            return Err(declined(conn, status).await);
        }
        call.check_identity(conn.response_headers())?;
        let headers = forwarded_headers(conn.response_headers());
        Ok(ServiceAnswer {
            status: status as u16,
            headers,
            conn,
            buffer: vec![0; BODY_BUFFER_BYTES],
        })
    }

    fn run_conn(&self, call: &RunCall, method: Method, path: &str) -> Conn {
        let url = format!("http://{}{path}", call.id.host());
        self.client
            .build_conn(method, url)
            .with_request_header(KnownHeaderName::Host, self.address.to_string())
            .with_request_header(REQUEST_HEADER, call.request.to_string())
            .with_request_header(ATTEMPT_HEADER, call.attempt.to_string())
    }
}

async fn stream_error(call: &RunCall, mut error: SseError) -> UpstreamCallError {
    let kind = std::mem::replace(&mut error.kind, SseErrorKind::NoBody);
    match kind {
        SseErrorKind::Http(error) => call.call_error(&error),
        SseErrorKind::Status(status)
            if status.is_client_error() || status == Status::ServiceUnavailable =>
        {
            declined(error.into(), status).await
        }
        other => UpstreamCallError::Lost { detail: other.to_string() },
    }
}

async fn declined(mut conn: Conn, status: Status) -> UpstreamCallError {
    let mut shown = vec![0; MAX_ERROR_DETAIL_BYTES];
    let read = conn.response_body().read(&mut shown).await.unwrap_or_default();
    let detail = String::from_utf8_lossy(&shown[..read]).into_owned();
    UpstreamCallError::Declined { status: status as u16, detail }
}

/// The event stream of a running completion.
///
/// The client reads at most 10 MB of one stream, about 130,000 tokens. A longer
/// answer breaks there and is resumed by another attempt.
#[derive(Debug)]
pub struct CompletionStream {
    events: EventStream,
}

impl CompletionStream {
    /// Waits for the engine's next event.
    ///
    /// # Errors
    ///
    /// Returns [`UpstreamCallError::Lost`] if the stream breaks, ends without its
    /// closing event or contains an invalid event.
    pub async fn next(&mut self) -> Result<EngineEvent, UpstreamCallError> {
        match self.events.next().await {
            Some(Ok(event)) => EngineEvent::parse(event.data())
                .map_err(|error| UpstreamCallError::Lost { detail: error.to_string() }),
            Some(Err(error)) => Err(UpstreamCallError::Lost { detail: error.to_string() }),
            None => Err(UpstreamCallError::Lost {
                detail: "the stream closed before the answer was finished".to_owned(),
            }),
        }
    }
}

/// An answer of a plain service, with its body unread.
#[derive(Debug)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers to forward to the caller.
    pub headers: Vec<HeaderPair>,
    conn: Conn,
    buffer: Vec<u8>,
}

impl ServiceAnswer {
    /// Waits for the next bytes of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns [`UpstreamCallError::Lost`] if the connection breaks before the end of the body.
    pub async fn next(&mut self) -> Result<Option<&[u8]>, UpstreamCallError> {
        let mut body = self.conn.response_body().with_max_len(u64::MAX);
        let read = body.read(&mut self.buffer).await;
        drop(body);
        match read {
            Ok(0) => Ok(None),
            Ok(count) => Ok(Some(&self.buffer[..count])),
            Err(error) => Err(UpstreamCallError::Lost { detail: error.to_string() }),
        }
    }
}
