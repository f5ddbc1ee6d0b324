//! Chooses the upstream that is expected to respond first.

use std::collections::HashMap;
use std::time::Duration;

use sagespool_types::{CentreName, ClockTime, TokenCount, UpstreamName};

use crate::prefix_cache::{hash_name, mix, prefix_ids};
use crate::{EngineProfile, PromptPart, UpstreamRecord, UpstreamRun};

mod health;
mod load;
mod stall;

use load::UpstreamLoad;

/// Parameters of the cost estimate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementPolicy {
    /// Prompt tokens that an engine prefills per millisecond. Engines of the target fleet reach
    /// 48.2.
    pub prefill_tokens_per_ms: f64,
    /// Delay of a first event per running request, in milliseconds. An engine of the target fleet
    /// needs 0.12 ms per request and step, and a first event takes about ten steps beside the
    /// prompts of other requests.
    pub contention_ms: f64,
    /// Weight of prefilling a shared part again. It delays this request and all that run beside it,
    /// and evicts parts that other requests will need.
    pub reprefill_factor: f64,
    /// Weight of prefilling a shared prefix at its preferred upstream, if this instance has not
    /// sent it there lately. The engine has probably cached it for other instances, which send such
    /// prompts there too; this instance can't observe it.
    pub assumed_cached_factor: f64,
    /// Extra cost of another data centre, in milliseconds. Its links are billed by the byte, and
    /// its round trip takes about one.
    pub remote_centre_ms: f64,
    /// Response time assumed for a plain service before the first observation, in milliseconds.
    pub initial_response_ms: f64,
}

impl Default for PlacementPolicy {
    fn default() -> Self {
        Self {
            prefill_tokens_per_ms: 48.0,
            contention_ms: 1.2,
            reprefill_factor: 8.0,
            assumed_cached_factor: 0.15,
            remote_centre_ms: 1.5,
            initial_response_ms: 20.0,
        }
    }
}

/// The properties of a request that matter for its placement.
#[derive(Debug, Clone, Copy)]
pub struct RequestProfile<'a> {
    /// The parts of its prompt; empty for plain services.
    pub parts: &'a [PromptPart],
    /// Profile of the service's engines; None for plain services.
    pub engine: Option<&'a EngineProfile>,
    /// The data centre that it is sent from.
    pub centre: &'a CentreName,
    /// Whether it may be sent to another upstream if this one fails.
    pub repeatable: bool,
}

/// A request at its upstream, from placement to completion.
#[derive(Debug, Clone)]
pub struct PlacedAttempt {
    /// The chosen upstream.
    pub upstream: UpstreamRecord,
    /// When the upstream was chosen.
    pub chosen_at: ClockTime,
    /// Expected time from placement to the first event or the response.
    pub expected: Duration,
    /// Prompt tokens that the engine probably has to prefill for it.
    pub uncached_tokens: TokenCount,
    began: bool,
    /// Id of the load that it is counted in. An upstream that is forgotten and then seen again gets
    /// a new load.
    load: u64,
}

/// Outcome of an attempt at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// The response was complete.
    Answered,
    /// The upstream reported that it didn't run the request.
    Refused,
    /// The upstream responded with a failure.
    Failed,
    /// No connection, a broken response, or none in time.
    Broken,
    /// The caller disconnected, which is no evidence about the upstream.
    Cancelled,
}

/// Tracks the load of each upstream and chooses an upstream by it.
#[derive(Debug)]
pub struct LoadBalancer {
    policy: PlacementPolicy,
    loads: HashMap<UpstreamName, UpstreamLoad>,
    /// Loads created so far; the source of their ids.
    created_loads: u64,
}

/// Weight of a new observation in the exponential average of the slowness. It replaces a stale
/// average.
const SLOWNESS_WEIGHT: f64 = 0.2;
const MAX_SLOWNESS: f64 = 12.0;
const MIN_SLOWNESS: f64 = 0.3;
/// What was learnt of an upstream that wasn't chosen for this long is stale.
const STALE_AFTER: Duration = Duration::from_secs(2);
/// Factor on the learnt slowness of such an upstream.
const STALE_SLOWNESS_FACTOR: f64 = 0.4;
/// The factor halves each time this passes without a request, so that an upstream that was slow is
/// tried again.
const STALE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Factor on the initial response time of an upstream that was never tried. Less than the lowest
/// expected time of any other, so that a fast upstream doesn't keep all requests to itself.
const UNTRIED_COST_FACTOR: f64 = MIN_SLOWNESS * STALE_SLOWNESS_FACTOR;
/// Time from a request's arrival at an idle engine to its first event, excluding prefill.
const FIRST_EVENT_BASE_MS: f64 = 20.0;
/// Random cost that decides between nearly equal upstreams.
const TIE_JITTER_MS: f64 = 0.5;

impl LoadBalancer {
    /// Creates a balancer without any observations.
    pub fn new(policy: PlacementPolicy) -> Self {
        Self { policy, loads: HashMap::new(), created_loads: 0 }
    }

