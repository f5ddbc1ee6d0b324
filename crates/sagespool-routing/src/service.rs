//! State of the upstreams of one service, from reports and from the results of attempts.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use sagespool_messages::{MemberInfo, ServedUpstream};
use sagespool_types::{CentreName, ClockTime, IncarnationId, ModelName};

use crate::affinity::{CacheEvent, CacheEventKind, PrefixIndex, PrefixRing};
use crate::lag::LagEstimator;
use crate::load::LoadContext;
use crate::speed::{CompletedRun, ServiceSpeed};
use crate::totals::ServiceTotals;
use crate::traffic_share::TrafficShare;
use crate::upstream::UpstreamState;
use crate::{AttemptOutcome, AttemptResult, RoutingPolicy, ServiceConcurrency, UpstreamPlacement};

/// Time constant, in run times, with which a reported surplus over the average load decays.
const SURPLUS_DECAY_RUNS: f64 = 2.0;
/// Assumed share of other entries' requests that follow the same old report as own ones.
const HERDING_FACTOR: f64 = 0.5;
/// Weight of the load extrapolated from own requests against that derived from the report.
const OWN_LOAD_WEIGHT: f64 = 0.75;
/// Multiple of the expected time to the first token after which an upstream counts as stalled.
const STALL_FACTOR: f64 = 3.0;
/// Running requests of all entries, as a multiple of the upstreams' capacity. More than 1, so
/// that a slightly uneven placement leaves no slot idle.
const OVERCOMMIT_FACTOR: f64 = 1.1;

#[derive(Debug, Clone, Copy)]
struct RunningAttempt {
    sidecar: IncarnationId,
    started: ClockTime,
    /// True if the upstream had a free slot, so that the first token includes no queueing time.
    is_unqueued: bool,
    is_cached: bool,
    first_token: Option<Duration>,
}

/// The upstreams of one service.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) policy: Arc<RoutingPolicy>,
    pub(crate) upstreams: Vec<UpstreamState>,
    pub(crate) indexes: HashMap<IncarnationId, usize>,
    pub(crate) ring: PrefixRing,
    pub(crate) prefixes: PrefixIndex,
    pub(crate) speed: ServiceSpeed,
    /// Indexes of the upstreams that accept requests, by model; computed on first use.
    pub(crate) usable: HashMap<Option<ModelName>, Arc<Vec<usize>>>,
    /// Ejected, slow and stalled upstreams, checked in rotation for a due probe.
    pub(crate) impaired: Vec<IncarnationId>,
    /// Placements since the last probe of a slow or stalled upstream.
    pub(crate) choices_since_probe: u32,
    pub(crate) cursor: usize,
    pub(crate) random: Rng,
    pub(crate) next_attempt: u64,
    running: HashMap<u64, RunningAttempt>,
    lag: LagEstimator,
    share: TrafficShare,
    totals: ServiceTotals,
}

impl ServiceState {
    pub(crate) fn new(policy: Arc<RoutingPolicy>, seed: u64) -> Self {
        Self {
            upstreams: Vec::new(),
            indexes: HashMap::new(),
            ring: PrefixRing::default(),
            prefixes: PrefixIndex::new(policy.max_prefixes),
            speed: ServiceSpeed::default(),
            usable: HashMap::new(),
            impaired: Vec::new(),
            choices_since_probe: 0,
            cursor: 0,
            random: Rng::with_seed(seed),
            next_attempt: 0,
            running: HashMap::new(),
            lag: LagEstimator::default(),
            share: TrafficShare::default(),
            totals: ServiceTotals::default(),
            policy,
        }
    }

    pub(crate) fn observe(
        &mut self,
        member: &MemberInfo,
        served: &ServedUpstream,
        own_centre: &CentreName,
        entries: u32,
        now: ClockTime,
    ) {
        let context = self.cached_context(entries, now);
        let index = match self.indexes.get(&member.incarnation) {
            Some(index) => *index,
            None => self.insert(member, served),
        };
        let upstream = &mut self.upstreams[index];
        let has_changed = upstream.observe(member, served, own_centre);
        upstream.observe_load(served, &mut self.lag, &mut self.share, &context, now);
        if has_changed {
            self.invalidate_usable();
        }
    }

    fn insert(&mut self, member: &MemberInfo, served: &ServedUpstream) -> usize {
        let index = self.upstreams.len();
        self.indexes.insert(member.incarnation, index);
        self.ring.insert(&served.upstream, member.incarnation);
        self.upstreams.push(UpstreamState::new(member, served));
        self.invalidate_usable();
        index
    }

