//! HTTP calls to the platform: sends a request and classifies its outcome by whether it may have
//! taken effect.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures_lite::future::or;
use sagespool_types::{ByteCount, ClockTime, StoreRevision};
use serde::de::DeserializeOwned;
use smol::Timer;
use trillium_client::{Conn, KnownHeaderName, Version};

use crate::connections::ConnectionPool;
use crate::connector::is_connect_error;
use crate::counters::{CallCategory, CallKind, CallMeter, StoreCounters};
use crate::dialect::{DialectError, RawRequest};
use crate::fallback::{
    FallbackCall, RawFailure, RawResponse, StoreAccess, StoreFallback, is_rejection,
};
use crate::{CallMethod, StoreError};

/// The connect timeout is the call timeout divided by this, so that time is left for the exchange.
const CONNECT_TIMEOUT_DIVISOR: u32 = 2;
/// The backoff after a 429 response without a `retry-after-ms` header.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(200);
const REVISION_HEADER: &str = "x-store-revision";
const RETRY_HEADER: &str = "retry-after-ms";
/// The connection bounds a response.
const UNLIMITED: u64 = u64::MAX;
const MAX_SHOWN_BYTES: usize = 200;

/// Makes calls to one address. Clones share connections, circuit breakers and counters.
#[derive(Debug, Clone)]
pub(crate) struct PlatformCaller {
    shared: Arc<CallerShared>,
    timeout: Duration,
}

#[derive(Debug)]
struct CallerShared {
    connections: ConnectionPool,
    address: SocketAddr,
    token: Option<String>,
    seen_revision: AtomicU64,
    read_version: VersionReader,
    meter: CallMeter,
    access: StoreAccess,
}

/// A call to make.
#[derive(Debug)]
pub(crate) struct PlatformCall<'a> {
    pub(crate) kind: CallKind,
    pub(crate) request: RawRequest,
    /// The kind of the requested objects, for the counters.
    pub(crate) subject: &'a str,
    /// How long the platform may hold a watch open; added to the timeout.
    pub(crate) wait: Duration,
}

impl<'a> PlatformCall<'a> {
    /// A call that the platform answers at once. `key` is an object's key or a prefix.
    pub(crate) fn new(kind: CallKind, request: RawRequest, key: &'a str) -> Self {
        let subject = key.split_once('/').map_or(key, |(subject, _)| subject);
        Self { kind, request, subject, wait: Duration::ZERO }
    }

    /// The same call once more.
    fn again(&self) -> Self {
        let Self { kind, subject, wait, .. } = *self;
        Self { kind, request: self.request.clone(), subject, wait }
    }
}

/// A response with a complete head. `body` is `None` if it was cut off or too long.
struct PlatformResponse {
    status: u16,
    retry_after: Option<Duration>,
    body: Option<Vec<u8>>,
}

/// Why a call has no response.
enum CallFailure {
    /// Nothing was sent: the connection could not be opened, or the circuit breaker is open.
    NotSent,
    /// The request may have been processed.
    Lost,
    /// The same: there was no response in time, on connections that had brought responses before.
    Silent,
}

/// Reads the present version of an object from the body of a 409 response.
pub(crate) type VersionReader = fn(&[u8]) -> Result<StoreRevision, DialectError>;

impl PlatformCaller {
    pub(crate) fn new(
        address: SocketAddr,
        token: Option<String>,
        timeout: Duration,
        max_response: ByteCount,
        read_version: VersionReader,
    ) -> Self {
        let connections = ConnectionPool::new(timeout / CONNECT_TIMEOUT_DIVISOR, max_response);
        let seen_revision = AtomicU64::new(0);
        let meter = CallMeter::default();
        let access = StoreAccess::default();
        let shared = CallerShared {
            connections,
            address,
            token,
            seen_revision,
            read_version,
            meter,
            access,
        };
        Self { shared: Arc::new(shared), timeout }
    }

    /// The same caller with a timeout of at most `timeout`.
    pub(crate) fn with_max_timeout(&self, timeout: Duration) -> Self {
        Self { shared: self.shared.clone(), timeout: timeout.min(self.timeout) }
    }

    pub(crate) fn seen_revision(&self) -> StoreRevision {
        StoreRevision(self.shared.seen_revision.load(Ordering::Relaxed))
    }

    pub(crate) fn call_counts(&self) -> Vec<(CallCategory, u64)> {
        self.shared.meter.call_counts()
    }

    pub(crate) fn counters(&self) -> StoreCounters {
        self.shared.meter.counters()
    }

    /// Makes a call and decodes the response body as JSON; `None` on a 404 response.
    pub(crate) async fn call<T: DeserializeOwned>(
        &self,
        call: PlatformCall<'_>,
    ) -> Result<Option<T>, StoreError> {
        let read = |body: &[u8]| serde_json::from_slice(body).map_err(|error| error.to_string());
        self.call_read(call, read).await
    }

