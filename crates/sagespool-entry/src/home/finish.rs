//! The end of a request: its charge is settled, and the unused part of its reservation is released.

use sagespool_messages::{AbandonNotice, ChargeReport, ChargesDurable, FinishReport, FinishState};
use sagespool_types::ClockTime;

use crate::state::EntryState;

/// Applies an entry's report of how a reserved request ended.
pub fn finish(state: &EntryState, report: &FinishReport) {
    let now = ClockTime::now();
    state.ledger.finish(report, now);
    if let Some(key) = report.key {
        finish_key(state, report, key, now);
    }
    state.metrics.add_rerun_tokens(&report.branch, report.rerun_tokens);
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

/// Releases a reservation whose entry went to another home. The notice also covers a reserve
/// request that is still to come: a paused process may read the notice before the request.
pub(crate) fn abandon(state: &EntryState, notice: &AbandonNotice) {
    state.abandoned().insert(notice.request, ClockTime::now());
    state.ledger.abandon(&notice.branch, notice.request);
    if let Some(key) = notice.key {
        state.keys.forget(key, notice.request);
    }
    state.budget_changed.notify(usize::MAX);
}

/// Applies a sidecar's charge report. Returns the charges that are durable and need no further
/// report.
pub(crate) fn record_charges(state: &EntryState, report: &ChargeReport) -> ChargesDurable {
    let now = ClockTime::now();
    for record in &report.charges {
        state.ledger.note_usage(record, now);
    }
    state.budget_changed.notify(usize::MAX);
    let charges: Vec<_> =
        report.charges.iter().map(|record| (record.branch.clone(), record.charge)).collect();
    ChargesDurable { charges: state.ledger.durable_charges(&charges) }
}