    /// Must be called when the set of upstreams that accept requests changes.
    fn invalidate_usable(&mut self) {
        self.usable.clear();
        self.totals = ServiceTotals::default();
    }

    pub(crate) fn remove(&mut self, id: IncarnationId) {
        let Some(index) = self.indexes.remove(&id) else { return };
        let removed = self.upstreams.swap_remove(index);
        self.ring.remove(&removed.name, id);
        self.impaired.retain(|impaired| *impaired != id);
        if let Some(moved) = self.upstreams.get(index) {
            self.indexes.insert(moved.id, index);
        }
        self.invalidate_usable();
    }

    pub(crate) fn started(&mut self, placement: &UpstreamPlacement, entries: u32, now: ClockTime) {
        let Some(index) = self.indexes.get(&placement.sidecar).copied() else { return };
        let context = self.context(entries, now);
        let upstream = &mut self.upstreams[index];
        let capacity = f64::from(upstream.capacity);
        let attempt = RunningAttempt {
            sidecar: placement.sidecar,
            started: now,
            is_unqueued: upstream.load.estimate(&context, capacity, now) < capacity,
            is_cached: placement.is_cached,
            first_token: None,
        };
        upstream.started(placement.attempt, now);
        self.running.insert(placement.attempt, attempt);
    }

    pub(crate) fn first_token(
        &mut self,
        placement: &UpstreamPlacement,
        latency: Duration,
        now: ClockTime,
    ) {
        let Some(attempt) = self.running.get_mut(&placement.attempt) else { return };
        let Some(index) = self.indexes.get(&attempt.sidecar).copied() else { return };
        let upstream = &mut self.upstreams[index];
        if !upstream.record_first_token(placement.attempt, attempt.started) {
            return;
        }
        attempt.first_token = Some(latency);
        if attempt.is_unqueued {
            let is_cached = attempt.is_cached;
            upstream.speed.first_token(&mut self.speed, latency, is_cached, &self.policy, now);
            self.note_if_impaired(index, now);
        }
    }

    pub(crate) fn ended(
        &mut self,
        placement: &UpstreamPlacement,
        result: &AttemptResult,
        now: ClockTime,
    ) {
        let whole = (result.outcome == AttemptOutcome::Whole).then_some(now);
        let started = self.running.get(&placement.attempt).map(|attempt| attempt.started);
        // An answer that arrives in one piece has its first token at its end.
        let single_piece = whole.zip(started).map(|(now, started)| now.since(started));
        if let Some(latency) = result.first_token.or(single_piece) {
            self.first_token(placement, latency, now);
        }
        let Some(attempt) = self.running.remove(&placement.attempt) else { return };
        let Some(index) = self.indexes.get(&attempt.sidecar).copied() else { return };
        let upstream = &mut self.upstreams[index];
        upstream.load.ended(now);
        upstream.clear_pending(placement.attempt);
        match result.outcome {
            AttemptOutcome::Whole => self.succeeded(index, &attempt, result, now),
            AttemptOutcome::Failed | AttemptOutcome::Unreachable => self.failed(index, now),
            AttemptOutcome::Cancelled => self.cancelled(index, &attempt, now),
            AttemptOutcome::Refused => upstream.ejection.inconclusive(),
            AttemptOutcome::Leaving => {
                upstream.ejection.inconclusive();
                upstream.has_left = true;
                upstream.accepts_requests = false;
                self.invalidate_usable();
            }
        }
    }

    fn succeeded(
        &mut self,
        index: usize,
        attempt: &RunningAttempt,
        result: &AttemptResult,
        now: ClockTime,
    ) {
        let upstream = &mut self.upstreams[index];
        upstream.ejection.succeeded();
        upstream.failures.add(0.0, self.policy.half_life, now);
        let elapsed = now.since(attempt.started);
        let first_token = attempt.first_token;
        let run = CompletedRun { elapsed, first_token, tokens: result.tokens.0 };
        upstream.speed.completed(&mut self.speed, &run, &self.policy, now);
        self.note_if_impaired(index, now);
    }

    /// Counts a cancelled request whose first token was long overdue as a first token that late.
    ///
    /// Otherwise an upstream that hangs keeps receiving requests: their deadlines cancel them, its
    /// slots appear free again, and the next requests are sent there.
    fn cancelled(&mut self, index: usize, attempt: &RunningAttempt, now: ClockTime) {
        let elapsed = now.since(attempt.started);
        let first_token = self.speed.first_token(&self.policy);
        let upstream = &mut self.upstreams[index];
        upstream.ejection.inconclusive();
        let is_overdue = elapsed.as_secs_f64() > STALL_FACTOR * first_token;
        if attempt.first_token.is_none() && attempt.is_unqueued && is_overdue {
            upstream.speed.overdue(&self.speed, elapsed, &self.policy, now);
            self.note_if_impaired(index, now);
        }
    }

