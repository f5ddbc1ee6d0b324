//! HTTP handlers of the object API.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use sagespool_types::{ClockTime, StoreRevision};
use serde::Serialize;
use serde_json::value::RawValue;
use smol::Timer;
use trillium::{Conn, Status};
use trillium_router::{Router, RouterConnExt};

use super::gate::{CallKind, GateDecision};
use super::records::{ObjectChange, StoredObject};
use super::shared::{SharedStore, WatchPoll};
use super::state::WriteOutcome;
use crate::call_query::{CallQuery, QueryError};
use crate::http_reply::HttpReply;

/// Largest size of an object's document.
pub const MAX_VALUE_BYTES: u64 = 1_000_000;

/// Largest length of a key.
pub const MAX_KEY_BYTES: usize = 256;

/// Longest time that a watch waits, also if `wait_ms` is higher.
const MAX_WAIT: Duration = Duration::from_secs(60);

#[derive(Serialize)]
struct VersionBody {
    version: StoreRevision,
}

#[derive(Serialize)]
struct ListBody {
    revision: StoreRevision,
    items: Vec<StoredObject>,
}

#[derive(Serialize)]
struct ChangesBody {
    revision: StoreRevision,
    changes: Vec<ObjectChange>,
}

/// The routes of the object API.
pub(super) fn router(store: &Arc<SharedStore>) -> Router {
    Router::new()
        .get("/objects", handler(store, list))
        .get("/objects/*", handler(store, get))
        .put("/objects/*", handler(store, put))
        .delete("/objects/*", handler(store, delete))
        .get("/watch", handler(store, watch))
}

/// A parsed call.
struct ObjectCall {
    store: Arc<SharedStore>,
    key: String,
    query: CallQuery,
    body: Vec<u8>,
}

fn handler<Answer>(
    store: &Arc<SharedStore>,
    answer: impl Fn(ObjectCall) -> Answer + Copy + Send + Sync + 'static,
) -> impl trillium::Handler
where
    Answer: Future<Output = Result<HttpReply, HttpReply>> + Send + 'static,
{
    let store = store.clone();
    move |conn: Conn| {
        let store = store.clone();
        async move { run_call(conn, store, answer).await }
    }
}

async fn run_call<Answer>(
    mut conn: Conn,
    store: Arc<SharedStore>,
    answer: impl Fn(ObjectCall) -> Answer,
) -> Conn
where
    Answer: Future<Output = Result<HttpReply, HttpReply>> + Send + 'static,
{
    let body = conn.request_body().with_max_len(MAX_VALUE_BYTES).read_bytes().await;
    let Ok(body) = body else {
        let reply = HttpReply::error(Status::PayloadTooLarge, "the value exceeds 1 MB");
        return reply.at_revision(store.revision()).send(conn);
    };
    let key = conn.wildcard().unwrap_or_default().to_owned();
    let query = CallQuery::parse(conn.querystring());
    let is_write = !conn.method().is_safe();
    let answer = answer(ObjectCall { store: store.clone(), key, query, body });
    let reply = match is_write {
        // A write continues when its caller disconnects, so it can take effect unacknowledged.
        true => Some(answer.await),
        false => conn.cancel_on_disconnect(answer).await,
    };
    match reply {
        Some(Ok(reply) | Err(reply)) => reply.send(conn),
        None => conn,
    }
}

async fn get(call: ObjectCall) -> Result<HttpReply, HttpReply> {
    let key = call.checked_key()?;
    call.admit(CallKind::Get).await?;
    let (object, revision) = call.store.read(|state| state.get(key));
    let reply = match object {
        Some(object) => HttpReply::json(Status::Ok, &object),
        None => HttpReply::error(Status::NotFound, format!("`{key}` doesn't exist")),
    };
    Ok(reply.at_revision(revision))
}

async fn list(call: ObjectCall) -> Result<HttpReply, HttpReply> {
    let prefix = call.prefix()?;
    call.admit(CallKind::List).await?;
    let (items, revision) = call.store.read(|state| state.list(prefix));
    Ok(HttpReply::json(Status::Ok, &ListBody { revision, items }).at_revision(revision))
}

async fn put(call: ObjectCall) -> Result<HttpReply, HttpReply> {
    let key = call.checked_key()?;
    let expected = call.number::<StoreRevision>("if_version")?;
    let value = call.document()?;
    call.admit(CallKind::Put).await?;
    let now = ClockTime::now();
    let (outcome, revision) = call.store.write(|state| state.put(key, expected, value, now));
    Ok(call.write_reply(outcome, revision))
}

async fn delete(call: ObjectCall) -> Result<HttpReply, HttpReply> {
    let key = call.checked_key()?;
    let expected = call.number::<StoreRevision>("if_version")?;
    call.admit(CallKind::Delete).await?;
    let now = ClockTime::now();
    let (outcome, revision) = call.store.write(|state| state.delete(key, expected, now));
    Ok(call.write_reply(outcome, revision))
}

