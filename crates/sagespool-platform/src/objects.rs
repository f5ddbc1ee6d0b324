//! Client of the object API.

use std::net::SocketAddr;
use std::time::Duration;

use bon::Builder;
use sagespool_types::StoreRevision;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

use crate::caller::{PlatformCall, PlatformCaller};
use crate::counters::{CallCategory, CallKind};
use crate::detour::{RawFailure, RawResponse, StoreFallback};
use crate::dialect::{RawRequest, StoreDialect};
use crate::{StoreCounters, StoreError};

/// The platform's limit for a value, 1 MB; it may mean a little less by it.
const LARGEST_VALUE: usize = 1 << 20;
const NO_SUCH_CALL: &str = "the platform doesn't know this call";

/// Where the object API is, and how long a call may take.
#[derive(Debug, Clone, Builder)]
pub struct ObjectOptions {
    /// Its address.
    pub address: SocketAddr,
    /// The bearer token to send, if any.
    pub token: Option<String>,
    /// The longest that a call may take, connecting included; a watch gets its
    /// own waiting time on top. 1 s unless given.
    #[builder(default = Duration::from_secs(1))]
    pub call_timeout: Duration,
    /// How its calls are spelled; as `docs/PLATFORM.md` has them unless given.
    #[builder(default)]
    pub dialect: StoreDialect,
}

/// An object's value at a version.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredObject<T> {
    /// The revision of its last change.
    pub version: StoreRevision,
    /// Its value.
    pub value: T,
}

/// The objects under a prefix, at one revision.
#[derive(Debug, Clone, PartialEq)]
pub struct ObjectListing<T> {
    /// The store's revision at that moment; watch from here.
    pub revision: StoreRevision,
    /// The objects, sorted by key.
    pub items: Vec<(String, StoredObject<T>)>,
}

/// The newest change of one object.
#[derive(Debug, Clone, PartialEq)]
pub struct ObjectChange<T> {
    /// Its key.
    pub key: String,
    /// The revision of the change.
    pub version: StoreRevision,
    /// Its value, nothing if it was deleted.
    pub value: Option<T>,
}

/// What changed under a prefix after a revision.
#[derive(Debug, Clone, PartialEq)]
pub struct ObjectChanges<T> {
    /// The revision up to which this is complete; watch on from here.
    pub revision: StoreRevision,
    /// The changes, the newest of each key.
    pub changes: Vec<ObjectChange<T>>,
}

/// Client of the object API. Clones share connections and counters.
///
/// # Errors
///
/// Each call fails with a [`StoreError`], which says what is known of its effect.
#[derive(Debug, Clone)]
pub struct ObjectClient {
    caller: PlatformCaller,
    dialect: StoreDialect,
}

impl ObjectClient {
    /// A client; connects when it is first used.
    pub fn new(options: ObjectOptions) -> Self {
        let ObjectOptions { address, token, call_timeout, dialect } = options;
        let caller = PlatformCaller::new(address, token, call_timeout, dialect.read_version);
        Self { caller, dialect }
    }

    /// The same client, whose calls take at most this long.
    pub(crate) fn bounded(&self, limit: Duration) -> Self {
        Self { caller: self.caller.bounded(limit), dialect: self.dialect }
    }

    /// Reads an object; nothing if it doesn't exist.
    pub async fn get<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<StoredObject<T>>, StoreError> {
        let call = PlatformCall::new(CallKind::Read, (self.dialect.get)(checked(key)?), key);
        let read = |body: &[u8]| (self.dialect.read_object)(key, body);
        let Some(form) = self.caller.call_read(call, read).await? else {
            return Ok(None);
        };
        let value = form.value.as_deref().ok_or_else(|| no_value(key))?;
        Ok(Some(StoredObject { version: form.version, value: decode(value)? }))
    }

    /// Writes an object if it is at the expected version; 0 = it must not exist.
    /// Gives its new version.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] at another version; [`StoreError::Uncertain`] if the answer was
    /// lost, after which it may have taken effect, or may yet.
    pub async fn put<T: Serialize>(
        &self,
        key: &str,
        expected: StoreRevision,
        value: &T,
    ) -> Result<StoreRevision, StoreError> {
        let value = encode(value)?;
        let form = (self.dialect.put)(checked(key)?, expected, &value);
        let call = PlatformCall::new(CallKind::Write, form, key);
        let written = self.caller.call_read(call, self.dialect.read_version).await?;
        written.ok_or_else(|| match expected {
            StoreRevision::ZERO => StoreError::Malformed(NO_SUCH_CALL.to_owned()),
            // The object was deleted meanwhile.
            _ => StoreError::Conflict { present: StoreRevision::ZERO },
        })
    }

    /// Deletes an object if it is at the expected version; fails as [`Self::put`] does.
    pub async fn delete(&self, key: &str, expected: StoreRevision) -> Result<(), StoreError> {
        let form = (self.dialect.delete)(checked(key)?, expected);
        let call = PlatformCall::new(CallKind::Write, form, key);
        match self.caller.call_read(call, self.dialect.read_deleted).await? {
            Some(()) => Ok(()),
            None => Err(StoreError::Conflict { present: StoreRevision::ZERO }),
        }
    }

