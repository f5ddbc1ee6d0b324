//! The upstreams of one service: what is known of them and learned from attempts.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use sagespool_messages::{MemberInfo, ServedUpstream};
use sagespool_types::{CentreName, ClockTime, IncarnationId, ModelName};

use crate::affinity::{CacheEvent, CacheEventKind, PrefixMemory, PrefixRing};
use crate::lag::LagEstimate;
use crate::load::LoadOutlook;
use crate::share::EntryShare;
use crate::speed::{ServiceSpeed, WholeAnswer};
use crate::totals::ServiceTotals;
use crate::upstream::UpstreamState;
use crate::{AttemptOutcome, AttemptResult, RoutingPolicy, ServiceConcurrency, UpstreamPlacement};

/// A report's surplus over the average fades over so many run times.
const FADING_RUNS: f64 = 2.0;
/// How far other entries are taken to follow the same old reports.
const HERDING: f64 = 0.5;
/// How far own requests alone are taken to tell an upstream's load.
const OWN_WEIGHT: f64 = 0.75;
/// Without any first token for so many times the expected time, an upstream is stalled.
const STALL: f64 = 3.0;
/// Entries may have so many times the upstreams' capacity running: a choice that was a
/// little wrong then costs no idle place.
const OVERCOMMIT: f64 = 1.1;

#[derive(Debug, Clone, Copy)]
struct RunningAttempt {
    sidecar: IncarnationId,
    started: ClockTime,
    /// Nothing waited before it, so its first token measures the upstream alone.
    is_unqueued: bool,
    is_cached: bool,
    first_token: Option<Duration>,
}

/// The upstreams of one service.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) policy: Arc<RoutingPolicy>,
    pub(crate) upstreams: Vec<UpstreamState>,
    pub(crate) places: HashMap<IncarnationId, usize>,
    pub(crate) ring: PrefixRing,
    pub(crate) prefixes: PrefixMemory,
    pub(crate) speed: ServiceSpeed,
    /// Places of the upstreams that take new work, by model; computed when asked for.
    pub(crate) usable: HashMap<Option<ModelName>, Arc<Vec<usize>>>,
    /// Ejected and slow upstreams, looked at in turn for one that is due to be probed.
    pub(crate) suspects: Vec<IncarnationId>,
    /// Choices since a slow upstream was probed.
    pub(crate) unprobed: u32,
    pub(crate) turn: usize,
    pub(crate) random: Rng,
    pub(crate) next_attempt: u64,
    running: HashMap<u64, RunningAttempt>,
    lag: LagEstimate,
    share: EntryShare,
    totals: ServiceTotals,
}

