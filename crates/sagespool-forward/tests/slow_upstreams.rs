//! Upstreams that respond slowly, for a while or for good: how soon and how often they are tried again.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod support;

use std::time::Duration;

use sagespool_forward::{
    EngineProfile, LoadBalancer, PlacedAttempt, PlacementPolicy, PromptPart, RequestProfile,
    SendOutcome,
};
use sagespool_types::{ClockTime, TokenCount};
use support::{centre, upstream};

const UPSTREAMS: [&str; 4] = ["i-1", "i-2", "i-3", "i-4"];
const PERIOD_MS: u64 = 20;
const FAST: Duration = Duration::from_millis(1);
/// Times of slow responses: from a little over the expected time to more than the highest slowness.
const SLOW_TIMES_MS: [u64; 4] = [15, 24, 80, 500];
const SLOW_UNTIL_MS: u64 = 6_000;
/// How soon after its recovery an upstream must have its share of the requests again.
const RECOVERY_MS: u64 = 10_000;

/// Sends single requests, `PERIOD_MS` apart, and counts those sent to the first upstream.
fn count_first(
    balancer: &mut LoadBalancer,
    from_ms: u64,
    until_ms: u64,
    response_time: impl Fn(ClockTime) -> Duration,
) -> usize {
    let (upstreams, centre) = (UPSTREAMS.map(upstream), centre());
    let profile = RequestProfile { parts: &[], engine: None, centre: &centre, repeatable: true };
    let mut hits = 0;
    for at in (from_ms..until_ms).step_by(PERIOD_MS as usize) {
        let now = ClockTime::from_millis(at);
        let attempt = balancer.choose(upstreams.iter(), profile, &[], now).unwrap();
        let is_first = attempt.upstream.name.as_str() == "i-1";
        hits += usize::from(is_first);
        let time = if is_first { response_time(now) } else { FAST };
        balancer.finish(attempt, SendOutcome::Answered, now.after(time));
    }
    hits
}

/// Guards against an upstream that was slow for a while and gets no requests for good, since the
/// others respond at once.
#[test]
fn slow_for_once() {
    for slow_ms in SLOW_TIMES_MS {
        let mut balancer = LoadBalancer::new(PlacementPolicy::default());
        let time = |now| {
            if now < ClockTime::from_millis(SLOW_UNTIL_MS) {
                Duration::from_millis(slow_ms)
            } else {
                FAST
            }
        };
        let recovered = SLOW_UNTIL_MS + RECOVERY_MS;
        let before = count_first(&mut balancer, 1_000, recovered, time);
        assert!(before > 0, "never tried");
        let hits = count_first(&mut balancer, recovered, recovered + 8_000, time);
        assert!(hits >= 50, "{hits} of 400 requests after {slow_ms} ms");
    }
}

/// Guards against an upstream that remains slow and still gets one in a hundred requests.
#[test]
fn slow_for_good() {
    for slow_ms in [80, 500] {
        let mut balancer = LoadBalancer::new(PlacementPolicy::default());
        let slow = |_| Duration::from_millis(slow_ms);
        let (from_ms, until_ms) = (1_000, 61_000);
        let hits = count_first(&mut balancer, from_ms, until_ms, slow);
        let requests = (until_ms - from_ms) / PERIOD_MS;
        assert!(hits as u64 * 100 < requests, "{hits} of {requests} requests after {slow_ms} ms");
    }
}

/// A stream at an engine.
struct OpenStream {
    attempt: PlacedAttempt,
    first_at: ClockTime,
    ends: ClockTime,
}

/// Time to an engine's first event, which grows by its running requests.
fn engine_time(running: u32) -> Duration {
    Duration::from_millis(40 + 2 * u64::from(running))
}

/// Simulates streams of a second at four engines, `PERIOD_MS` apart, each with a prompt of its own.
/// The first engine is slower by `delay` at first. Returns the streams sent to it in the end, and all.
fn count_streams(delay: Duration) -> (usize, usize) {
    let mut balancer = LoadBalancer::new(PlacementPolicy::default());
    let (engines, centre) = (UPSTREAMS.map(upstream), centre());
    let engine =
        EngineProfile { slots: 32, memory: TokenCount(400_000), event_tokens: TokenCount(20) };
    let mut open: Vec<OpenStream> = Vec::new();
    let counted_from = SLOW_UNTIL_MS + RECOVERY_MS;
    let (mut hits, mut all) = (0, 0);
    for at in (1_000..counted_from + 10_000).step_by(PERIOD_MS as usize) {
        let now = ClockTime::from_millis(at);
        for stream in open.iter_mut().filter(|stream| stream.first_at <= now) {
            balancer.note_first_event(&mut stream.attempt, stream.first_at);
        }
        for stream in open.extract_if(.., |stream| stream.ends <= now) {
            balancer.finish(stream.attempt, SendOutcome::Answered, stream.ends);
        }
        let parts = [PromptPart { id: at, tokens: TokenCount(1_000) }];
        let profile = RequestProfile {
            parts: &parts,
            engine: Some(&engine),
            centre: &centre,
            repeatable: false,
        };
        let attempt = balancer.choose(engines.iter(), profile, &[], now).unwrap();
        let name = &attempt.upstream.name;
        let is_first = name.as_str() == "i-1";
        if at >= counted_from {
            hits += usize::from(is_first);
            all += 1;
        }
        let extra = if is_first && at < SLOW_UNTIL_MS { delay } else { Duration::ZERO };
        let first_at = now.after(engine_time(balancer.running(name)) + extra);
        open.push(OpenStream { attempt, first_at, ends: first_at.after(Duration::from_secs(1)) });
    }
    (hits, all)
}

/// Guards against the same for an engine, whose learnt slowness no other stream would correct.
#[test]
fn slow_engine_recovers() {
    for delay_ms in [0, 60, 600, 2_000] {
        let (hits, all) = count_streams(Duration::from_millis(delay_ms));
        assert!(hits * 8 >= all, "{hits} of {all} streams after a delay of {delay_ms} ms");
    }
}
