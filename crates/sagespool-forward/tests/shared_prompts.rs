//! Many requests with long shared prompts, distributed by several instances that don't communicate.
//!
//! The pattern is the heaviest of the target fleet: dossiers and letters. There are a hundred
//! shared parts of 13,300 tokens, the most used a few times as often as the least; each request
//! adds 3,720 tokens of its own. Nine engines with memory for 384,564 tokens prefill 48.2 tokens
//! per millisecond, so prefilling a shared part again blocks an engine for 276 ms. Four instances
//! get the requests in turn.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod support;

use std::collections::{HashMap, HashSet};

use sagespool_forward::{
    EngineProfile, LoadBalancer, PlacedAttempt, PlacementPolicy, PromptPart, RequestProfile,
    SendOutcome, UpstreamRecord,
};
use sagespool_types::{ClockTime, TokenCount};
use support::{centre, upstream};

const ENGINES: usize = 9;
const INSTANCES: usize = 4;
const PARTS: u64 = 100;
const SHARED_TOKENS: u64 = 13_300;
const OWN_TOKENS: u64 = 3_720;
/// Twelve requests per second for fifty seconds.
const REQUESTS: u64 = 600;
const REQUEST_INTERVAL_MS: u64 = 83;
/// Time from the first event to the end of a response: 17 events of some thirty milliseconds.
const RESPONSE_MS: u64 = 500;

fn engines() -> Vec<UpstreamRecord> {
    let engine = |number: usize| UpstreamRecord {
        service: "engines".parse().unwrap(),
        slots: 64,
        ..upstream(&format!("engine-{number}"))
    };
    (0..ENGINES).map(engine).collect()
}

fn profile() -> EngineProfile {
    let (memory, event_tokens) = (TokenCount(384_564), TokenCount(7));
    EngineProfile { slots: 64, memory, event_tokens }
}

/// The shared part of a request. Low numbers are more frequent.
fn part_of(request: u64) -> u64 {
    let point = request.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 11;
    let unit = point as f64 / (1u64 << 53) as f64;
    (unit.powf(1.4) * PARTS as f64) as u64
}

struct Outcome {
    /// Shared parts that an engine prefills although some engine has done so before.
    prefilled_again: usize,
    busiest: usize,
}

fn simulate(
    choose: impl Fn(&mut [LoadBalancer], u64, &[PromptPart], ClockTime) -> PlacedAttempt,
) -> Outcome {
    let mut balancers: Vec<LoadBalancer> =
        (0..INSTANCES).map(|_| LoadBalancer::new(PlacementPolicy::default())).collect();
    let mut prefilled: HashSet<(String, u64)> = HashSet::new();
    let mut seen: HashSet<u64> = HashSet::new();
    let mut sent: HashMap<String, usize> = HashMap::new();
    let mut running: Vec<(u64, usize, PlacedAttempt)> = Vec::new();
    let mut prefilled_again = 0;
    for request in 0..REQUESTS {
        let at = 1_000 + request * REQUEST_INTERVAL_MS;
        let now = ClockTime::from_millis(at);
        for (_, instance, attempt) in running.extract_if(.., |(end, ..)| *end <= at) {
            balancers[instance].finish(attempt, SendOutcome::Answered, now);
        }
        let part = part_of(request);
        let shared = PromptPart { id: part + 1, tokens: TokenCount(SHARED_TOKENS) };
        let own = PromptPart { id: 1_000_000 + request, tokens: TokenCount(OWN_TOKENS) };
        let mut attempt = choose(&mut balancers, request, &[shared, own], now);
        let engine = attempt.upstream.name.to_string();
        *sent.entry(engine.clone()).or_default() += 1;
        let is_new = prefilled.insert((engine, part));
        if is_new && !seen.insert(part) {
            prefilled_again += 1;
        }
        let instance = (request % INSTANCES as u64) as usize;
        let prefill_ms = if is_new { (SHARED_TOKENS + OWN_TOKENS) / 48 } else { OWN_TOKENS / 48 };
        balancers[instance].note_first_event(&mut attempt, ClockTime::from_millis(at + prefill_ms));
        running.push((at + prefill_ms + RESPONSE_MS, instance, attempt));
    }
    Outcome { prefilled_again, busiest: sent.values().copied().max().unwrap() }
}

/// Each shared part is prefilled about once although the instances don't communicate, and no engine
/// gets more than twice its even share for that.
#[test]
fn prefilled_once() {
    let engines = engines();
    let profile = profile();
    let centre = centre();
    let outcome = simulate(|balancers, request, parts, now| {
        let request_profile =
            RequestProfile { parts, engine: Some(&profile), centre: &centre, repeatable: true };
        let balancer = &mut balancers[(request % INSTANCES as u64) as usize];
        balancer.choose(engines.iter(), request_profile, &[], now).unwrap()
    });
    // Round robin causes more than 150 (test `round_robin`).
    assert!(outcome.prefilled_again <= 60, "{} parts prefilled again", outcome.prefilled_again);
    let even = REQUESTS as usize / ENGINES;
    assert!(
        outcome.busiest <= 2 * even,
        "{} requests at the busiest engine, even share is {even}",
        outcome.busiest
    );
}

/// Baseline for the other test: the same load with engines in round robin.
#[test]
fn round_robin() {
    let engines = engines();
    let profile = profile();
    let centre = centre();
    let outcome = simulate(|balancers, request, parts, now| {
        let request_profile =
            RequestProfile { parts, engine: Some(&profile), centre: &centre, repeatable: true };
        let only = &engines[request as usize % ENGINES];
        let balancer = &mut balancers[(request % INSTANCES as u64) as usize];
        balancer.choose(std::iter::once(only), request_profile, &[], now).unwrap()
    });
    assert!(outcome.prefilled_again > 150, "{} parts prefilled again", outcome.prefilled_again);
}
