//! State shared by all tasks of a gateway.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard};
use std::time::Duration;

use sagespool_forward::{
    ConnectBudget, LoadBalancer, PlacementPolicy, PlanIndex, RateLimitChange, RetryBudget,
    RetryPolicy, SenderSelector, StreamLimits, StreamOrigins, UpstreamRecord, UpstreamRegistry,
    UpstreamThrottle, VersionHistory, WarmupPolicy, WarmupProfile,
};
use sagespool_ledger::GrantPolicy;
use sagespool_log::log_event;
use sagespool_messages::{FeedKind, MemberRole};
use sagespool_platform::ObjectClient;
use sagespool_rotation::CoverPeer;
use sagespool_settings::{GatewaySettings, GrantSettings};
use sagespool_types::{
    CentreName, ClockTime, ConfigVersion, IncarnationId, RegionName, SendRate, ServiceName,
    UpstreamName,
};

use crate::admission::ResourceLimiter;
use crate::budget::BudgetPool;
use crate::crashes::CrashReports;
use crate::dialect::WireDialect;
use crate::feeds::FeedRegistry;
use crate::fleet::{FleetClient, LocalMember};
use crate::metrics::GatewayMetrics;
use crate::pool::UpstreamPool;
use crate::resumption::NewVersions;
use crate::rotation::CallerRotation;
use crate::signal::OnceSignal;

/// Minimum interval between log lines about malformed response headers: a faulty upstream sends
/// one with every response.
const MALFORMED_LOG_PERIOD: Duration = Duration::from_secs(1);

pub(crate) struct GatewayState {
    pub(crate) settings: GatewaySettings,
    pub(crate) dialect: WireDialect,
    pub(crate) store: ObjectClient,
    pub(crate) pool: UpstreamPool,
    pub(crate) budgets: Arc<BudgetPool>,
    pub(crate) crashes: CrashReports,
    pub(crate) metrics: GatewayMetrics,
    /// Set when a graceful stop begins.
    pub(crate) stopping: AtomicBool,
    /// Deadline of all requests in microseconds of `ClockTime`; valid once `closing` is set.
    closing_by: AtomicU64,
    /// Set when callers' connections are to close after their current request.
    pub(crate) closing: OnceSignal,
    /// Set when the time limit of a graceful stop has passed: requests in flight are aborted.
    pub(crate) abort: OnceSignal,
    /// Number of requests in flight.
    pub(crate) requests: AtomicUsize,
    pub(crate) limiter: Arc<ResourceLimiter>,
    pub(crate) rotation: CallerRotation,
    pub(crate) feeds: FeedRegistry,
    pub(crate) fleet: Arc<FleetClient>,
    plan: RwLock<Option<LoadedPlan>>,
    /// The newest version of the configuration that is to be fetched from a peer, 0 if there is none.
    awaited_plan: AtomicU64,
    upstreams: Mutex<UpstreamRegistry>,
    balancer: Mutex<LoadBalancer>,
    retries: Mutex<RetryBudget>,
    connects: Mutex<ConnectBudget>,
    throttle: Mutex<UpstreamThrottle>,
    sender_selector: Mutex<SenderSelector>,
    /// The software versions that began streams, here or at gateways that noted them here.
    pub(crate) origins: StreamOrigins,
    /// Time limits of streams, with those that were replaced lately.
    stream_limits: Mutex<StreamLimits>,
    versions: Mutex<VersionHistory>,
    /// Services with a software version that has just been listed.
    pub(crate) new_versions: NewVersions,
    /// When a malformed response header was last logged.
    malformed_logged_at: Mutex<Option<ClockTime>>,
}

/// A configuration with its text as stored, which other gateways may request.
struct LoadedPlan {
    index: Arc<PlanIndex>,
    document: Arc<str>,
}