async fn watch(call: ObjectCall) -> Result<HttpReply, HttpReply> {
    let prefix = call.prefix()?;
    let after = call.required::<StoreRevision>("after")?;
    let wait = Duration::from_millis(call.required("wait_ms")?).min(MAX_WAIT);
    call.admit(CallKind::Watch).await?;
    let until = ClockTime::now().after(wait);
    loop {
        let left = until.since(ClockTime::now());
        let (poll, revision) = WatchPoll::start(&call.store, prefix, after);
        let waiting = match poll {
            WatchPoll::HistoryTrimmed => {
                let reply =
                    HttpReply::error(Status::Gone, "history trimmed; list the prefix again");
                return Ok(reply.at_revision(revision));
            }
            WatchPoll::Changed(changes) => return Ok(changes_reply(revision, changes)),
            WatchPoll::Waiting(_) if left.is_zero() => return Ok(changes_reply(revision, vec![])),
            WatchPoll::Waiting(waiting) => waiting,
        };
        // Checked after the watch is registered: an outage that starts later wakes it.
        if !call.store.is_serving() {
            return Err(call.out_of_service());
        }
        waiting.woken_within(left).await;
    }
}

fn changes_reply(revision: StoreRevision, changes: Vec<ObjectChange>) -> HttpReply {
    HttpReply::json(Status::Ok, &ChangesBody { revision, changes }).at_revision(revision)
}

impl ObjectCall {
    fn bad_request(&self, error: impl ToString) -> HttpReply {
        HttpReply::error(Status::BadRequest, error).at_revision(self.store.revision())
    }

    fn out_of_service(&self) -> HttpReply {
        let reply = HttpReply::error(Status::ServiceUnavailable, "the store is unavailable");
        reply.at_revision(self.store.revision())
    }

    fn checked_key(&self) -> Result<&str, HttpReply> {
        let fits = |c: char| c.is_ascii_alphanumeric() || "-_.~:/".contains(c);
        let parts_fit = self.key.split('/').all(|part| !part.is_empty());
        if !parts_fit || self.key.len() > MAX_KEY_BYTES || !self.key.chars().all(fits) {
            return Err(
                self.bad_request(format!("`{}` is not a valid key like `books/7`", self.key))
            );
        }
        Ok(&self.key)
    }

    fn prefix(&self) -> Result<&str, HttpReply> {
        let missing = || self.bad_request("the parameter `prefix` is missing");
        self.query.text("prefix").ok_or_else(missing)
    }

    fn number<T: std::str::FromStr>(&self, name: &'static str) -> Result<Option<T>, HttpReply> {
        let bad = |error: QueryError| self.bad_request(error);
        self.query.number(name).map_err(bad)
    }

    fn required<T: std::str::FromStr>(&self, name: &'static str) -> Result<T, HttpReply> {
        let bad = |error: QueryError| self.bad_request(error);
        self.query.required(name).map_err(bad)
    }

    fn document(&self) -> Result<Arc<RawValue>, HttpReply> {
        let parsed = serde_json::from_slice::<Box<RawValue>>(&self.body);
        let bad = |error| self.bad_request(format!("the body is not a JSON document: {error}"));
        parsed.map(Arc::from).map_err(bad)
    }

    /// Admits the call after the injected delay; the error is the reply to a refused call.
    async fn admit(&self, kind: CallKind) -> Result<(), HttpReply> {
        match self.store.admit(kind, ClockTime::now()) {
            GateDecision::Pass(delay) if delay.is_zero() => Ok(()),
            GateDecision::Pass(delay) => {
                Timer::after(delay).await;
                Ok(())
            }
            GateDecision::OutOfService => Err(self.out_of_service()),
            GateDecision::RateLimited(wait) => Err(self.rate_limited(wait)),
            GateDecision::Disconnect => Err(HttpReply::disconnect()),
        }
    }

    fn rate_limited(&self, wait: Duration) -> HttpReply {
        let millis = wait.as_millis() as u64 + 1;
        let reply = HttpReply::error(Status::TooManyRequests, "rate limit exceeded; nothing done");
        reply.at_revision(self.store.revision()).retry_after_ms(millis)
    }

    fn write_reply(&self, outcome: WriteOutcome, revision: StoreRevision) -> HttpReply {
        let reply = match outcome {
            WriteOutcome::Applied(_) if self.store.drops_answer() => {
                return HttpReply::disconnect();
            }
            WriteOutcome::Applied(version) => HttpReply::json(Status::Ok, &VersionBody { version }),
            WriteOutcome::Conflict(version) => {
                self.store.count_conflict();
                HttpReply::json(Status::Conflict, &VersionBody { version })
            }
            WriteOutcome::Missing => HttpReply::error(Status::NotFound, "the object doesn't exist"),
        };
        reply.at_revision(revision)
    }
}
