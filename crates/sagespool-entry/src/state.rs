//! The state that all tasks of an entry share.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock};
use std::time::Duration;

use async_channel::Sender;
use event_listener::Event;
use sagespool_claims::{CrashTracker, KeyRegistry};
use sagespool_configuration::ConfigFollower;
use sagespool_ledger::{BudgetMode, HomeLedger, LedgerPolicy};
use sagespool_link::LinkEndpoint;
use sagespool_membership::{MemberTable, MembershipPolicy, initial_heartbeat_number};
use sagespool_messages::{ConfigScope, MemberInfo, MemberRole};
use sagespool_metrics::FleetMetrics;
use sagespool_platform::{InstanceClient, ObjectClient, ObjectOptions};
use sagespool_routing::{
    AdmissionQueue, PolicyKind, QueuePolicy, RequestLimits, RetryBudget, RetryPolicy,
    RoutingPolicy, UpstreamTable,
};
use sagespool_settings::{
    BudgetStrategy, EntrySettings, FleetConfiguration, ProcessSettings, RoutingStrategy,
};
use sagespool_types::{
    ClockTime, ConfigVersion, IncarnationId, InstanceCapacity, RequestId, ServiceName, WallTime,
};

use crate::heartbeats::UpstreamAvailability;
use crate::home::{BookWriter, BudgetAcquisitions, ClaimWriter, SealTargetRegistry};
use crate::operator::CommandRegistry;
use crate::run::QueueDecision;

/// The configuration in force; None until the first one has arrived.
#[derive(Default)]
pub struct ConfigHolder {
    current: RwLock<Option<Arc<FleetConfiguration>>>,
}

impl ConfigHolder {
    /// The configuration in force.
    pub fn current(&self) -> Option<Arc<FleetConfiguration>> {
        self.current.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the configuration in force.
    pub fn replace(&self, config: FleetConfiguration) {
        let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
        *current = Some(Arc::new(config));
    }
}

/// How long claims are kept until a configuration sets the time.
const DEFAULT_KEY_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

fn own_member_info(process: &ProcessSettings, incarnation: IncarnationId) -> MemberInfo {
    MemberInfo {
        instance: process.instance.clone(),
        incarnation,
        number: initial_heartbeat_number(WallTime::now()),
        role: MemberRole::Entry,
        region: process.region.clone(),
        centre: process.centre.clone(),
        address: process.link.advertise.unwrap_or(process.link.listen),
        leaving: false,
        config: ConfigVersion::ZERO,
        started_at: None,
        serves: None,
        capacity: InstanceCapacity::default(),
    }
}

fn routing_policy(settings: &EntrySettings, incarnation: IncarnationId) -> RoutingPolicy {
    let kind = match settings.policy.routing {
        RoutingStrategy::Sagespool => PolicyKind::Sagespool,
        RoutingStrategy::RoundRobin => PolicyKind::RoundRobin,
        RoutingStrategy::LeastReportedLoad => PolicyKind::LeastReportedLoad,
        RoutingStrategy::TwoChoices => PolicyKind::TwoChoices,
    };
    RoutingPolicy::builder().kind(kind).seed(incarnation.0).build()
}

fn queue_policy(settings: &EntrySettings) -> QueuePolicy {
    QueuePolicy::builder().most_waiting(settings.queue.most_waiting).build()
}

fn ledger_policy(settings: &EntrySettings) -> LedgerPolicy {
    let mode = match settings.policy.budget {
        BudgetStrategy::Escrow => BudgetMode::Escrow,
        BudgetStrategy::StoreEachRequest => BudgetMode::EachRequest,
        BudgetStrategy::StaticSplit { entries } => BudgetMode::StaticSplit { entries },
    };
    LedgerPolicy::builder()
        .mode(mode)
        .settle_interval(settings.ledger.settle_interval)
        .grant_ahead(settings.ledger.grant_ahead)
        .build()
}

/// The state that all tasks of an entry share. Each part has its own locks.
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
    /// Replicates the configuration from and to other members.
    pub(crate) follower: ConfigFollower,
    /// The members of the fleet.
    pub members: MemberTable,
    /// The upstreams and their load as reported to this entry.
    pub upstreams: UpstreamTable,
    /// The budgets that this entry is home of.
    pub ledger: HomeLedger,
    /// The idempotency keys that this entry is home of.
    pub keys: KeyRegistry,
    /// Contents of requests that crashed upstreams.
    pub crashes: CrashTracker,
    /// The metrics served at `/metrics`.
    pub metrics: FleetMetrics,
    /// Notified when a waiting reservation may succeed.
    pub budget_changed: Event,
    /// Notified when a request ends.
    pub request_done: Event,
    pub(crate) books: BookWriter,
    pub(crate) claims: ClaimWriter,
    pub(crate) acquisitions: BudgetAcquisitions,
    pub(crate) seal_targets: SealTargetRegistry,
    /// When the store's current outage began; None while it is reachable.
    store_failing_since: Mutex<Option<ClockTime>>,
    pub(crate) commands: CommandRegistry,
    pub(crate) retries: RetryBudget,
    pub(crate) limits: RequestLimits,
    pub(crate) queue: AdmissionQueue,
    waiters: Mutex<HashMap<RequestId, Sender<QueueDecision>>>,
    /// Sidecars in the routing table, with their last logged availability.
    pub(crate) known_sidecars: Mutex<HashMap<IncarnationId, UpstreamAvailability>>,
    pub(crate) link: OnceLock<LinkEndpoint>,
    pub(crate) in_flight: AtomicU32,
    abandoned: Mutex<HashMap<RequestId, ClockTime>>,
    pub(crate) leaving: AtomicBool,
    pub(crate) leave_event: Event,
}

