//! How busy an upstream is now, from an old report and own sends.

use std::collections::VecDeque;

use sagespool_messages::LoadReport;
use sagespool_types::ClockTime;

use crate::RoutingPolicy;

/// Own changes remembered for comparison with a report.
const MOST_CHANGES: usize = 256;

/// One upstream's load: the newest report and what this entry did since.
#[derive(Debug, Clone, Default)]
pub(crate) struct LoadView {
    report: LoadReport,
    /// When the report was made, as far as this entry can tell; none before the first.
    made_at: Option<ClockTime>,
    own: u32,
    /// Own requests running there after each change, oldest first.
    changes: VecDeque<(ClockTime, u32)>,
    own_at_report: u32,
}

impl LoadView {
    pub(crate) fn report(&self) -> &LoadReport {
        &self.report
    }

    /// Own requests there now.
    pub(crate) fn own(&self) -> u32 {
        self.own
    }

    /// Takes a report in, unless it is no newer than the one known.
    pub(crate) fn observe(&mut self, report: &LoadReport, policy: &RoutingPolicy, now: ClockTime) {
        if self.made_at.is_some() && report.number <= self.report.number {
            return;
        }
        let made_at = ClockTime(now.0.saturating_sub(policy.report_lag.as_micros() as u64));
        self.report = *report;
        self.made_at = Some(made_at);
        self.own_at_report = self.own_at(made_at);
        while self.changes.len() > 1 && self.changes[1].0 <= made_at {
            self.changes.pop_front();
        }
    }

    pub(crate) fn started(&mut self, now: ClockTime) {
        self.change(self.own + 1, now);
    }

    pub(crate) fn ended(&mut self, now: ClockTime) {
        self.change(self.own.saturating_sub(1), now);
    }

    /// Requests running or waiting there now, all entries together.
    ///
    /// Guards against entries that herd: each sees the same idle upstream in the same old
    /// report and sends until the next one. What this entry has sent since the report counts
    /// at once, and the other entries, which see the same report, are taken to have done alike.
    pub(crate) fn estimate(&self, entries: u32, policy: &RoutingPolicy, now: ClockTime) -> f64 {
        let own = f64::from(self.own);
        let Some(made_at) = self.made_at else { return own * f64::from(entries) };
        if now.since(made_at) > policy.report_expiry {
            return own * f64::from(entries);
        }
        let total = self.report.running + self.report.waiting;
        let others = f64::from(total.saturating_sub(self.own_at_report));
        let growth = own - f64::from(self.own_at_report);
        let others_now = others + growth * f64::from(entries.saturating_sub(1));
        own + others_now.max(0.0)
    }

    fn change(&mut self, own: u32, now: ClockTime) {
        self.own = own;
        self.changes.push_back((now, own));
        if self.changes.len() > MOST_CHANGES {
            self.changes.pop_front();
        }
    }

    fn own_at(&self, time: ClockTime) -> u32 {
        let before = self.changes.iter().rev().find(|(at, _)| *at <= time);
        before.map_or(0, |(_, own)| *own)
    }
}
