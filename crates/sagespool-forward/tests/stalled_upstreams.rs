//! Upstreams that stop responding with requests in flight.
//!
//! The load is that of the target fleet's document engines at one instance: a request every 20 ms,
//! some of which may run only once; a response begins after about 40 ms, and callers time out after
//! 2.4 s.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod support;

use std::time::Duration;

use sagespool_forward::{
    LoadBalancer, PlacedAttempt, PlacementPolicy, RequestProfile, SendOutcome, UpstreamRecord,
};
use sagespool_types::{CentreName, ClockTime};
use support::upstream;

const REQUEST_INTERVAL_MS: u64 = 20;
const RESPONSE_TIME: Duration = Duration::from_millis(40);
const CALLER_TIMEOUT: Duration = Duration::from_millis(2400);
/// One of this many requests may be retried at another upstream.
const REPEATABLE_EVERY: u64 = 4;
/// How long a repeatable request waits for the response header.
const RETRY_TIMEOUT: Duration = Duration::from_millis(450);
/// Seeds of the balancer's choice among nearly equal upstreams.
const TIE_SEEDS: u64 = 500;

fn upstreams() -> Vec<UpstreamRecord> {
    let engine = |name: &str| UpstreamRecord {
        service: "engines".parse().unwrap(),
        slots: 64,
        ..upstream(name)
    };
    ["i-1", "i-2", "i-3", "i-4", "i-5", "i-6"].map(engine).to_vec()
}

/// Requests sent to the stalled upstream.
#[derive(Debug, Default)]
struct LostRequests {
    repeatable: u64,
    once: u64,
}

struct OpenRequest {
    attempt: PlacedAttempt,
    ends: ClockTime,
    outcome: SendOutcome,
}

/// Simulates ten seconds in which `i-1` never responds.
fn simulate(repeatable_every: u64, tie_seed: u64) -> LostRequests {
    fastrand::seed(tie_seed);
    let centre: CentreName = "east".parse().unwrap();
    let mut balancer = LoadBalancer::new(PlacementPolicy::default());
    let upstreams = upstreams();
    let mut open: Vec<OpenRequest> = Vec::new();
    let mut lost = LostRequests::default();
    for step in 0..500 {
        let now = ClockTime::from_millis(1_000 + step * REQUEST_INTERVAL_MS);
        for request in open.extract_if(.., |request| request.ends <= now) {
            balancer.finish(request.attempt, request.outcome, request.ends);
        }
        let repeatable = repeatable_every > 0 && step % repeatable_every == 0;
        let profile = RequestProfile { parts: &[], engine: None, centre: &centre, repeatable };
        let attempt = balancer.choose(upstreams.iter(), profile, &[], now).unwrap();
        let (wait, outcome) = match (attempt.upstream.name.as_str(), repeatable) {
            ("i-1", true) => (RETRY_TIMEOUT, SendOutcome::Broken),
            ("i-1", false) => (CALLER_TIMEOUT, SendOutcome::Cancelled),
            _ => (RESPONSE_TIME, SendOutcome::Answered),
        };
        if attempt.upstream.name.as_str() == "i-1" {
            *(if repeatable { &mut lost.repeatable } else { &mut lost.once }) += 1;
        }
        open.push(OpenRequest { attempt, ends: now.after(wait), outcome });
    }
    lost
}

/// An engine loses power while its connections stay open. Requests that may run only once wait
/// there until their callers disconnect. These cancellations were no evidence against the engine,
/// so it kept getting new requests. It must be excluded as soon as it shows no activity, and probed
/// with repeatable requests.
#[test]
fn stalled_engine() {
    for seed in 0..TIE_SEEDS {
        let lost = simulate(REPEATABLE_EVERY, seed);
        assert!(lost.once <= 12, "seed {seed}: {lost:?}");
        assert!(lost.repeatable <= 8, "seed {seed}: {lost:?}");
    }
}

/// If no request can be repeated, the engine is still probed, less often.
#[test]
fn nothing_repeatable() {
    for seed in 0..TIE_SEEDS {
        let lost = simulate(0, seed);
        assert!((2..=20).contains(&lost.once), "seed {seed}: {lost:?}");
    }
}

/// A long prompt delays an engine's first event far beyond the expected time while its other
/// streams progress. The engine is slow, not stalled.
#[test]
fn slow_engine() {
    let centre: CentreName = "east".parse().unwrap();
    let mut balancer = LoadBalancer::new(PlacementPolicy::default());
    let only = &upstreams()[..1];
    let profile = RequestProfile { parts: &[], engine: None, centre: &centre, repeatable: false };
    let at = ClockTime::from_millis;
    let long = balancer.choose(only.iter(), profile, &[], at(1_000)).unwrap();
    let mut stream = balancer.choose(only.iter(), profile, &[], at(1_000)).unwrap();
    balancer.note_first_event(&mut stream, at(1_040));
    for step in 0..30 {
        balancer.note_progress(&stream, at(1_040 + step * 100));
    }
    balancer.finish(long, SendOutcome::Cancelled, at(4_000));
    // If the cancellation had counted as a failure, this second one would eject the engine. It
    // still gets new requests.
    let again = balancer.choose(only.iter(), profile, &[], at(4_010)).unwrap();
    balancer.finish(again, SendOutcome::Broken, at(4_020));
    let two = upstreams();
    let chosen = (0..400).filter(|step| {
        let attempt = balancer.choose(two[..2].iter(), profile, &[], at(4_030 + step)).unwrap();
        attempt.upstream.name.as_str() == "i-1"
    });
    assert!(chosen.count() > 0);
}
