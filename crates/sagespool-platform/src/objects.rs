//! Client of the object API.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use bon::Builder;
use sagespool_types::{ByteCount, StoreRevision};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use smol::Timer;

use crate::caller::{PlatformCall, PlatformCaller};
use crate::counters::{CallCategory, CallKind};
use crate::dialect::{ObjectPage, PageRest, RawRequest, StoreDialect};
use crate::fallback::{RawFailure, RawResponse, StoreFallback};
use crate::{StoreCounters, StoreError};

/// The largest value that is sent. The platform's limit of 1 MB may be slightly lower.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Requests of one page of a listing before the listing fails.
const MAX_PAGE_TRIES: u32 = 6;
const PAGE_RETRY_PAUSE: Duration = Duration::from_millis(150);
const MAX_PAGE_PAUSE: Duration = Duration::from_secs(1);
pub(crate) const DEFAULT_MAX_RESPONSE: ByteCount = ByteCount(256 << 20);
const NO_SUCH_ENDPOINT: &str = "the platform has no such endpoint (404)";

/// Options of an [`ObjectClient`].
#[derive(Debug, Clone, Builder)]
pub struct ObjectOptions {
    /// The address of the object API.
    pub address: SocketAddr,
    /// The bearer token to send, if any.
    pub token: Option<String>,
    /// The timeout of a call, connecting included; the time that a watch waits is added. 1 s by
    /// default.
    #[builder(default = Duration::from_secs(1))]
    pub call_timeout: Duration,
    /// The largest response, which is lost beyond it. 256 MiB by default, far above a listing of all books.
    #[builder(default = DEFAULT_MAX_RESPONSE)]
    pub max_response: ByteCount,
    /// The wire format; that of `docs/PLATFORM.md` by default.
    #[builder(default)]
    pub dialect: StoreDialect,
}

/// An object's value at a version.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredObject<T> {
    /// The revision of its last change.
    pub version: StoreRevision,
    /// The decoded value.
    pub value: T,
}

/// The objects under a prefix, at one revision.
#[derive(Debug, Clone, PartialEq)]
pub struct ObjectListing<T> {
    /// The store's revision, from which to watch.
    pub revision: StoreRevision,
    /// The objects, sorted by key.
    pub items: Vec<(String, StoredObject<T>)>,
    /// The keys of objects whose values another writer wrote in a form that can't be decoded.
    pub unreadable: Vec<String>,
    /// False if the store's pages don't lead to all objects: one that is missing may exist.
    pub complete: bool,
}

/// The newest change of one object.
#[derive(Debug, Clone, PartialEq)]
pub struct ObjectChange<T> {
    /// The object's key.
    pub key: String,
    /// The revision of the change.
    pub version: StoreRevision,
    /// The new value; `None` if the object was deleted.
    pub value: Option<T>,
}

/// The changes under a prefix after a revision.
#[derive(Debug, Clone, PartialEq)]
pub struct ObjectChanges<T> {
    /// The revision up to which the changes are complete, from which to watch next.
    pub revision: StoreRevision,
    /// The newest change of each changed key.
    pub changes: Vec<ObjectChange<T>>,
    /// The changed keys whose new values another writer wrote in a form that can't be decoded.
    pub unreadable: Vec<String>,
}

/// Client of the object API. Clones share connections and counters.
///
/// # Errors
///
/// Each call fails with a [`StoreError`], which tells whether the call may have taken effect.
#[derive(Debug, Clone)]
pub struct ObjectClient {
    caller: PlatformCaller,
    dialect: StoreDialect,
}

impl ObjectClient {
    /// Creates a client. It connects on its first call.
    pub fn new(options: ObjectOptions) -> Self {
        let ObjectOptions { address, token, call_timeout, max_response, dialect } = options;
        let caller =
            PlatformCaller::new(address, token, call_timeout, max_response, dialect.read_version);
        Self { caller, dialect }
    }

    /// The same client with a call timeout of at most `timeout`.
    pub(crate) fn with_max_timeout(&self, timeout: Duration) -> Self {
        Self { caller: self.caller.with_max_timeout(timeout), dialect: self.dialect }
    }

    /// Reads an object; `None` if it doesn't exist.
    pub async fn get<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<StoredObject<T>>, StoreError> {
        self.get_as(CallKind::Read, key).await
    }

    /// Reads an object in a state that may be seconds old. Cheaper than [`Self::get`]; for objects
    /// that never change once they exist.
    pub async fn get_stale<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<StoredObject<T>>, StoreError> {
        self.get_as(CallKind::StaleRead, key).await
    }

