//! Wire formats of the object API: paths, bodies and responses.
//!
//! The client decides what to call and what a failure means. A dialect only encodes requests and
//! decodes responses, so that one client serves stores that differ in nothing else.

use std::time::Duration;

use sagespool_types::StoreRevision;
use serde::Deserialize;
use serde_json::value::RawValue;
use trillium_client::Method;

/// A request of the object API.
#[derive(Debug, Clone, PartialEq)]
pub struct RawRequest {
    /// The HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// The JSON body, if the method has one.
    pub body: Option<Vec<u8>>,
}

impl RawRequest {
    /// Creates a request without a body.
    pub fn without_body(method: Method, path: String) -> Self {
        Self { method, path, body: None }
    }
}

/// An object in a response, its value not decoded.
#[derive(Debug, Clone)]
pub struct RawObject {
    /// The key, `KIND/NAME`.
    pub key: String,
    /// The revision of its last change.
    pub version: StoreRevision,
    /// The value; `None` if the object was deleted.
    pub value: Option<Box<RawValue>>,
}

/// The objects in a response, at one revision of the store.
#[derive(Debug, Clone)]
pub struct ObjectPage {
    /// The store's revision, from which to watch.
    pub revision: StoreRevision,
    /// The objects of a listing, or the changed objects of a watch.
    pub items: Vec<RawObject>,
    /// What follows the page.
    pub rest: PageRest,
}

/// What follows a page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PageRest {
    /// Nothing: it is the last page.
    None,
    /// A page that starts after this key.
    After(String),
    /// A page that can't be requested, since no object of this one has a readable name.
    Unreachable,
}

/// Why a response can't be decoded, as a message.
pub type DialectError = String;

/// Encodes the requests and decodes the responses of a store. Keys are `KIND/NAME`, prefixes end
/// with a slash.
#[derive(Clone, Copy)]
pub struct StoreDialect {
    /// Request for an object.
    pub get: fn(key: &str) -> RawRequest,
    /// Request for a page of the objects under a prefix, from the start or after a key.
    pub list: fn(prefix: &str, after: Option<&str>) -> RawRequest,
    /// Request that waits for changes under a prefix after a revision.
    pub watch: fn(prefix: &str, after: StoreRevision, wait: Duration) -> RawRequest,
    /// Changes a request to get or list so that the store may respond with an older state. Unchanged
    /// if the store has no such reads.
    pub allow_stale: fn(RawRequest) -> RawRequest,
    /// Request to write an object that is at the expected version; 0 if it must not exist.
    pub put: fn(key: &str, expected: StoreRevision, value: &RawValue) -> RawRequest,
    /// Request to delete an object that is at the expected version.
    pub delete: fn(key: &str, expected: StoreRevision) -> RawRequest,
    /// Decodes the response to a get.
    pub read_object: fn(key: &str, body: &[u8]) -> Result<RawObject, DialectError>,
    /// Decodes the response to a list.
    pub read_page: fn(prefix: &str, body: &[u8]) -> Result<ObjectPage, DialectError>,
    /// Decodes the response to a watch.
    pub read_changes: fn(prefix: &str, body: &[u8]) -> Result<ObjectPage, DialectError>,
    /// Decodes the new version from the response to a write, or the present one from a conflict.
    pub read_version: fn(body: &[u8]) -> Result<StoreRevision, DialectError>,
    /// Checks the response to a delete.
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
    /// The dialect of `docs/PLATFORM.md`.
    pub fn native() -> Self {
        Self {
            get: |key| RawRequest::without_body(Method::Get, format!("/objects/{key}")),
            list: |prefix, _| {
                RawRequest::without_body(Method::Get, format!("/objects?prefix={prefix}"))
            },
            watch: native_watch,
            allow_stale: |request| request,
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
    ObjectPage { revision, items, rest: PageRest::None }
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, DialectError> {
    serde_json::from_slice(body).map_err(|error| error.to_string())
}
