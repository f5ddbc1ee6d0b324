//! The choice among a service's upstreams.

use std::sync::Arc;

use sagespool_types::{ClockTime, IncarnationId, ModelName};

use crate::affinity::PrefixBelief;
use crate::ejection::UseState;
use crate::load::LoadOutlook;
use crate::service::ServiceState;
use crate::{PlacementQuery, PolicyKind, UpstreamPlacement, baseline};

/// How many upstreams the ring offers for a prefix.
const RING_CANDIDATES: usize = 2;
/// How far along the ring a usable one is looked for.
const RING_STEPS: usize = 64;
/// How likely a prefix is cached, by why it is believed: first and second on the ring, where
/// all entries send it, sent there by this entry lately, reported by the engine.
const RING_BELIEF: [f64; RING_CANDIDATES] = [1.0, 0.5];
const SENT_BELIEF: f64 = 0.4;
const STORED_BELIEF: f64 = 1.0;
/// Variance of an estimated load, for each place of the upstream.
const UNKNOWN_LOAD: f64 = 1.0;
/// From this use of the upstreams on, a place is worth more to those that wait than to the
/// request itself, and so is a cached prefix, which frees its place earlier.
const BUSY: f64 = 0.9;
/// How many times its gain a cached prefix counts beyond that, where all places are taken.
const BUSY_GAIN: f64 = 2.0;
/// Of so many requests at most one probes a slow upstream: its caller waits longer.
const SLOW_PROBE_SHARE: u32 = 200;
/// Costs closer than this, in seconds, are a tie.
const TIE: f64 = 1e-4;

/// What one choice weighs the upstreams by, in seconds.
struct ChoiceScale {
    outlook: LoadOutlook,
    first_token: f64,
    run_time: f64,
    prefix_gain: f64,
    /// What a cached prefix is worth to those that wait, beyond that.
    busy_gain: f64,
}

/// An upstream that may hold the wish's prefix.
struct PrefixCandidate {
    place: usize,
    belief: f64,
}

impl ServiceState {
    pub(crate) fn choose(
        &mut self,
        wish: &PlacementQuery,
        entries: u32,
        now: ClockTime,
    ) -> Option<UpstreamPlacement> {
        let usable = self.usable(wish.model.as_ref());
        let place = match self.policy.kind {
            PolicyKind::Sagespool => self.choose_predicted(&usable, wish, entries, now),
            kind => self.choose_baseline(&usable, wish, kind),
        };
        place.map(|place| self.make_choice(place, wish, now))
    }

    /// Upstreams that may get new work for a model.
    fn usable(&mut self, model: Option<&ModelName>) -> Arc<Vec<usize>> {
        let model = model.cloned();
        if let Some(usable) = self.usable.get(&model) {
            return usable.clone();
        }
        let all = 0..self.upstreams.len();
        let usable = Arc::new(all.filter(|place| self.fits(*place, model.as_ref())).collect());
        self.usable.insert(model, Arc::clone(&usable));
        usable
    }

    fn fits(&self, place: usize, model: Option<&ModelName>) -> bool {
        let upstream = &self.upstreams[place];
        upstream.takes_work && upstream.serves(model)
    }

    fn choose_baseline(
        &mut self,
        usable: &[usize],
        wish: &PlacementQuery,
        kind: PolicyKind,
    ) -> Option<usize> {
        let is_untried = |place: &usize| !wish.exclude.contains(&self.upstreams[*place].id);
        let untried: Vec<usize> = usable.iter().copied().filter(is_untried).collect();
        let (upstreams, random) = (&self.upstreams, &mut self.random);
        match kind {
            PolicyKind::RoundRobin => baseline::round_robin(&untried, &mut self.turn),
            PolicyKind::TwoChoices => baseline::two_choices(&untried, upstreams, random),
            _ => baseline::least_reported(&untried, upstreams, random),
        }
    }

