//! The judgement of graceful stops and drains: what was cut, and what an upstream was given after
//! it had begun to leave.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{CallOutcome, CallRecord, FleetNotes, LeavingSpan};
use crate::{RunEnd, RunLog, RunMarker, RunRecord};

/// How long after an upstream began to leave it may still be given work.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

const MOST_FINDINGS: usize = 20;

/// How graceful stops went.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LeavingVerdict {
    /// Calls whose connection broke, whose outcome became unknown or whose run was cut off.
    pub cut: u64,
    /// Runs that began at an upstream more than 3 s after it had begun to leave.
    pub late_dispatches: u64,
    /// Upstreams that were to be given work again and got none.
    pub not_resumed: u64,
    /// Processes that were stopped gracefully and run again.
    pub restarts: u64,
    /// What was found, in words.
    pub findings: Vec<String>,
}

/// Judges a run in which nothing fails and processes and upstreams leave and come back. In others
/// broken connections are the faults' own.
pub fn judge_leaving(
    records: &[CallRecord],
    run_log: &RunLog,
    notes: &FleetNotes,
) -> LeavingVerdict {
    let mut verdict = LeavingVerdict { restarts: notes.restarts(), ..Default::default() };
    let runs = run_log.runs();
    let mut cut: BTreeSet<&RunMarker> = BTreeSet::new();
    let mut findings = Vec::new();
    for record in records {
        for send in record.sends.iter().filter(|send| is_cut(&send.outcome)) {
            cut.insert(&record.call.marker);
            findings.push(format!("cut: {} {:?}", record.call.marker, send.outcome));
        }
    }
    for run in runs.iter().filter(|run| was_cut(run)) {
        let Some(marker) = &run.start.marker else { continue };
        cut.insert(marker);
        findings.push(format!("cut run: {marker} at {} {:?}", run.start.upstream, run.ended));
    }
    verdict.cut = cut.len() as u64;
    for span in notes.spans() {
        let late = runs.iter().filter(|run| is_late(run, &span));
        for run in late {
            verdict.late_dispatches += 1;
            findings.push(format!(
                "late dispatch: {} got {:?} {} ms after it began to leave ({})",
                span.upstream,
                run.start.marker.as_ref().map(ToString::to_string),
                run.start.arrived_at.since(span.began).as_millis(),
                span.cause
            ));
        }
        if span.resumed && !runs.iter().any(|run| is_after(run, &span)) {
            verdict.not_resumed += 1;
            findings.push(format!("not resumed: {} after {}", span.upstream, span.cause));
        }
    }
    findings.truncate(MOST_FINDINGS);
    verdict.findings.extend(findings);
    verdict
}

fn is_cut(outcome: &CallOutcome) -> bool {
    match outcome {
        CallOutcome::Broken(_) => true,
        CallOutcome::Refused { reason, .. } => {
            reason == "outcome-unknown" || reason == "upstream-failed"
        }
        _ => false,
    }
}

/// No caller of the load tool gives up, so every run has to come to its end.
fn was_cut(run: &RunRecord) -> bool {
    !matches!(run.ended, Some((RunEnd::Finished, _)))
}

fn is_late(run: &RunRecord, span: &LeavingSpan) -> bool {
    run.start.upstream == span.upstream
        && run.start.arrived_at > span.began.after(LEAVING_LIMIT)
        && span.ended.is_none_or(|ended| run.start.arrived_at < ended)
}

fn is_after(run: &RunRecord, span: &LeavingSpan) -> bool {
    run.start.upstream == span.upstream
        && span.ended.is_some_and(|ended| run.start.arrived_at >= ended)
}
