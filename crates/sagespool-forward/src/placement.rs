//! Choosing the upstream that is expected to answer first.

use std::collections::HashMap;
use std::time::Duration;

use sagespool_types::{CentreName, ClockTime, TokenCount, UpstreamName};

use crate::engine::{chain_ids, hash_text, mix};
use crate::{EngineProfile, PromptPart, UpstreamRecord, UpstreamRun};

mod health;
mod load;
mod silence;

use load::UpstreamLoad;

/// Figures of the choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementPolicy {
    /// Prompt tokens that an engine reads in a millisecond. The users' engines read 48.2.
    pub read_rate: f64,
    /// By how much each running request slows a step of an engine, in milliseconds of the time to
    /// a first event. The users' engines need 0.12 ms a request and step; a first event takes
    /// about ten steps beside other requests' prompts.
    pub crowding_ms: f64,
    /// How often the reading of a shared part counts: it delays this request, and all that run
    /// beside it, and takes the place of parts that others will ask for.
    pub rereading: f64,
    /// What a prompt that an engine probably keeps for other instances counts for: this instance
    /// can't know, only that they send such prompts there.
    pub unseen_share: f64,
    /// The extra cost of another data centre, in milliseconds: its links are priced by the byte,
    /// and its round trip is about one.
    pub distance_ms: f64,
    /// The expected time of a plain service's answer before any was seen, in milliseconds.
    pub plain_ms: f64,
}

impl Default for PlacementPolicy {
    fn default() -> Self {
        Self {
            read_rate: 48.0,
            crowding_ms: 1.2,
            rereading: 8.0,
            unseen_share: 0.15,
            distance_ms: 1.5,
            plain_ms: 20.0,
        }
    }
}

/// What a request is like, as far as its place matters.
#[derive(Debug, Clone, Copy)]
pub struct RequestProfile<'a> {
    /// The parts of its prompt; none for plain services.
    pub parts: &'a [PromptPart],
    /// The engines' traits, if it goes to an engine.
    pub engine: Option<&'a EngineProfile>,
    /// The data centre that it is sent from.
    pub centre: &'a CentreName,
    /// Whether it may go to another upstream if this one fails.
    pub repeatable: bool,
}

/// A request's place at an upstream, from the choice to the end.
#[derive(Debug, Clone)]
pub struct PlacedAttempt {
    /// Where it goes.
    pub upstream: UpstreamRecord,
    /// When it was chosen.
    pub chosen_at: ClockTime,
    /// When its first event, or its answer, was expected.
    pub expected: Duration,
    /// Tokens that the upstream probably has to read for it.
    pub unread: TokenCount,
    began: bool,
    /// Of the load that it is counted in: an upstream that is forgotten and known anew has another.
    load: u64,
}

/// How a request ended at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// It was answered whole.
    Answered,
    /// The upstream said that it didn't run it.
    Refused,
    /// The upstream answered that it failed.
    Failed,
    /// No connection, a broken answer, or none in time.
    Broken,
    /// The caller left, which says nothing of the upstream.
    Cancelled,
}

/// What this instance knows of each upstream's load, and the choice made from it.
#[derive(Debug)]
pub struct LoadBalancer {
    policy: PlacementPolicy,
    loads: HashMap<UpstreamName, UpstreamLoad>,
    /// Loads so far.
    counted: u64,
}

/// Weight of a new observation of an upstream's speed beside fresh ones; old ones count for nothing.
const SPEED_WEIGHT: f64 = 0.2;
const SLOWEST: f64 = 12.0;
const FASTEST: f64 = 0.3;
/// A plain upstream that wasn't chosen for so long is due: what is known of it is old, and one that
/// was slow or failed would never show that it is well again. At the users' rates every upstream is
/// chosen several times a second.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(2);
/// What the expected time of such an upstream counts for.
const FORGOTTEN_SHARE: f64 = 0.4;
/// Time between a request's arrival at an idle engine and its first event, beside reading.
const FIRST_EVENT_MS: f64 = 20.0;
/// Costs closer than this are as good as equal.
const TIE_SPREAD_MS: f64 = 0.5;

impl LoadBalancer {
    /// A board that knows nothing yet.
    pub fn new(policy: PlacementPolicy) -> Self {
        Self { policy, loads: HashMap::new(), counted: 0 }
    }