impl GatewayState {
    pub(crate) fn new(
        settings: GatewaySettings,
        run: IncarnationId,
        dialect: WireDialect,
        store: ObjectClient,
    ) -> Self {
        let GrantSettings { ahead, share, idle } = settings.grants;
        let grant_policy = GrantPolicy { ahead, share, idle, instances: 1 };
        let budgets = BudgetPool::new(store.clone(), run, settings.instance.clone(), grant_policy);
        let local = LocalMember::builder()
            .instance(settings.instance.clone())
            .region(settings.region.clone())
            .centre(settings.centre.clone())
            .role(MemberRole::Entry)
            .link(settings.link.unwrap_or(settings.callers))
            .maybe_advertise(settings.advertise)
            .peers(settings.peers.clone())
            .capacity(settings.limits.capacity())
            .build();
        let fleet = Arc::new(FleetClient::new(local, run));
        store.set_fallback(fleet.store_fallback());
        let retry_policy = RetryPolicy {
            ratio: settings.retries.ratio,
            slack: settings.retries.slack,
            window: settings.retries.window,
        };
        let warmup_policy =
            WarmupPolicy { overage: settings.warmup.overage, slack: settings.warmup.slack };
        // Without a link there are no other instances to share sends with.
        let sender_selector = match settings.link {
            Some(_) => SenderSelector::new(settings.instance.clone()),
            None => SenderSelector::alone(settings.instance.clone()),
        };
        let upstreams = UpstreamRegistry::new(settings.upstream_heartbeat);
        let feeds = FeedRegistry::new(settings.in_force);
        let limiter = Arc::new(ResourceLimiter::new(settings.limits));
        let own = CoverPeer { id: run, capacity: settings.limits.capacity() };
        let rotation = CallerRotation::new(settings.rotation, own);
        Self {
            limiter,
            rotation,
            settings,
            dialect,
            store,
            pool: UpstreamPool::default(),
            budgets: Arc::new(budgets),
            crashes: CrashReports::new(),
            metrics: GatewayMetrics::new(),
            stopping: AtomicBool::new(false),
            closing_by: AtomicU64::new(0),
            requests: AtomicUsize::new(0),
            closing: OnceSignal::default(),
            abort: OnceSignal::default(),
            feeds,
            fleet,
            plan: RwLock::default(),
            awaited_plan: AtomicU64::new(0),
            upstreams: Mutex::new(upstreams),
            balancer: Mutex::new(LoadBalancer::new(PlacementPolicy::default())),
            retries: Mutex::new(RetryBudget::new(retry_policy)),
            connects: Mutex::default(),
            throttle: Mutex::new(UpstreamThrottle::new(warmup_policy)),
            sender_selector: Mutex::new(sender_selector),
            origins: StreamOrigins::default(),
            versions: Mutex::default(),
            stream_limits: Mutex::default(),
            new_versions: NewVersions::default(),
            malformed_logged_at: Mutex::default(),
        }
    }

    fn loaded_plan(&self) -> RwLockReadGuard<'_, Option<LoadedPlan>> {
        self.plan.read().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn plan(&self) -> Option<Arc<PlanIndex>> {
        self.loaded_plan().as_ref().map(|loaded| loaded.index.clone())
    }

    /// The text of the current configuration as stored.
    pub(crate) fn plan_document(&self) -> Option<String> {
        self.loaded_plan().as_ref().map(|loaded| loaded.document.to_string())
    }

    /// The version of the current configuration, 0 if there is none.
    pub(crate) fn plan_version(&self) -> ConfigVersion {
        self.loaded_plan()
            .as_ref()
            .map_or(ConfigVersion::ZERO, |loaded| loaded.index.plan().version)
    }

    /// Whether a fetch of this version of the configuration, or a newer one, is planned already.
    /// Otherwise one is from now on.
    pub(crate) fn is_plan_awaited(&self, version: ConfigVersion) -> bool {
        self.awaited_plan.fetch_max(version.0, Ordering::Relaxed) >= version.0
    }

    /// Ends the wait for a version of the configuration, so that it may be fetched again.
    pub(crate) fn end_plan_wait(&self, version: ConfigVersion) {
        let (ended, relaxed) = (version.0, Ordering::Relaxed);
        // Fails if a newer version is awaited.
        let _ = self.awaited_plan.compare_exchange(ended, 0, relaxed, relaxed);
    }

    /// Applies a configuration and returns true, unless the current one is at least as new. Older
    /// versions may arrive late and must not replace newer ones.
    pub(crate) fn apply_plan(&self, index: PlanIndex, document: &str) -> bool {
        let version = index.plan().version;
        let fresh = LoadedPlan { index: Arc::new(index), document: document.into() };
        let mut plan = self.plan.write().unwrap_or_else(PoisonError::into_inner);
        if plan.as_ref().is_some_and(|loaded| loaded.index.plan().version >= version) {
            return false;
        }
        let resumable = fresh.index.plan().routes.iter().filter(|route| route.resumable);
        let longest = resumable.map(|route| route.time_limit).max().unwrap_or_default();
        self.stream_limits().set(longest, ClockTime::now());
        *plan = Some(fresh);
        drop(plan);
        self.fleet.members.update_own(|own| own.config = version);
        true
    }

