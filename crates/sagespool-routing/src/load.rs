//! How busy an upstream is now, from an old report and own sends.

use std::time::Duration;

use sagespool_messages::LoadReport;
use sagespool_types::ClockTime;

use crate::history::OwnHistory;
use crate::lag::{LagEstimate, LagRests};
use crate::share::EntryShare;
use crate::smooth::SmoothedValue;

/// Reports that count for what others than the entries have on an upstream.
const BEYOND_MEMORY: f64 = 16.0;
const BEYOND_HALF_LIFE: Duration = Duration::from_secs(60);

/// What a service's reports show together, which one upstream's estimate leans on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoadOutlook {
    /// How old a report is when it arrives.
    pub(crate) lag: Duration,
    /// Requests that other entries send for each own one.
    pub(crate) others: f64,
    /// Requests of other entries for each place of an upstream, on average.
    pub(crate) others_mean: f64,
    /// How long a request runs.
    pub(crate) run_time: Duration,
    /// How long a report's surplus over the average lasts.
    pub(crate) fading: Duration,
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
pub(crate) struct LoadView {
    report: LoadReport,
    /// When the report came; none before the first.
    received: Option<ClockTime>,
    rests: Option<Box<LagRests>>,
    /// Requests there beyond what own ones would mean, by the reports of the last minute.
    beyond: SmoothedValue,
    history: OwnHistory,
    /// What the sidecar counted last.
    count: Option<SidecarCount>,
    /// Requests there that came by no sidecar, by the reports of the last minute.
    outside: SmoothedValue,
    /// Own dispatches ever, and at the newest report.
    sent: u64,
    sent_at_report: u64,
}

impl Default for LoadView {
    fn default() -> Self {
        Self {
            report: LoadReport::default(),
            received: None,
            rests: None,
            beyond: SmoothedValue::new(BEYOND_MEMORY),
            history: OwnHistory::default(),
            count: None,
            outside: SmoothedValue::new(BEYOND_MEMORY),
            sent: 0,
            sent_at_report: 0,
        }
    }
}

impl LoadView {
    pub(crate) fn report(&self) -> &LoadReport {
        &self.report
    }

    /// Own requests there now.
    pub(crate) fn own(&self) -> u32 {
        self.history.now()
    }

    /// Takes a report in, unless it is no newer than the one known.
    pub(crate) fn observe(
        &mut self,
        report: &LoadReport,
        lag: &mut LagEstimate,
        share: &mut EntryShare,
        outlook: &LoadOutlook,
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
        let rests = lag.compare(total(report), &self.history, self.rests.as_deref(), now);
        self.rests = Some(Box::new(rests));
        let own_then = f64::from(self.own_then(outlook.lag));
        let beyond = f64::from(total(report)) - own_then * (1.0 + outlook.others);
        self.beyond.add(beyond, BEYOND_HALF_LIFE, now);
        // An older count says nothing of what the report shows.
        if let Some(count) = self.count.filter(|count| now.since(count.at) <= outlook.run_time) {
            let outside = f64::from(total(report)) - f64::from(count.in_flight);
            self.outside.add(outside, BEYOND_HALF_LIFE, now);
        }
    }

    /// Takes in how many requests the sidecar has at its upstream beside one own that runs there.
    pub(crate) fn counted(&mut self, beside: u32, now: ClockTime) {
        let others = (beside + 1).saturating_sub(self.own());
        self.count = Some(SidecarCount { others, in_flight: beside + 1, at: now });
    }

    pub(crate) fn started(&mut self, now: ClockTime) {
        self.sent += 1;
        self.history.set(self.own() + 1, now);
    }

    pub(crate) fn ended(&mut self, now: ClockTime) {
        self.history.set(self.own().saturating_sub(1), now);
    }

    /// Requests of other entries there when the report was made.
    pub(crate) fn others_then(&self, lag: Duration) -> f64 {
        f64::from(total(&self.report).saturating_sub(self.own_then(lag)))
    }

    /// Requests of others there by the newest that is known: a report, or the sidecar's count.
    pub(crate) fn others_lately(&self, outlook: &LoadOutlook, now: ClockTime) -> f64 {
        self.others_by_count(self.others_then(outlook.lag), outlook, now)
    }

    /// Requests of others there now, given what is expected without the sidecar's count.
    ///
    /// Guards against entries that don't know of each other's last second, in which each finds
    /// the same engine's free places: the engine's report shows only later that they were
    /// taken, and some requests wait there while places elsewhere are free. The count was true
    /// of its moment, whatever the report's lag. What it showed beyond the expected fades as
    /// the requests end that it counted.
    fn others_by_count(&self, expected: f64, outlook: &LoadOutlook, now: ClockTime) -> f64 {
        let Some(count) = self.count else { return expected };
        let age = now.since(count.at).as_secs_f64();
        let kept = (-age / outlook.run_time.as_secs_f64().max(1e-3)).exp();
        let outside = self.outside.value(0.0, BEYOND_HALF_LIFE, now).max(0.0);
        expected + (f64::from(count.others) + outside - expected) * kept
    }

    /// Own requests there when the report was made.
    fn own_then(&self, lag: Duration) -> u32 {
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
    pub(crate) fn estimate(&self, outlook: &LoadOutlook, capacity: f64, now: ClockTime) -> f64 {
        let own = f64::from(self.own());
        let others_mean = outlook.others_mean * capacity;
        let followed = outlook.others * outlook.herding;
        let Some(made_at) = self.made_at(outlook.lag) else {
            let others = own * followed + others_mean;
            return own + self.others_by_count(others, outlook, now);
        };
        let own_then = f64::from(self.history.at(made_at));
        let age = now.since(made_at).as_secs_f64();
        let kept = (-age / outlook.fading.as_secs_f64().max(1e-3)).exp();
        let surplus = (self.others_then(outlook.lag) - others_mean) * kept;
        let others = others_mean + surplus + (own - own_then) * followed;
        let by_report = own + others.max(0.0);
        let beyond = self.beyond.value(0.0, BEYOND_HALF_LIFE, now);
        let by_own = (own * (1.0 + outlook.others) + beyond).max(own);
        let expected = by_report + (by_own - by_report) * outlook.own_weight;
        own + self.others_by_count(expected - own, outlook, now)
    }

    fn made_at(&self, lag: Duration) -> Option<ClockTime> {
        self.received.map(|received| ClockTime(received.0.saturating_sub(lag.as_micros() as u64)))
    }
}

fn total(report: &LoadReport) -> u32 {
    report.running.saturating_add(report.waiting)
}
