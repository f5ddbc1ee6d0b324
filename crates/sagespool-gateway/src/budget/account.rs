//! The state of one account at this instance: free tokens, the cached record, and reservations.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_lock::Mutex as TurnLock;
use sagespool_ledger::{PrepaidBalance, PrepaidRecord};
use sagespool_types::{
    BranchName, ClockTime, ConfigVersion, IncarnationId, StoreRevision, TokenCount,
};

use super::BudgetRequest;
use super::shortage::{CachedShortage, FailedLoanRound};

/// The state of one account at this instance.
pub(crate) struct AccountState {
    pub(super) branch: BranchName,
    pub(super) balance: Mutex<PrepaidBalance>,
    /// The record as last read or written; `None` if it must be read again. The lock is held during
    /// writes.
    pub(super) record: TurnLock<Option<CachedRecord>>,
    shortage: Mutex<Option<CachedShortage>>,
    /// The runs with a grant in the record when it was last read.
    holders: Mutex<Vec<IncarnationId>>,
    /// Held while other instances are queried for loans: requests of one account wait for the round
    /// in progress, whose loans may cover them too. Holds the last round if it failed.
    pub(super) round: TurnLock<Option<FailedLoanRound>>,
    pub(super) topping_up: AtomicBool,
}

#[derive(Clone)]
pub(super) struct CachedRecord {
    pub(super) version: StoreRevision,
    pub(super) value: PrepaidRecord,
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl AccountState {
    pub(super) fn new(branch: &BranchName) -> Self {
        Self {
            branch: branch.clone(),
            balance: Mutex::default(),
            record: TurnLock::new(None),
            shortage: Mutex::default(),
            holders: Mutex::default(),
            round: TurnLock::new(None),
            topping_up: AtomicBool::new(false),
        }
    }

    /// Adds a loan and reserves what a request needs; false if the free tokens still don't cover
    /// it.
    pub(super) fn reserve_with_loan(&self, budget: &BudgetRequest, lent: TokenCount) -> bool {
        let mut balance = lock(&self.balance);
        balance.borrow(lent);
        balance.reserve(budget.amount, ClockTime::now())
    }

    /// Updates the holders from the account's record.
    pub(super) fn note_holders(&self, record: &PrepaidRecord) {
        *lock(&self.holders) = record.holders.keys().copied().collect();
    }

    /// The runs that may have a grant of this account.
    pub(super) fn holders(&self) -> Vec<IncarnationId> {
        lock(&self.holders).clone()
    }

    /// Stores the finding that the record and all instances together cover no more than `room`.
    pub(super) fn note_shortage(&self, room: TokenCount, version: ConfigVersion, now: ClockTime) {
        let mut shortage = lock(&self.shortage);
        *shortage = Some(CachedShortage::updated(*shortage, room, version, now));
    }

    /// The amount that can be covered, if a recent shortage rules out this request.
    pub(super) fn shortage_of(&self, budget: &BudgetRequest, now: ClockTime) -> Option<TokenCount> {
        let shortage = (*lock(&self.shortage))?;
        shortage.excludes(budget.amount, budget.version, now).then_some(shortage.room())
    }

    pub(super) fn is_nearly_spent(&self, now: ClockTime) -> bool {
        lock(&self.shortage).is_some_and(|shortage| shortage.is_fresh(now))
    }
}

/// Tokens reserved for a request. Dropping it settles the charge and frees the remainder.
pub(crate) struct Reservation {
    account: Arc<AccountState>,
    amount: TokenCount,
    prompt: TokenCount,
    answer: TokenCount,
}

impl Reservation {
    pub(super) fn new(account: Arc<AccountState>, amount: TokenCount) -> Self {
        Self { account, amount, prompt: TokenCount::ZERO, answer: TokenCount::ZERO }
    }

    /// The tokens charged to the account, at most the reserved amount.
    pub(crate) fn charged(&self) -> TokenCount {
        (self.prompt + self.answer).min(self.amount)
    }

    pub(crate) fn set_prompt(&mut self, tokens: TokenCount) {
        self.prompt = tokens;
    }

    pub(crate) fn add_answer(&mut self, tokens: TokenCount) {
        self.answer += tokens;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        lock(&self.account.balance).settle(self.amount, self.charged());
    }
}