    /// Chooses among the candidates that are not in `tried`, and counts the request at the chosen
    /// upstream. None if all candidates were tried.
    pub fn choose<'a>(
        &mut self,
        candidates: impl Iterator<Item = &'a UpstreamRecord>,
        request: RequestProfile<'_>,
        tried: &[UpstreamRun],
        now: ClockTime,
    ) -> Option<PlacedAttempt> {
        let candidates: Vec<&UpstreamRecord> =
            candidates.filter(|record| !tried.contains(&record.run())).collect();
        let healthy: Vec<&UpstreamRecord> =
            candidates.iter().copied().filter(|record| self.admits(record, request, now)).collect();
        // If most upstreams are ejected, the cause is more likely on this side: use all of them.
        let usable = if healthy.len() * 2 >= candidates.len() { healthy } else { candidates };
        let preferred =
            shared_prefix_id(request.parts).and_then(|prefix| preferred_by_hash(&usable, prefix));
        let estimated = usable.into_iter().map(|record| {
            let is_preferred = preferred.as_ref() == Some(&record.name);
            (record, self.estimate_cost(record, request, is_preferred, now))
        });
        let (record, estimate) = estimated.min_by(|a, b| a.1.cost_ms.total_cmp(&b.1.cost_ms))?;
        Some(self.place(record.clone(), estimate, request, now))
    }

    fn admits(&self, record: &UpstreamRecord, request: RequestProfile<'_>, now: ClockTime) -> bool {
        self.loads.get(&record.name).is_none_or(|load| {
            load.health.admits(request.repeatable, now) && !load.stall.is_stalled(now)
        })
    }

    fn estimate_cost(
        &mut self,
        record: &UpstreamRecord,
        request: RequestProfile<'_>,
        is_preferred: bool,
        now: ClockTime,
    ) -> CostEstimate {
        let policy = self.policy;
        let load = self.load_of(&record.name, request.engine);
        let running = f64::from(load.running) + load.other_requests_now(now);
        let distance_ms =
            if record.centre == *request.centre { 0.0 } else { policy.remote_centre_ms };
        // Random tie-breaking keeps instances from all choosing the same upstream.
        let jitter = fastrand::f64() * TIE_JITTER_MS;
        let mut reprefill_ms = 0.0;
        let (usual_ms, uncached_tokens) = match &load.cache {
            Some(cache) => {
                let all: TokenCount = request.parts.iter().map(|part| part.tokens).sum();
                let uncached_tokens = all.saturating_sub(cache.cached_tokens(request.parts));
                let shared_weight = if is_preferred && uncached_tokens > own_tokens(request.parts) {
                    policy.assumed_cached_factor
                } else {
                    1.0
                };
                let own = own_tokens(request.parts).0 as f64;
                let shared = uncached_tokens.0 as f64 - own.min(uncached_tokens.0 as f64);
                let prefill_ms = (own + shared * shared_weight) / policy.prefill_tokens_per_ms;
                reprefill_ms = shared * shared_weight / policy.prefill_tokens_per_ms
                    * (policy.reprefill_factor - 1.0);
                let queued_ms = load.pending_prefill.0 as f64 / policy.prefill_tokens_per_ms;
                (
                    FIRST_EVENT_BASE_MS + queued_ms + prefill_ms + running * policy.contention_ms,
                    uncached_tokens,
                )
            }
            None => {
                let slots = f64::from(record.slots.max(1));
                (policy.initial_response_ms * (1.0 + running / slots), TokenCount::ZERO)
            }
        };
        let expected_ms = usual_ms * load.slowness;
        let rejection_factor = load.rejection_factor(now);
        let response_ms = match load.cache.is_none() && load.is_untried() {
            true => policy.initial_response_ms * UNTRIED_COST_FACTOR,
            false => usual_ms * load.slowness_now(now),
        };
        // Slowness is learnt from responses only. Without this bound, an upstream that never responds
        // looks faster than those whose responses were slow.
        let response_ms = response_ms.max(load.unanswered_ms(now)) * rejection_factor;
        let cost_ms = response_ms + reprefill_ms + distance_ms + jitter;
        CostEstimate { cost_ms, expected_ms, uncached_tokens }
    }

    fn place(
        &mut self,
        upstream: UpstreamRecord,
        estimate: CostEstimate,
        request: RequestProfile<'_>,
        now: ClockTime,
    ) -> PlacedAttempt {
        let load = self.load_of(&upstream.name, request.engine);
        load.running += 1;
        load.unanswered += 1;
        load.last_chosen_at = now;
        load.pending_prefill += estimate.uncached_tokens;
        if let Some(cache) = &mut load.cache {
            cache.record(request.parts);
        }
        load.health.begin(now);
        let expected = Duration::from_secs_f64(estimate.expected_ms / 1000.0);
        load.stall.note_dispatch(expected, now);
        let load = load.id;
        PlacedAttempt {
            upstream,
            chosen_at: now,
            expected,
            uncached_tokens: estimate.uncached_tokens,
            began: false,
            load,
        }
    }

    fn load_of(
        &mut self,
        name: &UpstreamName,
        engine: Option<&EngineProfile>,
    ) -> &mut UpstreamLoad {
        let created_loads = &mut self.created_loads;
        self.loads.entry(name.clone()).or_insert_with(|| {
            *created_loads += 1;
            UpstreamLoad::new(*created_loads, engine)
        })
    }

    /// The load that an attempt is counted in. None if the upstream was forgotten since: outcomes
    /// of an earlier run are no evidence about the present one.
    fn load_of_attempt(&mut self, attempt: &PlacedAttempt) -> Option<&mut UpstreamLoad> {
        let load = self.loads.get_mut(&attempt.upstream.name)?;
        (load.id == attempt.load).then_some(load)
    }

    /// Notes the first event of a stream, or the response.
    pub fn note_first_event(&mut self, attempt: &mut PlacedAttempt, now: ClockTime) {
        if attempt.began {
            return;
        }
        attempt.began = true;
        let Some(load) = self.load_of_attempt(attempt) else {
            return;
        };
        load.pending_prefill = load.pending_prefill.saturating_sub(attempt.uncached_tokens);
        load.unanswered = load.unanswered.saturating_sub(1);
        load.stall.note_activity(now);
        let expected = attempt.expected.as_secs_f64().max(0.001);
        let ratio = now.since(attempt.chosen_at).as_secs_f64() / expected * load.slowness;
        let is_stale = now.since(load.slowness_updated_at) > STALE_AFTER;
        let weight = if is_stale { 1.0 } else { SLOWNESS_WEIGHT };
        load.slowness_updated_at = now;
        let blended = load.slowness * (1.0 - weight) + ratio * weight;
        load.slowness = blended.clamp(MIN_SLOWNESS, MAX_SLOWNESS);
    }

    /// Notes the outcome of an attempt.
    pub fn finish(&mut self, mut attempt: PlacedAttempt, outcome: SendOutcome, now: ClockTime) {
        if outcome == SendOutcome::Answered {
            self.note_first_event(&mut attempt, now);
        }
        let Some(load) = self.load_of_attempt(&attempt) else {
            return;
        };
        load.running = load.running.saturating_sub(1);
        if !attempt.began {
            load.pending_prefill = load.pending_prefill.saturating_sub(attempt.uncached_tokens);
            load.unanswered = load.unanswered.saturating_sub(1);
        }
        let left_unanswered = outcome == SendOutcome::Cancelled && !attempt.began;
        let outcome = match left_unanswered && load.stall.is_stalled(now) {
            true => SendOutcome::Broken,
            false => outcome,
        };
        match outcome {
            SendOutcome::Answered | SendOutcome::Refused | SendOutcome::Failed => {
                load.stall.note_activity(now);
            }
            SendOutcome::Broken | SendOutcome::Cancelled => {}
        }
        match outcome {
            SendOutcome::Refused => load.note_rejection(now),
            SendOutcome::Answered => load.note_answer(),
            SendOutcome::Failed | SendOutcome::Broken | SendOutcome::Cancelled => {}
        }
        if load.running == 0 {
            load.stall.reset();
        }
        load.health.end(outcome, now);
    }

    /// Notes a further event of a stream.
    pub fn note_progress(&mut self, attempt: &PlacedAttempt, now: ClockTime) {
        if let Some(load) = self.load_of_attempt(attempt) {
            load.stall.note_activity(now);
        }
    }

    /// Notes the load that an upstream reports: all requests that it runs or queues.
    pub fn note_load(&mut self, name: &UpstreamName, requests: u32, now: ClockTime) {
        if let Some(load) = self.loads.get_mut(name) {
            load.other_requests = f64::from(requests.saturating_sub(load.running));
            load.reported_at = now;
        }
    }

    /// Drops the state of an upstream that was removed or has restarted.
    pub fn forget(&mut self, name: &UpstreamName) {
        self.loads.remove(name);
    }

    /// Requests of this instance in flight at an upstream.
    pub fn running(&self, name: &UpstreamName) -> u32 {
        self.loads.get(name).map_or(0, |load| load.running)
    }
}

struct CostEstimate {
    cost_ms: f64,
    expected_ms: f64,
    uncached_tokens: TokenCount,
}

/// Id of the part of a prompt that other requests may share: all but its last part.
fn shared_prefix_id(parts: &[PromptPart]) -> Option<u64> {
    let shared = parts.len().checked_sub(1)?;
    prefix_ids(&parts[..shared.max(1)]).last()
}

fn own_tokens(parts: &[PromptPart]) -> TokenCount {
    parts.last().map_or(TokenCount::ZERO, |part| part.tokens)
}

/// The upstream that all instances prefer for a shared prefix, by rendezvous hashing. Without
/// communication they send it to the same one, where it is prefilled once.
fn preferred_by_hash(records: &[&UpstreamRecord], prefix: u64) -> Option<UpstreamName> {
    let rank = |record: &&&UpstreamRecord| mix(prefix ^ hash_name(record.name.as_str()));
    records.iter().max_by_key(rank).map(|record| record.name.clone())
}