    pub(crate) fn upstreams(&self) -> MutexGuard<'_, UpstreamRegistry> {
        self.upstreams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Removes an upstream whose address belongs to another one now. An upstream's name stands for
    /// one run; that run has ended, but the store may list it for some seconds more.
    pub(crate) fn forget_upstream(&self, name: &UpstreamName) {
        self.upstreams().mark_replaced(name);
        self.balancer().forget(name);
        self.throttle().forget(name);
        log_event!(info, "upstream-changed", upstream = name, change = "replaced");
    }

    pub(crate) fn balancer(&self) -> MutexGuard<'_, LoadBalancer> {
        self.balancer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn retries(&self) -> MutexGuard<'_, RetryBudget> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn connects(&self) -> MutexGuard<'_, ConnectBudget> {
        self.connects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn throttle(&self) -> MutexGuard<'_, UpstreamThrottle> {
        self.throttle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn sender_selector(&self) -> MutexGuard<'_, SenderSelector> {
        self.sender_selector.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn stream_limits(&self) -> MutexGuard<'_, StreamLimits> {
        self.stream_limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn versions(&self) -> MutexGuard<'_, VersionHistory> {
        self.versions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The history of software versions, for a decision now.
    pub(crate) fn checked_versions(&self, now: ClockTime) -> MutexGuard<'_, VersionHistory> {
        let view_age = self.feeds.replica(FeedKind::Upstreams).age();
        let mut versions = self.versions();
        versions.check_view(view_age, now);
        versions
    }

    /// Records which software versions are listed.
    pub(crate) fn observe_versions(&self, now: ClockTime) {
        let view_age = self.feeds.replica(FeedKind::Upstreams).age();
        let changed = self.versions().observe(self.upstreams().versions(), view_age, now);
        self.new_versions.add(changed);
    }

    /// Records that an upstream is listed with its software version.
    pub(crate) fn note_version(&self, record: &UpstreamRecord, now: ClockTime) {
        if self.versions().note_listed(&record.service, &record.version, now) {
            self.new_versions.add([record.service.clone()]);
        }
    }

    /// Updates the set of instances that may send to cold upstreams.
    pub(crate) fn observe_senders(&self, now: ClockTime) {
        let members = self.fleet.members.members().into_iter();
        let gateways = members.filter(|member| member.role == MemberRole::Entry);
        let known = gateways.map(|member| member.instance);
        match self.fleet.listed_gateways() {
            Some(listed) => self.sender_selector().observe_listed(known.chain(listed), now),
            None => self.sender_selector().observe(known, now),
        }
    }

    /// Records how much longer an upstream is cold. Zero changes nothing.
    pub(crate) fn note_cold(&self, name: &UpstreamName, left: Duration, now: ClockTime) {
        if !left.is_zero() && self.throttle().note_cold(name, left, now) {
            log_event!(info, "upstream-cold", upstream = name, left_ms = left.as_millis());
        }
    }

    /// Applies the rate limit, or its absence, in the response to a request placed at `chosen`.
    pub(crate) fn note_rate_limit(
        &self,
        name: &UpstreamName,
        named: Option<SendRate>,
        chosen: ClockTime,
        now: ClockTime,
    ) {
        let change = self.throttle().note_rate_limit(name, named, chosen, now);
        self.log_limit(name, change, "answer");
    }

    /// Logs a change of an upstream's rate limit, and whether a response or another gateway showed it.
    pub(crate) fn log_limit(&self, name: &UpstreamName, change: RateLimitChange, source: &str) {
        match change {
            RateLimitChange::Unchanged => {}
            RateLimitChange::Named(rate) => log_event!(
                info,
                "upstream-limit",
                upstream = name,
                per_second = rate,
                source = source,
            ),
            RateLimitChange::Ended => {
                log_event!(info, "upstream-limit-ended", upstream = name, source = source);
            }
        }
    }

    /// Records an upstream's backoff for this instance.
    pub(crate) fn note_backoff(&self, name: &UpstreamName, backoff: Duration, now: ClockTime) {
        if self.throttle().note_backoff(name, backoff, now) {
            log_event!(info, "upstream-backoff", upstream = name, backoff_ms = backoff.as_millis());
        }
    }

