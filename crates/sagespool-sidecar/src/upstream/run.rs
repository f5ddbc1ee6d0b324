//! Calls that run a request.

use std::io;

use futures_lite::{AsyncReadExt, StreamExt};
use sagespool_messages::HeaderPair;
use sagespool_types::{AttemptNumber, RequestId};
use trillium_client::{
    Conn, EventStream, HeaderName, Headers, KnownHeaderName, Method, SseError, SseErrorKind,
};
use trillium_http::{Error, Status};

use super::connector::CallName;
use super::{CallFault, UpstreamClient, is_own_header, passed_headers};
use crate::EngineEvent;

/// Names a call's request to the upstream, and in its answer.
const REQUEST_HEADER: &str = "x-request-id";
/// Names a call's attempt likewise.
const ATTEMPT_HEADER: &str = "x-attempt";

/// How much of an error's body is shown.
const SHOWN_BYTES: usize = 300;

/// How much of a body is passed on at once.
const READ_BYTES: usize = 16 * 1024;

/// One call that runs a request; lives as long as it matters whether it ran.
#[derive(Debug)]
pub struct RunCall {
    name: CallName,
    request: RequestId,
    attempt: AttemptNumber,
}

impl RunCall {
    /// True if the upstream may have got the call by now.
    pub fn may_have_run(&self) -> bool {
        self.name.had_connection()
    }

    /// Checks that an answer is to this call, if it says whose it is.
    ///
    /// An upstream that mixes its answers up, or sends that of an earlier attempt late, would show
    /// one branch's answer to another's caller. It names the call in two headers, as it got them.
    fn check_owner(&self, headers: &Headers) -> Result<(), CallFault> {
        let named = |name: &'static str| headers.get_str(name).map(str::to_owned);
        let (request, attempt) = (named(REQUEST_HEADER), named(ATTEMPT_HEADER));
        let is_request = request.as_ref().is_none_or(|named| *named == self.request.to_string());
        let is_attempt = attempt.as_ref().is_none_or(|named| *named == self.attempt.to_string());
        if is_request && is_attempt {
            return Ok(());
        }
        let part = |named: Option<String>| named.unwrap_or_else(|| "none".to_owned());
        let detail = format!("request {}, attempt {}", part(request), part(attempt));
        Err(CallFault::Crossed { detail })
    }

    fn fault(&self, error: &Error) -> CallFault {
        let detail = error.to_string();
        if self.may_have_run() {
            return CallFault::Lost { detail };
        }
        let refused =
            matches!(error, Error::Io(error) if error.kind() == io::ErrorKind::ConnectionRefused);
        CallFault::NotSent { detail, refused }
    }
}

/// A call of a plain service.
#[derive(Debug)]
pub struct ServiceCall<'a> {
    /// The HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Headers to pass on.
    pub headers: &'a [HeaderPair],
    /// The body.
    pub body: Vec<u8>,
}

impl UpstreamClient {
    /// Names a call before it is made.
    pub fn name_call(&self, request: RequestId, attempt: AttemptNumber) -> RunCall {
        RunCall { name: self.connector.call(), request, attempt }
    }

    /// Starts a completion and waits for its stream to open.
    ///
    /// # Errors
    ///
    /// A [`CallFault`]; statuses 4xx and 503 mean that the engine took nothing
    /// on, any other but success that it may have.
    pub async fn complete(
        &self,
        call: &RunCall,
        body: Vec<u8>,
    ) -> Result<CompletionStream, CallFault> {
        let conn = self
            .run_conn(call, Method::Post, "/v1/chat/completions")
            .with_request_header(KnownHeaderName::ContentType, "application/json")
            .with_body(body);
        match conn.into_sse().await {
            Ok(events) => {
                call.check_owner(events.conn().response_headers())?;
                Ok(CompletionStream { events })
            }
            Err(error) => Err(stream_fault(call, error).await),
        }
    }

