//! Checks the fleet's guarantees from the upstreams' run log, the load tool's own deposits and the
//! callers' observations, never from the routers' counters.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sagespool_ledger::{BookRecord, book_key, book_of};
use sagespool_types::{BranchName, ClockTime, TokenCount};

use super::{CallKind, CallOutcome, CallRecord, DepositLog, SendRecord};
use crate::{RunLog, RunMarker, RunRecord};

/// A refusal is false only if the budget covered the request for at least this long. A shorter
/// surplus was on its way to another waiting request.
const MIN_COVERED_TIME: Duration = Duration::from_millis(250);

/// Reads the stored book with a key.
pub type BookReader<'a> = &'a dyn Fn(&str) -> Option<BookRecord>;

/// Input of [`judge`].
pub struct OracleInput<'a> {
    /// The calls and their outcomes.
    pub records: &'a [CallRecord],
    /// All runs at upstreams.
    pub run_log: &'a RunLog,
    /// The deposits with their times.
    pub deposits: &'a DepositLog,
    /// The books after the fleet has settled and stopped; none skips their check.
    pub books: Option<BookReader<'a>>,
}

/// Counts of violated guarantees.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct OracleVerdict {
    /// Tokens billed beyond what was prepaid, or used by an attempt beyond its reservation.
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
    /// Tokens granted or in doubt in the books at the end.
    pub stranded_tokens: u64,
    /// Human-readable details of the first violations.
    pub findings: Vec<String>,
}

impl OracleVerdict {
    fn note(&mut self, finding: String) {
        if self.findings.len() < MAX_FINDINGS {
            self.findings.push(finding);
        }
    }
}

const MAX_FINDINGS: usize = 40;

/// Checks a run.
pub fn judge(input: &OracleInput) -> OracleVerdict {
    let mut verdict = OracleVerdict::default();
    let mut runs: BTreeMap<RunMarker, Vec<RunRecord>> = BTreeMap::new();
    for run in input.run_log.runs() {
        if let Some(marker) = run.start.marker.clone() {
            runs.entry(marker).or_default().push(run);
        }
    }
    let none = Vec::new();
    for record in input.records {
        let own = runs.get(&record.call.marker).unwrap_or(&none);
        judge_call(record, own, &mut verdict);
    }
    let branches: BTreeSet<&BranchName> =
        input.records.iter().map(|record| record.call.branch()).collect();
    for branch in branches {
        let calls: Vec<&CallRecord> =
            input.records.iter().filter(|record| record.call.branch() == branch).collect();
        judge_branch(input, branch, &calls, &runs, &mut verdict);
    }
    verdict
}

fn judge_call(record: &CallRecord, runs: &[RunRecord], verdict: &mut OracleVerdict) {
    let call = &record.call;
    if call.non_idempotent && runs.len() > 1 {
        verdict.double_runs += 1;
        verdict.note(format!("double run: {} ran {} times", call.marker, runs.len()));
    }
    if let CallKind::Completion { .. } = call.kind {
        let reserved = call.greatest_cost();
        for run in runs {
            let used = run.start.prompt_tokens + run.start.resumed_from + run.produced;
            let excess = used.saturating_sub(reserved).0;
            if excess > 0 {
                verdict.overspend_tokens += excess;
                verdict.note(format!(
                    "overspend: an attempt at {} used {used} tokens of {reserved} reserved",
                    call.marker
                ));
            }
        }
    }
    for send in &record.sends {
        judge_send(record, send, runs, verdict);
    }
    if is_lost(record) {
        verdict.lost += 1;
        let last = record.last().map(|send| format!("{:?}", send.outcome));
        verdict.note(format!("lost: {} after {} sends: {last:?}", call.marker, record.sends.len()));
    }
}