    fn choose_predicted(
        &mut self,
        usable: &[usize],
        wish: &PlacementQuery,
        entries: u32,
        now: ClockTime,
    ) -> Option<usize> {
        if wish.may_probe
            && let Some(due) = self.due_probe(wish, now)
        {
            return Some(due);
        }
        let cached = self.prefix_candidates(wish, now);
        let mut open = self.candidates(usable, &cached);
        open.retain(|place| {
            let upstream = &self.upstreams[*place];
            upstream.ejection.state(now) == UseState::Open && !wish.exclude.contains(&upstream.id)
        });
        if open.is_empty() {
            return self.choose_last(usable, wish, now);
        }
        let scale = self.scale(entries, wish.has_waited, now);
        let costs = open.iter().map(|place| self.cost(*place, &cached, &scale, now));
        let costs: Vec<f64> = costs.collect();
        for place in &open {
            self.suspect(*place, now);
        }
        let least = costs.iter().copied().fold(f64::INFINITY, f64::min);
        let tied = open.iter().zip(&costs).filter(|(_, cost)| **cost <= least + TIE);
        let tied: Vec<usize> = tied.map(|(place, _)| *place).collect();
        self.random.choice(&tied).copied()
    }

    /// Looks at one suspect a time, whether it may be probed: an ejected one once its time is
    /// over, a slow or stalled one once it hasn't been tried for a while.
    fn due_probe(&mut self, wish: &PlacementQuery, now: ClockTime) -> Option<usize> {
        self.unprobed = self.unprobed.saturating_add(1);
        let next = self.turn.checked_rem(self.suspects.len())?;
        self.turn = self.turn.wrapping_add(1);
        let id = self.suspects[next];
        let place = *self.places.get(&id)?;
        if !self.is_suspect(place, now) {
            self.suspects.swap_remove(next);
            return None;
        }
        if !self.fits(place, wish.model.as_ref()) || wish.exclude.contains(&id) {
            return None;
        }
        let upstream = &self.upstreams[place];
        if upstream.ejection.is_ejected() {
            return (upstream.ejection.state(now) == UseState::ProbeDue).then_some(place);
        }
        if !upstream.is_trial_due(&self.policy, now) || self.unprobed < SLOW_PROBE_SHARE {
            return None;
        }
        self.unprobed = 0;
        Some(place)
    }

    /// No open upstream was among the candidates. Looks at all, and where all are ejected
    /// tries one that no probe is out to: refusing everything until the first ejection ends
    /// would be worse.
    fn choose_last(
        &mut self,
        usable: &[usize],
        wish: &PlacementQuery,
        now: ClockTime,
    ) -> Option<usize> {
        let is_untried = |place: &&usize| !wish.exclude.contains(&self.upstreams[**place].id);
        let untried: Vec<usize> = usable.iter().filter(is_untried).copied().collect();
        let state = |place: &&usize| self.upstreams[**place].ejection.state(now);
        let open = untried.iter().filter(|place| state(place) == UseState::Open);
        let open: Vec<usize> = open.copied().collect();
        if !open.is_empty() {
            return self.random.choice(&open).copied();
        }
        let free = untried.iter().filter(|place| self.upstreams[**place].ejection.is_free(now));
        let free: Vec<usize> = free.copied().collect();
        self.random.choice(&free).copied()
    }

    /// All upstreams where they are few; else a random sample and those that may hold the
    /// prefix, so that the cost of a choice doesn't grow with the service.
    fn candidates(&mut self, usable: &[usize], cached: &[PrefixCandidate]) -> Vec<usize> {
        if usable.len() <= self.policy.full_scan {
            return usable.to_vec();
        }
        let mut candidates: Vec<usize> = cached.iter().map(|candidate| candidate.place).collect();
        for _ in 0..self.policy.samples {
            candidates.extend(self.random.choice(usable));
        }
        candidates.sort_unstable();
        candidates.dedup();
        candidates
    }

