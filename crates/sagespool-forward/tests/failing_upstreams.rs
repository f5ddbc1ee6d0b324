//! Upstreams that fail although they look healthy, or reject requests although they look idle: when they are left
//! out, and when they are tried again.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use sagespool_forward::{
    LoadBalancer, PlacementPolicy, RequestProfile, SendOutcome, UpstreamRecord,
};
use sagespool_types::ClockTime;
use support::{centre, upstream};

const PERIOD_MS: u64 = 20;
const ANSWER_MS: u64 = 60;
const REJECTION_MS: u64 = 2;

fn upstreams() -> Vec<UpstreamRecord> {
    ["i-1", "i-2", "i-3", "i-4"].map(upstream).to_vec()
}

/// Simulates sequential requests, 20 ms apart, and counts those sent to the first upstream.
fn simulate(
    balancer: &mut LoadBalancer,
    from_ms: u64,
    count: u64,
    first_outcome: SendOutcome,
) -> u64 {
    let upstreams = upstreams();
    let centre = centre();
    let profile = RequestProfile { parts: &[], engine: None, centre: &centre, repeatable: true };
    let mut hits = 0;
    for step in 0..count {
        let now = ClockTime::from_millis(from_ms + step * 20);
        let attempt = balancer.choose(upstreams.iter(), profile, &[], now).unwrap();
        let is_first = attempt.upstream.name.as_str() == "i-1";
        hits += u64::from(is_first);
        let outcome = if is_first { first_outcome } else { SendOutcome::Answered };
        balancer.finish(attempt, outcome, ClockTime::from_millis(from_ms + step * 20 + 15));
    }
    hits
}

/// One of four upstreams is partitioned, and connections to it break. After two failures it gets
/// only single probes at growing intervals, instead of a quarter of all requests.
#[test]
fn partitioned_upstream() {
    let mut balancer = LoadBalancer::new(PlacementPolicy::default());
    let hits = simulate(&mut balancer, 1_000, 500, SendOutcome::Broken);
    assert!(hits <= 12, "{hits} of 500 requests went to the partitioned upstream");
}

/// The upstream recovers and gets its share back within a few seconds.
#[test]
fn recovered_upstream() {
    let mut balancer = LoadBalancer::new(PlacementPolicy::default());
    simulate(&mut balancer, 1_000, 500, SendOutcome::Broken);
    simulate(&mut balancer, 11_000, 300, SendOutcome::Answered);
    let hits = simulate(&mut balancer, 17_000, 400, SendOutcome::Answered);
    assert!(hits >= 50, "{hits} of 400 requests went to the recovered upstream");
}

/// All upstreams fail at once, which more likely has a local cause. Requests must still be sent.
#[test]
fn all_fail() {
    let mut balancer = LoadBalancer::new(PlacementPolicy::default());
    let upstreams = upstreams();
    let centre = centre();
    let profile = RequestProfile { parts: &[], engine: None, centre: &centre, repeatable: true };
    for step in 0..200 {
        let now = ClockTime::from_millis(1_000 + step * 20);
        let attempt = balancer.choose(upstreams.iter(), profile, &[], now);
        balancer.finish(attempt.unwrap(), SendOutcome::Broken, now);
    }
}

/// Guards against upstreams that never get a request because another one responds within a
/// millisecond.
#[test]
fn untried_upstreams() {
    let mut balancer = LoadBalancer::new(PlacementPolicy::default());
    let (upstreams, centre) = (upstreams(), centre());
    let profile = RequestProfile { parts: &[], engine: None, centre: &centre, repeatable: true };
    let mut chosen = std::collections::BTreeSet::new();
    for step in 0..1_000 {
        let now = ClockTime::from_millis(1_000 + step * 20);
        let attempt = balancer.choose(upstreams.iter(), profile, &[], now).unwrap();
        chosen.insert(attempt.upstream.name.clone());
        balancer.finish(attempt, SendOutcome::Answered, now.after(Duration::from_millis(1)));
    }
    assert_eq!(chosen.len(), upstreams.len(), "upstreams chosen within 20 s");
}

/// Requests that arrive each 20 ms, some of which run at the same time. Counts them by upstream.
fn simulate_load(
    balancer: &mut LoadBalancer,
    from_ms: u64,
    until_ms: u64,
    rejects: impl Fn(&str) -> bool,
) -> BTreeMap<String, u64> {
    let (upstreams, centre) = (upstreams(), centre());
    let profile = RequestProfile { parts: &[], engine: None, centre: &centre, repeatable: true };
    let mut counts = BTreeMap::new();
    let mut running = Vec::new();
    for now in from_ms..until_ms {
        let (ended, later): (Vec<_>, Vec<_>) =
            running.into_iter().partition(|(end, _, _)| *end <= now);
        running = later;
        for (_, attempt, outcome) in ended {
            balancer.finish(attempt, outcome, ClockTime::from_millis(now));
        }
        if now % PERIOD_MS != 0 {
            continue;
        }
        let at = ClockTime::from_millis(now);
        let attempt = balancer.choose(upstreams.iter(), profile, &[], at).unwrap();
        let name = attempt.upstream.name.to_string();
        *counts.entry(name.clone()).or_default() += 1;
        let (length, outcome) = match rejects(&name) {
            true => (REJECTION_MS, SendOutcome::Refused),
            false => (ANSWER_MS, SendOutcome::Answered),
        };
        running.push((now + length, attempt, outcome));
    }
    counts
}

fn count(counts: &BTreeMap<String, u64>, name: &str) -> u64 {
    counts.get(name).copied().unwrap_or_default()
}

#[test]
fn rejecting_upstream() {
    // Guards against an upstream that rejects all requests at once and draws the most of them, since none runs.
    let mut balancer = LoadBalancer::new(PlacementPolicy::default());
    let counts = simulate_load(&mut balancer, 1000, 11_000, |name| name == "i-1");
    assert!(count(&counts, "i-1") <= 10, "more than a probe a second: {counts:?}");
}

#[test]
fn accepts_again() {
    let mut balancer = LoadBalancer::new(PlacementPolicy::default());
    simulate_load(&mut balancer, 1000, 6000, |name| name == "i-1");
    simulate_load(&mut balancer, 6000, 8000, |_| false);
    let counts = simulate_load(&mut balancer, 8000, 13_000, |_| false);
    assert!(count(&counts, "i-1") * 6 >= 250, "less than two thirds of its share: {counts:?}");
}

#[test]
fn all_reject() {
    let mut balancer = LoadBalancer::new(PlacementPolicy::default());
    let counts = simulate_load(&mut balancer, 1000, 11_000, |_| true);
    for name in ["i-1", "i-2", "i-3", "i-4"] {
        assert!(count(&counts, name) >= 62, "half of its share: {counts:?}");
    }
}
