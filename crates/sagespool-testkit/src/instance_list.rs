//! A fake of the platform's instance list, which shows changes after a lag.
//!
//! Tests set the instances; `GET /instances` returns the changes only after the lag.
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

use crate::loopback_server::{LoopbackServer, StartError};
use state::{ListChange, ListState};

pub use state::{InstanceEntry, InstanceState};

/// Options of a fake instance list.
#[derive(Debug, Clone, Builder)]
pub struct InstanceListOptions {
    /// Time until a change becomes visible.
    #[builder(default)]
    pub lag: Duration,
}

/// A fake instance list. Dropping it stops it at once.
pub struct FakeInstanceList {
    list: Arc<SharedList>,
    server: LoopbackServer,
}

/// The list's state, shared by all calls.
struct SharedList {
    state: Mutex<ListState>,
    /// Notified on each added change and when the list stops.
    changed: Event,
}

impl SharedList {
    fn state(&self) -> MutexGuard<'_, ListState> {
        self.state.lock().expect("no holder of the list's lock panics")
    }
}

impl FakeInstanceList {
    /// Starts an empty list on a loopback port assigned by the operating system.
    pub fn start(options: InstanceListOptions) -> Result<Self, Report<StartError>> {
        let state = Mutex::new(ListState::new(options.lag));
        let list = Arc::new(SharedList { state, changed: Event::new() });
        let server = LoopbackServer::start("the instance list", calls::router(&list))?;
        Ok(Self { list, server })
    }

    /// The address of its HTTP API.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Adds an instance, or replaces the one with the same name.
    pub fn set(&self, entry: InstanceEntry) {
        self.add_change(ListChange::Set(entry));
    }

    /// Removes an instance.
    pub fn remove(&self, instance: &InstanceName) {
        self.add_change(ListChange::Remove(instance.clone()));
    }

    /// Marks an instance as leaving.
    pub fn mark_leaving(&self, instance: &InstanceName) {
        self.add_change(ListChange::MarkLeaving(instance.clone()));
    }

    /// Sets the lag of later changes; changes still become visible in the order in which they were
    /// made.
    pub fn set_lag(&self, lag: Duration) {
        self.list.state().set_lag(lag);
    }

    /// The instances visible to callers now, sorted by name.
    pub fn listed(&self) -> Vec<InstanceEntry> {
        let mut state = self.list.state();
        state.advance(ClockTime::now());
        state.listed()
    }

    /// Number of calls that wait for a change now.
    pub fn waiting_calls(&self) -> usize {
        self.list.changed.total_listeners()
    }

    /// Answers waiting calls, accepts no new ones, and returns when the open ones have finished.
    pub async fn stop(self) {
        self.end_waiting();
        self.server.stop().await;
    }

    fn add_change(&self, change: ListChange) {
        self.list.state().add_change(change, ClockTime::now());
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
