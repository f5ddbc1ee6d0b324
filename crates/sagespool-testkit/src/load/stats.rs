//! Statistics of a run: by phase, by branch, and from the engines' counters.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sagespool_messages::UpstreamKind;
use sagespool_types::{BranchName, ClockTime};
use serde::Serialize;

use super::scenario::{GREEDY_BRANCH, TimedPhase};
use super::{CallOutcome, CallRecord, LatencyStats, LoadReport};
use crate::fleet::RunningFleet;
use crate::{RunEnd, RunRecord};

/// A deadline refusal counts as early if at least this share of the deadline is left.
const EARLY_SHARE: f64 = 0.5;

/// Latencies in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct AnswerStats {
    /// Time to the first token of streams.
    pub first_token: LatencyStats,
    /// Time to the end of the answer.
    pub whole: LatencyStats,
}

impl AnswerStats {
    /// Statistics of the first attempt of each answered call.
    pub fn of<'a>(records: impl IntoIterator<Item = &'a CallRecord>) -> Self {
        let answered = records.into_iter().filter(|record| record.is_answered());
        let sends: Vec<_> = answered.filter_map(|record| record.sends.first()).collect();
        Self {
            first_token: LatencyStats::of(sends.iter().filter_map(|send| send.first_token)),
            whole: LatencyStats::of(sends.iter().map(|send| send.ended.since(send.sent))),
        }
    }
}

/// Statistics over all phases of one name.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct PhaseStats {
    /// Calls sent.
    pub requests: u64,
    /// Calls answered completely.
    pub answered: u64,
    /// Latencies of all branches.
    pub all: AnswerStats,
    /// Latencies without the greedy branch.
    pub others: AnswerStats,
    /// The mean share of the engines' slots in use.
    pub engine_use: f64,
}

/// Refusals of requests that could not meet their deadline.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct DeadlineRefusals {
    /// At least half of the deadline was left.
    pub early: u64,
    /// Less than half of it was left.
    pub late: u64,
}

impl DeadlineRefusals {
    fn of(records: &[CallRecord]) -> Self {
        let mut refusals = Self::default();
        for record in records {
            let Some(send) = record.last() else { continue };
            let is_late = matches!(
                &send.outcome,
                CallOutcome::Refused { reason, .. } if reason == "deadline-exceeded"
            );
            if !is_late {
                continue;
            }
            let took = send.ended.since(record.sends[0].sent);
            match took <= record.call.deadline.mul_f64(1.0 - EARLY_SHARE) {
                true => refusals.early += 1,
                false => refusals.late += 1,
            }
        }
        refusals
    }
}

/// Ratios of the other branches' 99th percentiles, with one greedy branch to without.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct GreedEffect {
    /// Of the first token.
    pub first_token_p99: f64,
    /// Of the time to the end of the answer.
    pub whole_p99: f64,
}

impl GreedEffect {
    /// None unless the scenario has measured phases both with and without a greedy branch.
    fn of(phases: &[TimedPhase], stats: &BTreeMap<String, PhaseStats>) -> Option<Self> {
        let of_greed = |is_greedy: bool| {
            let mut measured = phases.iter().filter(|timed| timed.phase.is_measured);
            let phase = measured.find(|timed| (timed.phase.greed > 1.0) == is_greedy)?;
            stats.get(phase.phase.name).map(|stats| stats.others)
        };
        let (calm, greedy) = (of_greed(false)?, of_greed(true)?);
        Some(Self {
            first_token_p99: greedy.first_token.p99 / calm.first_token.p99,
            whole_p99: greedy.whole.p99 / calm.whole.p99,
        })
    }
}

/// Input of the phase statistics.
pub(super) struct PhaseInput<'a> {
    pub(super) records: &'a [CallRecord],
    pub(super) phases: &'a [TimedPhase],
    /// When the traffic started.
    pub(super) start: ClockTime,
}

