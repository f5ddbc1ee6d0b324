//! An entry's table of upstreams, sharded by service.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use sagespool_messages::MemberInfo;
use sagespool_types::{CentreName, ClockTime, IncarnationId, ServiceName};

use crate::service::ServiceState;
use crate::{
    AttemptResult, CacheEvent, PlacementQuery, RoutingPolicy, ServiceConcurrency, UpstreamPlacement,
};

type ServiceShard = Arc<Mutex<ServiceState>>;

/// One entry's state of the upstreams: load, latency, data centre and cached prefixes.
///
/// Each service is a shard under its own lock; the map of services is locked
/// only to find a shard.
#[derive(Debug)]
pub struct UpstreamTable {
    policy: Arc<RoutingPolicy>,
    own_centre: CentreName,
    entries: AtomicU32,
    services: RwLock<HashMap<ServiceName, ServiceShard>>,
    /// The service of each sidecar, needed when it is removed or changes service.
    sidecars: Mutex<HashMap<IncarnationId, ServiceName>>,
}

impl UpstreamTable {
    /// An empty table for an entry in the given data centre.
    pub fn new(policy: RoutingPolicy, own_centre: CentreName) -> Self {
        Self {
            policy: Arc::new(policy),
            own_centre,
            entries: AtomicU32::new(1),
            services: RwLock::default(),
            sidecars: Mutex::default(),
        }
    }

    /// Sets the number of entries that share the upstreams, including this one; 0 counts as 1.
    pub fn set_entries(&self, entries: u32) {
        self.entries.store(entries.max(1), Ordering::Relaxed);
    }

    /// Applies a member's newest description; ignores members without an upstream.
    pub fn observe(&self, member: &MemberInfo, now: ClockTime) {
        let Some(served) = &member.serves else { return };
        let previous = lock(&self.sidecars).insert(member.incarnation, served.service.clone());
        if let Some(previous) = previous
            && previous != served.service
        {
            self.remove_from(&previous, member.incarnation);
        }
        let shard = self.shard_or_new(&served.service);
        lock(&shard).observe(member, served, &self.own_centre, self.entries(), now);
    }

    /// Removes a sidecar; its upstream receives no further requests.
    pub fn remove(&self, sidecar: IncarnationId) {
        let service = lock(&self.sidecars).remove(&sidecar);
        if let Some(service) = service {
            self.remove_from(&service, sidecar);
        }
    }

    /// Removes every sidecar that is not among the members.
    pub fn retain_members(&self, members: &[MemberInfo]) {
        let live: HashSet<IncarnationId> =
            members.iter().map(|member| member.incarnation).collect();
        let known: Vec<IncarnationId> = lock(&self.sidecars).keys().copied().collect();
        for sidecar in known.into_iter().filter(|sidecar| !live.contains(sidecar)) {
            self.remove(sidecar);
        }
    }

    /// Chooses an upstream for a request; `None` if no upstream can accept it now.
    ///
    /// The caller must call [`Self::started`] immediately after, and [`Self::ended`] in any case.
    pub fn choose(&self, query: &PlacementQuery, now: ClockTime) -> Option<UpstreamPlacement> {
        let shard = self.shard(&query.service)?;
        lock(&shard).choose(query, self.entries(), now)
    }

    /// Records the dispatch of a request to its placement.
    pub fn started(&self, placement: &UpstreamPlacement, now: ClockTime) {
        let Some(shard) = self.shard(&placement.service) else { return };
        lock(&shard).started(placement, self.entries(), now);
    }

    /// Records the first token or byte, with its time since the dispatch. Optional, but
    /// the end of a long answer comes too late to detect a slow upstream.
    pub fn first_token(&self, placement: &UpstreamPlacement, latency: Duration, now: ClockTime) {
        let Some(shard) = self.shard(&placement.service) else { return };
        lock(&shard).first_token(placement, latency, now);
    }

    /// Records the end of an attempt, whatever its outcome.
    pub fn ended(&self, placement: &UpstreamPlacement, result: &AttemptResult, now: ClockTime) {
        let Some(shard) = self.shard(&placement.service) else { return };
        lock(&shard).ended(placement, result, now);
    }

    /// Applies a cache event of a sidecar's upstream. Late, duplicate and missing events are
    /// tolerated.
    pub fn cache_event(&self, sidecar: IncarnationId, event: &CacheEvent, now: ClockTime) {
        let service = lock(&self.sidecars).get(&sidecar).cloned();
        let Some(shard) = service.and_then(|service| self.shard(&service)) else { return };
        lock(&shard).cache_event(sidecar, event, now);
    }

    /// Records how many other requests a sidecar has at its upstream now. The count is sent on the
    /// stream of an own request, which has started and not ended and is not included.
    pub fn observe_in_flight(&self, sidecar: IncarnationId, other_requests: u32, now: ClockTime) {
        let service = lock(&self.sidecars).get(&sidecar).cloned();
        let Some(shard) = service.and_then(|service| self.shard(&service)) else { return };
        lock(&shard).observe_in_flight(sidecar, other_requests, now);
    }

    /// This entry's concurrency limit for a service, `None` for an unknown service. To be called a
    /// few times a second, with the limit passed to [`crate::AdmissionQueue::set_limit`].
    pub fn concurrency(&self, service: &ServiceName, now: ClockTime) -> Option<ServiceConcurrency> {
        let shard = self.shard(service)?;
        Some(lock(&shard).concurrency(self.entries(), now))
    }

    fn entries(&self) -> u32 {
        self.entries.load(Ordering::Relaxed)
    }

    fn shard(&self, service: &ServiceName) -> Option<ServiceShard> {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        services.get(service).cloned()
    }

    fn shard_or_new(&self, service: &ServiceName) -> ServiceShard {
        if let Some(shard) = self.shard(service) {
            return shard;
        }
        let mut services = self.services.write().unwrap_or_else(PoisonError::into_inner);
        let seed = self.policy.seed.wrapping_add(services.len() as u64);
        let new = || Arc::new(Mutex::new(ServiceState::new(Arc::clone(&self.policy), seed)));
        services.entry(service.clone()).or_insert_with(new).clone()
    }

    fn remove_from(&self, service: &ServiceName, sidecar: IncarnationId) {
        if let Some(shard) = self.shard(service) {
            lock(&shard).remove(sidecar);
        }
    }
}

/// Locks a mutex, ignoring poisoning: a panic leaves the state as after its last completed step.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
