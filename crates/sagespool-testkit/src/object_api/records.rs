//! What the store holds, as calls answer it and as tests read it.

use std::sync::Arc;

use sagespool_types::{ByteCount, ClockTime, StoreRevision};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

/// An object as it stands in the store.
#[derive(Debug, Clone, Serialize)]
pub struct HeldObject {
    /// Its key.
    pub key: Arc<str>,
    /// The revision of its last change.
    pub version: StoreRevision,
    /// Its JSON document, as it was put.
    pub value: Arc<RawValue>,
}

impl HeldObject {
    /// The document as a typed value.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_str(self.value.get())
    }
}

/// The newest change of one key.
#[derive(Debug, Clone, Serialize)]
pub(super) struct ObjectChange {
    pub(super) key: Arc<str>,
    pub(super) version: StoreRevision,
    /// None for a deleted object.
    pub(super) value: Option<Arc<RawValue>>,
}

/// A write that took effect, whether or not its answer arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppliedWrite {
    /// The revision that it made.
    pub revision: StoreRevision,
    /// The object that it changed.
    pub key: Arc<str>,
    /// The size of the new document; zero for a deletion.
    pub size: ByteCount,
    /// When it took effect, on this process's clock.
    pub at: ClockTime,
}

/// Calls since the start, by kind and by what became of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StoreCounts {
    /// Reads of one object.
    pub gets: u64,
    /// Reads of a prefix.
    pub lists: u64,
    /// Puts, whatever their answer.
    pub puts: u64,
    /// Deletions, whatever their answer.
    pub deletes: u64,
    /// Watches that were begun.
    pub watches: u64,
    /// Watches that wait at this moment.
    pub waiting_watches: u64,
    /// The most watches that ever waited at once.
    pub most_waiting_watches: u64,
    /// Conditional writes answered 409.
    pub conflicts: u64,
    /// Calls answered 429.
    pub over_rate: u64,
    /// Calls answered 503.
    pub out_of_service: u64,
    /// Calls whose connection was broken before they took effect.
    pub lost_calls: u64,
    /// Writes that took effect without an answer.
    pub lost_answers: u64,
}
