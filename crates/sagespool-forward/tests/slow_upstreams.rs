//! Upstreams that respond slowly, for a while or for good: how soon and how often they are tried again.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::time::Duration;

use sagespool_forward::{
    LoadBalancer, PlacementPolicy, RequestProfile, SendOutcome, UpstreamRecord,
};
use sagespool_types::{CentreName, ClockTime, EntrySequence};

const UPSTREAMS: [&str; 4] = ["i-1", "i-2", "i-3", "i-4"];
const PERIOD_MS: u64 = 20;
const FAST: Duration = Duration::from_millis(1);
/// Times of slow responses: from a little over the expected time to more than the highest slowness.
const SLOW_TIMES_MS: [u64; 4] = [15, 24, 80, 500];
const SLOW_UNTIL_MS: u64 = 6_000;
/// How soon after its recovery an upstream must have its share of the requests again.
const RECOVERY_MS: u64 = 10_000;

fn centre() -> CentreName {
    "east".parse().unwrap()
}

fn upstream(name: &str) -> UpstreamRecord {
    UpstreamRecord {
        name: name.parse().unwrap(),
        born: None,
        sequence: EntrySequence(1),
        service: "plain".parse().unwrap(),
        version: "v1".to_owned().into(),
        address: "127.0.0.1:9000".parse().unwrap(),
        centre: centre(),
        slots: 6,
        leaving: false,
        cold_left: Duration::ZERO,
    }
}

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
