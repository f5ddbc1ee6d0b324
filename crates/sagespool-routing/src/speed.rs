//! Measured latencies of a service, and the relative slowness of one upstream.

use std::time::Duration;

use sagespool_types::ClockTime;

use crate::RoutingPolicy;
use crate::average::ExponentialAverage;

/// Averaging windows, in samples, for a service and for one upstream.
const SERVICE_SAMPLES: f64 = 64.0;
const UPSTREAM_SAMPLES: f64 = 8.0;
/// Bound on the slowness, or its inverse, that a single sample shows.
const MAX_SLOWNESS_RATIO: f64 = 20.0;
/// Bound on a sample's effect on the service's mean, as a multiple of the mean. (Dividing the
/// sample by the upstream's slowness instead would leave the scale of both undetermined: it would
/// stay at the initial value.)
const MAX_OUTLIER_RATIO: f64 = 3.0;
/// Fraction of the uncached time to the first token below which the prefix must have been cached.
const QUICK_RATIO: f64 = 0.6;
/// Share of quick first tokens among presumed cache hits from which the cache gain counts in full.
const MIN_HIT_SHARE: f64 = 0.1;
/// Bound on a run time's effect on the mean, as a multiple of the mean. Larger than for first
/// tokens, since answers vary more in length.
const MAX_RUN_RATIO: f64 = 20.0;
/// Tokens from which an answer gives a usable time per token.
const MIN_TOKENS: u64 = 8;

/// Measurements of an attempt that completed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CompletedRun {
    pub(crate) elapsed: Duration,
    pub(crate) first_token: Option<Duration>,
    pub(crate) tokens: u64,
}

/// Averages over all upstreams of a service; times in seconds.
#[derive(Debug, Clone)]
pub(crate) struct ServiceSpeed {
    /// Time to the first token where the prefix was not presumed to be cached.
    uncached: ExponentialAverage,
    /// Time to the first token where the prefix was presumed cached and the token came quickly.
    cached: ExponentialAverage,
    /// Share of quick first tokens among presumed cache hits, from 0 to 1.
    hits: ExponentialAverage,
    /// Time per further token.
    per_token: ExponentialAverage,
    /// Time for which a request occupies a slot.
    run: ExponentialAverage,
}

impl Default for ServiceSpeed {
    fn default() -> Self {
        let empty = ExponentialAverage::new(SERVICE_SAMPLES);
        Self { uncached: empty, cached: empty, hits: empty, per_token: empty, run: empty }
    }
}

impl ServiceSpeed {
    /// Seconds to the first token without queueing and without a cached prefix.
    ///
    /// The policy's default is ignored once there is a measurement. Averaged in, it raises the mean
    /// of a fast service with few requests (11 ms for answers of 6 ms): every measured upstream
    /// then appears faster than the service, a restarted one without measurements does not, and it
    /// receives no requests.
    pub(crate) fn first_token(&self, policy: &RoutingPolicy) -> f64 {
        self.uncached.mean_or(policy.first_token.as_secs_f64())
    }

    /// Seconds saved by a prefix that is actually cached.
    ///
    /// Presumed hits are often wrong while prefixes are spread over all upstreams. An average over
    /// all of them shows a small gain, which spreads prefixes further and keeps the gain small. The
    /// gain is therefore measured on quick first tokens only, and scaled down if these are rare.
    pub(crate) fn prefix_gain(&self, policy: &RoutingPolicy, now: ClockTime) -> f64 {
        let uncached = self.first_token(policy);
        let guess = (uncached - policy.prefix_gain.as_secs_f64()).max(0.0);
        let cached = self.cached.value(guess, policy.half_life, now);
        let hits = self.hits.value(1.0, policy.half_life, now);
        (uncached - cached).max(0.0) * (hits / MIN_HIT_SHARE).min(1.0)
    }

    /// Seconds for which a request occupies a slot.
    pub(crate) fn run_time(&self, policy: &RoutingPolicy, now: ClockTime) -> f64 {
        self.run.value(policy.run_time.as_secs_f64(), policy.half_life, now)
    }
}

/// Slowness of one upstream: its times as a multiple of the service's averages.
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
    /// Decays to 1 without new samples, so that a slow upstream is eventually tried again.
    pub(crate) fn slowness(&self, policy: &RoutingPolicy, now: ClockTime) -> f64 {
        self.slowness.value(1.0, policy.half_life, now)
    }

    /// Records a time to the first token without queueing.
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
            // A cache hit does not show that the upstream is fast.
            self.add_ratio(ratio.max(1.0), policy, now);
        } else {
            service.uncached.add(bounded, policy.half_life, now);
            self.add_ratio(ratio, policy, now);
        }
    }

    /// Records a wait that ended without a first token.
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

    /// Records a completed answer.
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
        // Time in the upstream's queue does not occupy a slot.
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