    /// Chooses among candidates, and counts the request there. Nothing if there are none that
    /// weren't tried.
    pub fn choose<'a>(
        &mut self,
        candidates: impl Iterator<Item = &'a UpstreamRecord>,
        shape: RequestProfile<'_>,
        tried: &[UpstreamRun],
        now: ClockTime,
    ) -> Option<PlacedAttempt> {
        let candidates: Vec<&UpstreamRecord> =
            candidates.filter(|record| !tried.contains(&record.run())).collect();
        let sound: Vec<&UpstreamRecord> =
            candidates.iter().copied().filter(|record| self.admits(record, shape, now)).collect();
        // With most upstreams ejected, the cause is more likely on this side: use them all.
        let usable = if sound.len() * 2 >= candidates.len() { sound } else { candidates };
        let home = shared_chain(shape.parts).and_then(|chain| first_by_rank(&usable, chain));
        let rated = usable.into_iter().map(|record| {
            let is_home = home.as_ref() == Some(&record.name);
            (record, self.rate(record, shape, is_home, now))
        });
        let (record, rating) = rated.min_by(|a, b| a.1.cost_ms.total_cmp(&b.1.cost_ms))?;
        Some(self.take(record.clone(), rating, shape, now))
    }

    fn admits(&self, record: &UpstreamRecord, shape: RequestProfile<'_>, now: ClockTime) -> bool {
        self.loads.get(&record.name).is_none_or(|load| {
            load.health.admits(shape.repeatable, now) && !load.silence.is_silent(now)
        })
    }

    fn rate(
        &mut self,
        record: &UpstreamRecord,
        shape: RequestProfile<'_>,
        is_home: bool,
        now: ClockTime,
    ) -> UpstreamRating {
        let policy = self.policy;
        let load = self.load_of(&record.name, shape.engine);
        let running = f64::from(load.running) + load.others_now(now);
        let distance = if record.centre == *shape.centre { 0.0 } else { policy.distance_ms };
        // Ties are broken at random, so that instances don't move together.
        let jitter = fastrand::f64() * TIE_SPREAD_MS;
        let mut rereading_ms = 0.0;
        let (expected_ms, unread) = match &load.cache {
            Some(cache) => {
                let all: TokenCount = shape.parts.iter().map(|part| part.tokens).sum();
                let unread = all.less(cache.kept(shape.parts));
                let share = if is_home && unread > last_tokens(shape.parts) {
                    policy.unseen_share
                } else {
                    1.0
                };
                let own = last_tokens(shape.parts).0 as f64;
                let shared = unread.0 as f64 - own.min(unread.0 as f64);
                let reading = (own + shared * share) / policy.read_rate;
                rereading_ms = shared * share / policy.read_rate * (policy.rereading - 1.0);
                let queued = load.unread.0 as f64 / policy.read_rate;
                (FIRST_EVENT_MS + queued + reading + running * policy.crowding_ms, unread)
            }
            None => {
                let slots = f64::from(record.slots.max(1));
                (policy.plain_ms * (1.0 + running / slots), TokenCount::ZERO)
            }
        };
        let expected_ms = expected_ms * load.slowness;
        let untried = load.cache.is_none() && now.since(load.chosen) > FORGOTTEN_AFTER;
        let weight = if untried { FORGOTTEN_SHARE } else { 1.0 };
        let cost_ms = expected_ms * weight + rereading_ms + distance + jitter;
        UpstreamRating { cost_ms, expected_ms, unread }
    }

    fn take(
        &mut self,
        upstream: UpstreamRecord,
        rating: UpstreamRating,
        shape: RequestProfile<'_>,
        now: ClockTime,
    ) -> PlacedAttempt {
        let load = self.load_of(&upstream.name, shape.engine);
        load.running += 1;
        load.chosen = now;
        load.unread += rating.unread;
        if let Some(cache) = &mut load.cache {
            cache.note(shape.parts);
        }
        load.health.begin(now);
        let expected = Duration::from_secs_f64(rating.expected_ms / 1000.0);
        load.silence.sent(expected, now);
        let load = load.id;
        PlacedAttempt {
            upstream,
            chosen_at: now,
            expected,
            unread: rating.unread,
            began: false,
            load,
        }
    }

    fn load_of(
        &mut self,
        name: &UpstreamName,
        engine: Option<&EngineProfile>,
    ) -> &mut UpstreamLoad {
        let counted = &mut self.counted;
        self.loads.entry(name.clone()).or_insert_with(|| {
            *counted += 1;
            UpstreamLoad::new(*counted, engine)
        })
    }

    /// The load that a request is counted in. Nothing if the upstream was forgotten since: what its
    /// earlier run still answers, or fails to, says nothing of the present one.
    fn load_counting(&mut self, ticket: &PlacedAttempt) -> Option<&mut UpstreamLoad> {
        let load = self.loads.get_mut(&ticket.upstream.name)?;
        (load.id == ticket.load).then_some(load)
    }

    /// Notes that the first event, or the answer, of a request has come.
    pub fn note_first_event(&mut self, ticket: &mut PlacedAttempt, now: ClockTime) {
        if ticket.began {
            return;
        }
        ticket.began = true;
        let Some(load) = self.load_counting(ticket) else {
            return;
        };
        load.unread = load.unread.less(ticket.unread);
        load.silence.heard(now);
        let expected = ticket.expected.as_secs_f64().max(0.001);
        let ratio = now.since(ticket.chosen_at).as_secs_f64() / expected * load.slowness;
        let is_old = now.since(load.observed) > FORGOTTEN_AFTER;
        let weight = if is_old { 1.0 } else { SPEED_WEIGHT };
        load.observed = now;
        let blended = load.slowness * (1.0 - weight) + ratio * weight;
        load.slowness = blended.clamp(FASTEST, SLOWEST);
    }

    /// Notes how a request ended.
    pub fn finish(&mut self, mut ticket: PlacedAttempt, outcome: SendOutcome, now: ClockTime) {
        if outcome == SendOutcome::Answered {
            self.note_first_event(&mut ticket, now);
        }
        let Some(load) = self.load_counting(&ticket) else {
            return;
        };
        load.running = load.running.saturating_sub(1);
        if !ticket.began {
            load.unread = load.unread.less(ticket.unread);
        }
        let gave_up_waiting = outcome == SendOutcome::Cancelled && !ticket.began;
        let outcome = match gave_up_waiting && load.silence.is_silent(now) {
            true => SendOutcome::Broken,
            false => outcome,
        };
        match outcome {
            SendOutcome::Answered | SendOutcome::Refused | SendOutcome::Failed => {
                load.silence.heard(now);
            }
            SendOutcome::Broken | SendOutcome::Cancelled => {}
        }
        if load.running == 0 {
            load.silence.idle();
        }
        load.health.end(outcome, now);
    }

    /// Notes that a further event of a stream has come.
    pub fn note_progress(&mut self, ticket: &PlacedAttempt, now: ClockTime) {
        if let Some(load) = self.load_counting(ticket) {
            load.silence.heard(now);
        }
    }

    /// Notes an upstream's own word of its load: all requests that it runs or keeps waiting.
    pub fn note_load(&mut self, name: &UpstreamName, requests: u32, now: ClockTime) {
        if let Some(load) = self.loads.get_mut(name) {
            load.others = f64::from(requests.saturating_sub(load.running));
            load.others_at = now;
        }
    }

    /// Forgets an upstream that is gone, or what its earlier run was like.
    pub fn forget(&mut self, name: &UpstreamName) {
        self.loads.remove(name);
    }

    /// Own requests in flight at an upstream.
    pub fn running(&self, name: &UpstreamName) -> u32 {
        self.loads.get(name).map_or(0, |load| load.running)
    }
}

struct UpstreamRating {
    cost_ms: f64,
    expected_ms: f64,
    unread: TokenCount,
}

/// The id of the part of a prompt that other requests may share: all but its last part.
fn shared_chain(parts: &[PromptPart]) -> Option<u64> {
    let shared = parts.len().checked_sub(1)?;
    chain_ids(&parts[..shared.max(1)]).last()
}

fn last_tokens(parts: &[PromptPart]) -> TokenCount {
    parts.last().map_or(TokenCount::ZERO, |part| part.tokens)
}

/// The upstream that all instances prefer for a shared prompt, by rendezvous hashing: without a
/// word between them they send it to the same one, and it is read there once.
fn first_by_rank(records: &[&UpstreamRecord], chain: u64) -> Option<UpstreamName> {
    let rank = |record: &&&UpstreamRecord| mix(chain ^ hash_text(record.name.as_str()));
    records.iter().max_by_key(rank).map(|record| record.name.clone())
}