impl EntryState {
    /// The state of an entry that has just started and has not contacted any member.
    pub(crate) fn new(process: ProcessSettings, settings: EntrySettings) -> Self {
        let incarnation = IncarnationId::random();
        let platform = &process.platform;
        let token = platform.token.as_ref().map(|token| token.reveal().to_owned());
        let objects = ObjectClient::new(
            ObjectOptions::builder()
                .address(platform.object_api)
                .maybe_token(token.clone())
                .build(),
        );
        let instances = InstanceClient::new(platform.instance_list, token);
        let own = own_member_info(&process, incarnation);
        let members = MemberTable::new(own, MembershipPolicy::default(), incarnation.0);
        members.add_seeds(&process.peers, ClockTime::now());
        Self {
            upstreams: UpstreamTable::new(
                routing_policy(&settings, incarnation),
                process.centre.clone(),
            ),
            ledger: HomeLedger::new(incarnation, ledger_policy(&settings)),
            keys: KeyRegistry::new(ClockTime::now()),
            crashes: CrashTracker::new(),
            metrics: FleetMetrics::new(),
            budget_changed: Event::new(),
            request_done: Event::new(),
            books: BookWriter::default(),
            claims: ClaimWriter::default(),
            acquisitions: BudgetAcquisitions::default(),
            seal_targets: SealTargetRegistry::default(),
            store_failing_since: Mutex::default(),
            commands: CommandRegistry::default(),
            retries: RetryBudget::new(RetryPolicy::default()),
            limits: RequestLimits::new(),
            queue: AdmissionQueue::new(queue_policy(&settings)),
            waiters: Mutex::default(),
            known_sidecars: Mutex::default(),
            link: OnceLock::new(),
            in_flight: AtomicU32::new(0),
            abandoned: Mutex::default(),
            leaving: AtomicBool::new(false),
            leave_event: Event::new(),
            config: ConfigHolder::default(),
            follower: ConfigFollower::new(ConfigScope::All, incarnation, ClockTime::now()),
            started: ClockTime::now(),
            incarnation,
            objects,
            instances,
            members,
            process,
            settings,
        }
    }

    /// Stores the link once it listens, and publishes its address to the members.
    pub(crate) fn set_link(&self, link: LinkEndpoint) {
        let address = self.process.link.advertise.unwrap_or(link.local_address());
        self.members.update_own(|own| own.address = address);
        let result = self.link.set(link);
        assert!(result.is_ok(), "the link is set only once");
    }

    /// How long a claim is kept.
    pub(crate) fn key_retention(&self) -> Duration {
        let config = self.config.current();
        config.map_or(DEFAULT_KEY_RETENTION, |config| {
            Duration::from_millis(config.fleet().key_retention_ms)
        })
    }

    /// The link to other processes.
    pub fn link(&self) -> &LinkEndpoint {
        self.link.get().expect("the link is started before anything is served")
    }

    /// The requests that wait in a queue, with the channel for their decision.
    pub(crate) fn waiters(&self) -> MutexGuard<'_, HashMap<RequestId, Sender<QueueDecision>>> {
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Requests whose entries went to another home, and when the notice arrived.
    pub(crate) fn abandoned(&self) -> MutexGuard<'_, HashMap<RequestId, ClockTime>> {
        self.abandoned.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records whether a call to the store succeeded.
    pub(crate) fn note_store_result(&self, reached: bool, now: ClockTime) {
        let mut failing_since =
            self.store_failing_since.lock().unwrap_or_else(PoisonError::into_inner);
        *failing_since = if reached { None } else { Some(failing_since.unwrap_or(now)) };
    }

    /// How long the store has been unreachable; zero while it is reachable.
    pub(crate) fn store_outage(&self, now: ClockTime) -> Duration {
        let failing_since =
            *self.store_failing_since.lock().unwrap_or_else(PoisonError::into_inner);
        failing_since.map_or(Duration::ZERO, |since| now.since(since).max(Duration::from_millis(1)))
    }

    /// Marks this entry as leaving and publishes that to the members.
    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.members.update_own(|own| own.leaving = true);
        self.leave_event.notify(usize::MAX);
    }

    /// True once this entry is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    pub(crate) fn request_started(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn request_ended(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.request_done.notify(usize::MAX);
    }

    /// Why callers can't be served now; None if they can.
    pub(crate) fn not_ready_reason(&self) -> Option<&'static str> {
        if self.is_leaving() {
            return Some("leaving");
        }
        if self.members.is_listed_leaving() {
            return Some("the instance list shows this instance as leaving");
        }
        if self.config.current().is_none() {
            return Some("no configuration yet");
        }
        // Without a view of the members this entry would be the home of every branch.
        if !self.members.is_settled() {
            return Some("the view of the fleet's members is not complete yet");
        }
        None
    }

    /// Whether a retry is within the retry budget, which protects failing upstreams from a retry
    /// storm.
    pub(crate) fn may_retry(&self, service: &ServiceName) -> bool {
        self.retries.try_retry(service, ClockTime::now())
    }

    /// Updates the gauges before the metrics are read.
    pub(crate) fn refresh_gauges(&self) {
        self.metrics.set_in_flight(u64::from(self.in_flight()));
        self.metrics.set_members(self.members.members().len() as u64);
        let counters = self.link().counters();
        let control = counters.control_sent + counters.control_received;
        let payload = counters.payload_sent + counters.payload_received;
        self.metrics.set_link_bytes(control.0, payload.0);
        let calls = self.objects.counters();
        self.metrics.set_store_calls(calls.reads, calls.writes, calls.watches);
    }
}
