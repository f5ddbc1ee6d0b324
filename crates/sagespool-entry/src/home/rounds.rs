//! Rounds for more budget: the book, the other holders, and the book again; one at a time a branch.

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

/// A store that doesn't answer for so long isn't waited for in a round.
const BOOK_LIMIT: Duration = Duration::from_secs(3);

/// What a round for more budget came to.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RoundResult {
    /// When it began; what came later it doesn't know.
    pub(super) began: Option<ClockTime>,
    /// True if the store couldn't be reached.
    pub(super) store_away: bool,
    /// What other holders have reserved for running requests, and may get back.
    pub(super) others_running: TokenCount,
    /// What holders that couldn't be asked may still have unspent.
    pub(super) unanswered: TokenCount,
}

/// One branch's rounds: the newest result, locked while the next is under way.
type BranchRound = Arc<async_lock::Mutex<RoundResult>>;

/// The rounds of all branches. Requests that wait for the same branch share them: one that finds a
/// round which began after it arrived needs none of its own.
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

/// The result of a round that began at or after a moment; nothing if the deadline comes first.
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

/// Says what a round that left its request short was decided on.
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

/// Asks the store for more, on the book as it is now: a top-up may just have come. False if the
/// store can't be reached.
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
