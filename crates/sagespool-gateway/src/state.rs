//! What all tasks of a gateway share.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard};
use std::time::Duration;

use sagespool_forward::{
    LoadBalancer, PlacementPolicy, PlanIndex, RateLimitChange, RetryBudget, RetryPolicy,
    SenderSelector, UpstreamRegistry, UpstreamThrottle, WarmupPolicy, WarmupProfile,
};
use sagespool_ledger::GrantPolicy;
use sagespool_log::log_event;
use sagespool_messages::{FollowedKind, MemberRole};
use sagespool_platform::ObjectClient;
use sagespool_settings::{GatewaySettings, GrantSettings};
use sagespool_types::{
    CentreName, ClockTime, ConfigVersion, IncarnationId, RegionName, SendRate, ServiceName,
    UpstreamName,
};

use crate::crashes::CrashDesk;
use crate::desk::BudgetDesk;
use crate::dialect::WireDialect;
use crate::feeds::FeedDesk;
use crate::fleet::{FleetBoard, OwnPlace};
use crate::intake::CallerIntake;
use crate::metrics::GatewayMetrics;
use crate::pool::UpstreamPool;
use crate::signal::OnceSignal;

/// The least time between two log lines on marks that can't be read: a broken upstream sends one with
/// each answer.
const UNREADABLE_PAUSE: Duration = Duration::from_secs(1);

/// The shared state.
pub(crate) struct GatewayState {
    pub(crate) settings: GatewaySettings,
    pub(crate) dialect: WireDialect,
    pub(crate) store: ObjectClient,
    pub(crate) pool: UpstreamPool,
    pub(crate) desk: Arc<BudgetDesk>,
    pub(crate) crashes: CrashDesk,
    pub(crate) metrics: GatewayMetrics,
    /// A graceful stop has begun.
    pub(crate) stopping: AtomicBool,
    /// By when every request must have ended, in microseconds, once `closing` is given.
    closing_by: AtomicU64,
    /// Callers' connections are to end after the request that they carry.
    pub(crate) closing: OnceSignal,
    /// The time for the stop is over: whatever is still under way ends now.
    pub(crate) over: OnceSignal,
    /// Requests under way.
    pub(crate) requests: AtomicUsize,
    /// What is taken in from callers.
    pub(crate) intake: Arc<CallerIntake>,
    pub(crate) feeds: FeedDesk,
    pub(crate) fleet: Arc<FleetBoard>,
    plan: RwLock<Option<KnownPlan>>,
    roster: Mutex<UpstreamRegistry>,
    board: Mutex<LoadBalancer>,
    retries: Mutex<RetryBudget>,
    guard: Mutex<UpstreamThrottle>,
    senders: Mutex<SenderSelector>,
    /// When a mark that can't be read was last noted.
    unreadable: Mutex<Option<ClockTime>>,
}

