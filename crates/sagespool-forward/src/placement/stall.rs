//! Detects upstreams that have stopped responding.

use std::time::Duration;

use sagespool_types::ClockTime;

/// A working engine shows activity several times within this time: it emits events of all running
/// requests in turn, some tens of milliseconds apart.
const MIN_STALL_LIMIT: Duration = Duration::from_millis(400);
/// A missing response is significant only after this multiple of its expected time, because long
/// prompts of other requests delay it.
const LATENCY_FACTOR: u32 = 4;

/// Detects an upstream that has requests in flight and shows no activity.
///
/// An upstream that lost power or is partitioned keeps its connections open, and a request sent
/// there waits until its caller disconnects. A request that may run only once can't be retried, so
/// each one sent before the upstream is excluded is lost. Any activity, on any connection, proves
/// that the upstream is alive.
#[derive(Debug, Default)]
pub(super) struct StallDetector {
    /// The last activity, or the first dispatch after the upstream was idle.
    last_activity: Option<ClockTime>,
    /// Time in which the requests dispatched since then have to show activity.
    limit: Duration,
}

impl StallDetector {
    pub(super) fn note_dispatch(&mut self, expected: Duration, now: ClockTime) {
        self.last_activity.get_or_insert(now);
        self.limit = self.limit.max(expected * LATENCY_FACTOR).max(MIN_STALL_LIMIT);
    }

    pub(super) fn note_activity(&mut self, now: ClockTime) {
        if self.last_activity.is_some() {
            self.last_activity = Some(now);
        }
    }

    /// Resets the detector when no request is in flight any more.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Time without any activity of the requests in flight; zero if there are none.
    pub(super) fn inactive_for(&self, now: ClockTime) -> Duration {
        self.last_activity.map_or(Duration::ZERO, |since| now.since(since))
    }

    pub(super) fn is_stalled(&self, now: ClockTime) -> bool {
        self.inactive_for(now) > self.limit
    }
}
