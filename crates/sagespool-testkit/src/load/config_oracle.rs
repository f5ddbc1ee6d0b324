//! Checks from the processes' logs that accepted configuration changes were applied.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use chrono::DateTime;
use sagespool_settings::FLEET_OBJECT_KEY;
use sagespool_types::StoreRevision;
use serde::Serialize;

use super::LatencyStats;
use crate::fleet::{FleetMember, RunningFleet};

const APPLIED_EVENT: &str = " event=configuration-applied ";
/// Time allowed for the last changes to be applied once every fault is undone.
const APPLY_LIMIT: Duration = Duration::from_secs(20);
const APPLY_POLL_PERIOD: Duration = Duration::from_millis(250);

/// A change that the store accepted.
#[derive(Debug, Clone, PartialEq)]
struct AcceptedChange {
    key: String,
    version: StoreRevision,
    /// When the conditional update was sent, which is before the store accepted it.
    at: SystemTime,
}

/// A time in which a process did not run or was partitioned.
#[derive(Debug, Clone, PartialEq)]
struct ProcessAbsence {
    instance: String,
    from: SystemTime,
    until: Option<SystemTime>,
}

/// The changes made, and the times in which processes could not receive them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ConfigLog {
    changes: Vec<AcceptedChange>,
    absences: Vec<ProcessAbsence>,
    /// Changes that the store did not accept.
    pub not_accepted: u64,
}

impl ConfigLog {
    /// Records a change that the store accepted.
    pub fn note_accepted(&mut self, key: String, version: StoreRevision, at: SystemTime) {
        self.changes.push(AcceptedChange { key, version, at });
    }

    /// Records that a process has ended or is partitioned.
    pub fn note_absent(&mut self, instance: String, at: SystemTime) {
        self.absences.push(ProcessAbsence { instance, from: at, until: None });
    }

    /// Records that a process was restarted or its links were restored.
    pub fn note_present(&mut self, instance: String, at: SystemTime) {
        let mut own = self.absences.iter_mut().filter(|absence| absence.instance == instance);
        if let Some(absence) = own.rfind(|absence| absence.until.is_none()) {
            absence.until = Some(at);
        }
    }

    /// The end of a process's last absence that overlaps a time span.
    fn last_return_within(
        &self,
        instance: &str,
        from: SystemTime,
        until: SystemTime,
    ) -> Option<SystemTime> {
        let own = self.absences.iter().filter(|absence| absence.instance == instance);
        let touched = own.filter(|absence| {
            absence.from <= until && absence.until.is_none_or(|back| back >= from)
        });
        touched.map(|absence| absence.until.unwrap_or(until)).max()
    }
}

/// How soon configuration changes were applied.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct ConfigStats {
    /// Changes that the store accepted.
    pub config_changes: u64,
    /// Changes that it did not accept, for example during an outage.
    pub config_not_accepted: u64,
    /// Time from the update until a process applied it, over the processes that were reachable
    /// throughout.
    pub config_in_force_ms: LatencyStats,
    /// The same for processes that were not, from their start or from when their links were
    /// restored.
    pub config_catch_up_ms: LatencyStats,
    /// Processes that never applied a change, summed over changes.
    pub config_missing: u64,
    /// Versions that an instance applied after a newer one, over all of its incarnations.
    pub config_reversions: u64,
    /// Human-readable details, one line each.
    #[serde(skip)]
    pub findings: Vec<String>,
}

impl ConfigStats {
    /// Violations: reversions and changes never applied.
    pub fn broken(&self) -> u64 {
        self.config_reversions + self.config_missing
    }
}

/// A version that a process applied.
#[derive(Debug, Clone, PartialEq)]
struct AppliedVersion {
    at: SystemTime,
    version: StoreRevision,
}

fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    line.split(' ').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

fn read_line(line: &str) -> Option<(String, AppliedVersion)> {
    let at = DateTime::parse_from_rfc3339(field(line, "time")?).ok()?;
    let version = field(line, "version")?.parse().ok()?;
    Some((field(line, "object")?.to_owned(), AppliedVersion { at: at.into(), version }))
}

