//! The upstreams of one service, and the choice among them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use fastrand::Rng;
use sagespool_messages::{MemberInfo, ServedUpstream};
use sagespool_types::{
    CentreName, ClockTime, IncarnationId, ModelName, ServiceName, TokenCount, UpstreamName, derives,
};

use crate::affinity::{CacheEvent, CacheEventKind, PrefixMemory, PrefixRing};
use crate::ejection::UseState;
use crate::smooth::SmoothedValue;
use crate::upstream::UpstreamState;
use crate::{PolicyKind, RoutingPolicy, baseline};

/// How many upstreams the ring offers for a prefix.
const RING_CANDIDATES: usize = 2;
/// How far along the ring a usable one is looked for.
const RING_STEPS: usize = 64;
/// Costs closer than this, in seconds, are a tie.
const TIE: f64 = 1e-4;

/// What a request needs of an upstream.
#[derive(Debug, Clone, bon::Builder)]
pub struct RouteWish {
    /// The service that runs it.
    pub service: ServiceName,
    /// The model it names, for an engine.
    pub model: Option<ModelName>,
    /// The prompt's prefix: xxh3-128 of its first 256 bytes, for an engine.
    pub prefix: Option<u128>,
    /// Sidecars that were tried already.
    #[builder(default)]
    pub exclude: Vec<IncarnationId>,
    /// The most tokens the answer may have; zero for a plain service.
    #[builder(default)]
    pub tokens: TokenCount,
    /// Whether it may be the single request that probes an upstream that failed before.
    /// Say no for a request that can't be run again.
    #[builder(default = true)]
    pub may_probe: bool,
}

/// Where a request goes. Hand it back to [`crate::UpstreamTable::started`],
/// [`crate::UpstreamTable::first_token`] and [`crate::UpstreamTable::ended`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteChoice {
    /// The sidecar's incarnation.
    pub sidecar: IncarnationId,
    /// Where its link listens.
    pub address: SocketAddr,
    /// The upstream beside it.
    pub upstream: UpstreamName,
    /// The service.
    pub service: ServiceName,
    /// True if the prefix is believed to be cached there.
    pub is_cached: bool,
    /// True if this request probes an upstream that failed before.
    pub is_probe: bool,
    /// Counts the choices of this table.
    pub attempt: u64,
}

derives! { value;
    /// How an attempt ended, as far as it says something about the upstream.
    #[serde(rename_all = "kebab-case")]
    pub enum AttemptOutcome {
        /// The answer is whole.
        Whole,
        /// The caller or its deadline ended it.
        Cancelled,
        /// The sidecar refused it before it ran, for a reason that isn't the upstream's.
        Refused,
        /// The upstream failed on it.
        Failed,
        /// The upstream or its sidecar went down, or couldn't be reached.
        Unreachable,
        /// The sidecar said that it is leaving: its incarnation gets nothing new.
        Leaving,
    }
}

impl AttemptOutcome {
    fn is_failure(self) -> bool {
        matches!(self, Self::Failed | Self::Unreachable)
    }
}

derives! { record;
    /// How an attempt went.
    pub struct AttemptResult {
        /// Time from the dispatch to the first token or byte, if one came and
        /// [`crate::UpstreamTable::first_token`] has not said so already.
        pub first_token: Option<Duration>,
        /// Tokens of the answer that this attempt produced; zero if unknown or for a service.
        pub tokens: TokenCount,
        /// How it ended.
        pub outcome: AttemptOutcome,
    }
}

/// How many requests an entry may have running in a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceRoom {
    /// Requests of this entry that may run at once, those that run included.
    pub limit: u32,
    /// How long a request holds its place, as measured lately.
    pub run_time: Duration,
}

#[derive(Debug, Clone, Copy)]
struct RunningAttempt {
    sidecar: IncarnationId,
    started: ClockTime,
    /// Nothing waited before it, so its first token measures the upstream alone.
    is_unqueued: bool,
    is_cached: bool,
}

/// The upstreams of one service.
#[derive(Debug)]
pub(crate) struct ServiceState {
    upstreams: Vec<UpstreamState>,
    places: HashMap<IncarnationId, usize>,
    ring: PrefixRing,
    prefixes: PrefixMemory,
    running: HashMap<u64, RunningAttempt>,
    first_token: SmoothedValue,
    run_time: SmoothedValue,
    usable: HashMap<Option<ModelName>, Vec<usize>>,
    turn: usize,
    random: Rng,
    next_attempt: u64,
}

