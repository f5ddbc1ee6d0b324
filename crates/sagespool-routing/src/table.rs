//! Every upstream that this entry knows, in shards by service.

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

/// One entry's view of the upstreams: how busy, how fast, how near, and what each has cached.
///
/// Each service is a shard under its own lock; the directory of services is
/// only locked to find a shard.
#[derive(Debug)]
pub struct UpstreamTable {
    policy: Arc<RoutingPolicy>,
    own_centre: CentreName,
    entries: AtomicU32,
    services: RwLock<HashMap<ServiceName, ServiceShard>>,
    /// The service of each sidecar, to find it again when it is removed or changes service.
    sidecars: Mutex<HashMap<IncarnationId, ServiceName>>,
}

impl UpstreamTable {
    /// An empty table of an entry in a data centre.
    pub fn new(policy: RoutingPolicy, own_centre: CentreName) -> Self {
        Self {
            policy: Arc::new(policy),
            own_centre,
            entries: AtomicU32::new(1),
            services: RwLock::default(),
            sidecars: Mutex::default(),
        }
    }

    /// How many entries share the upstreams, this one included.
    pub fn set_entries(&self, entries: u32) {
        self.entries.store(entries.max(1), Ordering::Relaxed);
    }

    /// Takes in a member's newest description; members that serve nothing are left out.
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

    /// A sidecar is gone: its upstream gets nothing new.
    pub fn remove(&self, sidecar: IncarnationId) {
        let service = lock(&self.sidecars).remove(&sidecar);
        if let Some(service) = service {
            self.remove_from(&service, sidecar);
        }
    }

    /// Removes every sidecar that is not among these.
    pub fn retain_members(&self, members: &[MemberInfo]) {
        let live: HashSet<IncarnationId> =
            members.iter().map(|member| member.incarnation).collect();
        let known: Vec<IncarnationId> = lock(&self.sidecars).keys().copied().collect();
        for sidecar in known.into_iter().filter(|sidecar| !live.contains(sidecar)) {
            self.remove(sidecar);
        }
    }

    /// Where a request goes, or nothing if no upstream may take it now.
    ///
    /// Follow it by [`Self::started`] at once, and by [`Self::ended`] in any case.
    pub fn choose(&self, query: &PlacementQuery, now: ClockTime) -> Option<UpstreamPlacement> {
        let shard = self.shard(&query.service)?;
        lock(&shard).choose(query, self.entries(), now)
    }

    /// The request was sent where the choice says.
    pub fn started(&self, placement: &UpstreamPlacement, now: ClockTime) {
        let Some(shard) = self.shard(&placement.service) else { return };
        lock(&shard).started(placement, self.entries(), now);
    }

    /// The first token or byte came, so long after the dispatch. Optional, but
    /// a long answer's end comes too late to notice a slow upstream by.
    pub fn first_token(&self, placement: &UpstreamPlacement, latency: Duration, now: ClockTime) {
        let Some(shard) = self.shard(&placement.service) else { return };
        lock(&shard).first_token(placement, latency, now);
    }

    /// The attempt ended, however that was.
    pub fn ended(&self, placement: &UpstreamPlacement, result: &AttemptResult, now: ClockTime) {
        let Some(shard) = self.shard(&placement.service) else { return };
        lock(&shard).ended(placement, result, now);
    }

    /// Takes in a cache event of the upstream beside a sidecar; late, doubled and missing ones
    /// do no harm.
    pub fn cache_event(&self, sidecar: IncarnationId, event: &CacheEvent, now: ClockTime) {
        let service = lock(&self.sidecars).get(&sidecar).cloned();
        let Some(shard) = service.and_then(|service| self.shard(&service)) else { return };
        lock(&shard).cache_event(sidecar, event, now);
    }

    /// Takes in how many requests a sidecar has at its upstream at this moment beside an own one
    /// that has started and not ended, on whose stream it tells so.
    pub fn observe_in_flight(&self, sidecar: IncarnationId, other_requests: u32, now: ClockTime) {
        let service = lock(&self.sidecars).get(&sidecar).cloned();
        let Some(shard) = service.and_then(|service| self.shard(&service)) else { return };
        lock(&shard).observe_in_flight(sidecar, other_requests, now);
    }

    /// How many requests this entry may have running in a service. Ask a few times a second,
    /// and hand the limit to [`crate::AdmissionQueue::set_limit`].
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

/// A panic in another thread leaves the shard as it was at a whole step, so it is used on.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
