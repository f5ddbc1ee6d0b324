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
use super::recall::{RecallSum, recall_others, to_ask};
use crate::state::EntryState;

/// How long one acquisition waits for the store.
const BOOK_LIMIT: Duration = Duration::from_secs(3);

/// The result of one budget acquisition.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RoundResult {
    /// When it began. Changes after that time are not covered.
    pub(super) began: Option<ClockTime>,
    /// True if the store was unreachable.
    pub(super) store_away: bool,
    /// Amount that other holders have reserved for running requests, part of which may be returned.
    pub(super) others_running: TokenCount,
    /// Amount that holders which did not reply may still have unspent.
    pub(super) unanswered: TokenCount,
}

/// One branch's newest result, locked while the next acquisition runs.
type BranchRound = Arc<async_lock::Mutex<RoundResult>>;

/// Budget acquisitions by branch. Requests that wait for the same branch share them: a request
/// needs none of its own if one began after it arrived.
#[derive(Default)]
pub(crate) struct BudgetRounds {
    branches: Mutex<HashMap<BranchName, BranchRound>>,
}

impl BudgetRounds {
    fn of(&self, branch: &BranchName) -> BranchRound {
        let mut branches = self.branches.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(branches.entry(branch.clone()).or_default())
    }
}

/// The result of an acquisition that began at or after `since`, running one if needed. None if the
/// deadline passes first.
pub(super) async fn round_since(
    state: &EntryState,
    order: &ReserveRequest,
    since: ClockTime,
    deadline: ClockTime,
) -> Option<RoundResult> {
    state.ledger.note_waiting(&order.branch, order.amount, ClockTime::now());
    let held = state.rounds.of(&order.branch);
    let round = async {
        let mut newest = held.lock().await;
        if newest.began.is_none_or(|began| began < since) {
            *newest = run_round(state, order).await;
        }
        Some(*newest)
    };
    let left = deadline.since(ClockTime::now());
    futures_lite::future::or(round, async {
        smol::Timer::after(left).await;
        None
    })
    .await
}

async fn run_round(state: &EntryState, order: &ReserveRequest) -> RoundResult {
    let mut result = RoundResult { began: Some(ClockTime::now()), ..RoundResult::default() };
    result.store_away = !ask_book(state, order).await;
    let Err(short) = state.ledger.covers(order) else {
        return result;
    };
    let others = to_ask(state, short);
    if others.is_empty() {
        return result;
    }
    let recalled = recall_others(state, &order.branch, order.amount, &others).await;
    result.others_running = recalled.running;
    result.unanswered = recalled.unanswered;
    if !result.store_away {
        state.ledger.note_waiting(&order.branch, order.amount, ClockTime::now());
        result.store_away = !ask_book(state, order).await;
    }
    log_short(state, order, &recalled, &result);
    result
}

/// Logs the amounts behind an acquisition that did not cover its request.
fn log_short(
    state: &EntryState,
    order: &ReserveRequest,
    recalled: &RecallSum,
    result: &RoundResult,
) {
    let Err(short) = state.ledger.covers(order) else { return };
    let others: TokenCount = short.other_grants.iter().map(|(_, _, rest)| *rest).sum();
    log_event!(
        info,
        "budget-short",
        request = order.request,
        branch = order.branch,
        amount = order.amount,
        missing = short.missing,
        free = short.book_free.unwrap_or_default(),
        others = others,
        returned = recalled.returned,
        running = result.others_running,
        unanswered = result.unanswered,
        store_away = result.store_away
    );
}

/// Requests a larger grant in the store, on a fresh read of the book, since a top-up may just have
/// been applied. Returns false if the store is unreachable.
async fn ask_book(state: &EntryState, order: &ReserveRequest) -> bool {
    let written = futures_lite::future::or(
        async { Some(write_book(state, book_of(&order.branch), WriteCause::Round).await) },
        async {
            smol::Timer::after(BOOK_LIMIT).await;
            None
        },
    )
    .await;
    let reached = matches!(written, Some(Ok(())));
    if !reached {
        log_event!(warn, "book-unreachable", branch = order.branch, request = order.request);
    }
    state.note_store(reached, ClockTime::now());
    reached
}