fn judge_send(
    record: &CallRecord,
    send: &SendRecord,
    runs: &[RunRecord],
    verdict: &mut OracleVerdict,
) {
    match &send.outcome {
        CallOutcome::Whole { is_own: false, .. } => {
            verdict.mixed_answers += 1;
            verdict
                .note(format!("mixed answer: {} through entry {}", record.call.marker, send.entry));
        }
        CallOutcome::Refused { run_state, reason, .. } if run_state == "not-run" => {
            let ran =
                runs.iter().any(|run| run.started_at <= send.ended || record.sends.len() == 1);
            if ran {
                verdict.false_not_run += 1;
                verdict.note(format!(
                    "false not-run: {} ran, refused with {reason}",
                    record.call.marker
                ));
            }
        }
        _ => {}
    }
}

/// A call with a key is retried until its deadline and must get an answer or a refusal. A call
/// without a key cannot be retried after its connection broke.
fn is_lost(record: &CallRecord) -> bool {
    let Some(last) = record.last() else {
        return true;
    };
    let broke_only = matches!(last.outcome, CallOutcome::Broken(_)) && !record.is_answered();
    let no_answer_in_time =
        matches!(&last.outcome, CallOutcome::Broken(detail) if detail == "no answer in time");
    broke_only && (record.call.key.is_some() || no_answer_in_time)
}

/// The bill that the caller received, and when.
fn known_bill(record: &CallRecord) -> Option<(ClockTime, TokenCount)> {
    let billed = record.billed();
    let ended = record.sends.iter().find(|send| match &send.outcome {
        CallOutcome::Whole { .. } => true,
        CallOutcome::Refused { .. } => billed > TokenCount::ZERO,
        _ => false,
    })?;
    Some((ended.ended, billed))
}

fn judge_branch(
    input: &OracleInput,
    branch: &BranchName,
    calls: &[&CallRecord],
    runs: &BTreeMap<RunMarker, Vec<RunRecord>>,
    verdict: &mut OracleVerdict,
) {
    let mut bills: Vec<(ClockTime, TokenCount)> =
        calls.iter().filter_map(|record| known_bill(record)).collect();
    bills.sort();
    let mut spent = TokenCount::ZERO;
    let mut worst = TokenCount::ZERO;
    for (at, billed) in &bills {
        spent += *billed;
        worst = worst.max(spent.saturating_sub(input.deposits.prepaid_at(branch, *at)));
    }
    if worst > TokenCount::ZERO {
        verdict.overspend_tokens += worst.0;
        verdict.note(format!("overspend: {branch} by {worst}"));
    }
    judge_book(input, branch, calls, runs, verdict);
    judge_refusals(input, branch, calls, runs, verdict);
}

/// Compares the settled spend in the book with the received bills, plus at most the cost of calls
/// whose bill did not reach the caller.
fn judge_book(
    input: &OracleInput,
    branch: &BranchName,
    calls: &[&CallRecord],
    runs: &BTreeMap<RunMarker, Vec<RunRecord>>,
    verdict: &mut OracleVerdict,
) {
    let Some(books) = input.books else {
        return;
    };
    let Some(book) = books(&book_key(book_of(branch))) else {
        return;
    };
    let Some(bounds) = book.spend(branch) else {
        return;
    };
    let outstanding = bounds.granted + bounds.in_doubt;
    verdict.stranded_tokens += outstanding.0;
    let known: TokenCount = calls.iter().map(|record| record.billed()).sum();
    let max_unknown = calls.iter().filter(|record| record.is_bill_unknown());
    let max_unknown: TokenCount = max_unknown
        .filter(|record| runs.contains_key(&record.call.marker))
        .map(|record| record.call.greatest_cost().saturating_sub(record.billed()))
        .sum();
    let prepaid = input.deposits.prepaid_at(branch, ClockTime(u64::MAX));
    if bounds.settled > prepaid {
        verdict.overspend_tokens += bounds.settled.saturating_sub(prepaid).0;
        verdict
            .note(format!("overspend: {branch} settled {} of {prepaid} prepaid", bounds.settled));
    }
    if bounds.settled > known + max_unknown {
        verdict.double_bills += 1;
        verdict.note(format!(
            "double bill: {branch} settled {}, bills {known} + at most {max_unknown}",
            bounds.settled
        ));
    }
    if bounds.settled + outstanding < known {
        verdict.under_bills += 1;
        verdict.note(format!("under bill: {branch} settled {}, bills {known}", bounds.settled));
    }
}

