//! Estimate of an upstream's current load from a delayed report and own dispatches.

use std::time::Duration;

use sagespool_messages::LoadReport;
use sagespool_types::ClockTime;

use crate::average::ExponentialAverage;
use crate::history::InFlightHistory;
use crate::lag::{LagEstimator, LagResiduals};
use crate::traffic_share::TrafficShare;

/// Window, in reports, of the averages of excess and external load.
const EXCESS_SAMPLES: f64 = 16.0;
const EXCESS_HALF_LIFE: Duration = Duration::from_secs(60);

/// Service-wide measurements that the estimate for one upstream uses.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoadContext {
    /// Age of a report when it arrives.
    pub(crate) lag: Duration,
    /// Requests of other entries per own request.
    pub(crate) others_per_own: f64,
    /// Average requests of other entries per slot of an upstream.
    pub(crate) others_per_slot: f64,
    /// How long a request occupies a slot.
    pub(crate) run_time: Duration,
    /// Time constant with which a reported surplus over the average decays.
    pub(crate) surplus_decay: Duration,
    /// Assumed share of other entries' requests that follow the same old reports, from 0 to 1.
    pub(crate) herding: f64,
    /// Weight of the load extrapolated from own requests, from 0 to 1.
    pub(crate) own_weight: f64,
}

/// In-flight requests that a sidecar reported to this entry on a dispatch stream.
#[derive(Debug, Clone, Copy)]
struct SidecarCount {
    /// Requests of other entries.
    others: u32,
    /// All requests that came through the sidecar.
    in_flight: u32,
    at: ClockTime,
}

/// Load of one upstream: the newest report and this entry's dispatches since.
#[derive(Debug, Clone)]
pub(crate) struct LoadTracker {
    report: LoadReport,
    /// When the report arrived; `None` before the first.
    received: Option<ClockTime>,
    residuals: Option<Box<LagResiduals>>,
    /// Reported requests beyond those extrapolated from own ones, averaged over about a minute.
    excess: ExponentialAverage,
    history: InFlightHistory,
    /// The sidecar's newest count.
    count: Option<SidecarCount>,
    /// Requests that did not come through the sidecar, averaged over about a minute.
    external: ExponentialAverage,
    /// Own dispatches in total, and at the newest report.
    sent: u64,
    sent_at_report: u64,
}

impl Default for LoadTracker {
    fn default() -> Self {
        Self {
            report: LoadReport::default(),
            received: None,
            residuals: None,
            excess: ExponentialAverage::new(EXCESS_SAMPLES),
            history: InFlightHistory::default(),
            count: None,
            external: ExponentialAverage::new(EXCESS_SAMPLES),
            sent: 0,
            sent_at_report: 0,
        }
    }
}

impl LoadTracker {
    pub(crate) fn report(&self) -> &LoadReport {
        &self.report
    }

    /// Own requests in flight.
    pub(crate) fn own(&self) -> u32 {
        self.history.current()
    }

    /// Applies a report; ignores one that is not newer than the current one.
    pub(crate) fn observe(
        &mut self,
        report: &LoadReport,
        lag: &mut LagEstimator,
        share: &mut TrafficShare,
        context: &LoadContext,
        now: ClockTime,
    ) {
        if self.received.is_some() && report.number <= self.report.number {
            return;
        }
        if self.received.is_some() {
            let dispatched = report.dispatched.saturating_sub(self.report.dispatched);
            share.add(self.sent - self.sent_at_report, dispatched);
        }
        self.sent_at_report = self.sent;
        self.report = *report;
        self.received = Some(now);
        let residuals = lag.compare(total(report), &self.history, self.residuals.as_deref(), now);
        self.residuals = Some(Box::new(residuals));
        let own_at_report = f64::from(self.own_at_report(context.lag));
        let excess = f64::from(total(report)) - own_at_report * (1.0 + context.others_per_own);
        self.excess.add(excess, EXCESS_HALF_LIFE, now);
        // A count older than one run time is not comparable with the report.
        if let Some(count) = self.count.filter(|count| now.since(count.at) <= context.run_time) {
            let external = f64::from(total(report)) - f64::from(count.in_flight);
            self.external.add(external, EXCESS_HALF_LIFE, now);
        }
    }

