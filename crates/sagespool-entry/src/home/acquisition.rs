//! Acquiring more budget for a branch: write the book, recall grants of other holders, and write
//! the book again. One acquisition at a time runs per branch.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use sagespool_ledger::book_of;
use sagespool_log::log_event;
use sagespool_messages::ReserveRequest;
use sagespool_types::{BranchName, ClockTime, TokenCount};

use super::books::{WriteCause, write_book};
use super::recall::{RecallSum, grants_to_recall, recall_others};
use crate::state::EntryState;

/// How long one acquisition waits for the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(3);

/// The result of one budget acquisition.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct AcquisitionResult {
    /// When it began. Changes after that time are not covered.
    pub(super) began: Option<ClockTime>,
    /// True if the store was unreachable.
    pub(super) store_unreachable: bool,
    /// Amount that other holders have reserved for running requests, part of which may be returned.
    pub(super) others_running: TokenCount,
    /// Amount that holders which did not reply may still have unspent.
    pub(super) unanswered: TokenCount,
}

/// One branch's newest result, locked while the next acquisition runs.
type BranchAcquisition = Arc<async_lock::Mutex<AcquisitionResult>>;

/// Budget acquisitions by branch. Requests that wait for the same branch share them: a request
/// needs none of its own if one began after it arrived.
#[derive(Default)]
pub(crate) struct BudgetAcquisitions {
    branches: Mutex<HashMap<BranchName, BranchAcquisition>>,
}

impl BudgetAcquisitions {
    fn of(&self, branch: &BranchName) -> BranchAcquisition {
        let mut branches = self.branches.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(branches.entry(branch.clone()).or_default())
    }
}

/// The result of an acquisition that began at or after `since`, running one if needed. None if the
/// deadline passes first.
pub(super) async fn acquisition_since(
    state: &EntryState,
    reserve_request: &ReserveRequest,
    since: ClockTime,
    deadline: ClockTime,
) -> Option<AcquisitionResult> {
    state.ledger.note_waiting(&reserve_request.branch, reserve_request.amount, ClockTime::now());
    let held = state.acquisitions.of(&reserve_request.branch);
    let acquisition = async {
        let mut newest = held.lock().await;
        if newest.began.is_none_or(|began| began < since) {
            *newest = run_acquisition(state, reserve_request).await;
        }
        Some(*newest)
    };
    let left = deadline.since(ClockTime::now());
    futures_lite::future::or(acquisition, async {
        smol::Timer::after(left).await;
        None
    })
    .await
}

async fn run_acquisition(
    state: &EntryState,
    reserve_request: &ReserveRequest,
) -> AcquisitionResult {
    let mut result =
        AcquisitionResult { began: Some(ClockTime::now()), ..AcquisitionResult::default() };
    result.store_unreachable = !request_grant(state, reserve_request).await;
    let Err(shortfall) = state.ledger.covers(reserve_request) else {
        return result;
    };
    let others = grants_to_recall(state, shortfall);
    if others.is_empty() {
        return result;
    }
    let recalled =
        recall_others(state, &reserve_request.branch, reserve_request.amount, &others).await;
    result.others_running = recalled.running;
    result.unanswered = recalled.unanswered;
    if !result.store_unreachable {
        state.ledger.note_waiting(
            &reserve_request.branch,
            reserve_request.amount,
            ClockTime::now(),
        );
        result.store_unreachable = !request_grant(state, reserve_request).await;
    }
    log_shortfall(state, reserve_request, &recalled, &result);
    result
}

/// Logs the amounts behind an acquisition that did not cover its request.
fn log_shortfall(
    state: &EntryState,
    reserve_request: &ReserveRequest,
    recalled: &RecallSum,
    result: &AcquisitionResult,
) {
    let Err(shortfall) = state.ledger.covers(reserve_request) else { return };
    let others: TokenCount = shortfall.other_grants.iter().map(|(_, _, rest)| *rest).sum();
    log_event!(
        info,
        "budget-short",
        request = reserve_request.request,
        branch = reserve_request.branch,
        amount = reserve_request.amount,
        missing = shortfall.missing,
        free = shortfall.book_free.unwrap_or_default(),
        others = others,
        returned = recalled.returned,
        running = result.others_running,
        unanswered = result.unanswered,
        store_away = result.store_unreachable
    );
}

/// Requests a larger grant in the store, on a fresh read of the book, since a top-up may just have
/// been applied. Returns false if the store is unreachable.
async fn request_grant(state: &EntryState, reserve_request: &ReserveRequest) -> bool {
    let written = futures_lite::future::or(
        async {
            Some(write_book(state, book_of(&reserve_request.branch), WriteCause::Acquisition).await)
        },
        async {
            smol::Timer::after(STORE_TIMEOUT).await;
            None
        },
    )
    .await;
    let reached = matches!(written, Some(Ok(())));
    if !reached {
        log_event!(
            warn,
            "book-unreachable",
            branch = reserve_request.branch,
            request = reserve_request.request
        );
    }
    state.note_store_result(reached, ClockTime::now());
    reached
}