    fn failed(&mut self, index: usize, now: ClockTime) {
        let upstream = &mut self.upstreams[index];
        upstream.ejection.failed(&self.policy, self.random.f64(), now);
        upstream.failures.add(1.0, self.policy.half_life, now);
        self.note_if_impaired(index, now);
    }

    /// Lists an upstream for a probe if it is ejected, slow or stalled.
    pub(crate) fn note_if_impaired(&mut self, index: usize, now: ClockTime) {
        let id = self.upstreams[index].id;
        if self.is_impaired(index, now) && !self.impaired.contains(&id) {
            self.impaired.push(id);
        }
    }

    pub(crate) fn is_impaired(&self, index: usize, now: ClockTime) -> bool {
        let upstream = &self.upstreams[index];
        upstream.ejection.is_ejected()
            || upstream.is_slow(&self.policy, now)
            || self.is_stalled(upstream, 0.0, now)
    }

    /// True if the first token is long overdue, given `wait` seconds of expected queueing.
    pub(crate) fn is_stalled(&self, upstream: &UpstreamState, wait: f64, now: ClockTime) -> bool {
        let first_token = self.speed.first_token(&self.policy);
        let expected = first_token * upstream.speed.slowness(&self.policy, now) + wait;
        upstream.stalled_for(now).as_secs_f64() > STALL_FACTOR * expected
    }

    pub(crate) fn observe_in_flight(
        &mut self,
        sidecar: IncarnationId,
        other_requests: u32,
        now: ClockTime,
    ) {
        let Some(index) = self.indexes.get(&sidecar) else { return };
        self.upstreams[*index].load.observe_in_flight(other_requests, now);
    }

    pub(crate) fn cache_event(
        &mut self,
        sidecar: IncarnationId,
        event: &CacheEvent,
        now: ClockTime,
    ) {
        let Some(index) = self.indexes.get(&sidecar) else { return };
        let upstream = &mut self.upstreams[*index];
        if event.number <= upstream.cache_number {
            return;
        }
        upstream.cache_number = event.number;
        match event.kind {
            CacheEventKind::Stored => self.prefixes.stored(event.prefix, sidecar, now),
            CacheEventKind::Evicted => self.prefixes.evicted(event.prefix, sidecar, now),
        }
    }

    /// The larger of an equal share of the capacity, and own requests plus this entry's part of
    /// the free slots. An entry with more traffic than the others may use slots that they leave
    /// free, and falls back to its share as they fill theirs.
    pub(crate) fn concurrency(&mut self, entries: u32, now: ClockTime) -> ServiceConcurrency {
        self.refresh_totals(entries, now);
        let own = self.running.len() as f64;
        let capacity = self.totals.capacity * OVERCOMMIT_FACTOR;
        let free = capacity - self.totals.others - own;
        let share = capacity / f64::from(entries.max(1));
        let own_share = self.share.own_share(entries);
        let limit = share.max(own + free * own_share).ceil();
        let run_time = Duration::from_secs_f64(self.speed.run_time(&self.policy, now));
        ServiceConcurrency { limit: limit.max(1.0) as u32, run_time }
    }

    /// Running requests as a share of the upstreams' total capacity.
    pub(crate) fn utilization(&self) -> f64 {
        (self.totals.others + self.running.len() as f64) / self.totals.capacity.max(1.0)
    }

    pub(crate) fn context(&mut self, entries: u32, now: ClockTime) -> LoadContext {
        self.refresh_totals(entries, now);
        self.cached_context(entries, now)
    }

    /// Uses the last computed totals, which is accurate enough for learning and cheap per report.
    fn cached_context(&self, entries: u32, now: ClockTime) -> LoadContext {
        let run_time = self.speed.run_time(&self.policy, now);
        LoadContext {
            lag: self.lag.lag(self.policy.report_lag),
            others_per_own: 1.0 / self.share.own_share(entries) - 1.0,
            others_per_slot: self.totals.others / self.totals.capacity.max(1.0),
            run_time: Duration::from_secs_f64(run_time),
            surplus_decay: Duration::from_secs_f64(run_time * SURPLUS_DECAY_RUNS),
            herding: HERDING_FACTOR,
            own_weight: OWN_LOAD_WEIGHT,
        }
    }

    fn refresh_totals(&mut self, entries: u32, now: ClockTime) {
        if self.totals.is_stale(self.upstreams.len(), now) {
            let context = self.cached_context(entries, now);
            self.totals = ServiceTotals::sum(&self.upstreams, &context, now);
        }
    }
}
