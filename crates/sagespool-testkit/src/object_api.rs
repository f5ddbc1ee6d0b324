//! Stand-in of the platform's object API, with faults, counters and a log of writes.
//!
//! The calls are those of `docs/PLATFORM.md`. The store lives in the memory of
//! the process that starts it; everything else reaches it by HTTP.
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

use crate::loopback_server::{StandServer, StartError};
use shared::SharedStore;

pub use calls::{LARGEST_VALUE, LONGEST_KEY};
pub use faults::StoreFaults;
pub use records::{AppliedWrite, HeldObject, StoreCounts};

const USUAL_HISTORY: usize = 10_000;

/// How the store is set up.
#[derive(Debug, Clone, Builder)]
pub struct ObjectStoreOptions {
    /// So many changes are kept for watches; a watch from before them is answered 410.
    #[builder(default = USUAL_HISTORY)]
    pub history_limit: usize,
    /// The faults in force from the start.
    #[builder(default)]
    pub faults: StoreFaults,
}

/// A running object API. Dropping it ends it at once.
pub struct FakeObjectStore {
    store: Arc<SharedStore>,
    server: StandServer,
}

impl FakeObjectStore {
    /// Starts with no objects on a loopback port that the system chooses.
    pub fn start(options: ObjectStoreOptions) -> Result<Self, Report<StartError>> {
        let now = ClockTime::now();
        let store = Arc::new(SharedStore::new(options.history_limit, options.faults, now));
        let server = StandServer::start("the object API", calls::router(&store))?;
        Ok(Self { store, server })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The faults in force.
    pub fn faults(&self) -> StoreFaults {
        self.store.faults()
    }

    /// Puts these faults in force in place of the present ones.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.store.set_faults(faults, ClockTime::now());
    }

    /// The revision now.
    pub fn revision(&self) -> StoreRevision {
        self.store.revision()
    }

    /// One object, past all faults.
    pub fn object(&self, key: &str) -> Option<HeldObject> {
        self.store.state().get(key)
    }

    /// All objects, sorted by key, past all faults.
    pub fn objects(&self) -> Vec<HeldObject> {
        self.store.state().list("")
    }

    /// Calls since the start.
    pub fn counts(&self) -> StoreCounts {
        self.store.counts()
    }

    /// Every write that took effect, in order of its revision.
    pub fn writes(&self) -> Vec<AppliedWrite> {
        self.store.state().writes().to_vec()
    }

    /// Ends waiting watches with 503, takes no new call, and returns when the open ones have ended.
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
