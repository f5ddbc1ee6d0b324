//! Client of the object API.

use std::net::SocketAddr;
use std::time::Duration;

use bon::Builder;
use sagespool_types::StoreRevision;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use trillium_client::Method;

use crate::caller::{PlatformCall, PlatformCaller};
use crate::counters::CallKind;
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
    pub call_limit: Duration,
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
}

#[derive(Deserialize)]
#[serde(bound = "T: DeserializeOwned")]
struct ObjectBody<T> {
    key: String,
    version: StoreRevision,
    value: T,
}

#[derive(Deserialize)]
struct VersionBody {
    version: StoreRevision,
}

#[derive(Deserialize)]
#[serde(bound = "T: DeserializeOwned")]
struct ListBody<T> {
    revision: StoreRevision,
    items: Vec<ObjectBody<T>>,
}

#[derive(Deserialize)]
#[serde(bound = "T: DeserializeOwned")]
struct WatchBody<T> {
    revision: StoreRevision,
    changes: Vec<ObjectBody<Option<T>>>,
}

impl ObjectClient {
    /// A client; connects when it is first used.
    pub fn new(options: ObjectOptions) -> Self {
        let ObjectOptions { address, token, call_limit } = options;
        Self { caller: PlatformCaller::new(address, token, call_limit) }
    }

    /// The same client, whose calls take at most this long.
    pub(crate) fn bounded(&self, limit: Duration) -> Self {
        Self { caller: self.caller.bounded(limit) }
    }

    /// Reads an object; nothing if it doesn't exist.
    pub async fn get<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<StoredObject<T>>, StoreError> {
        let path = format!("/objects/{}", checked(key)?);
        let call = PlatformCall::new(CallKind::Read, Method::Get, path);
        let found: Option<ObjectBody<T>> = self.caller.call(call).await?;
        Ok(found.map(|body| StoredObject { version: body.version, value: body.value }))
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
        let body = encode(value)?;
        let path = format!("/objects/{}?if_version={expected}", checked(key)?);
        let mut call = PlatformCall::new(CallKind::Write, Method::Put, path);
        call.body = Some(body);
        let written: Option<VersionBody> = self.caller.call(call).await?;
        let written = written.ok_or_else(|| StoreError::Malformed(NO_SUCH_CALL.to_owned()))?;
        Ok(written.version)
    }

    /// Deletes an object if it is at the expected version; fails as [`Self::put`] does.
    pub async fn delete(&self, key: &str, expected: StoreRevision) -> Result<(), StoreError> {
        let path = format!("/objects/{}?if_version={expected}", checked(key)?);
        let call = PlatformCall::new(CallKind::Write, Method::Delete, path);
        let deleted: Option<VersionBody> = self.caller.call(call).await?;
        match deleted {
            Some(_) => Ok(()),
            None => Err(StoreError::Conflict { present: StoreRevision::ZERO }),
        }
    }

    /// Reads all objects under a prefix.
    pub async fn list<T: DeserializeOwned>(
        &self,
        prefix: &str,
    ) -> Result<ObjectListing<T>, StoreError> {
        let path = format!("/objects?prefix={}", checked(prefix)?);
        let call = PlatformCall::new(CallKind::Read, Method::Get, path);
        let listed: Option<ListBody<T>> = self.caller.call(call).await?;
        let listed = listed.ok_or_else(|| StoreError::Malformed(NO_SUCH_CALL.to_owned()))?;
        let stored =
            |body: ObjectBody<T>| StoredObject { version: body.version, value: body.value };
        let items =
            listed.items.into_iter().map(|mut body| (std::mem::take(&mut body.key), stored(body)));
        Ok(ObjectListing { revision: listed.revision, items: items.collect() })
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
        let path = format!("/watch?prefix={prefix}&after={after}&wait_ms={}", wait.as_millis());
        let mut call = PlatformCall::new(CallKind::Watch, Method::Get, path);
        call.wait = wait;
        let watched: Option<WatchBody<T>> = self.caller.call(call).await?;
        let watched = watched.ok_or_else(|| StoreError::Malformed(NO_SUCH_CALL.to_owned()))?;
        let change = |body: ObjectBody<Option<T>>| ObjectChange {
            key: body.key,
            version: body.version,
            value: body.value,
        };
        let changes = watched.changes.into_iter().map(change).collect();
        Ok(ObjectChanges { revision: watched.revision, changes })
    }

    /// The highest revision of the store that any answer carried.
    pub fn seen_revision(&self) -> StoreRevision {
        self.caller.seen_revision()
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
fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, StoreError> {
    let body =
        serde_json::to_vec(value).map_err(|error| StoreError::Malformed(error.to_string()))?;
    if body.len() > LARGEST_VALUE {
        return Err(StoreError::TooLarge);
    }
    Ok(body)
}
