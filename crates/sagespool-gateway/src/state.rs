//! What all tasks of a gateway share.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use event_listener::Event;
use sagespool_forward::{
    PlacementBoard, PlacementPolicy, PlanIndex, RetryBudget, RetryTerms, UpstreamRoster,
};
use sagespool_platform::ObjectClient;
use sagespool_settings::GatewaySettings;
use sagespool_types::{ConfigVersion, IncarnationId};

use crate::desk::BudgetDesk;
use crate::dialect::WireDialect;
use crate::metrics::GatewayMetrics;
use crate::pool::UpstreamPool;

/// How many instances share the retry budget while none of them is known but this one: as many as
/// the users' largest fleet has.
const UNKNOWN_INSTANCES: usize = 32;

/// The shared state.
pub(crate) struct GatewayState {
    pub(crate) settings: GatewaySettings,
    pub(crate) run: IncarnationId,
    pub(crate) dialect: WireDialect,
    pub(crate) store: ObjectClient,
    pub(crate) pool: UpstreamPool,
    pub(crate) desk: Arc<BudgetDesk>,
    pub(crate) metrics: GatewayMetrics,
    /// A graceful stop has begun.
    pub(crate) stopping: AtomicBool,
    /// Callers' connections are to end after the request that they carry.
    pub(crate) closing_now: AtomicBool,
    /// Told when `closing_now` is set.
    pub(crate) closing: Event,
    /// Callers' connections that are open.
    pub(crate) connections: AtomicUsize,
    instances: AtomicUsize,
    plan: RwLock<Option<Arc<PlanIndex>>>,
    roster: Mutex<UpstreamRoster>,
    board: Mutex<PlacementBoard>,
    retries: Mutex<RetryBudget>,
}

impl GatewayState {
    pub(crate) fn new(
        settings: GatewaySettings,
        run: IncarnationId,
        dialect: WireDialect,
        store: ObjectClient,
    ) -> Self {
        let desk = BudgetDesk::new(store.clone(), run, settings.instance.clone());
        let terms = RetryTerms {
            ratio: settings.retries.ratio,
            slack: settings.retries.slack,
            window: settings.retries.window,
        };
        Self {
            settings,
            run,
            dialect,
            store,
            pool: UpstreamPool::default(),
            desk: Arc::new(desk),
            metrics: GatewayMetrics::new(),
            stopping: AtomicBool::new(false),
            closing_now: AtomicBool::new(false),
            closing: Event::new(),
            connections: AtomicUsize::new(0),
            instances: AtomicUsize::new(UNKNOWN_INSTANCES),
            plan: RwLock::default(),
            roster: Mutex::default(),
            board: Mutex::new(PlacementBoard::new(PlacementPolicy::default())),
            retries: Mutex::new(RetryBudget::new(terms)),
        }
    }

    pub(crate) fn plan(&self) -> Option<Arc<PlanIndex>> {
        self.plan.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The version of the configuration in force, 0 if there is none.
    pub(crate) fn plan_version(&self) -> ConfigVersion {
        self.plan().map_or(ConfigVersion::ZERO, |index| index.plan().version)
    }

    /// Puts a configuration in force, unless a newer one is. It never goes back: word of an older
    /// version may arrive late.
    pub(crate) fn take_plan(&self, index: PlanIndex) -> bool {
        let mut plan = self.plan.write().unwrap_or_else(PoisonError::into_inner);
        let version = index.plan().version;
        if plan.as_ref().is_some_and(|known| known.plan().version >= version) {
            return false;
        }
        *plan = Some(Arc::new(index));
        true
    }

    pub(crate) fn roster(&self) -> MutexGuard<'_, UpstreamRoster> {
        self.roster.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn board(&self) -> MutexGuard<'_, PlacementBoard> {
        self.board.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn retries(&self) -> MutexGuard<'_, RetryBudget> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How many instances there are, this one among them.
    pub(crate) fn instances(&self) -> usize {
        self.instances.load(Ordering::Relaxed)
    }

    pub(crate) fn set_instances(&self, count: usize) {
        self.instances.store(count.max(1), Ordering::Relaxed);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    pub(crate) fn is_closing(&self) -> bool {
        self.closing_now.load(Ordering::Relaxed)
    }

    /// Whether this instance can serve requests: it knows the configuration and the upstreams, and
    /// doesn't stop.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.plan().is_some() && self.roster().is_loaded()
    }
}