    /// Logs a malformed header of an upstream's response, at most once per `MALFORMED_LOG_PERIOD`.
    pub(crate) fn log_malformed_header(&self, name: &UpstreamName, header: &str, now: ClockTime) {
        let mut logged_at = self.malformed_logged_at.lock().unwrap_or_else(PoisonError::into_inner);
        if logged_at.is_some_and(|at| now.since(at) < MALFORMED_LOG_PERIOD) {
            return;
        }
        *logged_at = Some(now);
        log_event!(warn, "upstream-mark-unreadable", upstream = name, mark = header);
    }

    /// The warm-up settings of a service; `None` if its upstreams need no warm-up.
    fn warmup_profile(&self, service: &ServiceName) -> Option<WarmupProfile> {
        self.plan()?.service(service)?.warmup.clone()
    }

    /// Stops sending new requests to the upstreams of a data centre.
    pub(crate) fn evacuate(&self, centre: CentreName) {
        if self.upstreams().evacuate(centre.clone()) {
            log_event!(info, "centre-evacuated", centre = centre);
        }
    }

    /// Allows requests to the upstreams of a data centre again. They are treated as cold at first:
    /// they may have become cold in the meantime, and their entries may show it only later.
    pub(crate) fn readmit(&self, centre: &CentreName, now: ClockTime) {
        let Some(records) = self.upstreams().readmit(centre) else {
            return;
        };
        log_event!(info, "centre-readmitted", centre = centre, upstreams = records.len());
        for record in records {
            if let Some(profile) = self.warmup_profile(&record.service) {
                self.note_cold(&record.name, profile.span, now);
            }
        }
    }

    /// The region of a data centre; `None` if the settings don't list it.
    pub(crate) fn region_of(&self, centre: &CentreName) -> Option<&RegionName> {
        let own = (*centre == self.settings.centre).then_some(&self.settings.region);
        self.settings.regions.get(centre).or(own)
    }

    /// The number of instances, including this one.
    pub(crate) fn instances(&self) -> usize {
        self.fleet.instances()
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Starts closing callers' connections. Requests that still arrive must end by `last`.
    pub(crate) fn start_closing(&self, last: ClockTime) {
        self.closing_by.store(last.0, Ordering::SeqCst);
        self.closing.set();
    }

    /// Whether this process may stop before a request with this deadline has ended.
    pub(crate) fn may_stop_before(&self, deadline: ClockTime) -> bool {
        self.closing.is_set() && ClockTime(self.closing_by.load(Ordering::SeqCst)) < deadline
    }

    /// Whether the load balancer is to send new callers to this instance.
    pub(crate) fn is_ready(&self) -> bool {
        self.can_serve() && !self.rotation.is_out()
    }

    /// Whether this instance can serve requests: its copies of the store are confirmed, and no stop
    /// has begun.
    pub(crate) fn can_serve(&self) -> bool {
        !self.is_stopping() && self.awaited_lists().next().is_none()
    }

    /// The lists that this gateway needs before it serves, and hasn't read yet.
    pub(crate) fn awaited_lists(&self) -> impl Iterator<Item = FeedKind> + '_ {
        let plan = self.plan().is_none().then_some(FeedKind::Configuration);
        plan.into_iter().chain(self.awaited_constraints())
    }

    /// Whether the upstreams, the evacuations and the quarantined contents are known as of a known time.
    ///
    /// Guards against requests by an old listing: while too few gateways are ready, the load balancer
    /// sends callers to all of them. After a kill of all machines a gateway tried 72 upstreams that
    /// had all been replaced.
    pub(crate) fn knows_upstreams(&self) -> bool {
        self.awaited_constraints().next().is_none()
    }

    /// The lists that tell where requests may be sent, and that aren't known as of a known time.
    fn awaited_constraints(&self) -> impl Iterator<Item = FeedKind> + '_ {
        let evacuations = self.follows_evacuations().then_some(FeedKind::Evacuations);
        let needed = [FeedKind::Upstreams, FeedKind::Quarantine].into_iter().chain(evacuations);
        needed.filter(|kind| !self.feeds.replica(*kind).is_loaded())
    }

    /// Whether operators may evacuate data centres.
    pub(crate) fn follows_evacuations(&self) -> bool {
        self.settings.in_force.is_some_and(|times| times.evacuations.is_some())
    }
}
