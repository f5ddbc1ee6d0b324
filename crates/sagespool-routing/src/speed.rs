//! How fast a service's upstreams are, and one of them against its peers.

use std::time::Duration;

use sagespool_types::ClockTime;

use crate::RoutingPolicy;
use crate::average::ExponentialAverage;

/// Samples that count for a whole service, and for one upstream.
const SERVICE_SAMPLES: f64 = 64.0;
const UPSTREAM_SAMPLES: f64 = 8.0;
/// A single sample says at most that an upstream is so many times as slow, or as fast.
const MAX_SLOWNESS_RATIO: f64 = 20.0;
/// A slow upstream's sample counts for the service as at most so many times the mean. (Dividing
/// it by the upstream's slowness instead leaves the scale of both undetermined: it stays where
/// the first guess put it.)
const MAX_OUTLIER_RATIO: f64 = 3.0;
/// A first token is quick within this part of the ordinary time: its prefix was cached.
const QUICK_RATIO: f64 = 0.6;
/// So many quick ones of those believed to be cached show that caching works at all.
const MIN_HIT_SHARE: f64 = 0.1;
/// A run counts as at most so many times the mean: answers differ more in length than in their
/// first token.
const MAX_RUN_RATIO: f64 = 20.0;
/// From so many tokens on, their pace is a measurement.
const MIN_TOKENS: u64 = 8;

/// How an attempt that ran to its end went.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CompletedRun {
    pub(crate) elapsed: Duration,
    pub(crate) first_token: Option<Duration>,
    pub(crate) tokens: u64,
}

/// Times measured over all upstreams of a service, in seconds.
#[derive(Debug, Clone)]
pub(crate) struct ServiceSpeed {
    /// To the first token, where the prefix wasn't believed to be cached.
    uncached: ExponentialAverage,
    /// To the first token, where it was, and came quickly.
    cached: ExponentialAverage,
    /// How often it came quickly where the prefix was believed to be cached, from 0 to 1.
    hits: ExponentialAverage,
    /// For one token more.
    per_token: ExponentialAverage,
    /// For which a request holds its place.
    run: ExponentialAverage,
}

impl Default for ServiceSpeed {
    fn default() -> Self {
        let empty = ExponentialAverage::new(SERVICE_SAMPLES);
        Self { uncached: empty, cached: empty, hits: empty, per_token: empty, run: empty }
    }
}

impl ServiceSpeed {
    /// Seconds to the first token where nothing waits and nothing is cached.
    ///
    /// The guess counts for nothing once there is a measurement. Mixed in, it holds up the mean of
    /// a quick service with few requests (11 ms for answers of 6): each measured upstream then
    /// looks quicker than the service, one without measurements doesn't, and an upstream that was
    /// restarted gets no work.
    pub(crate) fn first_token(&self, policy: &RoutingPolicy) -> f64 {
        self.uncached.mean_or(policy.first_token.as_secs_f64())
    }

    /// Seconds that a cached prefix saves, where it is really cached.
    ///
    /// Beliefs are often wrong while prefixes are spread over all upstreams. Averaged over them
    /// the gain looks small, small gains spread the prefixes further, and it stays that way. So
    /// only the quick ones tell the gain, and that there are any tells that it is real.
    pub(crate) fn prefix_gain(&self, policy: &RoutingPolicy, now: ClockTime) -> f64 {
        let uncached = self.first_token(policy);
        let guess = (uncached - policy.prefix_gain.as_secs_f64()).max(0.0);
        let cached = self.cached.value(guess, policy.half_life, now);
        let hits = self.hits.value(1.0, policy.half_life, now);
        (uncached - cached).max(0.0) * (hits / MIN_HIT_SHARE).min(1.0)
    }

    /// Seconds that a request holds its place.
    pub(crate) fn run_time(&self, policy: &RoutingPolicy, now: ClockTime) -> f64 {
        self.run.value(policy.run_time.as_secs_f64(), policy.half_life, now)
    }
}

/// How many times as long as its peers one upstream takes; 1 is ordinary.
#[derive(Debug, Clone)]
pub(crate) struct UpstreamSpeed {
    slowness: ExponentialAverage,
}

impl Default for UpstreamSpeed {
    fn default() -> Self {
        Self { slowness: ExponentialAverage::new(UPSTREAM_SAMPLES) }
    }
}

impl UpstreamSpeed {
    /// Without fresh samples it goes back to 1, so a slow upstream is tried again in time.
    pub(crate) fn slowness(&self, policy: &RoutingPolicy, now: ClockTime) -> f64 {
        self.slowness.value(1.0, policy.half_life, now)
    }

    /// Takes in the time to a first token that nothing waited before.
    pub(crate) fn first_token(
        &mut self,
        service: &mut ServiceSpeed,
        latency: Duration,
        is_cached: bool,
        policy: &RoutingPolicy,
        now: ClockTime,
    ) {
        let seconds = latency.as_secs_f64();
        let expected = service.first_token(policy);
        let bounded = seconds.min(expected * MAX_OUTLIER_RATIO);
        let ratio = seconds / expected.max(1e-6);
        if is_cached {
            let is_quick = ratio < QUICK_RATIO;
            service.hits.add(f64::from(u8::from(is_quick)), policy.half_life, now);
            if is_quick {
                service.cached.add(bounded, policy.half_life, now);
            }
            // Quick because it was cached says nothing about the upstream's speed.
            self.add_ratio(ratio.max(1.0), policy, now);
        } else {
            service.uncached.add(bounded, policy.half_life, now);
            self.add_ratio(ratio, policy, now);
        }
    }

    /// Takes in that no first token came for so long.
    pub(crate) fn overdue(
        &mut self,
        service: &ServiceSpeed,
        waited: Duration,
        policy: &RoutingPolicy,
        now: ClockTime,
    ) {
        let expected = service.first_token(policy);
        self.add_ratio(waited.as_secs_f64() / expected.max(1e-6), policy, now);
    }

    /// Takes in a whole answer.
    pub(crate) fn completed(
        &mut self,
        service: &mut ServiceSpeed,
        run: &CompletedRun,
        policy: &RoutingPolicy,
        now: ClockTime,
    ) {
        let slowness = self.slowness(policy, now);
        let to_first = run.first_token.unwrap_or(run.elapsed).as_secs_f64();
        let after = (run.elapsed.as_secs_f64() - to_first).max(0.0);
        // Waiting in the upstream's queue holds no place in it.
        let held = to_first.min(service.first_token(policy) * slowness) + after;
        let bounded = held.min(service.run_time(policy, now) * MAX_RUN_RATIO);
        service.run.add(bounded, policy.half_life, now);
        if run.tokens < MIN_TOKENS {
            return;
        }
        let per_token = after / run.tokens as f64;
        let expected = service.per_token.value(per_token, policy.half_life, now);
        service.per_token.add(per_token.min(expected * MAX_OUTLIER_RATIO), policy.half_life, now);
        self.add_ratio(per_token / expected.max(1e-9), policy, now);
    }

    fn add_ratio(&mut self, ratio: f64, policy: &RoutingPolicy, now: ClockTime) {
        let ratio = ratio.clamp(1.0 / MAX_SLOWNESS_RATIO, MAX_SLOWNESS_RATIO);
        self.slowness.add(ratio, policy.half_life, now);
    }
}