/// A configuration, and its text as the store has it, for other gateways.
struct KnownPlan {
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
        let grants = GrantPolicy { ahead, share, idle, instances: 1 };
        let desk = BudgetDesk::new(store.clone(), run, settings.instance.clone(), grants);
        let place = OwnPlace::builder()
            .instance(settings.instance.clone())
            .region(settings.region.clone())
            .centre(settings.centre.clone())
            .role(MemberRole::Entry)
            .link(settings.link.unwrap_or(settings.callers))
            .maybe_advertise(settings.advertise)
            .peers(settings.peers.clone())
            .build();
        let fleet = Arc::new(FleetBoard::new(place, run));
        store.set_detour(fleet.detour());
        let terms = RetryPolicy {
            ratio: settings.retries.ratio,
            slack: settings.retries.slack,
            window: settings.retries.window,
        };
        let warmup_terms =
            WarmupPolicy { overage: settings.warmup.overage, slack: settings.warmup.slack };
        // Without a link there are no others to divide anything with.
        let senders = match settings.link {
            Some(_) => SenderSelector::new(settings.instance.clone()),
            None => SenderSelector::alone(settings.instance.clone()),
        };
        let feeds = FeedDesk::new(settings.in_force);
        let intake = Arc::new(CallerIntake::new(settings.limits));
        Self {
            intake,
            settings,
            dialect,
            store,
            pool: UpstreamPool::default(),
            desk: Arc::new(desk),
            crashes: CrashDesk::new(),
            metrics: GatewayMetrics::new(),
            stopping: AtomicBool::new(false),
            closing_by: AtomicU64::new(0),
            requests: AtomicUsize::new(0),
            closing: OnceSignal::default(),
            over: OnceSignal::default(),
            feeds,
            fleet,
            plan: RwLock::default(),
            roster: Mutex::default(),
            board: Mutex::new(LoadBalancer::new(PlacementPolicy::default())),
            retries: Mutex::new(RetryBudget::new(terms)),
            guard: Mutex::new(UpstreamThrottle::new(warmup_terms)),
            senders: Mutex::new(senders),
            unreadable: Mutex::default(),
        }
    }

    fn known_plan(&self) -> RwLockReadGuard<'_, Option<KnownPlan>> {
        self.plan.read().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn plan(&self) -> Option<Arc<PlanIndex>> {
        self.known_plan().as_ref().map(|known| known.index.clone())
    }

    /// The configuration in force as the store has it.
    pub(crate) fn plan_document(&self) -> Option<String> {
        self.known_plan().as_ref().map(|known| known.document.to_string())
    }

    /// The version of the configuration in force, 0 if there is none.
    pub(crate) fn plan_version(&self) -> ConfigVersion {
        self.known_plan().as_ref().map_or(ConfigVersion::ZERO, |known| known.index.plan().version)
    }

    /// Puts a configuration in force, unless a newer one is. It never goes back: word of an older
    /// version may arrive late.
    pub(crate) fn take_plan(&self, index: PlanIndex, document: &str) -> bool {
        let version = index.plan().version;
        let fresh = KnownPlan { index: Arc::new(index), document: document.into() };
        let mut plan = self.plan.write().unwrap_or_else(PoisonError::into_inner);
        if plan.as_ref().is_some_and(|known| known.index.plan().version >= version) {
            return false;
        }
        *plan = Some(fresh);
        drop(plan);
        self.fleet.members.update_own(|own| own.config = version);
        true
    }

    pub(crate) fn roster(&self) -> MutexGuard<'_, UpstreamRegistry> {
        self.roster.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Drops an upstream whose address another one has: its name is one run, which has ended, though
    /// the list may show it for some seconds more.
    pub(crate) fn forget_upstream(&self, name: &UpstreamName) {
        self.roster().mark_replaced(name);
        self.board().forget(name);
        self.guard().forget(name);
        log_event!(info, "upstream-changed", upstream = name, change = "replaced");
    }

    pub(crate) fn board(&self) -> MutexGuard<'_, LoadBalancer> {
        self.board.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn retries(&self) -> MutexGuard<'_, RetryBudget> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn guard(&self) -> MutexGuard<'_, UpstreamThrottle> {
        self.guard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn senders(&self) -> MutexGuard<'_, SenderSelector> {
        self.senders.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes which instances may be senders to cold upstreams.
    pub(crate) fn observe_senders(&self, now: ClockTime) {
        let members = self.fleet.members.members().into_iter();
        let gateways = members.filter(|member| member.role == MemberRole::Entry);
        let heard = gateways.map(|member| member.instance);
        match self.fleet.listed_gateways() {
            Some(listed) => self.senders().observe_listed(heard.chain(listed), now),
            None => self.senders().observe(heard, now),
        }
    }

    /// Notes that an upstream is cold for so long; nothing if that is zero.
    pub(crate) fn note_cold(&self, name: &UpstreamName, left: Duration, now: ClockTime) {
        if !left.is_zero() && self.guard().note_cold(name, left, now) {
            log_event!(info, "upstream-cold", upstream = name, left_ms = left.as_millis());
        }
    }

    /// Takes what the answer to a request whose place was chosen then says of its upstream's limit.
    pub(crate) fn note_rate_limit(
        &self,
        name: &UpstreamName,
        named: Option<SendRate>,
        chosen: ClockTime,
        now: ClockTime,
    ) {
        let change = self.guard().note_rate_limit(name, named, chosen, now);
        self.log_limit(name, change, "answer");
    }

    /// Writes what has changed of an upstream's limit, and who told it.
    pub(crate) fn log_limit(&self, name: &UpstreamName, change: RateLimitChange, told_by: &str) {
        match change {
            RateLimitChange::Unchanged => {}
            RateLimitChange::Named(rate) => log_event!(
                info,
                "upstream-limit",
                upstream = name,
                per_second = rate,
                told_by = told_by,
            ),
            RateLimitChange::Ended => {
                log_event!(info, "upstream-limit-ended", upstream = name, told_by = told_by);
            }
        }
    }

    /// Notes that an upstream wants nothing from this instance for so long.
    pub(crate) fn note_backoff(&self, name: &UpstreamName, rest: Duration, now: ClockTime) {
        if self.guard().note_backoff(name, rest, now) {
            log_event!(info, "upstream-rests", upstream = name, rest_ms = rest.as_millis());
        }
    }

    /// Notes that a mark of an upstream's answer can't be read, in a line a second at most.
    pub(crate) fn note_unreadable(&self, name: &UpstreamName, mark: &str, now: ClockTime) {
        let mut noted = self.unreadable.lock().unwrap_or_else(PoisonError::into_inner);
        if noted.is_some_and(|noted| now.since(noted) < UNREADABLE_PAUSE) {
            return;
        }
        *noted = Some(now);
        log_event!(warn, "upstream-mark-unreadable", upstream = name, mark = mark);
    }

    /// What cold upstreams of a service bear; nothing if it has none.
    fn warmup_traits(&self, service: &ServiceName) -> Option<WarmupProfile> {
        self.plan()?.service(service)?.warmup.clone()
    }

    /// Gives the upstreams of a data centre no new work.
    pub(crate) fn evacuate(&self, centre: CentreName) {
        if self.roster().evacuate(centre.clone()) {
            log_event!(info, "centre-evacuated", centre = centre);
        }
    }

    /// Gives the upstreams of a data centre work again. They may have turned cold meanwhile, and their
    /// entries may say so only later.
    pub(crate) fn readmit(&self, centre: &CentreName, now: ClockTime) {
        let Some(records) = self.roster().readmit(centre) else {
            return;
        };
        log_event!(info, "centre-readmitted", centre = centre, upstreams = records.len());
        for record in records {
            if let Some(traits) = self.warmup_traits(&record.service) {
                self.note_cold(&record.name, traits.span, now);
            }
        }
    }

    /// The region of a data centre, if it is known.
    pub(crate) fn region_of(&self, centre: &CentreName) -> Option<&RegionName> {
        let own = (*centre == self.settings.centre).then_some(&self.settings.region);
        self.settings.regions.get(centre).or(own)
    }

    /// How many instances there are, this one among them.
    pub(crate) fn instances(&self) -> usize {
        self.fleet.instances()
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Lets callers' connections end; requests that come all the same must end by then.
    pub(crate) fn close_by(&self, last: ClockTime) {
        self.closing_by.store(last.0, Ordering::SeqCst);
        self.closing.give();
    }

    /// Whether a request that may take until `deadline` would be cut off by the end of this process.
    pub(crate) fn ends_before(&self, deadline: ClockTime) -> bool {
        self.closing.is_given() && ClockTime(self.closing_by.load(Ordering::SeqCst)) < deadline
    }

    /// Whether this instance can serve requests: it knows the configuration, the upstreams and where
    /// nothing may be sent, and doesn't stop.
    pub(crate) fn is_ready(&self) -> bool {
        let follows = self.follows_evacuations();
        let knows_evacuations = !follows || self.feeds.slot(FollowedKind::Evacuations).is_loaded();
        !self.is_stopping()
            && self.plan().is_some()
            && self.roster().is_loaded()
            && knows_evacuations
    }

    /// Whether operators may evacuate data centres.
    pub(crate) fn follows_evacuations(&self) -> bool {
        self.settings.in_force.is_some_and(|times| times.evacuations.is_some())
    }
}
