//! What all tasks of an entry share.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError, RwLock};

use event_listener::Event;
use sagespool_claims::{CrashBoard, KeyBoard};
use sagespool_ledger::HomeLedger;
use sagespool_link::LinkEndpoint;
use sagespool_membership::MemberTable;
use sagespool_metrics::FleetMetrics;
use sagespool_platform::{InstanceClient, ObjectClient};
use sagespool_routing::{RetryBudget, UpstreamTable};
use sagespool_settings::{EntrySettings, FleetConfiguration, ProcessSettings};
use sagespool_types::{ClockTime, IncarnationId, ServiceName};

use crate::home::{BookWriter, ClaimWriter};

/// The configuration in force; none until the first has come.
#[derive(Default)]
pub struct ConfigHolder {
    current: RwLock<Option<Arc<FleetConfiguration>>>,
}

impl ConfigHolder {
    /// The configuration in force.
    pub fn current(&self) -> Option<Arc<FleetConfiguration>> {
        self.current.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts a configuration in force.
    pub fn replace(&self, config: FleetConfiguration) {
        let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
        *current = Some(Arc::new(config));
    }
}

/// What all tasks of an entry share. Each part has its own locks.
pub struct EntryState {
    /// The process's settings.
    pub process: ProcessSettings,
    /// The entry's own settings.
    pub settings: EntrySettings,
    /// This run of the process.
    pub incarnation: IncarnationId,
    /// When this run started.
    pub started: ClockTime,
    /// The store's client.
    pub objects: ObjectClient,
    /// The instance list's client.
    pub instances: InstanceClient,
    /// The configuration in force.
    pub config: ConfigHolder,
    /// Who is in the fleet.
    pub members: MemberTable,
    /// The upstreams, as this entry sees them.
    pub upstreams: UpstreamTable,
    /// The budgets that this entry is home of.
    pub ledger: HomeLedger,
    /// The keys that this entry is home of.
    pub keys: KeyBoard,
    /// Requests that took upstreams down.
    pub crashes: CrashBoard,
    /// Metrics.
    pub metrics: FleetMetrics,
    /// Told whenever something may let a waiting reservation go on.
    pub budget_changed: Event,
    /// Told whenever a run ends.
    pub run_done: Event,
    pub(crate) books: BookWriter,
    pub(crate) claims: ClaimWriter,
    pub(crate) retries: Mutex<RetryBudget>,
    pub(crate) link: OnceLock<LinkEndpoint>,
    pub(crate) in_flight: AtomicU32,
    pub(crate) leaving: AtomicBool,
}

impl EntryState {
    /// The link to other processes.
    pub fn link(&self) -> &LinkEndpoint {
        self.link.get().expect("the link is started before anything is served")
    }

    /// True from the moment it was told to stop.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    pub(crate) fn run_started(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn run_ended(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.run_done.notify(usize::MAX);
    }

    /// Why callers can't be served now, or nothing.
    pub(crate) fn not_ready_because(&self) -> Option<&'static str> {
        if self.is_leaving() {
            return Some("leaving");
        }
        if self.config.current().is_none() {
            return Some("no configuration yet");
        }
        None
    }

    /// Whether another attempt is within the retry budget, so that failing upstreams aren't met
    /// with a storm of repeated requests.
    pub(crate) fn may_retry(&self, service: &ServiceName) -> bool {
        let mut budget = self.retries.lock().unwrap_or_else(PoisonError::into_inner);
        budget.take(service, ClockTime::now())
    }

    /// Brings gauges up to the present before they are read.
    pub(crate) fn refresh_gauges(&self) {
        self.metrics.set_in_flight(u64::from(self.in_flight()));
        self.metrics.set_members(self.members.members().len() as u64);
        let counters = self.link().counters();
        self.metrics.set_link_bytes(counters.control_bytes(), counters.payload_bytes());
        let calls = self.objects.counters();
        self.metrics.set_store_calls(calls.reads, calls.writes, calls.watches);
    }
}
