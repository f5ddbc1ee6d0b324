//! The end of a request: its charge is settled, what it didn't use is free again.

use sagespool_messages::{AbandonNotice, ChargeReport, ChargesDurable, FinishReport, FinishState};
use sagespool_types::ClockTime;

use crate::state::EntryState;

/// Takes in how a reserved request ended, as its entry saw it.
pub fn finish(state: &EntryState, report: &FinishReport) {
    let now = ClockTime::now();
    state.ledger.finish(report, now);
    if let Some(key) = report.key {
        finish_key(state, report, key, now);
    }
    state.metrics.rerun(&report.branch, report.rerun_tokens);
    state.budget_changed.notify(usize::MAX);
}

fn finish_key(
    state: &EntryState,
    report: &FinishReport,
    key: sagespool_types::KeyDigest,
    now: ClockTime,
) {
    match &report.state {
        FinishState::Ran(record) if record.whole => {
            state.keys.record_outcome(
                key,
                report.request,
                sagespool_claims::KeyOutcome::Answered,
                now,
            );
        }
        FinishState::NotRun | FinishState::GrantUnusable => state.keys.forget(key, report.request),
        FinishState::Ran(_) | FinishState::Unknown => {
            state.keys.record_outcome(
                key,
                report.request,
                sagespool_claims::KeyOutcome::Broken,
                now,
            );
        }
    }
}

/// Gives a reservation back whose entry went elsewhere, also one that is yet to come: the question
/// may have waited in a paused process behind its own withdrawal.
pub(crate) fn abandon(state: &EntryState, notice: &AbandonNotice) {
    state.abandoned().insert(notice.request, ClockTime::now());
    state.ledger.abandon(&notice.branch, notice.request);
    if let Some(key) = notice.key {
        state.keys.forget(key, notice.request);
    }
    state.budget_changed.notify(usize::MAX);
}

/// Takes in what a sidecar witnessed, and says which charges are durable and need no further report.
pub(crate) fn take_report(state: &EntryState, report: &ChargeReport) -> ChargesDurable {
    let now = ClockTime::now();
    for record in &report.charges {
        state.ledger.note_usage(record, now);
    }
    state.budget_changed.notify(usize::MAX);
    let charges: Vec<_> =
        report.charges.iter().map(|record| (record.branch.clone(), record.charge)).collect();
    ChargesDurable { charges: state.ledger.durable_charges(&charges) }
}
