//! The report of a run: one JSON object.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::stats::{BranchStats, DeadlineRefusals, GreedEffect, PhaseStats};
use super::{
    AnswerVerdict, CallOutcome, CallRecord, ConfigStats, FaultLog, HomeKill, LeavingVerdict,
    OracleVerdict, OrderVerdict,
};

/// Percentiles of a latency, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct LatencyStats {
    /// Number of samples.
    pub count: u64,
    /// The median.
    pub p50: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The 99th percentile.
    pub p99: f64,
}

const LOWEST_MICROS: u64 = 1;
const HIGHEST_MICROS: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

impl LatencyStats {
    /// All zero if there are no samples.
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

/// A latency through the fleet, and directly at the fake engines in the same run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct LatencyPair {
    /// Through the fleet.
    pub routed: LatencyStats,
    /// Directly at the fake engines; empty if the scenario has no direct calls.
    pub direct: LatencyStats,
}

/// Control traffic of a process, sent and received, in bytes per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct ControlRates {
    /// The mean over all processes.
    pub node: f64,
    /// The mean over entries.
    pub entry: f64,
    /// The mean over sidecars.
    pub sidecar: f64,
}

/// The report of a run, printed as JSON.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct LoadReport {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of all random choices.
    pub seed: u64,
    /// Names of the injected faults.
    pub faults: Vec<String>,
    /// Routing and budget policy, as `routing/budget`.
    pub policy: String,
    /// Calls sent.
    pub requests: u64,
    /// Calls with a complete answer.
    pub answered: u64,
    /// Calls refused, by the reason of the last refusal.
    pub refused: BTreeMap<String, u64>,
    /// Calls rejected as invalid.
    pub invalid: u64,
    /// Calls whose last send ended in a broken connection.
    pub broken: u64,
    /// Tokens billed beyond what was prepaid, or used beyond a reservation.
    pub overspend_tokens: u64,
    /// Refusals for lack of budget although the budget sufficed.
    pub false_refusals: u64,
    /// Non-idempotent requests that ran more than once.
    pub double_runs: u64,
    /// Branches whose settled spend is more than the sum of their bills.
    pub double_bills: u64,
    /// Branches whose settled spend is less than the sum of their bills.
    pub under_bills: u64,
    /// Calls that were retried and got neither a complete answer nor a refusal.
    pub lost: u64,
    /// Answers that belong to another call, or are incomplete.
    pub mixed_answers: u64,
    /// Refusals with `not-run` whose request ran.
    pub false_not_run: u64,
    /// Calls interrupted by a graceful stop or a drain; checked only in runs without other faults.
    pub cut: u64,
    /// Runs that arrived at an upstream more than 3 s after it had begun to leave.
    pub late_dispatches: u64,
    /// Upstreams that were expected to receive work again and received none.
    pub not_resumed: u64,
    /// Processes that were stopped gracefully and started again.
    pub restarts: u64,
    /// Operators' answers that were checked.
    pub operator_answers: u64,
    /// Statements in them that were checked.
    pub statements: u64,
    /// Statements that were false.
    pub false_statements: u64,
    /// Orders that engines carried out.
    pub orders_carried_out: u64,
    /// Of those, orders with a lower fencing number than an order carried out before.
    pub stale_orders: u64,
    /// Rounds of concurrent operator commands.
    pub races: u64,
    /// Races with a wrong answer to an operator, or a command applied twice or lost.
    pub race_faults: u64,
    /// Tokens granted or in doubt in the books at the end.
    pub stranded_tokens: u64,
    /// Mean number of runs at upstreams per call that ran.
    pub runs_per_request: f64,
    /// The share of the engines' runs that ended in a broken stream or a crash.
    pub broken_run_share: f64,
    /// Time from a home's kill until each of its branches was answered again, in milliseconds.
    pub home_served_again_ms: Option<f64>,
    /// Time from a home's kill until all its grants were settled or in doubt, in milliseconds.
    pub home_settled_ms: Option<f64>,
    /// Requests refused because they could not meet their deadline.
    pub deadline_refusals: DeadlineRefusals,
    /// Time to the first token of streamed answers, in the measured phases.
    pub first_token_ms: LatencyPair,
    /// Time to the end of the answer, in the measured phases.
    pub whole_ms: LatencyPair,
    /// Both latencies by branch, in the measured phases.
    pub branch_ms: BranchStats,
    /// Statistics by the name of the phase.
    pub phases: BTreeMap<String, PhaseStats>,
    /// Effect of a greedy branch on the others; none if the scenario has no such phase.
    pub greed_effect: Option<GreedEffect>,
    /// Runs whose prompt prefix was in the engine's cache.
    pub prefix_hits: u64,
    /// Runs whose prompt prefix was not.
    pub prefix_misses: u64,
    /// Writes that reached the store, per call.
    pub store_writes_per_request: f64,
    /// Reads that reached the store, per call, not counting watches.
    pub store_reads_per_request: f64,
    /// Mean control traffic per process while the calls were sent.
    pub control_bytes_per_second_per_node: f64,
    /// The same by role.
    pub control_bytes_per_second: ControlRates,
    /// Processor time of each process, in seconds.
    pub cpu_seconds: BTreeMap<String, f64>,
    /// One-minute load average of the machine when the traffic began and when it ended.
    pub machine_load: Vec<f64>,
    /// Peak resident memory of each process, in MiB.
    pub peak_rss_mb: BTreeMap<String, f64>,
    /// How soon configuration changes were applied; none if no script makes any.
    #[serde(flatten)]
    pub config: Option<ConfigStats>,
    /// Human-readable details, one line each.
    pub findings: Vec<String>,
}

