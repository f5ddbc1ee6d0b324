//! How the object API's calls are spelled: paths, bodies and answers.
//!
//! The client decides what to call and what a failure means; a dialect only says how a call and
//! its answer are written, so that one client serves stores that differ in nothing else.

use std::time::Duration;

use sagespool_types::StoreRevision;
use serde::Deserialize;
use serde_json::value::RawValue;
use trillium_client::Method;

/// A call as it is sent.
#[derive(Debug, Clone, PartialEq)]
pub struct RawRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// The body, JSON.
    pub body: Option<Vec<u8>>,
}

impl RawRequest {
    /// A call without a body.
    pub fn without_body(method: Method, path: String) -> Self {
        Self { method, path, body: None }
    }
}

/// One object of an answer. Its value is nothing if it was deleted.
#[derive(Debug, Clone)]
pub struct RawObject {
    /// Its key.
    pub key: String,
    /// The revision of its last change.
    pub version: StoreRevision,
    /// Its value, not decoded yet.
    pub value: Option<Box<RawValue>>,
}

/// Objects of an answer, at one revision of the store.
#[derive(Debug, Clone)]
pub struct ObjectPage {
    /// The store's revision; watch from here.
    pub revision: StoreRevision,
    /// The objects, or the changed ones.
    pub items: Vec<RawObject>,
    /// The key after which the listing goes on, if it isn't complete.
    pub more_after: Option<String>,
}

/// What a dialect can't read, in words.
pub type DialectError = String;

/// The spelling of each call and answer. Keys are `KIND/NAME`, prefixes end with a slash.
#[derive(Clone, Copy)]
pub struct StoreDialect {
    /// Reads an object.
    pub get: fn(key: &str) -> RawRequest,
    /// Lists the objects under a prefix, from the start or after a key.
    pub list: fn(prefix: &str, after: Option<&str>) -> RawRequest,
    /// Waits for changes under a prefix after a revision.
    pub watch: fn(prefix: &str, after: StoreRevision, wait: Duration) -> RawRequest,
    /// Writes an object that is at a version; 0 = it must not exist.
    pub put: fn(key: &str, expected: StoreRevision, value: &RawValue) -> RawRequest,
    /// Deletes an object that is at a version.
    pub delete: fn(key: &str, expected: StoreRevision) -> RawRequest,
    /// Reads the answer to a get.
    pub read_object: fn(key: &str, body: &[u8]) -> Result<RawObject, DialectError>,
    /// Reads the answer to a list.
    pub read_page: fn(prefix: &str, body: &[u8]) -> Result<ObjectPage, DialectError>,
    /// Reads the answer to a watch.
    pub read_changes: fn(prefix: &str, body: &[u8]) -> Result<ObjectPage, DialectError>,
    /// Reads the version that a write has made, or that a refused write has found.
    pub read_version: fn(body: &[u8]) -> Result<StoreRevision, DialectError>,
    /// Checks the answer to a delete.
    pub read_deleted: fn(body: &[u8]) -> Result<(), DialectError>,
}

impl std::fmt::Debug for StoreDialect {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("StoreDialect").finish_non_exhaustive()
    }
}

impl Default for StoreDialect {
    fn default() -> Self {
        Self::native()
    }
}

#[derive(Deserialize)]
struct NativeObject {
    key: String,
    version: StoreRevision,
    value: Option<Box<RawValue>>,
}

#[derive(Deserialize)]
struct NativeVersion {
    version: StoreRevision,
}

#[derive(Deserialize)]
struct NativeList {
    revision: StoreRevision,
    items: Vec<NativeObject>,
}

#[derive(Deserialize)]
struct NativeChanges {
    revision: StoreRevision,
    changes: Vec<NativeObject>,
}

impl From<NativeObject> for RawObject {
    fn from(object: NativeObject) -> Self {
        Self { key: object.key, version: object.version, value: object.value }
    }
}

impl StoreDialect {
    /// The object API as `docs/PLATFORM.md` describes it.
    pub fn native() -> Self {
        Self {
            get: |key| RawRequest::without_body(Method::Get, format!("/objects/{key}")),
            list: |prefix, _| {
                RawRequest::without_body(Method::Get, format!("/objects?prefix={prefix}"))
            },
            watch: native_watch,
            put: native_put,
            delete: |key, expected| {
                let path = format!("/objects/{key}?if_version={expected}");
                RawRequest::without_body(Method::Delete, path)
            },
            read_object: |_, body| parse::<NativeObject>(body).map(RawObject::from),
            read_page: |_, body| {
                let list: NativeList = parse(body)?;
                Ok(native_page(list.revision, list.items))
            },
            read_changes: |_, body| {
                let changes: NativeChanges = parse(body)?;
                Ok(native_page(changes.revision, changes.changes))
            },
            read_version: |body| parse::<NativeVersion>(body).map(|body| body.version),
            read_deleted: |body| parse::<NativeVersion>(body).map(|_| ()),
        }
    }
}

fn native_watch(prefix: &str, after: StoreRevision, wait: Duration) -> RawRequest {
    let wait = wait.as_millis();
    let path = format!("/watch?prefix={prefix}&after={after}&wait_ms={wait}");
    RawRequest::without_body(Method::Get, path)
}

fn native_put(key: &str, expected: StoreRevision, value: &RawValue) -> RawRequest {
    let path = format!("/objects/{key}?if_version={expected}");
    RawRequest { method: Method::Put, path, body: Some(value.get().as_bytes().to_vec()) }
}

fn native_page(revision: StoreRevision, objects: Vec<NativeObject>) -> ObjectPage {
    let items = objects.into_iter().map(RawObject::from).collect();
    ObjectPage { revision, items, more_after: None }
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, DialectError> {
    serde_json::from_slice(body).map_err(|error| error.to_string())
}
