//! Checks graceful stops and drains: calls that were cut off, and runs that an upstream received
//! after it had begun to leave.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{CallOutcome, CallRecord, FaultLog, LeavingSpan};
use crate::{RunEnd, RunLog, RunMarker, RunRecord};

/// Time after the start of leaving in which an upstream may still receive work.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

const MAX_FINDINGS: usize = 20;

/// The result of checking graceful stops.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LeavingVerdict {
    /// Calls whose connection broke, whose outcome became unknown or whose run was interrupted.
    pub cut: u64,
    /// Runs that arrived at an upstream more than 3 s after it had begun to leave.
    pub late_dispatches: u64,
    /// Upstreams that were expected to receive work again and received none.
    pub not_resumed: u64,
    /// Processes that were stopped gracefully and are running again.
    pub restarts: u64,
    /// Human-readable details, one line each.
    pub findings: Vec<String>,
}

/// Checks a run in which processes and upstreams leave and return but nothing fails. With other
/// faults, broken connections are expected.
pub fn judge_leaving(
    records: &[CallRecord],
    run_log: &RunLog,
    fault_log: &FaultLog,
) -> LeavingVerdict {
    let mut verdict = LeavingVerdict { restarts: fault_log.restarts(), ..Default::default() };
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
    for span in fault_log.spans() {
        let late = runs.iter().filter(|run| is_late(run, &span));
        for run in late {
            verdict.late_dispatches += 1;
            findings.push(format!(
                "late dispatch: {} received {:?} {} ms after it began to leave ({})",
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
    findings.truncate(MAX_FINDINGS);
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

/// Callers of the load tool never cancel, so every run must finish.
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