impl LoadReport {
    /// Counts the outcomes of calls.
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

    /// Replaces the counts and findings by those of a verdict.
    pub fn add_verdict(&mut self, verdict: &OracleVerdict) {
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

    /// Sets the recovery times after a home's kill.
    pub fn add_home_kill(&mut self, kill: &HomeKill, records: &[CallRecord]) {
        let millis = |time: Duration| time.as_secs_f64() * 1000.0;
        self.home_served_again_ms = kill.served_after(records).map(millis);
        self.home_settled_ms = kill.settled_after().map(millis);
    }

    /// Sets the counts of graceful stops and drains, and adds the findings.
    pub fn add_leaving_verdict(&mut self, verdict: &LeavingVerdict) {
        self.cut = verdict.cut;
        self.late_dispatches = verdict.late_dispatches;
        self.not_resumed = verdict.not_resumed;
        self.restarts = verdict.restarts;
        self.findings.extend(verdict.findings.iter().cloned());
    }

    /// Sets the counts of operators' answers, and adds the findings.
    pub fn add_answer_verdict(&mut self, verdict: &AnswerVerdict) {
        self.operator_answers = verdict.answers;
        self.statements = verdict.statements;
        self.false_statements = verdict.false_statements;
        self.findings.extend(verdict.findings.iter().cloned());
    }

    /// Sets the counts of orders to engines, and adds the findings.
    pub fn add_order_verdict(&mut self, verdict: &OrderVerdict) {
        self.orders_carried_out = verdict.carried_out;
        self.stale_orders = verdict.stale;
        self.findings.extend(verdict.findings.iter().cloned());
    }

    /// Sets the counts of races between operators, and adds the findings of all scripts.
    pub fn add_races(&mut self, fault_log: &FaultLog) {
        (self.races, self.race_faults) = fault_log.race_counts();
        self.findings.extend(fault_log.findings());
    }

    /// Whether no guarantee was violated. False refusals and stranded tokens are reported but not
    /// counted here.
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
            + self.config.as_ref().map_or(0, ConfigStats::broken);
        broken == 0
    }

    /// The summary line that the fleet example prints with `--once`.
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
