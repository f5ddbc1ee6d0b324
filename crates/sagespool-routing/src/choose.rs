//! Choice of an upstream of one service.

use std::sync::Arc;

use sagespool_types::{ClockTime, IncarnationId, ModelName};

use crate::affinity::PrefixEvidence;
use crate::ejection::Availability;
use crate::load::LoadContext;
use crate::service::ServiceState;
use crate::{PlacementQuery, PolicyKind, UpstreamPlacement, baseline};

/// Candidates taken from the ring for a prefix.
const RING_CANDIDATES: usize = 2;
/// Ring points visited in search of usable upstreams.
const MAX_RING_STEPS: usize = 64;
/// Assumed probabilities that a prefix is cached: on its first and second upstream on the ring,
/// to which all entries send it; where this entry sent it recently; where the engine reported it.
const RING_HIT_PROBABILITY: [f64; RING_CANDIDATES] = [1.0, 0.5];
const SENT_HIT_PROBABILITY: f64 = 0.4;
const STORED_HIT_PROBABILITY: f64 = 1.0;
/// Variance of an estimated load for each slot of the upstream.
const LOAD_VARIANCE_PER_SLOT: f64 = 1.0;
/// Utilization from which a cached prefix gets an extra bonus for a request that has waited:
/// it frees its slot earlier, which saves more time for queued requests than for the request.
const BUSY_UTILIZATION: f64 = 0.9;
/// Extra bonus of a cached prefix at full utilization, as a multiple of its gain.
const BUSY_GAIN_FACTOR: f64 = 2.0;
/// At most one request of this many probes a slow upstream, since its caller waits longer.
const REQUESTS_PER_SLOW_PROBE: u32 = 200;
/// Costs that differ by no more than this are equal.
const TIE_SECONDS: f64 = 1e-4;

/// Inputs to the cost of all candidates of one request; times in seconds.
struct CostFactors {
    context: LoadContext,
    first_token: f64,
    run_time: f64,
    prefix_gain: f64,
    /// Extra bonus of a cached prefix at high utilization.
    busy_gain: f64,
}

/// An upstream that may have the request's prefix cached.
struct PrefixCandidate {
    index: usize,
    hit_probability: f64,
}

impl ServiceState {
    pub(crate) fn choose(
        &mut self,
        query: &PlacementQuery,
        entries: u32,
        now: ClockTime,
    ) -> Option<UpstreamPlacement> {
        let usable = self.usable(query.model.as_ref());
        let index = match self.policy.kind {
            PolicyKind::Sagespool => self.choose_by_cost(&usable, query, entries, now),
            kind => self.choose_baseline(&usable, query, kind),
        };
        index.map(|index| self.make_placement(index, query, now))
    }

    /// Indexes of the upstreams that accept requests for a model.
    fn usable(&mut self, model: Option<&ModelName>) -> Arc<Vec<usize>> {
        let model = model.cloned();
        if let Some(usable) = self.usable.get(&model) {
            return usable.clone();
        }
        let all = 0..self.upstreams.len();
        let usable = Arc::new(all.filter(|index| self.is_usable(*index, model.as_ref())).collect());
        self.usable.insert(model, Arc::clone(&usable));
        usable
    }

    fn is_usable(&self, index: usize, model: Option<&ModelName>) -> bool {
        let upstream = &self.upstreams[index];
        upstream.accepts_requests && upstream.serves(model)
    }

    fn choose_baseline(
        &mut self,
        usable: &[usize],
        query: &PlacementQuery,
        kind: PolicyKind,
    ) -> Option<usize> {
        let is_untried = |index: &usize| !query.exclude.contains(&self.upstreams[*index].id);
        let untried: Vec<usize> = usable.iter().copied().filter(is_untried).collect();
        let (upstreams, random) = (&self.upstreams, &mut self.random);
        match kind {
            PolicyKind::RoundRobin => baseline::round_robin(&untried, &mut self.cursor),
            PolicyKind::TwoChoices => baseline::two_choices(&untried, upstreams, random),
            _ => baseline::least_reported(&untried, upstreams, random),
        }
    }