    /// Calls a plain service and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// A [`CallFault`]; 429 and 503 mean that the service took nothing on. Any
    /// other status is an answer.
    pub async fn serve(
        &self,
        call: &RunCall,
        wanted: ServiceCall<'_>,
    ) -> Result<ServiceAnswer, CallFault> {
        let not_sent = |detail| Err(CallFault::NotSent { detail, refused: false });
        let Ok(method) = wanted.method.parse::<Method>() else {
            return not_sent(format!("`{}` is not an HTTP method", wanted.method));
        };
        // Without the slash, the path would go into the URL's host, by which
        // the connector knows the call: it would seem never to have been sent.
        if !wanted.path.starts_with('/') {
            return not_sent(format!("`{}` is not a path", wanted.path));
        }
        let mut conn = self.run_conn(call, method, wanted.path);
        for pair in wanted.headers {
            let name = HeaderName::from(pair.name.clone());
            if !is_own_header(&name) {
                conn.request_headers_mut().append(name, pair.value.clone());
            }
        }
        let mut conn = conn.with_body(wanted.body);
        (&mut conn).await.map_err(|error| call.fault(&error))?;
        let status = conn.status().unwrap_or(Status::BadGateway);
        if matches!(status, Status::TooManyRequests | Status::ServiceUnavailable) {
            return Err(declined(conn, status).await);
        }
        call.check_owner(conn.response_headers())?;
        let headers = passed_headers(conn.response_headers());
        Ok(ServiceAnswer { status: status as u16, headers, conn, buffer: vec![0; READ_BYTES] })
    }

    fn run_conn(&self, call: &RunCall, method: Method, path: &str) -> Conn {
        let url = format!("http://{}{path}", call.name.host());
        self.client
            .build_conn(method, url)
            .with_request_header(KnownHeaderName::Host, self.address.to_string())
            .with_request_header(REQUEST_HEADER, call.request.to_string())
            .with_request_header(ATTEMPT_HEADER, call.attempt.to_string())
    }
}

async fn stream_fault(call: &RunCall, mut error: SseError) -> CallFault {
    let kind = std::mem::replace(&mut error.kind, SseErrorKind::NoBody);
    match kind {
        SseErrorKind::Http(error) => call.fault(&error),
        SseErrorKind::Status(status)
            if status.is_client_error() || status == Status::ServiceUnavailable =>
        {
            declined(error.into(), status).await
        }
        other => CallFault::Lost { detail: other.to_string() },
    }
}

async fn declined(mut conn: Conn, status: Status) -> CallFault {
    let mut shown = vec![0; SHOWN_BYTES];
    let read = conn.response_body().read(&mut shown).await.unwrap_or_default();
    let detail = String::from_utf8_lossy(&shown[..read]).into_owned();
    CallFault::Declined { status: status as u16, detail }
}

/// The events of a completion that runs.
///
/// The client reads at most 10 MB of one stream, some 130,000 tokens; a longer
/// answer breaks there and goes on in another attempt.
#[derive(Debug)]
pub struct CompletionStream {
    events: EventStream,
}

impl CompletionStream {
    /// The engine's next event.
    ///
    /// # Errors
    ///
    /// [`CallFault::Lost`] when the stream breaks, ends without its closing
    /// event or holds what can't be read.
    pub async fn next(&mut self) -> Result<EngineEvent, CallFault> {
        match self.events.next().await {
            Some(Ok(event)) => EngineEvent::read(event.data())
                .map_err(|fault| CallFault::Lost { detail: fault.to_string() }),
            Some(Err(error)) => Err(CallFault::Lost { detail: error.to_string() }),
            None => Err(CallFault::Lost { detail: "the stream closed unfinished".to_owned() }),
        }
    }
}

/// A plain service's answer, with its body still to come.
#[derive(Debug)]
pub struct ServiceAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The headers that may be passed on.
    pub headers: Vec<HeaderPair>,
    conn: Conn,
    buffer: Vec<u8>,
}

impl ServiceAnswer {
    /// The next bytes of the body; none at its end.
    ///
    /// # Errors
    ///
    /// [`CallFault::Lost`] when the connection breaks before the body's end.
    pub async fn next(&mut self) -> Result<Option<&[u8]>, CallFault> {
        let mut body = self.conn.response_body().with_max_len(u64::MAX);
        let read = body.read(&mut self.buffer).await;
        drop(body);
        match read {
            Ok(0) => Ok(None),
            Ok(count) => Ok(Some(&self.buffer[..count])),
            Err(error) => Err(CallFault::Lost { detail: error.to_string() }),
        }
    }
}
