//! Noticing upstreams that have fallen silent.

use std::time::Duration;

use sagespool_types::ClockTime;

/// An upstream that works on requests shows it several times in this time: engines make events of
/// all requests that they run by turns, some tens of milliseconds apart.
const LEAST_LIMIT: Duration = Duration::from_millis(400);
/// Answers may take so much longer than expected before their lack means something: long prompts
/// beside a request delay it. Other factors weren't tried.
const LATE_FACTOR: u32 = 4;

/// Whether an upstream that has requests to answer lets anything be heard.
///
/// Guards against upstreams that lost power or were cut off: their connections stay open, and a
/// request that is sent there waits until its caller gives up. A request that may run once can't be
/// sent again, so each one until the upstream is left out is lost. Anything that comes back, on
/// any connection, shows that it lives.
#[derive(Debug, Default)]
pub(super) struct SilenceWatch {
    /// When something was heard last, or when the first request was sent after it was idle.
    since: Option<ClockTime>,
    /// How long the requests sent since then may take.
    limit: Duration,
}

impl SilenceWatch {
    pub(super) fn sent(&mut self, expected: Duration, now: ClockTime) {
        self.since.get_or_insert(now);
        self.limit = self.limit.max(expected * LATE_FACTOR).max(LEAST_LIMIT);
    }

    pub(super) fn heard(&mut self, now: ClockTime) {
        if self.since.is_some() {
            self.since = Some(now);
        }
    }

    /// Nothing is asked of it any more.
    pub(super) fn idle(&mut self) {
        *self = Self::default();
    }

    pub(super) fn is_silent(&self, now: ClockTime) -> bool {
        self.since.is_some_and(|since| now.since(since) > self.limit)
    }
}