    fn choose_by_cost(
        &mut self,
        usable: &[usize],
        query: &PlacementQuery,
        entries: u32,
        now: ClockTime,
    ) -> Option<usize> {
        if query.may_probe
            && let Some(due) = self.due_probe(query, now)
        {
            return Some(due);
        }
        let cached = self.prefix_candidates(query, now);
        let mut available = self.candidates(usable, &cached);
        available.retain(|index| {
            let upstream = &self.upstreams[*index];
            upstream.ejection.availability(now) == Availability::Available
                && !query.exclude.contains(&upstream.id)
        });
        if available.is_empty() {
            return self.choose_fallback(usable, query, now);
        }
        let factors = self.cost_factors(entries, query.has_waited, now);
        let costs = available.iter().map(|index| self.cost(*index, &cached, &factors, now));
        let costs: Vec<f64> = costs.collect();
        for index in &available {
            self.note_if_impaired(*index, now);
        }
        let least = costs.iter().copied().fold(f64::INFINITY, f64::min);
        let tied = available.iter().zip(&costs).filter(|(_, cost)| **cost <= least + TIE_SECONDS);
        let tied: Vec<usize> = tied.map(|(index, _)| *index).collect();
        self.random.choice(&tied).copied()
    }

    /// Checks one impaired upstream per call for a due probe: an ejected one after its ejection
    /// time, a slow or stalled one after a pause without requests.
    fn due_probe(&mut self, query: &PlacementQuery, now: ClockTime) -> Option<usize> {
        self.choices_since_probe = self.choices_since_probe.saturating_add(1);
        let next = self.cursor.checked_rem(self.impaired.len())?;
        self.cursor = self.cursor.wrapping_add(1);
        let id = self.impaired[next];
        let index = *self.indexes.get(&id)?;
        if !self.is_impaired(index, now) {
            self.impaired.swap_remove(next);
            return None;
        }
        if !self.is_usable(index, query.model.as_ref()) || query.exclude.contains(&id) {
            return None;
        }
        let upstream = &self.upstreams[index];
        if upstream.ejection.is_ejected() {
            return (upstream.ejection.availability(now) == Availability::ProbeDue)
                .then_some(index);
        }
        if !upstream.is_probe_due(&self.policy, now)
            || self.choices_since_probe < REQUESTS_PER_SLOW_PROBE
        {
            return None;
        }
        self.choices_since_probe = 0;
        Some(index)
    }

    /// Used when no candidate is available. Considers all upstreams; if all are ejected, returns
    /// one without a probe in flight, which is better than refusing every request until the first
    /// ejection ends.
    fn choose_fallback(
        &mut self,
        usable: &[usize],
        query: &PlacementQuery,
        now: ClockTime,
    ) -> Option<usize> {
        let is_untried = |index: &&usize| !query.exclude.contains(&self.upstreams[**index].id);
        let untried: Vec<usize> = usable.iter().filter(is_untried).copied().collect();
        let availability = |index: &&usize| self.upstreams[**index].ejection.availability(now);
        let available =
            untried.iter().filter(|index| availability(index) == Availability::Available);
        let available: Vec<usize> = available.copied().collect();
        if !available.is_empty() {
            return self.random.choice(&available).copied();
        }
        let probeable =
            untried.iter().filter(|index| self.upstreams[**index].ejection.may_probe(now));
        let probeable: Vec<usize> = probeable.copied().collect();
        self.random.choice(&probeable).copied()
    }

    /// All upstreams if they are few; otherwise a random sample and the prefix candidates, so
    /// that the cost of a choice does not grow with the number of upstreams.
    fn candidates(&mut self, usable: &[usize], cached: &[PrefixCandidate]) -> Vec<usize> {
        if usable.len() <= self.policy.full_scan_limit {
            return usable.to_vec();
        }
        let mut candidates: Vec<usize> = cached.iter().map(|candidate| candidate.index).collect();
        for _ in 0..self.policy.sample_size {
            candidates.extend(self.random.choice(usable));
        }
        candidates.sort_unstable();
        candidates.dedup();
        candidates
    }

    fn prefix_candidates(&self, query: &PlacementQuery, now: ClockTime) -> Vec<PrefixCandidate> {
        let Some(prefix) = query.prefix else { return Vec::new() };
        let mut found: Vec<PrefixCandidate> = Vec::with_capacity(RING_CANDIDATES + 4);
        for id in self.ring.upstreams_from(prefix).take(MAX_RING_STEPS) {
            if found.len() == RING_CANDIDATES {
                break;
            }
            let hit_probability = RING_HIT_PROBABILITY[found.len()];
            self.add_candidate(&mut found, id, hit_probability, query);
        }
        for (id, evidence) in self.prefixes.holders(prefix, self.policy.prefix_expiry, now) {
            let hit_probability = match evidence {
                PrefixEvidence::Sent => SENT_HIT_PROBABILITY,
                PrefixEvidence::Stored => STORED_HIT_PROBABILITY,
            };
            self.add_candidate(&mut found, id, hit_probability, query);
        }
        found
    }