    /// Makes a call and decodes the response body with `read`; `None` on a 404 response.
    pub(crate) async fn call_read<T>(
        &self,
        call: PlatformCall<'_>,
        read: impl FnOnce(&[u8]) -> Result<T, DialectError>,
    ) -> Result<Option<T>, StoreError> {
        let kind = call.kind;
        self.shared.meter.count_call(kind);
        let result = match self.send_with_fallback(call).await {
            Ok(response) => interpret_response(kind, response, read, self.shared.read_version),
            Err(CallFailure::NotSent) => Err(StoreError::Unavailable),
            Err(CallFailure::Lost | CallFailure::Silent) => Err(lost_response_error(kind)),
        };
        if let Err(error) = &result {
            self.shared.meter.count_error(error);
        }
        result
    }

    /// Sets the fallback for calls whose direct attempt is known to have had no effect. False if
    /// there is one already.
    pub(crate) fn set_fallback(&self, fallback: StoreFallback) -> bool {
        self.shared.access.set_fallback(fallback)
    }

    /// Makes a call for another process, without the fallback.
    pub(crate) async fn forward(
        &self,
        request: RawRequest,
        wait: Duration,
    ) -> Result<RawResponse, RawFailure> {
        let kind = match request.method {
            CallMethod::Get if wait.is_zero() => CallKind::Read,
            CallMethod::Get => CallKind::Watch,
            _ => CallKind::Write,
        };
        let subject = format!("forwarded-{}", path_subject(&request.path));
        let call = PlatformCall { kind, request, subject: &subject, wait };
        match self.send(call).await {
            Ok(response) => Ok(RawResponse { status: response.status, body: response.body }),
            Err(CallFailure::NotSent) => Err(RawFailure::NotSent),
            Err(CallFailure::Lost | CallFailure::Silent) => Err(RawFailure::Lost),
        }
    }

    /// Sends a call directly, or by the fallback if the direct attempt had no effect or isn't allowed.
    async fn send_with_fallback(
        &self,
        call: PlatformCall<'_>,
    ) -> Result<PlatformResponse, CallFailure> {
        let access = &self.shared.access;
        let (kind, wait) = (call.kind, call.wait);
        let backing_off = access.is_backing_off(ClockTime::now());
        if backing_off && kind != CallKind::Watch {
            return Err(CallFailure::NotSent);
        }
        let request = call.request.clone();
        let mut call = Some(call);
        let mut direct = Err(CallFailure::NotSent);
        if access.allows_direct(kind, ClockTime::now())
            && let Some(call) = call.take()
        {
            let again = call.again();
            direct = self.send_direct(call).await;
            if matches!(direct, Err(CallFailure::Silent)) && kind != CallKind::Write {
                // Without the wait of a watch: another process may take the call if this connection is
                // silent too.
                direct = self.send_direct(PlatformCall { wait: Duration::ZERO, ..again }).await;
            }
            if !had_no_effect(kind, &direct) {
                return direct;
            }
        }
        if backing_off {
            return direct;
        }
        let timeout = self.timeout.saturating_add(wait);
        let Some(fallback) = access.call_fallback(FallbackCall { request, wait, timeout }) else {
            return direct;
        };
        let relayed = fallback.await;
        access.note_fallback(&relayed);
        // A reply lost between processes is no evidence about the platform: this process may be too
        // busy to receive it.
        let conclusive = !matches!(relayed, Err(RawFailure::Lost));
        let other = match relayed {
            Ok(RawResponse { status, body }) => {
                Ok(PlatformResponse { status, retry_after: None, body })
            }
            Err(RawFailure::Lost | RawFailure::Unanswered) => Err(CallFailure::Lost),
            // No other process could take the call either. The direct connection may work again;
            // without this attempt, processes that all start during an outage wait for each other.
            Err(RawFailure::NotSent) => match call {
                Some(call) => self.send_direct(call).await,
                None => direct,
            },
        };
        match &other {
            Ok(response) if !is_rejected(response) => access.note_success(),
            _ if conclusive => access.note_failure(ClockTime::now()),
            _ => {}
        }
        other
    }

    /// Records a peer's report that the platform answers it, which ends the backoff.
    pub(crate) fn note_store_reachable(&self) {
        self.shared.access.note_success();
    }

    /// Sends a call directly and updates the circuit breakers.
    async fn send_direct(&self, call: PlatformCall<'_>) -> Result<PlatformResponse, CallFailure> {
        let kind = call.kind;
        let sent = self.send(call).await;
        let access = &self.shared.access;
        match &sent {
            Ok(_) if !had_no_effect(kind, &sent) => access.note_direct_success(),
            _ => access.note_direct_failure(ClockTime::now()),
        }
        sent
    }

    async fn send(&self, call: PlatformCall<'_>) -> Result<PlatformResponse, CallFailure> {
        self.shared.meter.count_sent(call.kind, call.subject);
        let timeout = self.timeout.saturating_add(call.wait);
        let connections = &self.shared.connections;
        let generation = connections.generation();
        let exchange = self.exchange(call);
        let timer = async {
            Timer::after(timeout).await;
            match connections.drop_silent(generation) {
                true => Err(CallFailure::Silent),
                false => Err(CallFailure::Lost),
            }
        };
        let sent = or(exchange, timer).await;
        if sent.is_ok() {
            connections.note_response(generation);
        }
        sent
    }