impl ServiceState {
    pub(crate) fn new(policy: Arc<RoutingPolicy>, seed: u64) -> Self {
        Self {
            upstreams: Vec::new(),
            places: HashMap::new(),
            ring: PrefixRing::default(),
            prefixes: PrefixMemory::new(policy.prefixes),
            speed: ServiceSpeed::default(),
            usable: HashMap::new(),
            suspects: Vec::new(),
            unprobed: 0,
            turn: 0,
            random: Rng::with_seed(seed),
            next_attempt: 0,
            running: HashMap::new(),
            lag: LagEstimate::default(),
            share: EntryShare::default(),
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
        let outlook = self.last_outlook(entries, now);
        let place = match self.places.get(&member.incarnation) {
            Some(place) => *place,
            None => self.insert(member, served),
        };
        let upstream = &mut self.upstreams[place];
        let has_changed = upstream.observe(member, served, own_centre);
        upstream.observe_load(served, &mut self.lag, &mut self.share, &outlook, now);
        if has_changed {
            self.forget_usable();
        }
    }

    fn insert(&mut self, member: &MemberInfo, served: &ServedUpstream) -> usize {
        let place = self.upstreams.len();
        self.places.insert(member.incarnation, place);
        self.ring.insert(&served.upstream, member.incarnation);
        self.upstreams.push(UpstreamState::new(member, served));
        self.forget_usable();
        place
    }

    /// Who may get new work changed.
    fn forget_usable(&mut self) {
        self.usable.clear();
        self.totals = ServiceTotals::default();
    }

    pub(crate) fn remove(&mut self, id: IncarnationId) {
        let Some(place) = self.places.remove(&id) else { return };
        let gone = self.upstreams.swap_remove(place);
        self.ring.remove(&gone.name, id);
        self.suspects.retain(|suspect| *suspect != id);
        if let Some(moved) = self.upstreams.get(place) {
            self.places.insert(moved.id, place);
        }
        self.forget_usable();
    }

    pub(crate) fn started(&mut self, choice: &UpstreamPlacement, entries: u32, now: ClockTime) {
        let Some(place) = self.places.get(&choice.sidecar).copied() else { return };
        let outlook = self.outlook(entries, now);
        let upstream = &mut self.upstreams[place];
        let capacity = f64::from(upstream.capacity);
        let attempt = RunningAttempt {
            sidecar: choice.sidecar,
            started: now,
            is_unqueued: upstream.load.estimate(&outlook, capacity, now) < capacity,
            is_cached: choice.is_cached,
            first_token: None,
        };
        upstream.started(choice.attempt, now);
        self.running.insert(choice.attempt, attempt);
    }

    pub(crate) fn first_token(
        &mut self,
        choice: &UpstreamPlacement,
        latency: Duration,
        now: ClockTime,
    ) {
        let Some(attempt) = self.running.get_mut(&choice.attempt) else { return };
        let Some(place) = self.places.get(&attempt.sidecar).copied() else { return };
        let upstream = &mut self.upstreams[place];
        if !upstream.answered(choice.attempt, attempt.started) {
            return;
        }
        attempt.first_token = Some(latency);
        if attempt.is_unqueued {
            let is_cached = attempt.is_cached;
            upstream.speed.first_token(&mut self.speed, latency, is_cached, &self.policy, now);
            self.suspect(place, now);
        }
    }

    pub(crate) fn ended(
        &mut self,
        choice: &UpstreamPlacement,
        result: &AttemptResult,
        now: ClockTime,
    ) {
        let whole = (result.outcome == AttemptOutcome::Whole).then_some(now);
        let started = self.running.get(&choice.attempt).map(|attempt| attempt.started);
        // An answer in one piece: its end was its first token.
        let in_one = whole.zip(started).map(|(now, started)| now.since(started));
        if let Some(latency) = result.first_token.or(in_one) {
            self.first_token(choice, latency, now);
        }
        let Some(attempt) = self.running.remove(&choice.attempt) else { return };
        let Some(place) = self.places.get(&attempt.sidecar).copied() else { return };
        let upstream = &mut self.upstreams[place];
        upstream.load.ended(now);
        upstream.settle_pending(choice.attempt);
        match result.outcome {
            AttemptOutcome::Whole => self.succeeded(place, &attempt, result, now),
            AttemptOutcome::Failed | AttemptOutcome::Unreachable => self.failed(place, now),
            AttemptOutcome::Cancelled => self.cancelled(place, &attempt, now),
            AttemptOutcome::Refused => upstream.ejection.undecided(),
            AttemptOutcome::Leaving => {
                upstream.ejection.undecided();
                upstream.has_left = true;
                upstream.takes_work = false;
                self.forget_usable();
            }
        }
    }

    fn succeeded(
        &mut self,
        place: usize,
        attempt: &RunningAttempt,
        result: &AttemptResult,
        now: ClockTime,
    ) {
        let upstream = &mut self.upstreams[place];
        upstream.ejection.succeeded();
        upstream.failures.add(0.0, self.policy.half_life, now);
        let took = now.since(attempt.started);
        let first_token = attempt.first_token;
        let answer = WholeAnswer { took, first_token, tokens: result.tokens.0 };
        upstream.speed.whole(&mut self.speed, &answer, &self.policy, now);
        self.suspect(place, now);
    }

    /// Guards against an upstream that hangs and goes on eating requests: their deadlines end
    /// them, its places look free again, and the next ones are sent there. A request that was
    /// given up without a first token long after one was due counts as that late a token.
    fn cancelled(&mut self, place: usize, attempt: &RunningAttempt, now: ClockTime) {
        let took = now.since(attempt.started);
        let first_token = self.speed.first_token(&self.policy);
        let upstream = &mut self.upstreams[place];
        upstream.ejection.undecided();
        let is_overdue = took.as_secs_f64() > STALL * first_token;
        if attempt.first_token.is_none() && attempt.is_unqueued && is_overdue {
            upstream.speed.overdue(&self.speed, took, &self.policy, now);
            self.suspect(place, now);
        }
    }

    fn failed(&mut self, place: usize, now: ClockTime) {
        let upstream = &mut self.upstreams[place];
        upstream.ejection.failed(&self.policy, self.random.f64(), now);
        upstream.failures.add(1.0, self.policy.half_life, now);
        self.suspect(place, now);
    }

    /// Keeps an upstream in mind for a probe, if it is ejected, slow or stalled.
    pub(crate) fn suspect(&mut self, place: usize, now: ClockTime) {
        let id = self.upstreams[place].id;
        if self.is_suspect(place, now) && !self.suspects.contains(&id) {
            self.suspects.push(id);
        }
    }

    pub(crate) fn is_suspect(&self, place: usize, now: ClockTime) -> bool {
        let upstream = &self.upstreams[place];
        upstream.ejection.is_ejected()
            || upstream.is_slow(&self.policy, now)
            || self.is_stalled(upstream, 0.0, now)
    }

    /// Without a first token for much longer than expected, `wait` seconds of queueing included.
    pub(crate) fn is_stalled(&self, upstream: &UpstreamState, wait: f64, now: ClockTime) -> bool {
        let first_token = self.speed.first_token(&self.policy);
        let expected = first_token * upstream.speed.slowness(&self.policy, now) + wait;
        upstream.stalled_for(now).as_secs_f64() > STALL * expected
    }

    pub(crate) fn counted(&mut self, sidecar: IncarnationId, beside: u32, now: ClockTime) {
        let Some(place) = self.places.get(&sidecar) else { return };
        self.upstreams[*place].load.counted(beside, now);
    }

    pub(crate) fn cache_event(
        &mut self,
        sidecar: IncarnationId,
        event: &CacheEvent,
        now: ClockTime,
    ) {
        let Some(place) = self.places.get(&sidecar) else { return };
        let upstream = &mut self.upstreams[*place];
        if event.number <= upstream.cache_number {
            return;
        }
        upstream.cache_number = event.number;
        match event.kind {
            CacheEventKind::Stored => self.prefixes.stored(event.prefix, sidecar, now),
            CacheEventKind::Evicted => self.prefixes.evicted(event.prefix, sidecar, now),
        }
    }

    /// An equal share of the capacity, or what this entry has plus its part of what is free,
    /// whichever is more: an entry that gets more callers than the others may use what they
    /// leave, and goes back to its share as they need theirs.
    pub(crate) fn room(&mut self, entries: u32, now: ClockTime) -> ServiceConcurrency {
        self.renew_totals(entries, now);
        let own = self.running.len() as f64;
        let capacity = self.totals.capacity * OVERCOMMIT;
        let free = capacity - self.totals.others - own;
        let share = capacity / f64::from(entries.max(1));
        let part = self.share.own_part(entries);
        let limit = share.max(own + free * part).ceil();
        let run_time = Duration::from_secs_f64(self.speed.run_time(&self.policy, now));
        ServiceConcurrency { limit: limit.max(1.0) as u32, run_time }
    }

    /// Requests that run, as a share of what the upstreams run at once.
    pub(crate) fn use_share(&self) -> f64 {
        (self.totals.others + self.running.len() as f64) / self.totals.capacity.max(1.0)
    }

    pub(crate) fn outlook(&mut self, entries: u32, now: ClockTime) -> LoadOutlook {
        self.renew_totals(entries, now);
        self.last_outlook(entries, now)
    }

    /// As it was when last asked for; enough to learn by, and cheap for each report.
    fn last_outlook(&self, entries: u32, now: ClockTime) -> LoadOutlook {
        let run_time = self.speed.run_time(&self.policy, now);
        LoadOutlook {
            lag: self.lag.lag(self.policy.report_lag),
            others: 1.0 / self.share.own_part(entries) - 1.0,
            others_mean: self.totals.others / self.totals.capacity.max(1.0),
            run_time: Duration::from_secs_f64(run_time),
            fading: Duration::from_secs_f64(run_time * FADING_RUNS),
            herding: HERDING,
            own_weight: OWN_WEIGHT,
        }
    }

    fn renew_totals(&mut self, entries: u32, now: ClockTime) {
        if self.totals.is_old(self.upstreams.len(), now) {
            let outlook = self.last_outlook(entries, now);
            self.totals = ServiceTotals::of(&self.upstreams, &outlook, now);
        }
    }
}
