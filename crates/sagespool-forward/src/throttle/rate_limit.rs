//! Divides the rate limit that an upstream names among senders that take turns.

use std::time::Duration;

use sagespool_types::{ClockTime, SendRate};

/// Window over which a named limit is divided. Each sender gets its turn within it.
const SHARING_WINDOW: Duration = Duration::from_secs(4);
/// An upstream has one sender at least, and at most `EXTRA_SENDERS` more than the requests that it
/// accepts per second.
const MIN_SENDERS: usize = 1;
const EXTRA_SENDERS: usize = 4;
/// Upper bound of a sender's interval, also for a limit of zero: some instance has to find out when
/// the upstream accepts requests again.
pub(super) const MAX_SEND_INTERVAL: Duration = Duration::from_secs(30);
/// An instance that isn't a sender and gets no update on a limit for this long probes the upstream.
/// It has no other way to detect that the limit has ended.
const PROBE_AFTER: Duration = Duration::from_secs(20);
/// Delay between the probes of one instance and the next in rank.
const PROBE_STEP: Duration = Duration::from_secs(8);

/// How a named limit is divided among senders that take turns.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct SendSchedule {
    /// Instances that send.
    pub(super) senders: usize,
    /// Minimum time between two requests of one sender.
    pub(super) interval: Duration,
}

/// A rate limit that an upstream names in its responses.
#[derive(Debug, Clone, Copy)]
pub(super) struct NamedLimit {
    /// Requests per second from all instances together.
    pub(super) rate: SendRate,
    /// When the uninterrupted series of responses with a limit began.
    pub(super) since: ClockTime,
    /// When a response last named it.
    pub(super) confirmed_at: ClockTime,
}

impl NamedLimit {
    /// Divides the limit among the senders of a fleet of `instances`. The division leaves room for
    /// a new instance that wrongly takes itself for a sender, since senders are few compared to
    /// what upstreams accept.
    pub(super) fn schedule(&self, instances: usize) -> SendSchedule {
        let per_second = self.rate.per_second();
        let per_window = (per_second * SHARING_WINDOW.as_secs_f64()) as usize;
        let most = (per_second as usize).saturating_add(EXTRA_SENDERS);
        let senders = per_window.min(most).clamp(MIN_SENDERS, instances.max(MIN_SENDERS));
        let each = SendRate::new(per_second / senders as f64).unwrap_or(self.rate);
        SendSchedule { senders, interval: each.interval(MAX_SEND_INTERVAL) }
    }

    /// Instances that may probe the upstream beside the senders, because its limit has not been
    /// confirmed for long.
    pub(super) fn probers(&self, now: ClockTime) -> usize {
        let overdue = now.since(self.confirmed_at).checked_sub(PROBE_AFTER);
        overdue.map_or(0, |overdue| (overdue.as_secs() / PROBE_STEP.as_secs()) as usize)
    }
}
