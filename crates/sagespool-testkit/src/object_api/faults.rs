//! What can be wrong with the store, and how fast it may be called.

use std::time::Duration;

use bon::Builder;
use sagespool_types::{ClockTime, RequestRate};

/// What is wrong with the store from now on; the default is nothing.
#[derive(Debug, Clone, PartialEq, Default, Builder)]
pub struct StoreFaults {
    /// Every call is answered 503 and nothing is done; waiting watches end so, too.
    #[builder(default)]
    pub outage: bool,
    /// Each call waits so long before it takes effect, also when its caller has gone meanwhile.
    #[builder(default)]
    pub delay: Duration,
    /// Share, 0 to 1, of the calls whose connection breaks before anything is done.
    #[builder(default)]
    pub lose_call_share: f64,
    /// Share, 0 to 1, of the writes that take effect and whose connection then breaks
    /// without an answer.
    #[builder(default)]
    pub lose_answer_share: f64,
    /// Gets, lists and watches a second before 429; none means no limit.
    pub reads_per_second: Option<RequestRate>,
    /// Puts and deletes a second before 429; none means no limit.
    pub writes_per_second: Option<RequestRate>,
}

/// Lets calls through up to a rate, with a burst of at most one second's worth.
#[derive(Debug, Clone)]
pub(super) struct RateBucket {
    rate: RequestRate,
    left: f64,
    filled_at: ClockTime,
}

impl RateBucket {
    pub(super) fn new(rate: RequestRate, now: ClockTime) -> Self {
        Self { rate, left: rate.0 as f64, filled_at: now }
    }

    /// Takes one call, or says in how long the next one is due.
    pub(super) fn take(&mut self, now: ClockTime) -> Result<(), Duration> {
        self.fill(now);
        if self.left >= 1.0 {
            self.left -= 1.0;
            return Ok(());
        }
        Err(self.time_to_next())
    }

    fn fill(&mut self, now: ClockTime) {
        let rate = self.rate.0 as f64;
        let gained = now.since(self.filled_at).as_secs_f64() * rate;
        self.left = (self.left + gained).min(rate);
        self.filled_at = now;
    }

    fn time_to_next(&self) -> Duration {
        const LONGEST: Duration = Duration::from_secs(60);
        let seconds = (1.0 - self.left) / self.rate.0 as f64;
        Duration::try_from_secs_f64(seconds).unwrap_or(LONGEST).min(LONGEST)
    }
}
