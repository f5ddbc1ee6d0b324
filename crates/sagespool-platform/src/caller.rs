//! One call of the platform: a request, and strictly what is known of its effect.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures_lite::future::or;
use sagespool_types::{ClockTime, StoreRevision};
use serde::de::DeserializeOwned;
use smol::Timer;
use trillium_client::{Client, Conn, KnownHeaderName, Version};

use crate::connector::{MarkedConnector, is_connect_failure};
use crate::counters::{CallCategory, CallKind, CallMeter, StoreCounters};
use crate::detour::{RawFailure, RawResponse, StoreFallback, StoreWays};
use crate::dialect::{DialectError, RawRequest};
use crate::{CallMethod, StoreError};

/// Of a call's limit, connecting may take this share: the rest is for the call.
const CONNECT_SHARE: u32 = 2;
/// The longest answer that is read: a listing of all books with room to spare.
const ANSWER_LIMIT: u64 = 256 << 20;
/// The library asks leave before it sends a longer body, which costs a round
/// trip, and a second with a server that doesn't know the question. Objects are
/// at most 1 MB, so none is asked for.
const BODY_SENT_AT_ONCE: usize = 4 << 20;
/// How long to stay away if the platform says "over the rate" but not how long.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(200);
const REVISION_HEADER: &str = "x-store-revision";
const RETRY_HEADER: &str = "retry-after-ms";
const SHOWN_BYTES: usize = 200;

/// Makes calls to one address. Clones share connections and counters.
#[derive(Debug, Clone)]
pub(crate) struct PlatformCaller {
    shared: Arc<CallerShared>,
    limit: Duration,
}

#[derive(Debug)]
struct CallerShared {
    client: Client,
    address: SocketAddr,
    token: Option<String>,
    seen_revision: AtomicU64,
    read_version: VersionReader,
    meter: CallMeter,
    ways: StoreWays,
}

/// What to ask.
#[derive(Debug)]
pub(crate) struct PlatformCall<'a> {
    pub(crate) kind: CallKind,
    pub(crate) form: RawRequest,
    /// The kind of object that it is for.
    pub(crate) subject: &'a str,
    /// How long the platform itself may wait.
    pub(crate) wait: Duration,
}

impl<'a> PlatformCall<'a> {
    /// A call at which the platform itself doesn't wait, for an object's key or a prefix.
    pub(crate) fn new(kind: CallKind, form: RawRequest, key: &'a str) -> Self {
        let subject = key.split_once('/').map_or(key, |(subject, _)| subject);
        Self { kind, form, subject, wait: Duration::ZERO }
    }
}

/// An answer. Its head came whole; its body may have broken off.
struct PlatformAnswer {
    status: u16,
    retry_after: Option<Duration>,
    body: Option<Vec<u8>>,
}

/// Why there is no answer.
enum CallFailure {
    NotSent,
    Lost,
}

/// Reads the version in the body of a refused write.
pub(crate) type VersionReader = fn(&[u8]) -> Result<StoreRevision, DialectError>;

impl PlatformCaller {
    pub(crate) fn new(
        address: SocketAddr,
        token: Option<String>,
        limit: Duration,
        read_version: VersionReader,
    ) -> Self {
        let client = Client::new(MarkedConnector::new(limit / CONNECT_SHARE))
            .with_max_buffered_request_body(BODY_SENT_AT_ONCE);
        let seen_revision = AtomicU64::new(0);
        let meter = CallMeter::default();
        let ways = StoreWays::default();
        let shared =
            CallerShared { client, address, token, seen_revision, read_version, meter, ways };
        Self { shared: Arc::new(shared), limit }
    }