    async fn get_as<T: DeserializeOwned>(
        &self,
        kind: CallKind,
        key: &str,
    ) -> Result<Option<StoredObject<T>>, StoreError> {
        let request = self.read_request(kind, (self.dialect.get)(valid_key(key)?));
        let call = PlatformCall::new(kind, request, key);
        let read = |body: &[u8]| (self.dialect.read_object)(key, body);
        let Some(object) = self.caller.call_read(call, read).await? else {
            return Ok(None);
        };
        let value = object.value.as_deref().ok_or_else(|| missing_value(key))?;
        Ok(Some(StoredObject { version: object.version, value: decode(value)? }))
    }

    fn read_request(&self, kind: CallKind, request: RawRequest) -> RawRequest {
        match kind {
            CallKind::StaleRead => (self.dialect.allow_stale)(request),
            _ => request,
        }
    }

    /// Writes an object if it is at the expected version, 0 if it must not exist. Returns its new
    /// version.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] if the object is at another version; [`StoreError::Uncertain`] if the
    /// response was lost, so that the write may have taken effect or may still do so.
    pub async fn put<T: Serialize>(
        &self,
        key: &str,
        expected: StoreRevision,
        value: &T,
    ) -> Result<StoreRevision, StoreError> {
        let value = encode(value)?;
        let request = (self.dialect.put)(valid_key(key)?, expected, &value);
        let call = PlatformCall::new(CallKind::Write, request, key);
        let written = self.caller.call_read(call, self.dialect.read_version).await?;
        written.ok_or_else(|| match expected {
            StoreRevision::ZERO => StoreError::Malformed(NO_SUCH_ENDPOINT.to_owned()),
            // The object was deleted since it was read.
            _ => StoreError::Conflict { present: StoreRevision::ZERO },
        })
    }

    /// Deletes an object if it is at the expected version.
    ///
    /// # Errors
    ///
    /// As [`Self::put`].
    pub async fn delete(&self, key: &str, expected: StoreRevision) -> Result<(), StoreError> {
        let request = (self.dialect.delete)(valid_key(key)?, expected);
        let call = PlatformCall::new(CallKind::Write, request, key);
        match self.caller.call_read(call, self.dialect.read_deleted).await? {
            Some(()) => Ok(()),
            None => Err(StoreError::Conflict { present: StoreRevision::ZERO }),
        }
    }

    /// Reads all objects under a prefix. One that another writer wrote in another form doesn't hide the
    /// others.
    ///
    /// The listing has the revision of its first page: a watch from there repeats changes made while
    /// the other pages were read, and misses none. It ends at a page that brings nothing new, so that a
    /// store that repeats pages can't prolong it without end.
    pub async fn list<T: DeserializeOwned>(
        &self,
        prefix: &str,
    ) -> Result<ObjectListing<T>, StoreError> {
        self.list_as(CallKind::Read, prefix).await
    }

    /// Reads all objects under a prefix in a state that may be seconds old, like [`Self::list`]. A
    /// watch from its revision returns what has changed since.
    pub async fn list_stale<T: DeserializeOwned>(
        &self,
        prefix: &str,
    ) -> Result<ObjectListing<T>, StoreError> {
        self.list_as(CallKind::StaleRead, prefix).await
    }

    async fn list_as<T: DeserializeOwned>(
        &self,
        kind: CallKind,
        prefix: &str,
    ) -> Result<ObjectListing<T>, StoreError> {
        let prefix = valid_key(prefix)?;
        let mut items = BTreeMap::new();
        let mut unreadable = BTreeSet::new();
        let mut first = None;
        let mut after: Option<String> = None;
        loop {
            let page = self.read_page(kind, prefix, after.as_deref()).await?;
            let known = items.len() + unreadable.len();
            for item in page.items {
                match item.value.as_deref().map(decode) {
                    Some(Ok(value)) => {
                        items.insert(item.key, StoredObject { version: item.version, value });
                    }
                    Some(Err(_)) | None => {
                        unreadable.insert(item.key);
                    }
                }
            }
            let revision = *first.get_or_insert(page.revision);
            let complete = match page.rest {
                PageRest::After(key) if items.len() + unreadable.len() > known => {
                    after = Some(key);
                    continue;
                }
                PageRest::After(_) | PageRest::Unreachable => false,
                PageRest::None => true,
            };
            let items = items.into_iter().collect();
            let unreadable = unreadable.into_iter().collect();
            return Ok(ObjectListing { revision, items, unreadable, complete });
        }
    }

