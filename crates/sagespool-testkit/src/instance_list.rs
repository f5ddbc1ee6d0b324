//! Stand-in of the platform's instance list, which lags behind the truth.
//!
//! Tests say what is true; callers of `GET /instances` see it only after the lag.
//!
//! ```
//! use std::time::Duration;
//! use sagespool_testkit::{InstanceListOptions, FakeInstanceList};
//!
//! let options = InstanceListOptions::builder().lag(Duration::from_secs(2)).build();
//! let list = FakeInstanceList::start(options)?;
//! assert!(list.listed().is_empty());
//! # Ok::<(), error_stack::Report<sagespool_testkit::StartError>>(())
//! ```

mod calls;
mod state;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bon::Builder;
use error_stack::Report;
use event_listener::Event;
use sagespool_types::{ClockTime, InstanceName};

use crate::loopback_server::{StandServer, StartError};
use state::{ListChange, ListState};

pub use state::{InstanceEntry, InstanceState};

/// How the list is set up.
#[derive(Debug, Clone, Builder)]
pub struct InstanceListOptions {
    /// A change shows in the list after this time.
    #[builder(default)]
    pub lag: Duration,
}

/// A running instance list. Dropping it ends it at once.
pub struct FakeInstanceList {
    list: Arc<SharedList>,
    server: StandServer,
}

/// The list as all its calls share it.
struct SharedList {
    state: Mutex<ListState>,
    /// Notified when a change is entered, when the lag changes, and at the stop.
    changed: Event,
}

impl SharedList {
    fn state(&self) -> MutexGuard<'_, ListState> {
        self.state.lock().expect("no holder of the list's lock panics")
    }
}

impl FakeInstanceList {
    /// Starts with an empty list on a loopback port that the system chooses.
    pub fn start(options: InstanceListOptions) -> Result<Self, Report<StartError>> {
        let state = Mutex::new(ListState::new(options.lag));
        let list = Arc::new(SharedList { state, changed: Event::new() });
        let server = StandServer::start("the instance list", calls::router(&list))?;
        Ok(Self { list, server })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Adds an instance, or replaces the one of its name.
    pub fn set(&self, entry: InstanceEntry) {
        self.enter(ListChange::Set(entry));
    }

    /// Takes an instance off the list.
    pub fn remove(&self, instance: &InstanceName) {
        self.enter(ListChange::Remove(instance.clone()));
    }

    /// Marks an instance as leaving.
    pub fn mark_leaving(&self, instance: &InstanceName) {
        self.enter(ListChange::MarkLeaving(instance.clone()));
    }

    /// Changes the lag of later changes; they still show in the order in which they were made.
    pub fn set_lag(&self, lag: Duration) {
        self.list.state().set_lag(lag);
    }

    /// What callers see now, sorted by name.
    pub fn listed(&self) -> Vec<InstanceEntry> {
        let mut state = self.list.state();
        state.advance(ClockTime::now());
        state.listed()
    }

    /// How many calls wait for a change at this moment.
    pub fn waiting_calls(&self) -> usize {
        self.list.changed.total_listeners()
    }

    /// Answers waiting calls, takes no new one, and returns when the open ones have ended.
    pub async fn stop(self) {
        self.end_waiting();
        self.server.stop().await;
    }

    fn enter(&self, change: ListChange) {
        self.list.state().enter(change, ClockTime::now());
        self.list.changed.notify(usize::MAX);
    }

    fn end_waiting(&self) {
        self.list.state().stop();
        self.list.changed.notify(usize::MAX);
    }
}

impl Drop for FakeInstanceList {
    fn drop(&mut self) {
        self.end_waiting();
    }
}