    fn add_candidate(
        &self,
        found: &mut Vec<PrefixCandidate>,
        id: IncarnationId,
        hit_probability: f64,
        query: &PlacementQuery,
    ) {
        let Some(index) = self.indexes.get(&id).copied() else { return };
        if !self.is_usable(index, query.model.as_ref()) {
            return;
        }
        match found.iter_mut().find(|candidate| candidate.index == index) {
            Some(known) => known.hit_probability = known.hit_probability.max(hit_probability),
            None => found.push(PrefixCandidate { index, hit_probability }),
        }
    }

    fn cost_factors(&mut self, entries: u32, has_waited: bool, now: ClockTime) -> CostFactors {
        let context = self.context(entries, now);
        let busy =
            ((self.utilization() - BUSY_UTILIZATION) / (1.0 - BUSY_UTILIZATION)).clamp(0.0, 1.0);
        let busy = if has_waited { busy } else { 0.0 };
        let prefix_gain = self.speed.prefix_gain(&self.policy, now);
        let busy_gain = prefix_gain * BUSY_GAIN_FACTOR * busy;
        CostFactors {
            context,
            first_token: self.speed.first_token(&self.policy),
            run_time: self.speed.run_time(&self.policy, now),
            prefix_gain,
            busy_gain,
        }
    }

    /// Predicted time to the first token in seconds, plus the expected cost of a failure.
    fn cost(
        &self,
        index: usize,
        cached: &[PrefixCandidate],
        factors: &CostFactors,
        now: ClockTime,
    ) -> f64 {
        let upstream = &self.upstreams[index];
        let capacity = f64::from(upstream.capacity);
        let load = upstream.load.estimate(&factors.context, capacity, now);
        let slowness = upstream.speed.slowness(&self.policy, now);
        let over = load + 1.0 - capacity;
        let waiting = (over + (over * over + capacity * LOAD_VARIANCE_PER_SLOT).sqrt()) / 2.0;
        let wait = waiting * factors.run_time * slowness / capacity;
        let candidate = cached.iter().find(|candidate| candidate.index == index);
        let hit_probability = candidate.map_or(0.0, |candidate| candidate.hit_probability);
        let first_token = (factors.first_token - factors.prefix_gain * hit_probability) * slowness;
        let busy_bonus = factors.busy_gain * hit_probability;
        // Missing first tokens reveal an upstream that hangs long before its requests end.
        let is_stalled = self.is_stalled(upstream, wait, now);
        let stalled = if is_stalled { upstream.stalled_for(now).as_secs_f64() } else { 0.0 };
        let failures = upstream.failures.value(0.0, self.policy.half_life, now);
        let failure_cost = failures * self.policy.failure_cost.as_secs_f64();
        let centre_penalty =
            if upstream.is_same_centre { 0.0 } else { self.policy.centre_penalty.as_secs_f64() };
        (first_token + wait).max(stalled) + failure_cost + centre_penalty - busy_bonus
    }

    fn make_placement(
        &mut self,
        index: usize,
        query: &PlacementQuery,
        now: ClockTime,
    ) -> UpstreamPlacement {
        let upstream = &mut self.upstreams[index];
        let is_probe = self.policy.kind == PolicyKind::Sagespool && upstream.ejection.is_ejected();
        if is_probe {
            upstream.ejection.probe_sent(now);
        }
        let sidecar = upstream.id;
        let (address, name) = (upstream.address, upstream.name.clone());
        let is_cached = query.prefix.is_some_and(|prefix| self.is_cached(prefix, sidecar, now));
        if let Some(prefix) = query.prefix {
            self.prefixes.sent(prefix, sidecar, now);
        }
        self.next_attempt += 1;
        UpstreamPlacement {
            sidecar,
            address,
            upstream: name,
            service: query.service.clone(),
            is_cached,
            is_probe,
            attempt: self.next_attempt,
        }
    }

    fn is_cached(&self, prefix: u128, sidecar: IncarnationId, now: ClockTime) -> bool {
        let mut holders = self.prefixes.holders(prefix, self.policy.prefix_expiry, now);
        holders.any(|(id, _)| id == sidecar)
    }
}