/// The applied versions in a log, by object key.
fn applied_in(log: &str) -> BTreeMap<String, Vec<AppliedVersion>> {
    let mut applied: BTreeMap<String, Vec<AppliedVersion>> = BTreeMap::new();
    let lines = log.lines().filter(|line| line.contains(APPLIED_EVENT));
    for (key, version) in lines.filter_map(read_line) {
        applied.entry(key).or_default().push(version);
    }
    applied
}

fn log_of(member: &FleetMember) -> String {
    std::fs::read_to_string(&member.log).unwrap_or_default()
}

/// Waits until every process has applied all changes, or until the time limit.
pub async fn wait_config_applied(fleet: &RunningFleet, log: &ConfigLog) {
    for _ in 0..APPLY_LIMIT.as_millis() / APPLY_POLL_PERIOD.as_millis() {
        let logs = fleet.members.iter().map(|member| (member.is_entry(), log_of(member)));
        let missing: u64 =
            logs.map(|(is_entry, text)| judge_log("", is_entry, &text, log).config_missing).sum();
        if missing == 0 {
            return;
        }
        smol::Timer::after(APPLY_POLL_PERIOD).await;
    }
}

/// Checks the changes of a run against the logs of all processes.
pub fn judge_config(fleet: &RunningFleet, log: &ConfigLog) -> ConfigStats {
    let mut stats = ConfigStats {
        config_changes: log.changes.len() as u64,
        config_not_accepted: log.not_accepted,
        ..ConfigStats::default()
    };
    let (mut in_force, mut catch_up) = (Vec::new(), Vec::new());
    for member in &fleet.members {
        let name = member.instance.as_str();
        let judged = judge_log(name, member.is_entry(), &log_of(member), log);
        stats.config_missing += judged.config_missing;
        stats.config_reversions += judged.config_reversions;
        stats.findings.extend(judged.findings);
        in_force.extend(judged.in_force);
        catch_up.extend(judged.catch_up);
    }
    stats.config_in_force_ms = LatencyStats::of(in_force);
    stats.config_catch_up_ms = LatencyStats::of(catch_up);
    stats
}

/// The result of checking one process's log.
#[derive(Debug, Default, PartialEq)]
pub struct LogVerdict {
    /// Changes that were never applied.
    pub config_missing: u64,
    /// Versions that were applied after newer ones.
    pub config_reversions: u64,
    /// Times until changes were applied, where the process was reachable throughout.
    pub in_force: Vec<Duration>,
    /// Times until they were applied after the process was down or partitioned.
    pub catch_up: Vec<Duration>,
    /// Human-readable details, one line each.
    pub findings: Vec<String>,
}

/// Checks one process's log; only entries follow objects other than the fleet object.
pub fn judge_log(instance: &str, is_entry: bool, text: &str, log: &ConfigLog) -> LogVerdict {
    let mut verdict = LogVerdict::default();
    let applied = applied_in(text);
    for (key, versions) in &applied {
        let mut newest = StoreRevision::ZERO;
        for applied in versions {
            if applied.version < newest {
                verdict.config_reversions += 1;
                let version = applied.version;
                verdict.findings.push(format!("{instance}: {key} {version} after {newest}"));
            }
            newest = newest.max(applied.version);
        }
    }
    for change in log.changes.iter().filter(|change| is_entry || change.key == FLEET_OBJECT_KEY) {
        let versions = applied.get(&change.key).into_iter().flatten();
        let found = versions.into_iter().find(|applied| applied.version >= change.version);
        let Some(found) = found else {
            verdict.config_missing += 1;
            let AcceptedChange { key, version, .. } = change;
            verdict.findings.push(format!("{instance}: {key} {version} never in force"));
            continue;
        };
        let back = log.last_return_within(instance, change.at, found.at);
        let from = back.unwrap_or(change.at).max(change.at);
        let passed = found.at.duration_since(from).unwrap_or_default();
        if back.is_some() { &mut verdict.catch_up } else { &mut verdict.in_force }.push(passed);
    }
    verdict
}