impl ServiceState {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            upstreams: Vec::new(),
            places: HashMap::new(),
            ring: PrefixRing::default(),
            prefixes: PrefixMemory::default(),
            running: HashMap::new(),
            first_token: SmoothedValue::default(),
            run_time: SmoothedValue::default(),
            usable: HashMap::new(),
            turn: 0,
            random: Rng::with_seed(seed),
            next_attempt: 0,
        }
    }

    pub(crate) fn observe(
        &mut self,
        member: &MemberInfo,
        served: &ServedUpstream,
        own_centre: &CentreName,
        policy: &RoutingPolicy,
        now: ClockTime,
    ) {
        let place = match self.places.get(&member.incarnation) {
            Some(place) => *place,
            None => self.insert(member, served),
        };
        let has_changed = self.upstreams[place].observe(member, served, own_centre, policy, now);
        if has_changed {
            self.usable.clear();
        }
    }

    fn insert(&mut self, member: &MemberInfo, served: &ServedUpstream) -> usize {
        let place = self.upstreams.len();
        self.places.insert(member.incarnation, place);
        self.ring.insert(&served.upstream, member.incarnation);
        self.upstreams.push(UpstreamState::new(member, served));
        self.usable.clear();
        place
    }

    pub(crate) fn remove(&mut self, id: IncarnationId) {
        let Some(place) = self.places.remove(&id) else { return };
        let gone = self.upstreams.swap_remove(place);
        self.ring.remove(&gone.name, id);
        if let Some(moved) = self.upstreams.get(place) {
            self.places.insert(moved.id, place);
        }
        self.usable.clear();
    }

    pub(crate) fn choose(
        &mut self,
        wish: &RouteWish,
        entries: u32,
        policy: &RoutingPolicy,
        now: ClockTime,
    ) -> Option<RouteChoice> {
        let usable = self.take_usable(wish.model.as_ref());
        let place = match policy.kind {
            PolicyKind::Sagespool => self.choose_predicted(&usable, wish, entries, policy, now),
            _ => self.choose_baseline(&usable, wish, policy.kind),
        };
        self.usable.insert(wish.model.clone(), usable);
        place.map(|place| self.make_choice(place, wish, policy, now))
    }

    /// Upstreams that may get new work for a model, computed once until something changes.
    fn take_usable(&mut self, model: Option<&ModelName>) -> Vec<usize> {
        let model = model.cloned();
        if let Some(usable) = self.usable.remove(&model) {
            return usable;
        }
        let all = self.upstreams.iter().enumerate();
        let fits =
            all.filter(|(_, upstream)| upstream.takes_work && upstream.serves(model.as_ref()));
        fits.map(|(place, _)| place).collect()
    }

    fn choose_baseline(
        &mut self,
        usable: &[usize],
        wish: &RouteWish,
        kind: PolicyKind,
    ) -> Option<usize> {
        let untried = |place: &usize| !wish.exclude.contains(&self.upstreams[*place].id);
        let filtered: Vec<usize>;
        let usable = if wish.exclude.is_empty() {
            usable
        } else {
            filtered = usable.iter().copied().filter(untried).collect();
            &filtered
        };
        match kind {
            PolicyKind::RoundRobin => baseline::round_robin(usable, &mut self.turn),
            PolicyKind::TwoChoices => {
                baseline::two_choices(usable, &self.upstreams, &mut self.random)
            }
            _ => baseline::least_reported(usable, &self.upstreams, &mut self.random),
        }
    }

    fn choose_predicted(
        &mut self,
        usable: &[usize],
        wish: &RouteWish,
        entries: u32,
        policy: &RoutingPolicy,
        now: ClockTime,
    ) -> Option<usize> {
        let mut candidates = self.candidates(usable, wish, policy, now);
        candidates.retain(|place| !wish.exclude.contains(&self.upstreams[*place].id));
        let state = |place: &usize| self.upstreams[*place].ejection.state(now);
        if wish.may_probe
            && let Some(due) = candidates.iter().find(|place| state(place) == UseState::ProbeDue)
        {
            return Some(*due);
        }
        let open: Vec<usize> =
            candidates.iter().copied().filter(|place| state(place) == UseState::Open).collect();
        if open.is_empty() {
            return self.choose_ejected(usable, wish, now);
        }
        let costs: Vec<f64> =
            open.iter().map(|place| self.cost(*place, wish, entries, policy, now)).collect();
        let least = costs.iter().copied().fold(f64::INFINITY, f64::min);
        let tied = open.iter().zip(&costs).filter(|(_, cost)| **cost <= least + TIE);
        let tied: Vec<usize> = tied.map(|(place, _)| *place).collect();
        self.random.choice(&tied).copied()
    }

    /// All that are left failed lately: refusing everything would be worse than
    /// trying each with one request at a time.
    fn choose_ejected(&self, usable: &[usize], wish: &RouteWish, now: ClockTime) -> Option<usize> {
        let free = usable.iter().filter(|place| {
            let upstream = &self.upstreams[**place];
            upstream.ejection.is_free(now) && !wish.exclude.contains(&upstream.id)
        });
        free.copied().next()
    }

    fn candidates(
        &mut self,
        usable: &[usize],
        wish: &RouteWish,
        policy: &RoutingPolicy,
        now: ClockTime,
    ) -> Vec<usize> {
        if usable.len() <= policy.full_scan {
            return usable.to_vec();
        }
        let mut candidates = Vec::with_capacity(policy.samples + 8);
        if let Some(prefix) = wish.prefix {
            candidates.extend(self.ring_candidates(prefix, wish));
            let holders = self.prefixes.holders(prefix, policy.prefix_expiry, now);
            candidates.extend(holders.filter_map(|id| self.places.get(&id)).filter(|place| {
                let upstream = &self.upstreams[**place];
                upstream.takes_work && upstream.serves(wish.model.as_ref())
            }));
        }
        for _ in 0..policy.samples {
            candidates.extend(self.random.choice(usable));
        }
        candidates.sort_unstable();
        candidates.dedup();
        candidates
    }

    fn ring_candidates(&self, prefix: u128, wish: &RouteWish) -> Vec<usize> {
        let mut found = Vec::with_capacity(RING_CANDIDATES);
        for id in self.ring.from(prefix).take(RING_STEPS) {
            let Some(place) = self.places.get(&id) else { continue };
            let upstream = &self.upstreams[*place];
            let fits = upstream.takes_work && upstream.serves(wish.model.as_ref());
            if fits && !found.contains(place) {
                found.push(*place);
            }
            if found.len() == RING_CANDIDATES {
                break;
            }
        }
        found
    }

    /// The predicted time to the first token, in seconds, with what may go wrong.
    fn cost(
        &self,
        place: usize,
        wish: &RouteWish,
        entries: u32,
        policy: &RoutingPolicy,
        now: ClockTime,
    ) -> f64 {
        let upstream = &self.upstreams[place];
        let load = upstream.load.estimate(entries, policy, now);
        let capacity = f64::from(upstream.capacity);
        let all_first = self.all_first_token(policy, now);
        let first = upstream.first_token.value(all_first, policy.half_life, now);
        let all_run = self.all_run_time(policy, now);
        let run = upstream.run_time.value(all_run, policy.half_life, now);
        let over = load + 1.0 - capacity;
        let waiting = (over + (over * over + 1.0).sqrt()) / 2.0;
        let wait = waiting * run / capacity;
        let expected = (first + wait).max(upstream.oldest_pending(now).as_secs_f64() - wait);
        let failing = upstream.failures.value(0.0, policy.half_life, now);
        let far = if upstream.is_near { 0.0 } else { policy.centre_penalty.as_secs_f64() };
        let gain = if self.is_cached(place, wish, policy, now) {
            policy.prefix_gain.as_secs_f64()
        } else {
            0.0
        };
        expected + failing * policy.failure_cost.as_secs_f64() + far - gain
    }

    fn is_cached(
        &self,
        place: usize,
        wish: &RouteWish,
        policy: &RoutingPolicy,
        now: ClockTime,
    ) -> bool {
        let Some(prefix) = wish.prefix else { return false };
        let id = self.upstreams[place].id;
        self.prefixes.holders(prefix, policy.prefix_expiry, now).any(|holder| holder == id)
    }

    fn all_first_token(&self, policy: &RoutingPolicy, now: ClockTime) -> f64 {
        self.first_token.value(policy.first_token.as_secs_f64(), policy.half_life, now)
    }

    fn all_run_time(&self, policy: &RoutingPolicy, now: ClockTime) -> f64 {
        self.run_time.value(policy.run_time.as_secs_f64(), policy.half_life, now)
    }

    fn make_choice(
        &mut self,
        place: usize,
        wish: &RouteWish,
        policy: &RoutingPolicy,
        now: ClockTime,
    ) -> RouteChoice {
        let is_cached = self.is_cached(place, wish, policy, now);
        let upstream = &mut self.upstreams[place];
        let is_probe = policy.kind == PolicyKind::Sagespool && upstream.ejection.is_ejected();
        if is_probe {
            upstream.ejection.probe_sent(now);
        }
        let sidecar = upstream.id;
        if let Some(prefix) = wish.prefix {
            self.prefixes.note(prefix, sidecar, policy.prefixes, now);
        }
        self.next_attempt += 1;
        RouteChoice {
            sidecar,
            address: upstream.address,
            upstream: upstream.name.clone(),
            service: wish.service.clone(),
            is_cached,
            is_probe,
            attempt: self.next_attempt,
        }
    }

    pub(crate) fn started(
        &mut self,
        choice: &RouteChoice,
        entries: u32,
        policy: &RoutingPolicy,
        now: ClockTime,
    ) {
        let Some(place) = self.places.get(&choice.sidecar) else { return };
        let upstream = &mut self.upstreams[*place];
        let load = upstream.load.estimate(entries, policy, now);
        let attempt = RunningAttempt {
            sidecar: choice.sidecar,
            started: now,
            is_unqueued: load < f64::from(upstream.capacity),
            is_cached: choice.is_cached,
        };
        upstream.load.started(now);
        upstream.pending.push_back((choice.attempt, now));
        self.running.insert(choice.attempt, attempt);
    }

    pub(crate) fn first_token(
        &mut self,
        choice: &RouteChoice,
        latency: Duration,
        policy: &RoutingPolicy,
        now: ClockTime,
    ) {
        let Some(attempt) = self.running.get(&choice.attempt).copied() else { return };
        let Some(place) = self.places.get(&choice.sidecar) else { return };
        let upstream = &mut self.upstreams[*place];
        if !upstream.settle_pending(choice.attempt) {
            return;
        }
        if attempt.is_unqueued && !attempt.is_cached {
            let seconds = latency.as_secs_f64();
            upstream.first_token.add(seconds, policy.half_life, now);
            self.first_token.add(seconds, policy.half_life, now);
        }
    }

    pub(crate) fn ended(
        &mut self,
        choice: &RouteChoice,
        result: &AttemptResult,
        policy: &RoutingPolicy,
        now: ClockTime,
    ) {
        if let Some(latency) = result.first_token {
            self.first_token(choice, latency, policy, now);
        }
        let Some(attempt) = self.running.remove(&choice.attempt) else { return };
        let Some(place) = self.places.get(&attempt.sidecar) else { return };
        let upstream = &mut self.upstreams[*place];
        upstream.load.ended(now);
        upstream.settle_pending(choice.attempt);
        let is_failure = result.outcome.is_failure();
        match result.outcome {
            AttemptOutcome::Whole => {
                upstream.ejection.succeeded();
                upstream.failures.add(0.0, policy.half_life, now);
                let seconds = now.since(attempt.started).as_secs_f64();
                upstream.run_time.add(seconds, policy.half_life, now);
                self.run_time.add(seconds, policy.half_life, now);
            }
            _ if is_failure => {
                upstream.ejection.failed(policy, self.random.f64(), now);
                upstream.failures.add(1.0, policy.half_life, now);
            }
            AttemptOutcome::Leaving => {
                upstream.ejection.undecided();
                upstream.has_left = true;
                upstream.takes_work = false;
                self.usable.clear();
            }
            _ => upstream.ejection.undecided(),
        }
    }

    pub(crate) fn cache_event(
        &mut self,
        sidecar: IncarnationId,
        event: &CacheEvent,
        policy: &RoutingPolicy,
        now: ClockTime,
    ) {
        let Some(place) = self.places.get(&sidecar) else { return };
        let upstream = &mut self.upstreams[*place];
        if event.number <= upstream.cache_number {
            return;
        }
        upstream.cache_number = event.number;
        match event.kind {
            CacheEventKind::Stored => {
                self.prefixes.note(event.prefix, sidecar, policy.prefixes, now);
            }
            CacheEventKind::Evicted => self.prefixes.forget(event.prefix, sidecar),
        }
    }

    pub(crate) fn room(&self, entries: u32, policy: &RoutingPolicy, now: ClockTime) -> ServiceRoom {
        let mut capacity = 0.0;
        let mut spare = 0.0;
        let mut own = 0;
        for upstream in &self.upstreams {
            own += upstream.load.own();
            let is_open = upstream.ejection.state(now) == UseState::Open;
            if !upstream.takes_work || !is_open {
                continue;
            }
            let places = f64::from(upstream.capacity);
            capacity += places;
            spare += places - upstream.load.estimate(entries, policy, now);
        }
        let entries = f64::from(entries.max(1));
        let share = (capacity / entries).ceil();
        let reached = f64::from(own) + spare / entries;
        let limit = share.max(reached).max(1.0) as u32;
        ServiceRoom { limit, run_time: Duration::from_secs_f64(self.all_run_time(policy, now)) }
    }
}