    async fn exchange(&self, call: PlatformCall<'_>) -> Result<PlatformResponse, CallFailure> {
        let request = call.request;
        let url = format!("http://{}{}", self.shared.address, request.path);
        let mut conn = self.shared.connections.build(request.method, url);
        // HTTP/1.1 is set explicitly: otherwise concurrent calls wait for each other's connect.
        conn.set_http_version(Version::Http1_1);
        if let Some(token) = &self.shared.token {
            let headers = conn.request_headers_mut();
            headers.insert(KnownHeaderName::Authorization, format!("Bearer {token}"));
        }
        if let Some(body) = request.body {
            conn.request_headers_mut().insert(KnownHeaderName::ContentType, "application/json");
            conn.set_request_body(body);
        }
        (&mut conn).await.map_err(|error| match is_connect_error(&error) {
            true => CallFailure::NotSent,
            false => CallFailure::Lost,
        })?;
        self.note_revision(&conn);
        read_response(conn).await
    }

    /// Keeps the highest store revision of all responses, since they can arrive out of order.
    fn note_revision(&self, conn: &Conn) {
        if let Some(revision) = header_number(conn, REVISION_HEADER) {
            self.shared.seen_revision.fetch_max(revision, Ordering::Relaxed);
        }
    }
}

/// The kind of object that a path is for: its second segment, in all dialects.
fn path_subject(path: &str) -> &str {
    let bare = path.split('?').next().unwrap_or_default();
    bare.trim_start_matches('/').split('/').nth(1).unwrap_or_default()
}

fn header_number(conn: &Conn, name: &'static str) -> Option<u64> {
    conn.response_headers().get_str(name)?.parse().ok()
}

async fn read_response(mut conn: Conn) -> Result<PlatformResponse, CallFailure> {
    let status = conn.status().ok_or(CallFailure::Lost)? as u16;
    let retry_after = header_number(&conn, RETRY_HEADER).map(Duration::from_millis);
    let body = conn.response_body().with_max_len(UNLIMITED).read_bytes().await.ok();
    Ok(PlatformResponse { status, retry_after, body })
}

fn is_rejected(response: &PlatformResponse) -> bool {
    is_rejection(response.status)
}

/// Whether a call is known to have had no effect: it wasn't sent, was rejected, or only reads.
fn had_no_effect(kind: CallKind, sent: &Result<PlatformResponse, CallFailure>) -> bool {
    match sent {
        Ok(response) => is_rejected(response),
        Err(CallFailure::NotSent) => true,
        Err(CallFailure::Lost | CallFailure::Silent) => kind != CallKind::Write,
    }
}

/// The error of a call whose response was lost. A read has no effect.
fn lost_response_error(kind: CallKind) -> StoreError {
    match kind {
        CallKind::Write => StoreError::Uncertain,
        CallKind::Read | CallKind::StaleRead | CallKind::Watch => StoreError::Unavailable,
    }
}

fn interpret_response<T>(
    kind: CallKind,
    response: PlatformResponse,
    read: impl FnOnce(&[u8]) -> Result<T, DialectError>,
    read_version: VersionReader,
) -> Result<Option<T>, StoreError> {
    match response.status {
        200 | 201 => read_body(kind, response.body, read).map(Some),
        404 => Ok(None),
        409 => Err(conflict(response.body, read_version)),
        410 => Err(StoreError::HistoryGone),
        413 => Err(StoreError::TooLarge),
        429 => {
            let retry_after = response.retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
            Err(StoreError::RateLimited { retry_after })
        }
        503 => Err(StoreError::Unavailable),
        400..500 => Err(StoreError::Malformed(rejection_detail(response))),
        // An intermediary failed, or the store violates its contract: a write may have taken effect.
        _ => Err(lost_response_error(kind)),
    }
}

/// Decodes the body of a successful response. If the response to a write can't be decoded, the write
/// took effect at an unknown version.
fn read_body<T>(
    kind: CallKind,
    body: Option<Vec<u8>>,
    read: impl FnOnce(&[u8]) -> Result<T, DialectError>,
) -> Result<T, StoreError> {
    let body = body.ok_or_else(|| lost_response_error(kind))?;
    read(&body).map_err(|error| match kind {
        CallKind::Write => StoreError::Uncertain,
        CallKind::Read | CallKind::StaleRead | CallKind::Watch => StoreError::Malformed(error),
    })
}

fn conflict(body: Option<Vec<u8>>, read_version: VersionReader) -> StoreError {
    let body = body.unwrap_or_default();
    match read_version(&body) {
        Ok(present) => StoreError::Conflict { present },
        Err(error) => StoreError::Malformed(format!("409 response without a version: {error}")),
    }
}

fn rejection_detail(response: PlatformResponse) -> String {
    let body = response.body.unwrap_or_default();
    let shown = String::from_utf8_lossy(&body[..body.len().min(MAX_SHOWN_BYTES)]);
    format!("status {}: {shown}", response.status)
}
