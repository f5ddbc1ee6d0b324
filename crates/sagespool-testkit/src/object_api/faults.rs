//! Injected faults and rate limits of the object store.

use std::time::Duration;

use bon::Builder;
use sagespool_types::{ClockTime, RequestRate};

/// Injected faults; the default is none.
#[derive(Debug, Clone, PartialEq, Default, Builder)]
pub struct StoreFaults {
    /// Answers every call 503 without effect; also ends waiting watches.
    #[builder(default)]
    pub outage: bool,
    /// Delay before a call takes effect; it does so even if its caller has disconnected meanwhile.
    #[builder(default)]
    pub delay: Duration,
    /// Share of the calls, 0 to 1, whose connection breaks before they take effect.
    #[builder(default)]
    pub lose_call_share: f64,
    /// Share of the writes, 0 to 1, that take effect but whose connection then breaks without an
    /// answer.
    #[builder(default)]
    pub lose_answer_share: f64,
    /// Limit of gets, lists and watches, above which calls are answered 429; none: no limit.
    pub reads_per_second: Option<RequestRate>,
    /// Limit of puts and deletes, above which calls are answered 429; none: no limit.
    pub writes_per_second: Option<RequestRate>,
}

/// A token bucket with a burst of one second's calls.
#[derive(Debug, Clone)]
pub(super) struct RateBucket {
    rate: RequestRate,
    tokens: f64,
    refilled_at: ClockTime,
}

impl RateBucket {
    pub(super) fn new(rate: RequestRate, now: ClockTime) -> Self {
        Self { rate, tokens: rate.0 as f64, refilled_at: now }
    }

    /// Takes one token; the error is the time until the next one is available.
    pub(super) fn take(&mut self, now: ClockTime) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(self.time_to_next())
    }

    fn refill(&mut self, now: ClockTime) {
        let rate = self.rate.0 as f64;
        let added = now.since(self.refilled_at).as_secs_f64() * rate;
        self.tokens = (self.tokens + added).min(rate);
        self.refilled_at = now;
    }

    fn time_to_next(&self) -> Duration {
        const MAX_WAIT: Duration = Duration::from_secs(60);
        let seconds = (1.0 - self.tokens) / self.rate.0 as f64;
        Duration::try_from_secs_f64(seconds).unwrap_or(MAX_WAIT).min(MAX_WAIT)
    }
}