    /// Reads all objects under a prefix.
    ///
    /// A listing of several pages tells the first page's revision: a watch from there repeats what
    /// changed while the others were read, and misses nothing.
    pub async fn list<T: DeserializeOwned>(
        &self,
        prefix: &str,
    ) -> Result<ObjectListing<T>, StoreError> {
        let prefix = checked(prefix)?;
        let mut items = Vec::new();
        let mut first = None;
        let mut after: Option<String> = None;
        loop {
            let form = (self.dialect.list)(prefix, after.as_deref());
            let call = PlatformCall::new(CallKind::Read, form, prefix);
            let read = |body: &[u8]| (self.dialect.read_page)(prefix, body);
            let page = self.caller.call_read(call, read).await?;
            let page = page.ok_or_else(|| StoreError::Malformed(NO_SUCH_CALL.to_owned()))?;
            for item in page.items {
                let value = item.value.as_deref().ok_or_else(|| no_value(&item.key))?;
                let value = decode(value)?;
                items.push((item.key, StoredObject { version: item.version, value }));
            }
            let revision = *first.get_or_insert(page.revision);
            after = page.more_after;
            if after.is_none() {
                return Ok(ObjectListing { revision, items });
            }
        }
    }

    /// Waits for changes under a prefix after a revision: returns at once if there
    /// are any, else after at most `wait`, then with none.
    ///
    /// # Errors
    ///
    /// [`StoreError::HistoryGone`] if the changes after `after` aren't kept any more: list again.
    pub async fn watch<T: DeserializeOwned>(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<ObjectChanges<T>, StoreError> {
        let prefix = checked(prefix)?;
        let mut call =
            PlatformCall::new(CallKind::Watch, (self.dialect.watch)(prefix, after, wait), prefix);
        call.wait = wait;
        let read = |body: &[u8]| (self.dialect.read_changes)(prefix, body);
        let watched = self.caller.call_read(call, read).await?;
        let watched = watched.ok_or_else(|| StoreError::Malformed(NO_SUCH_CALL.to_owned()))?;
        let mut changes = Vec::with_capacity(watched.items.len());
        for item in watched.items {
            let value = item.value.as_deref().map(decode).transpose()?;
            changes.push(ObjectChange { key: item.key, version: item.version, value });
        }
        Ok(ObjectChanges { revision: watched.revision, changes })
    }

    /// Sets another way to the platform, for calls that surely did nothing on the direct one.
    /// False if there is one already.
    pub fn set_fallback(&self, detour: StoreFallback) -> bool {
        self.caller.set_fallback(detour)
    }

    /// Notes word of another process that the platform answers it: calls that were given up at once,
    /// since no way was open, are tried again.
    pub fn note_store_reachable(&self) {
        self.caller.note_store_reachable();
    }

    /// Makes a call for another process that can't reach the platform, on the direct way only.
    ///
    /// # Errors
    ///
    /// [`RawFailure`] if there is no answer.
    pub async fn forward(
        &self,
        form: RawRequest,
        wait: Duration,
    ) -> Result<RawResponse, RawFailure> {
        self.caller.forward(form, wait).await
    }

    /// The highest revision of the store that any answer carried.
    pub fn seen_revision(&self) -> StoreRevision {
        self.caller.seen_revision()
    }

    /// Calls that went out on the direct way, by their cause.
    pub fn call_counts(&self) -> Vec<(CallCategory, u64)> {
        self.caller.call_counts()
    }

    /// Calls so far.
    pub fn counters(&self) -> StoreCounters {
        self.caller.counters()
    }
}

/// A key or prefix as it may stand in a path.
fn checked(key: &str) -> Result<&str, StoreError> {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_./".contains(c);
    let climbs = key.split('/').any(|part| part == "." || part == "..");
    if key.chars().all(plain) && !climbs {
        return Ok(key);
    }
    Err(StoreError::Malformed(format!("`{key}` is no key: letters, digits, `-`, `_`, `.`, `/`")))
}

/// A value as JSON. One that is over the platform's limit isn't sent: the
/// platform may hang up in the middle of it, which would look like a lost answer.
fn encode<T: Serialize>(value: &T) -> Result<Box<RawValue>, StoreError> {
    let body = serde_json::value::to_raw_value(value)
        .map_err(|error| StoreError::Malformed(error.to_string()))?;
    if body.get().len() > LARGEST_VALUE {
        return Err(StoreError::TooLarge);
    }
    Ok(body)
}

fn decode<T: DeserializeOwned>(value: &RawValue) -> Result<T, StoreError> {
    serde_json::from_str(value.get()).map_err(|error| StoreError::Malformed(error.to_string()))
}

fn no_value(key: &str) -> StoreError {
    StoreError::Malformed(format!("`{key}` has no value"))
}
