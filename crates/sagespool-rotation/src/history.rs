//! How much of the recent time a gateway was out of rotation.

use std::collections::VecDeque;
use std::time::Duration;

use sagespool_types::ClockTime;

use crate::policy::SHARE_WINDOW;

/// The spans of the last seconds in which a gateway was out of rotation.
#[derive(Debug, Clone, Default)]
pub(crate) struct OutHistory {
    spans: VecDeque<(ClockTime, ClockTime)>,
}

impl OutHistory {
    /// Adds a span that has ended.
    pub(crate) fn add(&mut self, since: ClockTime, until: ClockTime) {
        self.spans.push_back((since, until));
        let oldest = until.before(SHARE_WINDOW);
        while self.spans.front().is_some_and(|(_, end)| *end < oldest) {
            self.spans.pop_front();
        }
    }

    /// The share of the window that was spent out of rotation, in thousandths. `out_since` is the begin of a
    /// span that goes on.
    pub(crate) fn share(&self, out_since: Option<ClockTime>, now: ClockTime) -> u32 {
        let start = now.before(SHARE_WINDOW);
        let ended = self.spans.iter().copied();
        let spans = ended.chain(out_since.map(|since| (since, now)));
        let out: Duration = spans.map(|(since, until)| until.since(since.max(start))).sum();
        (out.as_secs_f64() / SHARE_WINDOW.as_secs_f64() * 1000.0) as u32
    }
}
