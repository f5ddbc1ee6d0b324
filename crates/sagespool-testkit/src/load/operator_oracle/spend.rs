//! Checks answers to `spend`: prepaid, settled, and the bounds of what is spent and reserved.

use std::collections::BTreeSet;

use sagespool_operations::{SpendAnswer, SpendRow};
use sagespool_types::{BranchName, ClockTime, TokenCount};

use super::{AnswerFacts, AnswerVerdict};
use crate::RunMarker;
use crate::load::{AnswerSample, CallOutcome, CallRecord};

pub(super) fn judge(
    sample: &AnswerSample,
    answer: &SpendAnswer,
    facts: &AnswerFacts,
    verdict: &mut AnswerVerdict,
) {
    for row in &answer.rows {
        judge_bounds(sample, row, facts, verdict);
        judge_book(sample, row, facts, verdict);
        judge_held(sample, row, facts, verdict);
    }
}

/// The lower bound of what a branch was billed until a time: the bills that callers received.
fn min_billed(facts: &AnswerFacts, branch: &BranchName, at: ClockTime) -> TokenCount {
    let records = facts.records.iter().filter(|record| record.call.branch() == branch);
    let reported = |record: &&CallRecord| {
        let mut sends = record.sends.iter();
        sends.any(|send| matches!(send.outcome, CallOutcome::Whole { .. }) && send.ended <= at)
    };
    records.filter(reported).map(CallRecord::billed).sum()
}

/// The upper bound of what a branch was billed until a time, over all calls with a started run.
fn max_billed(facts: &AnswerFacts, branch: &BranchName, at: ClockTime) -> TokenCount {
    let begun: BTreeSet<&RunMarker> = facts
        .runs
        .iter()
        .filter(|run| run.started_at <= at)
        .filter_map(|run| run.start.marker.as_ref())
        .filter(|marker| marker.branch == *branch)
        .collect();
    let records = facts.records.iter().filter(|record| match record.call.is_marked() {
        true => begun.contains(&record.call.marker),
        // Its runs can't be told from those of other calls with the same content.
        false => record.call.branch() == branch && record.sends.iter().any(|send| send.sent <= at),
    });
    let most = records.map(|record| match record.is_answered() {
        true => record.billed(),
        false => record.call.greatest_cost(),
    });
    most.sum()
}

fn judge_bounds(
    sample: &AnswerSample,
    row: &SpendRow,
    facts: &AnswerFacts,
    verdict: &mut AnswerVerdict,
) {
    let most = max_billed(facts, &row.branch, sample.after);
    verdict.check(sample, row.spent.least <= most, || {
        format!("{} listed with at least {} spent; at most {most}", row.branch, row.spent.least)
    });
    if let Some(reported) = row.spent.most {
        let least = min_billed(facts, &row.branch, sample.before);
        verdict.check(sample, reported >= least, || {
            format!("{} listed with at most {reported} spent; at least {least}", row.branch)
        });
    }
}

fn judge_book(
    sample: &AnswerSample,
    row: &SpendRow,
    facts: &AnswerFacts,
    verdict: &mut AnswerVerdict,
) {
    let Some(book) = &row.book else { return };
    let branch = &row.branch;
    let parts = book.settled + book.granted + book.in_doubt + book.free;
    verdict.check(sample, book.prepaid == parts, || {
        format!("parts of {branch} sum up to {parts}, not to {} prepaid", book.prepaid)
    });
    let least = facts.deposits.prepaid_at(branch, sample.before);
    let most = facts.deposits.max_prepaid_at(branch, sample.after);
    verdict.check(sample, least <= book.prepaid && book.prepaid <= most, || {
        format!("{branch} listed with {} prepaid; {least} to {most}", book.prepaid)
    });
    let most = max_billed(facts, branch, sample.after);
    verdict.check(sample, book.settled <= most, || {
        format!("{branch} listed with {} settled; at most {most} billed", book.settled)
    });
}

/// Runs that were running throughout the query must have been covered by held tokens.
fn judge_held(
    sample: &AnswerSample,
    row: &SpendRow,
    facts: &AnswerFacts,
    verdict: &mut AnswerVerdict,
) {
    let (Some(reported), Some(book)) = (row.running.most, &row.book) else { return };
    let throughout = facts.runs.iter().filter(|run| {
        let marker = run.start.marker.as_ref();
        marker.is_some_and(|marker| marker.branch == row.branch)
            && run.running_at(sample.before)
            && run.running_at(sample.after)
    });
    let used: TokenCount = throughout.map(|run| run.used_at(sample.before).least).sum();
    verdict.check(sample, reported + book.in_doubt >= used, || {
        format!("{} listed with at most {reported} for running requests; {used} used", row.branch)
    });
}
