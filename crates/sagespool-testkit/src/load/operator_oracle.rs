//! Checks operators' answers. Each statement is compared with the upstreams' run log, the load
//! tool's deposits and the process events, for the time between query and answer.

mod fleet;
mod spend;

use std::collections::BTreeMap;

use sagespool_operations::{AnswerBody, StoreBasis};
use sagespool_types::{ClockTime, InstanceName, StoreRevision, UpstreamName};

use super::{AnswerSample, CallRecord, DepositLog, FaultLog};
use crate::fleet::ProcessEvent;
use crate::{AppliedWrite, RunRecord};

const MAX_FINDINGS: usize = 20;

/// The facts with which answers are compared.
pub struct AnswerFacts<'a> {
    /// The calls and their outcomes.
    pub records: &'a [CallRecord],
    /// The runs at upstreams.
    pub runs: &'a [RunRecord],
    /// The deposits with their times.
    pub deposits: &'a DepositLog,
    /// Upstreams that fault scripts stopped or drained.
    pub fault_log: &'a FaultLog,
    /// Starts, stop requests and exits of processes.
    pub process_events: &'a [ProcessEvent],
    /// The writes that the store applied, in order.
    pub writes: &'a [AppliedWrite],
    /// The instances of entries; [`AnswerSample::entry`] is an index into them.
    pub entries: &'a [InstanceName],
    /// The upstream of each sidecar.
    pub upstreams: &'a BTreeMap<InstanceName, UpstreamName>,
}

/// The result of checking answers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerVerdict {
    /// Answers checked.
    pub answers: u64,
    /// Statements in them that were checked.
    pub statements: u64,
    /// Statements that were false.
    pub false_statements: u64,
    /// Human-readable details, one line each.
    pub findings: Vec<String>,
}

impl AnswerVerdict {
    /// Counts one statement; `detail` describes it if it is false.
    fn check(&mut self, sample: &AnswerSample, is_true: bool, detail: impl FnOnce() -> String) {
        self.statements += 1;
        if is_true {
            return;
        }
        self.false_statements += 1;
        if self.findings.len() < MAX_FINDINGS {
            self.findings.push(format!(
                "false statement: `{}` through entry {} at {}..{} ms: {}",
                sample.line,
                sample.entry,
                sample.before.0 / 1000,
                sample.after.0 / 1000,
                detail()
            ));
        }
    }
}

/// Checks every answer.
pub fn judge_answers(samples: &[AnswerSample], facts: &AnswerFacts) -> AnswerVerdict {
    let mut verdict = AnswerVerdict::default();
    for sample in samples {
        verdict.answers += 1;
        judge_basis(sample, facts, &mut verdict);
        match &sample.answer.answer {
            AnswerBody::Spend(answer) => spend::judge(sample, answer, facts, &mut verdict),
            AnswerBody::Running(answer) => {
                fleet::judge_running(sample, answer, facts, &mut verdict);
            }
            AnswerBody::Upstreams(answer) => {
                fleet::judge_upstreams(sample, answer, facts, &mut verdict);
            }
            AnswerBody::Members(answer) => {
                fleet::judge_members(sample, answer, facts, &mut verdict);
            }
            AnswerBody::Configuration(answer) => {
                fleet::judge_configuration(sample, answer, facts, &mut verdict);
            }
            _ => {}
        }
    }
    verdict
}

/// The newest revision among the writes to matching objects until a time.
fn revision_at(
    facts: &AnswerFacts,
    at: ClockTime,
    is_match: impl Fn(&str) -> bool,
) -> StoreRevision {
    let writes = facts.writes.iter().filter(|write| write.at <= at && is_match(&write.key));
    writes.map(|write| write.revision).max().unwrap_or(StoreRevision::ZERO)
}

fn judge_basis(sample: &AnswerSample, facts: &AnswerFacts, verdict: &mut AnswerVerdict) {
    let basis = &sample.answer.basis;
    let queried = facts.entries.get(sample.entry);
    verdict.check(sample, queried == Some(&basis.entry.instance), || {
        format!("query went to {queried:?}; answer names {}", basis.entry.instance)
    });
    if let StoreBasis::Read { revision } = basis.store {
        let newest = revision_at(facts, sample.after, |_| true);
        verdict.check(sample, revision <= newest, || {
            format!("store reported at revision {revision} or later; it was at {newest}")
        });
    }
}
