//! Ejects failing upstreams and probes them again.

use std::time::Duration;

use sagespool_types::ClockTime;

use super::SendOutcome;

/// Consecutive broken responses or connections that eject an upstream.
const CONSECUTIVE_BREAKS_TO_EJECT: u32 = 2;
/// Failure rate that ejects an upstream. Some requests fail by their own fault, 14 % in the
/// busiest traffic class of the target fleet; the threshold is well above that.
const FAILURE_RATE_TO_EJECT: f64 = 0.4;
/// Results needed before the failure rate is significant.
const MIN_SAMPLES: f64 = 6.0;
/// Factor on older results at each new one: about the last ten count.
const RESULT_DECAY: f64 = 0.9;
const FIRST_EJECTION: Duration = Duration::from_millis(500);
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Extra wait before a request that can't be repeated may probe an ejected upstream. If there are
/// repeatable requests at all, one arrives within this time.
const UNREPEATABLE_PROBE_DELAY: Duration = Duration::from_secs(2);

/// Health of an upstream, and whether it is ejected.
///
/// An upstream that is partitioned, crashed or failing while its health check succeeds shows only
/// in the outcomes of requests. It is ejected for a while, then a single request probes it. Each
/// consecutive ejection lasts twice as long as the one before.
#[derive(Debug, Default)]
pub(super) struct UpstreamHealth {
    consecutive_breaks: u32,
    failed: f64,
    counted: f64,
    ejected_until: Option<ClockTime>,
    ejections: u32,
    /// A request that probes the ejected upstream is in flight.
    probing: bool,
}

impl UpstreamHealth {
    /// Whether a request may be sent to the upstream. One that can't be repeated is lost if the
    /// upstream is still down, so repeatable requests probe it first. Without any of them it is
    /// probed all the same, later.
    pub(super) fn admits(&self, repeatable: bool, now: ClockTime) -> bool {
        let Some(until) = self.ejected_until else {
            return true;
        };
        let due = if repeatable { until } else { until.after(UNREPEATABLE_PROBE_DELAY) };
        now >= due && !self.probing
    }

    pub(super) fn begin(&mut self, now: ClockTime) {
        if self.ejected_until.is_some_and(|until| now >= until) {
            self.probing = true;
        }
    }

    pub(super) fn end(&mut self, outcome: SendOutcome, now: ClockTime) {
        self.probing = false;
        match outcome {
            SendOutcome::Cancelled | SendOutcome::Refused => return,
            SendOutcome::Answered => self.count(0.0),
            SendOutcome::Failed | SendOutcome::Broken => self.count(1.0),
        }
        match outcome {
            SendOutcome::Broken => self.consecutive_breaks += 1,
            _ => self.consecutive_breaks = 0,
        }
        let failure_rate = self.failed / self.counted.max(1.0);
        let fails_often = self.counted >= MIN_SAMPLES && failure_rate > FAILURE_RATE_TO_EJECT;
        if self.consecutive_breaks >= CONSECUTIVE_BREAKS_TO_EJECT || fails_often {
            self.eject(now);
        } else if outcome == SendOutcome::Answered {
            self.ejected_until = None;
            self.ejections = 0;
        }
    }

    fn count(&mut self, failed: f64) {
        self.failed = self.failed * RESULT_DECAY + failed;
        self.counted = self.counted * RESULT_DECAY + 1.0;
    }

    fn eject(&mut self, now: ClockTime) {
        let length = FIRST_EJECTION * 2u32.saturating_pow(self.ejections.min(8));
        self.ejected_until = Some(now.after(length.min(MAX_EJECTION)));
        self.ejections += 1;
        // Only results after the ejection count for the next one.
        self.failed = 0.0;
        self.counted = 0.0;
        self.consecutive_breaks = CONSECUTIVE_BREAKS_TO_EJECT - 1;
    }
}