/// A change of a branch's balance at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct BalanceStep {
    at: ClockTime,
    change: i64,
}

/// The balance that the fleet could grant, over time: prepaid, less bills, less the reservations
/// of running requests from their start at an upstream until the caller has the outcome.
fn balance_steps(
    input: &OracleInput,
    branch: &BranchName,
    calls: &[&CallRecord],
    runs: &BTreeMap<RunMarker, Vec<RunRecord>>,
) -> Vec<BalanceStep> {
    let mut steps = Vec::new();
    let mut before = TokenCount::ZERO;
    for at in input.deposits.effective_times(branch) {
        let prepaid = input.deposits.prepaid_at(branch, at);
        steps.push(BalanceStep { at, change: prepaid.saturating_sub(before).0 as i64 });
        before = prepaid;
    }
    for record in calls {
        let own = runs.get(&record.call.marker);
        let Some(started) = own.and_then(|runs| runs.iter().map(|run| run.started_at).min()) else {
            continue;
        };
        let reserved = record.call.greatest_cost().0 as i64;
        steps.push(BalanceStep { at: started, change: -reserved });
        if let Some((ended, billed)) = known_bill(record) {
            let at = ended.max(started);
            steps.push(BalanceStep { at, change: reserved - billed.0 as i64 });
        }
    }
    steps.sort();
    steps
}

/// The balance at a time.
fn balance_at(steps: &[BalanceStep], at: ClockTime) -> i64 {
    steps.iter().filter(|step| step.at <= at).map(|step| step.change).sum()
}

/// Whether the balance covers an amount without interruption for [`MIN_COVERED_TIME`] within a time span.
fn covers(steps: &[BalanceStep], amount: i64, from: ClockTime, to: ClockTime) -> bool {
    let mut balance = 0;
    let mut since: Option<ClockTime> = None;
    for step in steps {
        if let Some(start) = since {
            let start = start.max(from);
            let end = step.at.min(to);
            if end > start && end.since(start) >= MIN_COVERED_TIME {
                return true;
            }
        }
        balance += step.change;
        since = match (balance >= amount, since) {
            (true, Some(start)) => Some(start),
            (true, None) => Some(step.at),
            (false, _) => None,
        };
        if step.at > to {
            return false;
        }
    }
    since.is_some_and(|start| to > start.max(from) && to.since(start.max(from)) >= MIN_COVERED_TIME)
}

fn judge_refusals(
    input: &OracleInput,
    branch: &BranchName,
    calls: &[&CallRecord],
    runs: &BTreeMap<RunMarker, Vec<RunRecord>>,
    verdict: &mut OracleVerdict,
) {
    let refused: Vec<(&CallRecord, &SendRecord)> = calls
        .iter()
        .flat_map(|record| record.sends.iter().map(move |send| (*record, send)))
        .filter(|(_, send)| is_budget_refusal(&send.outcome))
        .collect();
    if refused.is_empty() {
        return;
    }
    let steps = balance_steps(input, branch, calls, runs);
    for (record, send) in refused {
        let amount = record.call.greatest_cost();
        let deadline = send.sent.after(record.call.deadline);
        if covers(&steps, amount.0 as i64, send.sent, deadline) {
            verdict.false_refusals += 1;
            verdict.note(format!(
                "false refusal: {} of {amount} tokens sent at {} ms, refused after {} ms; balance then {}, at the end {}",
                record.call.marker,
                send.sent.0 / 1000,
                send.ended.since(send.sent).as_millis(),
                balance_at(&steps, send.ended),
                balance_at(&steps, ClockTime(u64::MAX)),
            ));
        }
    }
}

fn is_budget_refusal(outcome: &CallOutcome) -> bool {
    matches!(
        outcome,
        CallOutcome::Refused { reason, .. } if reason == "budget-exhausted" || reason == "budget-unreachable"
    )
}
