//! Gathering an account's free tokens from the runs that hold them.

use std::sync::Arc;

use sagespool_types::{ClockTime, TokenCount};

use super::BudgetRequest;
use super::account::{AccountState, lock};
use super::loans::borrow;
use super::shortage::FailedLoanRound;
use crate::fleet::FleetClient;

/// The result of gathering tokens for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GatherOutcome {
    /// The request is covered; holds the amount that was lent for it.
    Covered(TokenCount),
    /// A recent round found that no more than this can be covered.
    KnownShort(TokenCount),
    /// All runs that may have free tokens replied, and lent this amount together.
    Short(TokenCount),
    /// Some run that may have free tokens didn't reply.
    Unknown,
}

/// Borrows what a request lacks from the runs that may have free tokens of its account: those with a
/// grant in the record, and those that were lent tokens for future requests. All others return what
/// they don't need. `cover` adds a loan to the balance and tells whether the request is covered.
/// `knows_record` is false if the record couldn't be read.
///
/// Guards against a search that takes longer than the request may wait. With every gateway queried as
/// proof that a budget is spent, 383 of them took three seconds, and callers of a spent account got
/// 503 in place of 402.
pub(super) async fn gather(
    account: &Arc<AccountState>,
    budget: &BudgetRequest,
    fleet: &Arc<FleetClient>,
    cover: fn(&AccountState, &BudgetRequest, TokenCount) -> bool,
    knows_record: bool,
) -> GatherOutcome {
    let mut failed = account.round.lock().await;
    let now = ClockTime::now();
    if cover(account, budget, TokenCount::ZERO) {
        return GatherOutcome::Covered(TokenCount::ZERO);
    }
    if let Some(room) = account.shortage_of(budget, now) {
        return GatherOutcome::KnownShort(room);
    }
    if failed.is_some_and(|failed| failed.applies_to(budget.amount, now)) {
        return GatherOutcome::Unknown;
    }
    let missing = budget.amount.saturating_sub(lock(&account.balance).free());
    let loan = borrow(fleet, account, budget, missing, &account.lenders(now)).await;
    let is_covered = cover(account, budget, loan.lent);
    let all_replied = knows_record && loan.complete;
    let is_failed = !is_covered && !all_replied;
    *failed = is_failed.then(|| FailedLoanRound::new(budget.amount, ClockTime::now()));
    match (is_covered, all_replied) {
        (true, _) => GatherOutcome::Covered(loan.lent),
        (false, true) => GatherOutcome::Short(loan.lent),
        (false, false) => GatherOutcome::Unknown,
    }
}