    /// Applies a sidecar's count of the requests in flight other than the own one that carries it.
    pub(crate) fn observe_in_flight(&mut self, other_requests: u32, now: ClockTime) {
        let others = (other_requests + 1).saturating_sub(self.own());
        self.count = Some(SidecarCount { others, in_flight: other_requests + 1, at: now });
    }

    pub(crate) fn started(&mut self, now: ClockTime) {
        self.sent += 1;
        self.history.set(self.own() + 1, now);
    }

    pub(crate) fn ended(&mut self, now: ClockTime) {
        self.history.set(self.own().saturating_sub(1), now);
    }

    /// Requests of other entries when the report was made.
    pub(crate) fn others_at_report(&self, lag: Duration) -> f64 {
        f64::from(total(&self.report).saturating_sub(self.own_at_report(lag)))
    }

    /// Requests of others by the newest data: the report, or the sidecar's count.
    pub(crate) fn recent_others(&self, context: &LoadContext, now: ClockTime) -> f64 {
        self.others_with_count(self.others_at_report(context.lag), context, now)
    }

    /// Requests of others now, where `expected` is the estimate without the sidecar's count.
    ///
    /// Prevents several entries from filling the same free slots within one report interval: the
    /// engine's report shows only later that they were taken, and requests queue there while other
    /// engines have free slots. The count has no lag. Its difference from `expected` decays as the
    /// counted requests end.
    fn others_with_count(&self, expected: f64, context: &LoadContext, now: ClockTime) -> f64 {
        let Some(count) = self.count else { return expected };
        let age = now.since(count.at).as_secs_f64();
        let kept = (-age / context.run_time.as_secs_f64().max(1e-3)).exp();
        let external = self.external.value(0.0, EXCESS_HALF_LIFE, now).max(0.0);
        expected + (f64::from(count.others) + external - expected) * kept
    }

    /// Own requests in flight when the report was made.
    fn own_at_report(&self, lag: Duration) -> u32 {
        self.made_at(lag).map_or(0, |made_at| self.history.at(made_at))
    }

    /// Requests running or waiting now, of all entries together.
    ///
    /// Prevents herding, in which every entry sends to the upstream that the same old report shows
    /// as idle until the next report, and its queue grows with the number of entries. Own
    /// dispatches count at once, and other entries, which have the same report, are assumed to
    /// have sent in proportion. A reported surplus over the average decays as the counted requests
    /// end.
    ///
    /// Part of the estimate extrapolates from own requests, in proportion to this entry's share of
    /// the traffic, plus the excess that recent reports showed over that. This part has no lag, and
    /// entries that all use it keep to their share of each upstream without exchanging messages.
    ///
    /// A recent count by the sidecar takes precedence over both parts.
    pub(crate) fn estimate(&self, context: &LoadContext, capacity: f64, now: ClockTime) -> f64 {
        let own = f64::from(self.own());
        let average_others = context.others_per_slot * capacity;
        let followed = context.others_per_own * context.herding;
        let Some(made_at) = self.made_at(context.lag) else {
            let others = own * followed + average_others;
            return own + self.others_with_count(others, context, now);
        };
        let own_at_report = f64::from(self.history.at(made_at));
        let age = now.since(made_at).as_secs_f64();
        let kept = (-age / context.surplus_decay.as_secs_f64().max(1e-3)).exp();
        let surplus = (self.others_at_report(context.lag) - average_others) * kept;
        let others = average_others + surplus + (own - own_at_report) * followed;
        let by_report = own + others.max(0.0);
        let excess = self.excess.value(0.0, EXCESS_HALF_LIFE, now);
        let by_own = (own * (1.0 + context.others_per_own) + excess).max(own);
        let expected = by_report + (by_own - by_report) * context.own_weight;
        own + self.others_with_count(expected - own, context, now)
    }

    fn made_at(&self, lag: Duration) -> Option<ClockTime> {
        self.received.map(|received| ClockTime(received.0.saturating_sub(lag.as_micros() as u64)))
    }
}

fn total(report: &LoadReport) -> u32 {
    report.running.saturating_add(report.waiting)
}
