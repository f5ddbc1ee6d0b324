//! A load run against a fleet: traffic derived from its deployment, and the final checks.

use std::collections::BTreeMap;

use sagespool_ledger::BookRecord;
use sagespool_messages::UpstreamKind;
use sagespool_types::{ClockTime, InstanceName, TokenCount, UpstreamName};

use super::plan::BranchTraffic;
use super::{
    AnswerFacts, AnswerSample, CallRecord, DepositLog, FaultLog, LoadReport, OracleInput,
    TrafficMix, judge, judge_answers,
};
use crate::fleet::{FleetOptions, RunningFleet};

/// Traffic of all branches, all models and the first plain service of a deployment.
pub fn traffic_of(options: &FleetOptions) -> TrafficMix {
    let branches = options.deployment.branches.iter().map(|(branch, deposit)| BranchTraffic {
        branch: branch.clone(),
        token: deposit.token.clone(),
        weight: 1,
    });
    let services = &options.fleet.services;
    let models = services.iter().flat_map(|service| &service.models);
    let plain = services.iter().find(|service| service.kind == UpstreamKind::Service);
    let service = plain.map(|plain| {
        let rule = plain.non_idempotent.first();
        let path = rule.map_or("/letters", |rule| rule.path_prefix.as_str());
        (plain.name.clone(), plain.price.unwrap_or(TokenCount(1)), path.to_owned())
    });
    TrafficMix::builder()
        .branches(branches.collect())
        .models(models.map(|model| model.name.clone()).collect())
        .maybe_service(service)
        .entries(options.deployment.entry_count() as usize)
        .build()
}

/// The deposits that a fleet is started with, at time zero.
pub fn first_deposits(options: &FleetOptions) -> DepositLog {
    let mut deposits = DepositLog::default();
    for (branch, deposit) in &options.deployment.branches {
        deposits.note_started(branch, deposit.prepaid, ClockTime::default());
        deposits.note(branch, deposit.prepaid, ClockTime::default());
    }
    deposits
}

/// Counts of the store's calls up to a time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreTraffic {
    /// Writes and deletions.
    pub writes: u64,
    /// Reads and listings.
    pub reads: u64,
}

impl StoreTraffic {
    /// The current counts of a fleet's store.
    pub fn of(fleet: &RunningFleet) -> Self {
        let counts = fleet.store.counts();
        Self { writes: counts.puts + counts.deletes, reads: counts.gets + counts.lists }
    }
}

/// Adds processor time and peak memory of all running processes.
pub fn add_process_usage(report: &mut LoadReport, fleet: &RunningFleet) {
    for member in &fleet.members {
        let Some(process) = &member.process else {
            continue;
        };
        let Ok(usage) = process.usage() else {
            continue;
        };
        let name = member.instance.to_string();
        *report.cpu_seconds.entry(name.clone()).or_default() += usage.processor.as_secs_f64();
        let peak = usage.peak_memory.0 as f64 / (1024.0 * 1024.0);
        let known = report.peak_rss_mb.entry(name).or_default();
        *known = known.max(peak);
    }
}

/// Stops the fleet gracefully, then checks what its callers and upstreams saw.
pub fn stop_and_judge(
    report: &mut LoadReport,
    fleet: &mut RunningFleet,
    records: &[CallRecord],
    deposits: &DepositLog,
) {
    report.count(records);
    add_process_usage(report, fleet);
    let unclean = fleet.stop();
    let books = |key: &str| -> Option<BookRecord> { fleet.store.object(key)?.parse().ok() };
    let input = OracleInput { records, run_log: &fleet.run_log, deposits, books: Some(&books) };
    let verdict = judge(&input);
    report.add_verdict(&verdict);
    for instance in unclean {
        report.findings.push(format!("unclean stop: {instance}"));
    }
    report.runs_per_request = runs_per_request(fleet);
}

/// Input of the check of operators' answers, besides the fleet.
pub struct AnswerInput<'a> {
    /// The calls and their outcomes.
    pub records: &'a [CallRecord],
    /// Operator queries and their answers.
    pub samples: &'a [AnswerSample],
    /// The deposits with their times.
    pub deposits: &'a DepositLog,
    /// The actions of fault scripts.
    pub fault_log: &'a FaultLog,
}

/// Checks the operators' answers of a run and adds the result to its report.
pub fn judge_operator_answers(report: &mut LoadReport, fleet: &RunningFleet, input: &AnswerInput) {
    let entries: Vec<InstanceName> = fleet
        .members
        .iter()
        .filter(|member| member.is_entry())
        .map(|member| member.instance.clone())
        .collect();
    let upstreams: BTreeMap<InstanceName, UpstreamName> = fleet
        .members
        .iter()
        .filter_map(|member| Some((member.instance.clone(), member.upstream.clone()?.0)))
        .collect();
    let verdict = judge_answers(
        input.samples,
        &AnswerFacts {
            records: input.records,
            runs: &fleet.run_log.runs(),
            deposits: input.deposits,
            fault_log: input.fault_log,
            process_events: &fleet.process_events,
            writes: &fleet.store.writes(),
            entries: &entries,
            upstreams: &upstreams,
        },
    );
    report.add_answer_verdict(&verdict);
}

fn runs_per_request(fleet: &RunningFleet) -> f64 {
    let runs: BTreeMap<_, usize> = fleet.run_log.runs_by_marker();
    if runs.is_empty() {
        return 0.0;
    }
    runs.values().sum::<usize>() as f64 / runs.len() as f64
}
