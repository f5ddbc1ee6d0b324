//! The report of a run: one JSON object.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::figures::{BranchFigures, DeadlineRefusals, GreedEffect, PhaseFigures};
use super::{
    AnswerVerdict, CallOutcome, CallRecord, ConfigFigures, FleetNotes, HomeKill, LeavingVerdict,
    OracleVerdict, OrderVerdict,
};

/// Percentiles of a latency, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct LatencyFigures {
    /// How many were measured.
    pub count: u64,
    /// The median.
    pub p50: f64,
    /// 95 in 100 are at most this.
    pub p95: f64,
    /// 99 in 100 are at most this.
    pub p99: f64,
}

const LOWEST_MICROS: u64 = 1;
const HIGHEST_MICROS: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

impl LatencyFigures {
    /// The percentiles of measured times.
    pub fn of(times: impl IntoIterator<Item = Duration>) -> Self {
        let histogram =
            Histogram::<u64>::new_with_bounds(LOWEST_MICROS, HIGHEST_MICROS, SIGNIFICANT_DIGITS);
        let mut histogram = histogram.expect("the bounds are valid");
        for time in times {
            histogram.saturating_record(time.as_micros() as u64);
        }
        let millis = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        Self { count: histogram.len(), p50: millis(0.5), p95: millis(0.95), p99: millis(0.99) }
    }
}

/// A latency through the fleet, and straight at a stand-in in the same run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct LatencyPair {
    /// Through the fleet.
    pub routed: LatencyFigures,
    /// Straight at the stand-ins.
    pub direct: LatencyFigures,
}

/// Control traffic of a process, sent and received, in bytes a second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct ControlRates {
    /// The mean over all processes.
    pub node: f64,
    /// The mean over entries.
    pub entry: f64,
    /// The mean over sidecars.
    pub sidecar: f64,
}

/// The report of a run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct LoadReport {
    /// The scenario.
    pub scenario: String,
    /// Its seed.
    pub seed: u64,
    /// The faults brought about.
    pub faults: Vec<String>,
    /// How entries route and pay.
    pub policy: String,
    /// Calls sent.
    pub requests: u64,
    /// Calls that got a whole answer.
    pub answered: u64,
    /// Calls refused, by the last reason.
    pub refused: BTreeMap<String, u64>,
    /// Calls found invalid.
    pub invalid: u64,
    /// Calls without a key whose connection broke.
    pub broken: u64,
    /// Billed beyond what was prepaid, or used beyond a reservation.
    pub overspend_tokens: u64,
    /// Refusals for budget that the fleet could have paid.
    pub false_refusals: u64,
    /// Requests that may never run twice and did.
    pub double_runs: u64,
    /// Branches billed more than once for something.
    pub double_bills: u64,
    /// Branches billed less than their callers were told.
    pub under_bills: u64,
    /// Callers without an answer or a refusal.
    pub lost: u64,
    /// Answers of another call.
    pub mixed_answers: u64,
    /// Callers told `not-run` whose request ran.
    pub false_not_run: u64,
    /// Calls that a graceful stop or a drain cut off; judged where nothing else breaks them.
    pub cut: u64,
    /// Runs that an upstream was given more than 3 s after it had begun to leave.
    pub late_dispatches: u64,
    /// Upstreams that were let work again and got no work.
    pub not_resumed: u64,
    /// Processes that were stopped gracefully and started again.
    pub restarts: u64,
    /// Operators' answers that were judged.
    pub operator_answers: u64,
    /// Statements in them that were held against the stand-ins' own log.
    pub statements: u64,
    /// Those that were false.
    pub false_statements: u64,
    /// Orders that engines carried out.
    pub orders_carried_out: u64,
    /// Of those, orders older than one that was carried out before.
    pub stale_orders: u64,
    /// Races between operators.
    pub races: u64,
    /// Races in which an operator was told something false, or something was done twice or undone.
    pub race_faults: u64,
    /// Tokens outstanding or in doubt at the end.
    pub stranded_tokens: u64,
    /// Runs at upstreams for each call that ran.
    pub runs_per_request: f64,
    /// The share of the engines' runs that an engine's fault cut off.
    pub broken_run_share: f64,
    /// From a home's kill until the last of its branches was answered again, in milliseconds.
    pub home_served_again_ms: Option<f64>,
    /// From a home's kill until the last of its grants was settled, or in doubt, in milliseconds.
    pub home_settled_ms: Option<f64>,
    /// Requests refused since they could not meet their deadline.
    pub deadline_refusals: DeadlineRefusals,
    /// Time to the first token of streamed answers, in the phases that are measured.
    pub first_token_ms: LatencyPair,
    /// Time to the whole answer, in the phases that are measured.
    pub whole_ms: LatencyPair,
    /// Both by branch.
    pub branch_ms: BranchFigures,
    /// What each phase of the scenario came to.
    pub phases: BTreeMap<String, PhaseFigures>,
    /// What a greedy branch did to the others, if one was.
    pub greed_effect: Option<GreedEffect>,
    /// Runs that found their prompt's prefix in their engine's cache.
    pub prefix_hits: u64,
    /// Runs that didn't.
    pub prefix_misses: u64,
    /// Writes that reached the store, for each call.
    pub store_writes_per_request: f64,
    /// Reads that reached the store, for each call, watches not counted.
    pub store_reads_per_request: f64,
    /// Control traffic of a process while the calls were sent, the mean over all.
    pub control_bytes_per_second_per_node: f64,
    /// The same by role.
    pub control_bytes_per_second: ControlRates,
    /// Processor time of each process, in seconds.
    pub cpu_seconds: BTreeMap<String, f64>,
    /// The machine's load when the traffic began and when it ended.
    pub machine_load: Vec<f64>,
    /// Peak memory of each process.
    pub peak_rss_mb: BTreeMap<String, f64>,
    /// How soon changes of the configuration were in force, where a script makes some.
    #[serde(flatten)]
    pub config: Option<ConfigFigures>,
    /// What was found, in words.
    pub findings: Vec<String>,
}

