//! Client of the object API.

use std::net::SocketAddr;
use std::time::Duration;

use bon::Builder;
use sagespool_types::StoreRevision;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{StoreCounters, StoreError};

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
#[derive(Debug, Clone)]
pub struct ObjectClient {}

impl ObjectClient {
    /// A client; connects when it is first used.
    pub fn new(options: ObjectOptions) -> Self {
        let _ = options;
        Self {}
    }

    /// Reads an object; nothing if it doesn't exist.
    pub async fn get<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<StoredObject<T>>, StoreError> {
        let _ = key;
        Err(StoreError::Unavailable)
    }

    /// Writes an object if it is at the expected version; 0 = it must not exist.
    pub async fn put<T: Serialize>(
        &self,
        key: &str,
        expected: StoreRevision,
        value: &T,
    ) -> Result<StoreRevision, StoreError> {
        let _ = (key, expected, value);
        Err(StoreError::Unavailable)
    }

    /// Deletes an object if it is at the expected version.
    pub async fn delete(&self, key: &str, expected: StoreRevision) -> Result<(), StoreError> {
        let _ = (key, expected);
        Err(StoreError::Unavailable)
    }

    /// Reads all objects under a prefix.
    pub async fn list<T: DeserializeOwned>(
        &self,
        prefix: &str,
    ) -> Result<ObjectListing<T>, StoreError> {
        let _ = prefix;
        Err(StoreError::Unavailable)
    }

    /// Waits for changes under a prefix after a revision.
    pub async fn watch<T: DeserializeOwned>(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<ObjectChanges<T>, StoreError> {
        let _ = (prefix, after, wait);
        Err(StoreError::Unavailable)
    }

    /// The highest revision of the store that any answer carried.
    pub fn seen_revision(&self) -> StoreRevision {
        StoreRevision::ZERO
    }

    /// Calls so far.
    pub fn counters(&self) -> StoreCounters {
        StoreCounters::default()
    }
}
