//! Objects, writes and counters of the store.

use std::sync::Arc;

use sagespool_types::{ByteCount, ClockTime, StoreRevision};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

/// A stored object.
#[derive(Debug, Clone, Serialize)]
pub struct StoredObject {
    /// Its key.
    pub key: Arc<str>,
    /// Revision of the last change.
    pub version: StoreRevision,
    /// The JSON document, byte for byte as it was put.
    pub value: Arc<RawValue>,
}

impl StoredObject {
    /// Deserializes the document.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_str(self.value.get())
    }
}

/// The newest change of a key.
#[derive(Debug, Clone, Serialize)]
pub(super) struct ObjectChange {
    pub(super) key: Arc<str>,
    pub(super) version: StoreRevision,
    /// None if the object was deleted.
    pub(super) value: Option<Arc<RawValue>>,
}

/// A write that took effect, whether or not it was acknowledged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppliedWrite {
    /// Revision that the write created.
    pub revision: StoreRevision,
    /// Key of the written object.
    pub key: Arc<str>,
    /// Size of the new document; zero for a deletion.
    pub size: ByteCount,
    /// When it took effect, by the clock of the fake's process.
    pub at: ClockTime,
}

/// Numbers of calls since the start, by type and outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StoreCounts {
    /// Reads of one object.
    pub gets: u64,
    /// Reads of a prefix.
    pub lists: u64,
    /// Puts, with any outcome.
    pub puts: u64,
    /// Deletions, with any outcome.
    pub deletes: u64,
    /// Watches started.
    pub watches: u64,
    /// Watches that wait now.
    pub waiting_watches: u64,
    /// Highest number of watches that waited at the same time.
    pub most_waiting_watches: u64,
    /// Conditional writes answered 409.
    pub conflicts: u64,
    /// Calls answered 429.
    pub over_rate: u64,
    /// Calls answered 503.
    pub out_of_service: u64,
    /// Calls whose connection was broken before they took effect.
    pub lost_calls: u64,
    /// Writes that took effect but were not answered.
    pub lost_answers: u64,
}
