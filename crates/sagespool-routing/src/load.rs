//! How busy an upstream is now, from an old report and own sends.

use std::time::Duration;

use sagespool_messages::LoadReport;
use sagespool_types::ClockTime;

use crate::average::ExponentialAverage;
use crate::history::InFlightHistory;
use crate::lag::{LagEstimator, LagResiduals};
use crate::traffic_share::TrafficShare;

/// Reports that count for what others than the entries have on an upstream.
const EXCESS_SAMPLES: f64 = 16.0;
const EXCESS_HALF_LIFE: Duration = Duration::from_secs(60);

/// What a service's reports show together, which one upstream's estimate leans on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoadContext {
    /// How old a report is when it arrives.
    pub(crate) lag: Duration,
    /// Requests that other entries send for each own one.
    pub(crate) others_per_own: f64,
    /// Requests of other entries for each place of an upstream, on average.
    pub(crate) others_per_slot: f64,
    /// How long a request runs.
    pub(crate) run_time: Duration,
    /// How long a report's surplus over the average lasts.
    pub(crate) surplus_decay: Duration,
    /// How far others are taken to follow the same old reports, from 0 to 1.
    pub(crate) herding: f64,
    /// How far own requests alone are taken to tell the load, from 0 to 1.
    pub(crate) own_weight: f64,
}

/// What a sidecar had at its upstream when it told this entry.
#[derive(Debug, Clone, Copy)]
struct SidecarCount {
    /// Requests of other entries.
    others: u32,
    /// All requests.
    in_flight: u32,
    at: ClockTime,
}

/// One upstream's load: the newest report and what this entry did since.
#[derive(Debug, Clone)]
pub(crate) struct LoadTracker {
    report: LoadReport,
    /// When the report came; none before the first.
    received: Option<ClockTime>,
    residuals: Option<Box<LagResiduals>>,
    /// Requests there beyond what own ones would mean, by the reports of the last minute.
    excess: ExponentialAverage,
    history: InFlightHistory,
    /// What the sidecar counted last.
    count: Option<SidecarCount>,
    /// Requests there that came by no sidecar, by the reports of the last minute.
    external: ExponentialAverage,
    /// Own dispatches ever, and at the newest report.
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

    /// Own requests there now.
    pub(crate) fn own(&self) -> u32 {
        self.history.current()
    }

    /// Takes a report in, unless it is no newer than the one known.
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
        // An older count says nothing of what the report shows.
        if let Some(count) = self.count.filter(|count| now.since(count.at) <= context.run_time) {
            let external = f64::from(total(report)) - f64::from(count.in_flight);
            self.external.add(external, EXCESS_HALF_LIFE, now);
        }
    }

    /// Takes in how many requests the sidecar has at its upstream beside one own that runs there.
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

    /// Requests of other entries there when the report was made.
    pub(crate) fn others_at_report(&self, lag: Duration) -> f64 {
        f64::from(total(&self.report).saturating_sub(self.own_at_report(lag)))
    }

    /// Requests of others there by the newest that is known: a report, or the sidecar's count.
    pub(crate) fn recent_others(&self, context: &LoadContext, now: ClockTime) -> f64 {
        self.others_with_count(self.others_at_report(context.lag), context, now)
    }

    /// Requests of others there now, given what is expected without the sidecar's count.
    ///
    /// Guards against entries that don't know of each other's last second, in which each finds
    /// the same engine's free places: the engine's report shows only later that they were
    /// taken, and some requests wait there while places elsewhere are free. The count was true
    /// of its moment, whatever the report's lag. What it showed beyond the expected fades as
    /// the requests end that it counted.
    fn others_with_count(&self, expected: f64, context: &LoadContext, now: ClockTime) -> f64 {
        let Some(count) = self.count else { return expected };
        let age = now.since(count.at).as_secs_f64();
        let kept = (-age / context.run_time.as_secs_f64().max(1e-3)).exp();
        let external = self.external.value(0.0, EXCESS_HALF_LIFE, now).max(0.0);
        expected + (f64::from(count.others) + external - expected) * kept
    }

    /// Own requests there when the report was made.
    fn own_at_report(&self, lag: Duration) -> u32 {
        self.made_at(lag).map_or(0, |made_at| self.history.at(made_at))
    }

    /// Requests running or waiting there now, all entries together.
    ///
    /// Guards against entries that herd: each sees the same idle upstream in the same old
    /// report and sends until the next one, so the upstream's queue grows by the number of
    /// entries. Own sends count at once, and the others, which see the same report, are taken
    /// to have done alike. What an old report says beyond the average fades as the requests
    /// that it counted end.
    ///
    /// A part of the estimate is what the load would be if the others had there in proportion
    /// what this entry has, and what the reports lately showed beyond that. It is never late, and
    /// entries that all weigh it keep to their part of each upstream without a message.
    ///
    /// Where the sidecar lately counted what it has there, that goes before all of this.
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