impl LoadReport {
    /// Takes in what callers saw.
    pub fn count(&mut self, records: &[CallRecord]) {
        self.requests += records.len() as u64;
        for record in records {
            if record.is_answered() {
                self.answered += 1;
                continue;
            }
            match record.last().map(|send| &send.outcome) {
                Some(CallOutcome::Refused { reason, .. }) => {
                    *self.refused.entry(reason.clone()).or_default() += 1;
                }
                Some(CallOutcome::Invalid { .. }) => self.invalid += 1,
                _ => self.broken += 1,
            }
        }
    }

    /// Takes in the judgement.
    pub fn take_verdict(&mut self, verdict: &OracleVerdict) {
        self.overspend_tokens = verdict.overspend_tokens;
        self.false_refusals = verdict.false_refusals;
        self.double_runs = verdict.double_runs;
        self.double_bills = verdict.double_bills;
        self.under_bills = verdict.under_bills;
        self.lost = verdict.lost;
        self.mixed_answers = verdict.mixed_answers;
        self.false_not_run = verdict.false_not_run;
        self.stranded_tokens = verdict.stranded_tokens;
        self.findings.clone_from(&verdict.findings);
        self.findings.extend(self.config.iter().flat_map(|config| config.findings.clone()));
    }

    /// Takes in how long a home's death was felt.
    pub fn note_home_kill(&mut self, kill: &HomeKill, records: &[CallRecord]) {
        let millis = |time: Duration| time.as_secs_f64() * 1000.0;
        self.home_served_again_ms = kill.served_after(records).map(millis);
        self.home_settled_ms = kill.settled_after().map(millis);
    }

    /// Takes in the judgement of graceful stops and drains.
    pub fn take_leaving(&mut self, verdict: &LeavingVerdict) {
        self.cut = verdict.cut;
        self.late_dispatches = verdict.late_dispatches;
        self.not_resumed = verdict.not_resumed;
        self.restarts = verdict.restarts;
        self.findings.extend(verdict.findings.iter().cloned());
    }

    /// Takes in the judgement of operators' answers.
    pub fn take_answers(&mut self, verdict: &AnswerVerdict) {
        self.operator_answers = verdict.answers;
        self.statements = verdict.statements;
        self.false_statements = verdict.false_statements;
        self.findings.extend(verdict.findings.iter().cloned());
    }

    /// Takes in the judgement of orders to engines.
    pub fn take_orders(&mut self, verdict: &OrderVerdict) {
        self.orders_carried_out = verdict.carried_out;
        self.stale_orders = verdict.stale;
        self.findings.extend(verdict.findings.iter().cloned());
    }

    /// Takes in what came of races between operators.
    pub fn take_races(&mut self, notes: &FleetNotes) {
        (self.races, self.race_faults) = notes.race_counts();
        self.findings.extend(notes.findings());
    }

    /// True if no promise was broken.
    pub fn is_clean(&self) -> bool {
        let broken = self.overspend_tokens
            + self.double_runs
            + self.double_bills
            + self.under_bills
            + self.lost
            + self.mixed_answers
            + self.false_not_run
            + self.cut
            + self.late_dispatches
            + self.not_resumed
            + self.false_statements
            + self.stale_orders
            + self.race_faults
            + self.config.as_ref().map_or(0, ConfigFigures::broken);
        broken == 0
    }

    /// The one line that a fleet's `--once` prints.
    pub fn closing_line(&self) -> String {
        let refused: u64 = self.refused.values().sum();
        format!(
            "sent={} answered={} refused={} overspend={} double_runs={} lost={} mixed_answers={}",
            self.requests,
            self.answered,
            refused,
            self.overspend_tokens,
            self.double_runs,
            self.lost,
            self.mixed_answers
        )
    }
}
