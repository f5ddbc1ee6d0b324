//! A fake of the platform's object API, with fault injection, call counters and a log of writes.
//!
//! It implements the calls of `docs/PLATFORM.md`. The objects are kept in the memory of the
//! process that starts it; all other processes use it over HTTP.
//!
//! ```
//! use sagespool_testkit::{FakeObjectStore, ObjectStoreOptions, StoreFaults};
//!
//! let store = FakeObjectStore::start(ObjectStoreOptions::builder().build())?;
//! store.set_faults(StoreFaults::builder().outage(true).build());
//! assert!(store.address().ip().is_loopback());
//! assert!(store.objects().is_empty());
//! # Ok::<(), error_stack::Report<sagespool_testkit::StartError>>(())
//! ```

mod calls;
mod faults;
mod gate;
mod records;
mod shared;
mod state;

use std::net::SocketAddr;
use std::sync::Arc;

use bon::Builder;
use error_stack::Report;
use sagespool_types::{ClockTime, StoreRevision};

use crate::loopback_server::{LoopbackServer, StartError};
use shared::SharedStore;

pub use calls::{MAX_KEY_BYTES, MAX_VALUE_BYTES};
pub use faults::StoreFaults;
pub use records::{AppliedWrite, StoreCounts, StoredObject};

const DEFAULT_HISTORY_LIMIT: usize = 10_000;

/// Options of a fake object store.
#[derive(Debug, Clone, Builder)]
pub struct ObjectStoreOptions {
    /// Number of changes kept for watches; a watch from an earlier revision is answered 410.
    #[builder(default = DEFAULT_HISTORY_LIMIT)]
    pub history_limit: usize,
    /// Faults injected from the start.
    #[builder(default)]
    pub faults: StoreFaults,
}

/// A fake object store. Dropping it stops it at once.
pub struct FakeObjectStore {
    store: Arc<SharedStore>,
    server: LoopbackServer,
}

impl FakeObjectStore {
    /// Starts an empty store on a loopback port assigned by the operating system.
    pub fn start(options: ObjectStoreOptions) -> Result<Self, Report<StartError>> {
        let now = ClockTime::now();
        let store = Arc::new(SharedStore::new(options.history_limit, options.faults, now));
        let server = LoopbackServer::start("the object API", calls::router(&store))?;
        Ok(Self { store, server })
    }

    /// The address of its HTTP API.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The faults that are injected now.
    pub fn faults(&self) -> StoreFaults {
        self.store.faults()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.store.set_faults(faults, ClockTime::now());
    }

    /// The current revision.
    pub fn revision(&self) -> StoreRevision {
        self.store.revision()
    }

    /// Reads an object, unaffected by faults.
    pub fn object(&self, key: &str) -> Option<StoredObject> {
        self.store.state().get(key)
    }

    /// Reads all objects, sorted by key, unaffected by faults.
    pub fn objects(&self) -> Vec<StoredObject> {
        self.store.state().list("")
    }

    /// Numbers of calls since the start.
    pub fn counts(&self) -> StoreCounts {
        self.store.counts()
    }

    /// All writes that took effect, in order of their revisions.
    pub fn writes(&self) -> Vec<AppliedWrite> {
        self.store.state().writes().to_vec()
    }

    /// Ends waiting watches with 503, accepts no new calls, and returns when the open ones have
    /// finished.
    pub async fn stop(self) {
        self.store.stop();
        self.server.stop().await;
    }
}

impl Drop for FakeObjectStore {
    fn drop(&mut self) {
        self.store.stop();
    }
}