    /// Reads a page. One after the first is requested again when the store rejects it.
    ///
    /// Guards against listings that start over again and again, while many processes list at once and
    /// the store's rate limit rejects some of their calls.
    async fn read_page(
        &self,
        kind: CallKind,
        prefix: &str,
        after: Option<&str>,
    ) -> Result<ObjectPage, StoreError> {
        let mut tries = 1;
        loop {
            let request = self.read_request(kind, (self.dialect.list)(prefix, after));
            let call = PlatformCall::new(kind, request, prefix);
            let read = |body: &[u8]| (self.dialect.read_page)(prefix, body);
            let error = match self.caller.call_read(call, read).await {
                Ok(Some(page)) => return Ok(page),
                Ok(None) => return Err(StoreError::Malformed(NO_SUCH_ENDPOINT.to_owned())),
                Err(error) => error,
            };
            let pause = match &error {
                StoreError::RateLimited { retry_after } => (*retry_after).min(MAX_PAGE_PAUSE),
                StoreError::Unavailable => PAGE_RETRY_PAUSE,
                _ => return Err(error),
            };
            if after.is_none() || tries == MAX_PAGE_TRIES {
                return Err(error);
            }
            tries += 1;
            Timer::after(pause.mul_f64(0.5 + fastrand::f64())).await;
        }
    }

    /// Waits for changes under a prefix after a revision. Returns at once if there are any, else
    /// without changes after at most `wait`.
    ///
    /// # Errors
    ///
    /// [`StoreError::HistoryGone`] if the changes since `after` are no longer kept: list again.
    pub async fn watch<T: DeserializeOwned>(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<ObjectChanges<T>, StoreError> {
        let prefix = valid_key(prefix)?;
        let mut call =
            PlatformCall::new(CallKind::Watch, (self.dialect.watch)(prefix, after, wait), prefix);
        call.wait = wait;
        let read = |body: &[u8]| (self.dialect.read_changes)(prefix, body);
        let watched = self.caller.call_read(call, read).await?;
        let watched = watched.ok_or_else(|| StoreError::Malformed(NO_SUCH_ENDPOINT.to_owned()))?;
        let mut changes = Vec::with_capacity(watched.items.len());
        let mut unreadable = Vec::new();
        for item in watched.items {
            match item.value.as_deref().map(decode).transpose() {
                Ok(value) => {
                    changes.push(ObjectChange { key: item.key, version: item.version, value });
                }
                Err(_) => unreadable.push(item.key),
            }
        }
        Ok(ObjectChanges { revision: watched.revision, changes, unreadable })
    }

    /// Sets the fallback for calls whose direct attempt is known to have had no effect. False if
    /// there is one already.
    pub fn set_fallback(&self, fallback: StoreFallback) -> bool {
        self.caller.set_fallback(fallback)
    }

    /// Records a peer's report that the platform answers it. Ends the backoff in which calls fail at
    /// once.
    pub fn note_store_reachable(&self) {
        self.caller.note_store_reachable();
    }

    /// Makes a call for another process that can't reach the platform, without the fallback.
    ///
    /// # Errors
    ///
    /// [`RawFailure`] if there is no response.
    pub async fn forward(
        &self,
        request: RawRequest,
        wait: Duration,
    ) -> Result<RawResponse, RawFailure> {
        self.caller.forward(request, wait).await
    }

    /// The highest store revision in any response so far.
    pub fn seen_revision(&self) -> StoreRevision {
        self.caller.seen_revision()
    }

    /// The numbers of calls sent directly, by category.
    pub fn call_counts(&self) -> Vec<(CallCategory, u64)> {
        self.caller.call_counts()
    }

    /// The counters of all calls so far.
    pub fn counters(&self) -> StoreCounters {
        self.caller.counters()
    }
}

/// Checks that a key or prefix can be used in a path without escaping.
fn valid_key(key: &str) -> Result<&str, StoreError> {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_./".contains(c);
    let has_dot_segment = key.split('/').any(|part| part == "." || part == "..");
    if key.chars().all(plain) && !has_dot_segment {
        return Ok(key);
    }
    Err(StoreError::Malformed(format!(
        "invalid key `{key}`: allowed are letters, digits, `-`, `_`, `.` and `/`, but no segment `.` or `..`"
    )))
}

/// Encodes a value as JSON. A value over the platform's limit isn't sent: the platform may close the
/// connection while it arrives, which would look like a lost response.
fn encode<T: Serialize>(value: &T) -> Result<Box<RawValue>, StoreError> {
    let body = serde_json::value::to_raw_value(value)
        .map_err(|error| StoreError::Malformed(error.to_string()))?;
    if body.get().len() > MAX_VALUE_BYTES {
        return Err(StoreError::TooLarge);
    }
    Ok(body)
}

fn decode<T: DeserializeOwned>(value: &RawValue) -> Result<T, StoreError> {
    serde_json::from_str(value.get()).map_err(|error| StoreError::Malformed(error.to_string()))
}

fn missing_value(key: &str) -> StoreError {
    StoreError::Malformed(format!("object `{key}` has no value"))
}
