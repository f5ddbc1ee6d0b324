//! The judgement of operators' answers: what each states, held against the upstreams' own log, the
//! load tool's deposits and what was done to processes, for the time between question and answer.

mod fleet;
mod spend;

use std::collections::BTreeMap;

use sagespool_operations::{AnswerBody, StoreBasis};
use sagespool_types::{ClockTime, InstanceName, StoreRevision, UpstreamName};

use super::{AnswerSample, CallRecord, DepositLog, FleetNotes};
use crate::fleet::ProcessEvent;
use crate::{AppliedWrite, RunRecord};

const MOST_FINDINGS: usize = 20;

/// What answers are held against.
pub struct AnswerFacts<'a> {
    /// The calls and what came of them.
    pub records: &'a [CallRecord],
    /// What the upstreams ran.
    pub runs: &'a [RunRecord],
    /// What was prepaid when.
    pub deposits: &'a DepositLog,
    /// What scripts did to upstreams.
    pub notes: &'a FleetNotes,
    /// When processes were started, told to stop, and ended.
    pub process_events: &'a [ProcessEvent],
    /// What the store took, in order.
    pub writes: &'a [AppliedWrite],
    /// The instances of entries, by their place.
    pub entries: &'a [InstanceName],
    /// The upstream beside each sidecar.
    pub upstreams: &'a BTreeMap<InstanceName, UpstreamName>,
}

/// How true the answers were.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerVerdict {
    /// Answers judged.
    pub answers: u64,
    /// Statements in them that were held against what is known.
    pub statements: u64,
    /// Those that were false.
    pub false_statements: u64,
    /// What was found, in words.
    pub findings: Vec<String>,
}

impl AnswerVerdict {
    /// Takes one statement; the words are those of the finding if it is false.
    fn hold(&mut self, sample: &AnswerSample, is_true: bool, words: impl FnOnce() -> String) {
        self.statements += 1;
        if is_true {
            return;
        }
        self.false_statements += 1;
        if self.findings.len() < MOST_FINDINGS {
            self.findings.push(format!(
                "false statement: `{}` through entry {} at {}..{} ms: {}",
                sample.line,
                sample.entry,
                sample.before.0 / 1000,
                sample.after.0 / 1000,
                words()
            ));
        }
    }
}

/// Judges every answer.
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

/// The newest revision that a write to some object had made by a moment.
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
    let asked = facts.entries.get(sample.entry);
    verdict.hold(sample, asked == Some(&basis.entry.instance), || {
        format!("{asked:?} was asked and {} says that it answered", basis.entry.instance)
    });
    if let StoreBasis::Read { revision } = basis.store {
        let newest = revision_at(facts, sample.after, |_| true);
        verdict.hold(sample, revision <= newest, || {
            format!("the store stood at {revision} or later; it stood at {newest}")
        });
    }
}