    /// The same caller, with a limit that is at most this long.
    pub(crate) fn bounded(&self, limit: Duration) -> Self {
        Self { shared: self.shared.clone(), limit: limit.min(self.limit) }
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

    /// Makes a call and reads its answer as JSON, nothing if there is no such object.
    pub(crate) async fn call<T: DeserializeOwned>(
        &self,
        call: PlatformCall<'_>,
    ) -> Result<Option<T>, StoreError> {
        let read = |body: &[u8]| serde_json::from_slice(body).map_err(|error| error.to_string());
        self.call_read(call, read).await
    }

    /// Makes a call and reads its answer, nothing if there is no such object.
    pub(crate) async fn call_read<T>(
        &self,
        call: PlatformCall<'_>,
        read: impl FnOnce(&[u8]) -> Result<T, DialectError>,
    ) -> Result<Option<T>, StoreError> {
        let kind = call.kind;
        self.shared.meter.call(kind);
        let result = match self.reach(call).await {
            Ok(answer) => judge_answer(kind, answer, read, self.shared.read_version),
            Err(CallFailure::NotSent) => Err(StoreError::Unavailable),
            Err(CallFailure::Lost) => Err(lost(kind)),
        };
        if let Err(error) = &result {
            self.shared.meter.error(error);
        }
        result
    }

    /// Sets another way to the platform, for calls that surely did nothing on the direct one.
    pub(crate) fn set_fallback(&self, detour: StoreFallback) -> bool {
        self.shared.ways.set_fallback(detour)
    }

    /// Makes a call for another process, on the direct way only.
    pub(crate) async fn forward(
        &self,
        form: RawRequest,
        wait: Duration,
    ) -> Result<RawResponse, RawFailure> {
        let kind = match form.method {
            CallMethod::Get if wait.is_zero() => CallKind::Read,
            CallMethod::Get => CallKind::Watch,
            _ => CallKind::Write,
        };
        let subject = format!("forwarded-{}", path_subject(&form.path));
        let call = PlatformCall { kind, form, subject: &subject, wait };
        match self.send(call).await {
            Ok(answer) => Ok(RawResponse { status: answer.status, body: answer.body }),
            Err(CallFailure::NotSent) => Err(RawFailure::NotSent),
            Err(CallFailure::Lost) => Err(RawFailure::Lost),
        }
    }

    /// Sends a call the direct way, or another one if that is closed.
    async fn reach(&self, call: PlatformCall<'_>) -> Result<PlatformAnswer, CallFailure> {
        let ways = &self.shared.ways;
        let (kind, limit) = (call.kind, self.limit.saturating_add(call.wait));
        let all_closed = ways.all_closed(ClockTime::now());
        if all_closed && kind != CallKind::Watch {
            return Err(CallFailure::NotSent);
        }
        let form = call.form.clone();
        let mut call = Some(call);
        let mut direct = Err(CallFailure::NotSent);
        if ways.is_direct(kind, ClockTime::now())
            && let Some(call) = call.take()
        {
            direct = self.send_direct(call).await;
            if !did_nothing(kind, &direct) {
                return direct;
            }
        }
        let detour = if all_closed { None } else { ways.detour(form, limit) };
        let Some(detour) = detour else {
            return direct;
        };
        let detoured = detour.await;
        // What is lost between processes says nothing of the platform: this one may be too busy to
        // take the answer.
        let tells = !matches!(detoured, Err(RawFailure::Lost));
        let other = match detoured {
            Ok(RawResponse { status, body }) => {
                Ok(PlatformAnswer { status, retry_after: None, body })
            }
            Err(RawFailure::Lost | RawFailure::Unanswered) => Err(CallFailure::Lost),
            // Nobody else can be asked either. The direct way may have opened meanwhile; without
            // this try, processes that all start during an outage would wait for each other.
            Err(RawFailure::NotSent) => match call {
                Some(call) => self.send_direct(call).await,
                None => direct,
            },
        };
        match &other {
            Ok(answer) if !is_turned_away(answer) => ways.some_way_works(),
            _ if tells => ways.all_failed(ClockTime::now()),
            _ => {}
        }
        other
    }

    /// Notes word of others that the platform answers them.
    pub(crate) fn note_store_reachable(&self) {
        self.shared.ways.some_way_works();
    }

    /// Sends a call the direct way, and notes how that fares.
    async fn send_direct(&self, call: PlatformCall<'_>) -> Result<PlatformAnswer, CallFailure> {
        let kind = call.kind;
        let sent = self.send(call).await;
        let ways = &self.shared.ways;
        match &sent {
            Ok(_) if !did_nothing(kind, &sent) => ways.direct_works(),
            _ => ways.direct_failed(ClockTime::now()),
        }
        sent
    }

    async fn send(&self, call: PlatformCall<'_>) -> Result<PlatformAnswer, CallFailure> {
        self.shared.meter.sent(call.kind, call.subject);
        let limit = self.limit.saturating_add(call.wait);
        let exchange = self.exchange(call);
        let timer = async {
            Timer::after(limit).await;
            Err(CallFailure::Lost)
        };
        or(exchange, timer).await
    }

    async fn exchange(&self, call: PlatformCall<'_>) -> Result<PlatformAnswer, CallFailure> {
        let form = call.form;
        let url = format!("http://{}{}", self.shared.address, form.path);
        let mut conn = self.shared.client.build_conn(form.method, url);
        // Pinned, or concurrent calls would wait for each other's connecting.
        conn.set_http_version(Version::Http1_1);
        if let Some(token) = &self.shared.token {
            let headers = conn.request_headers_mut();
            headers.insert(KnownHeaderName::Authorization, format!("Bearer {token}"));
        }
        if let Some(body) = form.body {
            conn.request_headers_mut().insert(KnownHeaderName::ContentType, "application/json");
            conn.set_request_body(body);
        }
        (&mut conn).await.map_err(|error| match is_connect_failure(&error) {
            true => CallFailure::NotSent,
            false => CallFailure::Lost,
        })?;
        self.note_revision(&conn);
        read_answer(conn).await
    }

    /// Takes note of the store's revision. Answers overtake each other, so the
    /// highest counts.
    fn note_revision(&self, conn: &Conn) {
        if let Some(revision) = header_number(conn, REVISION_HEADER) {
            self.shared.seen_revision.fetch_max(revision, Ordering::Relaxed);
        }
    }
}

/// The kind of object that a path is about: its second part, in all dialects.
fn path_subject(path: &str) -> &str {
    let bare = path.split('?').next().unwrap_or_default();
    bare.trim_start_matches('/').split('/').nth(1).unwrap_or_default()
}

fn header_number(conn: &Conn, name: &'static str) -> Option<u64> {
    conn.response_headers().get_str(name)?.parse().ok()
}

async fn read_answer(mut conn: Conn) -> Result<PlatformAnswer, CallFailure> {
    let status = conn.status().ok_or(CallFailure::Lost)? as u16;
    let retry_after = header_number(&conn, RETRY_HEADER).map(Duration::from_millis);
    let body = conn.response_body().with_max_len(ANSWER_LIMIT).read_bytes().await.ok();
    Ok(PlatformAnswer { status, retry_after, body })
}

fn is_turned_away(answer: &PlatformAnswer) -> bool {
    matches!(answer.status, 429 | 503)
}

/// Whether a call surely had no effect: it wasn't sent, was turned away, or only reads.
fn did_nothing(kind: CallKind, sent: &Result<PlatformAnswer, CallFailure>) -> bool {
    match sent {
        Ok(answer) => is_turned_away(answer),
        Err(CallFailure::NotSent) => true,
        Err(CallFailure::Lost) => kind != CallKind::Write,
    }
}

/// The error of a call whose answer didn't come. A read has no effect.
fn lost(kind: CallKind) -> StoreError {
    match kind {
        CallKind::Write => StoreError::Uncertain,
        CallKind::Read | CallKind::Watch => StoreError::Unavailable,
    }
}

fn judge_answer<T>(
    kind: CallKind,
    answer: PlatformAnswer,
    read: impl FnOnce(&[u8]) -> Result<T, DialectError>,
    read_version: VersionReader,
) -> Result<Option<T>, StoreError> {
    match answer.status {
        200 | 201 => read_body(kind, answer.body, read).map(Some),
        404 => Ok(None),
        409 => Err(conflict(answer.body, read_version)),
        410 => Err(StoreError::HistoryGone),
        413 => Err(StoreError::TooLarge),
        429 => {
            let retry_after = answer.retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
            Err(StoreError::RateLimited { retry_after })
        }
        503 => Err(StoreError::Unavailable),
        400..500 => Err(StoreError::Malformed(turned_away(answer))),
        // Something between here and the store failed, or worked otherwise than
        // the contract says: nothing tells whether a write took effect.
        _ => Err(lost(kind)),
    }
}

/// Reads a body of an answer that says "done". A write whose answer can't be
/// read took effect, but its caller doesn't know as which version.
fn read_body<T>(
    kind: CallKind,
    body: Option<Vec<u8>>,
    read: impl FnOnce(&[u8]) -> Result<T, DialectError>,
) -> Result<T, StoreError> {
    let body = body.ok_or_else(|| lost(kind))?;
    read(&body).map_err(|fault| match kind {
        CallKind::Write => StoreError::Uncertain,
        CallKind::Read | CallKind::Watch => StoreError::Malformed(fault),
    })
}

fn conflict(body: Option<Vec<u8>>, read_version: VersionReader) -> StoreError {
    let body = body.unwrap_or_default();
    match read_version(&body) {
        Ok(present) => StoreError::Conflict { present },
        Err(error) => StoreError::Malformed(format!("a conflict without a version: {error}")),
    }
}

fn turned_away(answer: PlatformAnswer) -> String {
    let body = answer.body.unwrap_or_default();
    let shown = String::from_utf8_lossy(&body[..body.len().min(SHOWN_BYTES)]);
    format!("status {}: {shown}", answer.status)
}
