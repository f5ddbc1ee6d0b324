//! Whether accepted changes of the configuration came into force, from the processes' own logs.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use chrono::DateTime;
use sagespool_settings::FLEET_OBJECT_KEY;
use sagespool_types::StoreRevision;
use serde::Serialize;

use super::LatencyFigures;
use crate::fleet::{FleetMember, RunningFleet};

const APPLIED_EVENT: &str = " event=configuration-applied ";
/// How long the last changes are waited for once every fault is undone.
const SPREAD_LIMIT: Duration = Duration::from_secs(20);
const SPREAD_STEP: Duration = Duration::from_millis(250);

/// A change that the store took.
#[derive(Debug, Clone, PartialEq)]
struct AcceptedChange {
    key: String,
    version: StoreRevision,
    /// When its conditional update was sent, which is before it was accepted.
    at: SystemTime,
}

/// A time in which a process didn't run, or nobody reached it.
#[derive(Debug, Clone, PartialEq)]
struct ProcessAbsence {
    instance: String,
    from: SystemTime,
    until: Option<SystemTime>,
}

/// What was changed, and who could not know.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ConfigLog {
    changes: Vec<AcceptedChange>,
    absences: Vec<ProcessAbsence>,
    /// Changes that the store didn't take.
    pub not_accepted: u64,
}

impl ConfigLog {
    /// The store has taken a change.
    pub fn accept(&mut self, key: String, version: StoreRevision, at: SystemTime) {
        self.changes.push(AcceptedChange { key, version, at });
    }

    /// A process has ended, or is cut off.
    pub fn leave(&mut self, instance: String, at: SystemTime) {
        self.absences.push(ProcessAbsence { instance, from: at, until: None });
    }

    /// It was started again, or its links are mended.
    pub fn come_back(&mut self, instance: String, at: SystemTime) {
        let mut own = self.absences.iter_mut().filter(|absence| absence.instance == instance);
        if let Some(absence) = own.rfind(|absence| absence.until.is_none()) {
            absence.until = Some(at);
        }
    }

    /// When a process came back from the last absence that a span of time touches.
    fn back_within(
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

/// How soon the configuration was in force.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct ConfigFigures {
    /// Changes that the store took.
    pub config_changes: u64,
    /// Changes that it didn't take, as while it was down.
    pub config_not_accepted: u64,
    /// From a change's acceptance until a process had it in force, over all processes that were
    /// reachable all that time.
    pub config_in_force_ms: LatencyFigures,
    /// The same for processes that were not: from their start, or from the mending of their links.
    pub config_catch_up_ms: LatencyFigures,
    /// Processes that never had a change in force, summed over changes.
    pub config_missing: u64,
    /// Versions put in force after a newer one by the same instance, over all of its runs.
    pub config_reversions: u64,
    /// Where and when, in words.
    #[serde(skip)]
    pub findings: Vec<String>,
}

impl ConfigFigures {
    /// How often a promise about the configuration was broken.
    pub fn broken(&self) -> u64 {
        self.config_reversions + self.config_missing
    }
}

/// A version that a process has put in force.
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

/// What a log says was put in force, by object.
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

/// Waits until every process has the newest version of each object that it follows, or the limit.
pub async fn wait_spread(fleet: &RunningFleet, log: &ConfigLog) {
    for _ in 0..SPREAD_LIMIT.as_millis() / SPREAD_STEP.as_millis() {
        let logs = fleet.members.iter().map(|member| (member.is_entry(), log_of(member)));
        let missing: u64 =
            logs.map(|(is_entry, text)| judge_log("", is_entry, &text, log).config_missing).sum();
        if missing == 0 {
            return;
        }
        smol::Timer::after(SPREAD_STEP).await;
    }
}

/// Judges the changes of a run from all processes' logs.
pub fn judge_config(fleet: &RunningFleet, log: &ConfigLog) -> ConfigFigures {
    let mut figures = ConfigFigures {
        config_changes: log.changes.len() as u64,
        config_not_accepted: log.not_accepted,
        ..ConfigFigures::default()
    };
    let (mut in_force, mut catch_up) = (Vec::new(), Vec::new());
    for member in &fleet.members {
        let name = member.instance.as_str();
        let judged = judge_log(name, member.is_entry(), &log_of(member), log);
        figures.config_missing += judged.config_missing;
        figures.config_reversions += judged.config_reversions;
        figures.findings.extend(judged.findings);
        in_force.extend(judged.in_force);
        catch_up.extend(judged.catch_up);
    }
    figures.config_in_force_ms = LatencyFigures::of(in_force);
    figures.config_catch_up_ms = LatencyFigures::of(catch_up);
    figures
}

/// What one process's log came to.
#[derive(Debug, Default, PartialEq)]
pub struct LogVerdict {
    /// Changes that never came into force.
    pub config_missing: u64,
    /// Versions that came after newer ones.
    pub config_reversions: u64,
    /// Times until changes were in force, the process being reachable.
    pub in_force: Vec<Duration>,
    /// Times until they were in force after it had not been.
    pub catch_up: Vec<Duration>,
    /// What was found, in words.
    pub findings: Vec<String>,
}

/// Judges one process's log.
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
        let back = log.back_within(instance, change.at, found.at);
        let from = back.unwrap_or(change.at).max(change.at);
        let passed = found.at.duration_since(from).unwrap_or_default();
        if back.is_some() { &mut verdict.catch_up } else { &mut verdict.in_force }.push(passed);
    }
    verdict
}