    fn prefix_candidates(&self, wish: &PlacementQuery, now: ClockTime) -> Vec<PrefixCandidate> {
        let Some(prefix) = wish.prefix else { return Vec::new() };
        let mut found: Vec<PrefixCandidate> = Vec::with_capacity(RING_CANDIDATES + 4);
        for id in self.ring.from(prefix).take(RING_STEPS) {
            if found.len() == RING_CANDIDATES {
                break;
            }
            let belief = RING_BELIEF[found.len()];
            self.add_candidate(&mut found, id, belief, wish);
        }
        for (id, belief) in self.prefixes.holders(prefix, self.policy.prefix_expiry, now) {
            let belief = match belief {
                PrefixBelief::Sent => SENT_BELIEF,
                PrefixBelief::Stored => STORED_BELIEF,
            };
            self.add_candidate(&mut found, id, belief, wish);
        }
        found
    }

    fn add_candidate(
        &self,
        found: &mut Vec<PrefixCandidate>,
        id: IncarnationId,
        belief: f64,
        wish: &PlacementQuery,
    ) {
        let Some(place) = self.places.get(&id).copied() else { return };
        if !self.fits(place, wish.model.as_ref()) {
            return;
        }
        match found.iter_mut().find(|candidate| candidate.place == place) {
            Some(known) => known.belief = known.belief.max(belief),
            None => found.push(PrefixCandidate { place, belief }),
        }
    }

    fn scale(&mut self, entries: u32, has_waited: bool, now: ClockTime) -> ChoiceScale {
        let outlook = self.outlook(entries, now);
        let busy = ((self.use_share() - BUSY) / (1.0 - BUSY)).clamp(0.0, 1.0);
        let busy = if has_waited { busy } else { 0.0 };
        let prefix_gain = self.speed.prefix_gain(&self.policy, now);
        let busy_gain = prefix_gain * BUSY_GAIN * busy;
        ChoiceScale {
            outlook,
            first_token: self.speed.first_token(&self.policy),
            run_time: self.speed.run_time(&self.policy, now),
            prefix_gain,
            busy_gain,
        }
    }

    /// The predicted time to the first token, in seconds, with what may go wrong.
    fn cost(
        &self,
        place: usize,
        cached: &[PrefixCandidate],
        scale: &ChoiceScale,
        now: ClockTime,
    ) -> f64 {
        let upstream = &self.upstreams[place];
        let capacity = f64::from(upstream.capacity);
        let load = upstream.load.estimate(&scale.outlook, capacity, now);
        let slowness = upstream.speed.slowness(&self.policy, now);
        let over = load + 1.0 - capacity;
        let waiting = (over + (over * over + capacity * UNKNOWN_LOAD).sqrt()) / 2.0;
        let wait = waiting * scale.run_time * slowness / capacity;
        let candidate = cached.iter().find(|candidate| candidate.place == place);
        let belief = candidate.map_or(0.0, |candidate| candidate.belief);
        let first_token = (scale.first_token - scale.prefix_gain * belief) * slowness;
        let bonus = scale.busy_gain * belief;
        // An upstream that hangs shows by requests that get no first token, long before any ends.
        let is_stalled = self.is_stalled(upstream, wait, now);
        let stalled = if is_stalled { upstream.stalled_for(now).as_secs_f64() } else { 0.0 };
        let failures = upstream.failures.value(0.0, self.policy.half_life, now);
        let failing = failures * self.policy.failure_cost.as_secs_f64();
        let far = if upstream.is_near { 0.0 } else { self.policy.centre_penalty.as_secs_f64() };
        (first_token + wait).max(stalled) + failing + far - bonus
    }

    fn make_choice(
        &mut self,
        place: usize,
        wish: &PlacementQuery,
        now: ClockTime,
    ) -> UpstreamPlacement {
        let upstream = &mut self.upstreams[place];
        let is_probe = self.policy.kind == PolicyKind::Sagespool && upstream.ejection.is_ejected();
        if is_probe {
            upstream.ejection.probe_sent(now);
        }
        let sidecar = upstream.id;
        let (address, name) = (upstream.address, upstream.name.clone());
        let is_cached = wish.prefix.is_some_and(|prefix| self.is_cached(prefix, sidecar, now));
        if let Some(prefix) = wish.prefix {
            self.prefixes.sent(prefix, sidecar, now);
        }
        self.next_attempt += 1;
        UpstreamPlacement {
            sidecar,
            address,
            upstream: name,
            service: wish.service.clone(),
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
