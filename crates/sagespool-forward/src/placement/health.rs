//! Leaving out upstreams that fail, and trying them again.

use std::time::Duration;

use sagespool_types::ClockTime;

use super::SendOutcome;

/// Broken answers or connections in a row that eject an upstream.
const BREAKS_TO_EJECT: u32 = 2;
/// Share of failed requests that ejects an upstream. Some requests fail by their own fault: on the
/// users' busiest kind 14 in 100, so the bar lies well above.
const FAILURES_TO_EJECT: f64 = 0.4;
/// Requests before the share of failures says anything.
const LEAST_SAMPLES: f64 = 6.0;
/// Weight that older results keep at each new one: about the last ten count.
const MEMORY: f64 = 0.9;
const FIRST_EJECTION: Duration = Duration::from_millis(500);
const LONGEST_EJECTION: Duration = Duration::from_secs(4);
/// How much later than others a request that can't be repeated may try an ejected upstream. Where
/// callers send repeatable ones at all, one comes by within this time.
const UNREPEATABLE_DELAY: Duration = Duration::from_secs(2);

/// Whether an upstream gets work.
///
/// An upstream that is cut off, crashed or fails while its health check is good shows only in what
/// becomes of requests. It is left out for a while, then a single request tries it again; each
/// ejection in a row lasts twice as long as the one before.
#[derive(Debug, Default)]
pub(super) struct UpstreamHealth {
    breaks: u32,
    failed: f64,
    counted: f64,
    ejected_until: Option<ClockTime>,
    ejections: u32,
    /// A request that tries an ejected upstream is on its way.
    trying: bool,
}

impl UpstreamHealth {
    /// Whether a request may go there. One that can't be repeated is lost if the upstream is still
    /// down, so others try it first; where there are none it is tried all the same, later.
    pub(super) fn admits(&self, repeatable: bool, now: ClockTime) -> bool {
        let Some(until) = self.ejected_until else {
            return true;
        };
        let due = if repeatable { until } else { until.after(UNREPEATABLE_DELAY) };
        now >= due && !self.trying
    }

    pub(super) fn begin(&mut self, now: ClockTime) {
        if self.ejected_until.is_some_and(|until| now >= until) {
            self.trying = true;
        }
    }

    pub(super) fn end(&mut self, outcome: SendOutcome, now: ClockTime) {
        self.trying = false;
        match outcome {
            SendOutcome::Cancelled | SendOutcome::Refused => return,
            SendOutcome::Answered => self.count(0.0),
            SendOutcome::Failed | SendOutcome::Broken => self.count(1.0),
        }
        match outcome {
            SendOutcome::Broken => self.breaks += 1,
            _ => self.breaks = 0,
        }
        let share = self.failed / self.counted.max(1.0);
        let fails_often = self.counted >= LEAST_SAMPLES && share > FAILURES_TO_EJECT;
        if self.breaks >= BREAKS_TO_EJECT || fails_often {
            self.eject(now);
        } else if outcome == SendOutcome::Answered {
            self.ejected_until = None;
            self.ejections = 0;
        }
    }

    fn count(&mut self, failed: f64) {
        self.failed = self.failed * MEMORY + failed;
        self.counted = self.counted * MEMORY + 1.0;
    }

    fn eject(&mut self, now: ClockTime) {
        let length = FIRST_EJECTION * 2u32.saturating_pow(self.ejections.min(8));
        self.ejected_until = Some(now.after(length.min(LONGEST_EJECTION)));
        self.ejections += 1;
        // Only what comes after the ejection counts for the next one.
        self.failed = 0.0;
        self.counted = 0.0;
        self.breaks = BREAKS_TO_EJECT - 1;
    }
}