impl PhaseInput<'_> {
    fn phase_of(&self, record: &CallRecord) -> Option<&TimedPhase> {
        self.phases.iter().find(|timed| (timed.from..timed.until()).contains(&record.call.at))
    }

    fn measured(&self) -> Vec<&CallRecord> {
        let is_measured = |record: &&CallRecord| {
            self.phase_of(record).is_some_and(|timed| timed.phase.is_measured)
        };
        self.records.iter().filter(is_measured).collect()
    }
}

/// Adds the phase statistics to a report.
pub(super) fn add_phase_stats(report: &mut LoadReport, input: &PhaseInput, fleet: &RunningFleet) {
    let measured = input.measured();
    let all = AnswerStats::of(measured.iter().copied());
    report.first_token_ms.routed = all.first_token;
    report.whole_ms.routed = all.whole;
    let branches: BTreeSet<&BranchName> =
        measured.iter().map(|record| record.call.branch()).collect();
    for branch in branches {
        let own = measured.iter().copied().filter(|record| record.call.branch() == branch);
        report.branch_ms.insert(branch.clone(), AnswerStats::of(own));
    }
    let runs: Vec<RunRecord> = engine_runs(fleet);
    let names: BTreeSet<&str> = input.phases.iter().map(|timed| timed.phase.name).collect();
    for name in names {
        report.phases.insert(name.to_owned(), phase_stats(name, input, fleet, &runs));
    }
    report.greed_effect = GreedEffect::of(input.phases, &report.phases);
    report.deadline_refusals = DeadlineRefusals::of(input.records);
    let broken = runs.iter().filter(|run| is_broken(run)).count();
    report.broken_run_share = broken as f64 / runs.len().max(1) as f64;
    for engine in fleet.engines.values() {
        let counts = engine.prefix_counts();
        report.prefix_hits += counts.hits;
        report.prefix_misses += counts.misses;
    }
}

fn engine_runs(fleet: &RunningFleet) -> Vec<RunRecord> {
    let runs = fleet.run_log.runs().into_iter();
    runs.filter(|run| run.start.kind == UpstreamKind::Engine).collect()
}

fn is_broken(run: &RunRecord) -> bool {
    matches!(run.ended, Some((RunEnd::Broken | RunEnd::Crashed, _)))
}

fn phase_stats(
    name: &str,
    input: &PhaseInput,
    fleet: &RunningFleet,
    runs: &[RunRecord],
) -> PhaseStats {
    let is_of = |timed: &TimedPhase| timed.phase.name == name;
    let records = input.records.iter();
    let records = records.filter(|record| input.phase_of(record).is_some_and(is_of));
    let records: Vec<&CallRecord> = records.collect();
    let is_other = |record: &&CallRecord| record.call.branch().as_str() != GREEDY_BRANCH;
    PhaseStats {
        requests: records.len() as u64,
        answered: records.iter().filter(|record| record.is_answered()).count() as u64,
        all: AnswerStats::of(records.iter().copied()),
        others: AnswerStats::of(records.iter().copied().filter(is_other)),
        engine_use: engine_use(
            input,
            input.phases.iter().filter(|timed| is_of(timed)),
            fleet,
            runs,
        ),
    }
}

/// The mean share of the engines' slots that runs occupied during some phases.
fn engine_use<'a>(
    input: &PhaseInput,
    phases: impl Iterator<Item = &'a TimedPhase>,
    fleet: &RunningFleet,
    runs: &[RunRecord],
) -> f64 {
    let slots: usize = fleet.engines.values().map(|engine| engine.current_load().capacity).sum();
    let (mut held, mut time) = (Duration::ZERO, Duration::ZERO);
    for timed in phases {
        let (from, until) = (input.start.after(timed.from), input.start.after(timed.until()));
        time += timed.duration;
        for run in runs {
            let ended = run.ended.map_or(until, |(_, at)| at);
            held += ended.min(until).since(run.started_at.max(from));
        }
    }
    held.as_secs_f64() / (time.as_secs_f64() * slots as f64).max(f64::MIN_POSITIVE)
}

/// The one-minute load average of the machine; none where `/proc/loadavg` is missing.
pub(super) fn machine_load() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/loadavg").ok()?;
    text.split_whitespace().next()?.parse().ok()
}

/// Latencies by branch.
pub type BranchStats = BTreeMap<BranchName, AnswerStats>;
