//! The load of many requests that share long prompts, spread by several instances that don't speak
//! to each other about it.
//!
//! The pattern is the users' heaviest: dossiers and letters. A hundred shared parts of 13,300
//! tokens, the most used a few times as often as the least; each request adds 3,720 tokens of its
//! own. Nine engines with memory for 384,564 tokens read 48.2 tokens in a millisecond, so a shared
//! part that is read again holds an engine up for 276 ms. Four instances take the requests in turn.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use sagespool_forward::{
    EngineProfile, LoadBalancer, PlacedAttempt, PlacementPolicy, PromptPart, RequestProfile,
    SendOutcome, UpstreamRecord,
};
use sagespool_types::{CentreName, ClockTime, TokenCount};

const ENGINES: usize = 9;
const INSTANCES: usize = 4;
const PARTS: u64 = 100;
const SHARED_TOKENS: u64 = 13_300;
const OWN_TOKENS: u64 = 3_720;
/// Twelve requests a second for fifty seconds.
const REQUESTS: u64 = 600;
const GAP_MS: u64 = 83;
/// An answer's length in time: 17 events, some thirty milliseconds each.
const RUN_MS: u64 = 500;

fn centre() -> CentreName {
    "east".parse().unwrap()
}

fn engines() -> Vec<UpstreamRecord> {
    let engine = |number: usize| UpstreamRecord {
        name: format!("engine-{number}").parse().unwrap(),
        born: None,
        service: "engines".parse().unwrap(),
        address: "127.0.0.1:9000".parse().unwrap(),
        centre: centre(),
        slots: 64,
        leaving: false,
        cold_left: Duration::ZERO,
    };
    (0..ENGINES).map(engine).collect()
}

fn traits() -> EngineProfile {
    let (memory, event_tokens) = (TokenCount(384_564), TokenCount(7));
    EngineProfile { slots: 64, memory, event_tokens }
}

/// The shared part of a request: low numbers come more often.
fn part_of(request: u64) -> u64 {
    let point = request.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 11;
    let unit = point as f64 / (1u64 << 53) as f64;
    (unit.powf(1.4) * PARTS as f64) as u64
}

struct Outcome {
    /// Shared parts that some engine had read before, and another, or the same again, reads.
    read_again: usize,
    busiest: usize,
}

fn play(
    choose: impl Fn(&mut [LoadBalancer], u64, &[PromptPart], ClockTime) -> PlacedAttempt,
) -> Outcome {
    let mut boards: Vec<LoadBalancer> =
        (0..INSTANCES).map(|_| LoadBalancer::new(PlacementPolicy::default())).collect();
    let mut kept: HashSet<(String, u64)> = HashSet::new();
    let mut seen: HashSet<u64> = HashSet::new();
    let mut sent: HashMap<String, usize> = HashMap::new();
    let mut running: Vec<(u64, usize, PlacedAttempt)> = Vec::new();
    let mut read_again = 0;
    for request in 0..REQUESTS {
        let at = 1_000 + request * GAP_MS;
        let now = ClockTime::from_millis(at);
        for (_, instance, ticket) in running.extract_if(.., |(end, ..)| *end <= at) {
            boards[instance].finish(ticket, SendOutcome::Answered, now);
        }
        let part = part_of(request);
        let shared = PromptPart { id: part + 1, tokens: TokenCount(SHARED_TOKENS) };
        let own = PromptPart { id: 1_000_000 + request, tokens: TokenCount(OWN_TOKENS) };
        let mut ticket = choose(&mut boards, request, &[shared, own], now);
        let engine = ticket.upstream.name.to_string();
        *sent.entry(engine.clone()).or_default() += 1;
        let fresh = kept.insert((engine, part));
        if fresh && !seen.insert(part) {
            read_again += 1;
        }
        let instance = (request % INSTANCES as u64) as usize;
        let reading = if fresh { (SHARED_TOKENS + OWN_TOKENS) / 48 } else { OWN_TOKENS / 48 };
        boards[instance].note_first_event(&mut ticket, ClockTime::from_millis(at + reading));
        running.push((at + reading + RUN_MS, instance, ticket));
    }
    Outcome { read_again, busiest: sent.values().copied().max().unwrap() }
}

/// Each shared part is read about once, though the instances never speak to each other, and no
/// engine gets more than twice its even share for that.
#[test]
fn read_once() {
    let engines = engines();
    let traits = traits();
    let centre = centre();
    let outcome = play(|boards, request, parts, now| {
        let shape =
            RequestProfile { parts, engine: Some(&traits), centre: &centre, repeatable: true };
        let board = &mut boards[(request % INSTANCES as u64) as usize];
        board.choose(engines.iter(), shape, &[], now).unwrap()
    });
    // Taken in turn, engines would read again more than 150 times (`taken_in_turn`).
    assert!(outcome.read_again <= 60, "{} parts read again", outcome.read_again);
    let even = REQUESTS as usize / ENGINES;
    assert!(outcome.busiest <= 2 * even, "{} of {even} at the busiest engine", outcome.busiest);
}

/// The measure that the other test is held against: the same load, engines taken in turn.
#[test]
fn taken_in_turn() {
    let engines = engines();
    let traits = traits();
    let centre = centre();
    let outcome = play(|boards, request, parts, now| {
        let shape =
            RequestProfile { parts, engine: Some(&traits), centre: &centre, repeatable: true };
        let only = &engines[request as usize % ENGINES];
        let board = &mut boards[(request % INSTANCES as u64) as usize];
        board.choose(std::iter::once(only), shape, &[], now).unwrap()
    });
    assert!(outcome.read_again > 150, "{} parts read again", outcome.read_again);
}
