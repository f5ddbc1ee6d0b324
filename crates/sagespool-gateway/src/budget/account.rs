//! The state of one account at this instance: free tokens, the cached record, and reservations.

use std::collections::HashMap;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_lock::Mutex as TurnLock;
use sagespool_ledger::{PrepaidBalance, PrepaidRecord};
use sagespool_types::{
    BranchName, ClockTime, ConfigVersion, IncarnationId, StoreRevision, TokenCount,
};

use super::BudgetRequest;
use super::shortage::{CachedShortage, FailedLoanRound};

/// A loan for future requests is spent or returned within this time: it covers the use of a second.
const AHEAD_LOAN_LIFETIME: Duration = Duration::from_secs(5);
/// The unused part of loans is returned this long after the account's last request here.
const IDLE_LOAN_TIME: Duration = Duration::from_secs(1);
/// Time between two attempts to return loans to a home that can't be reached.
const RETURN_RETRY_INTERVAL: Duration = Duration::from_secs(5);

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
    /// The runs that were lent tokens for future requests, and when they last were.
    ahead_borrowers: Mutex<HashMap<IncarnationId, ClockTime>>,
    /// Held while other instances are queried for loans: requests of one account wait for the round
    /// in progress, whose loans may cover them too. Holds the last round if it failed.
    pub(super) round: TurnLock<Option<FailedLoanRound>>,
    pub(super) topping_up: AtomicBool,
    /// When a return of loans last failed.
    return_failed: Mutex<Option<ClockTime>>,
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
            ahead_borrowers: Mutex::default(),
            round: TurnLock::new(None),
            topping_up: AtomicBool::new(false),
            return_failed: Mutex::default(),
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

    /// Adds a loan; false if the free tokens still don't cover a request.
    pub(super) fn cover_with_loan(&self, budget: &BudgetRequest, lent: TokenCount) -> bool {
        let mut balance = lock(&self.balance);
        balance.borrow(lent);
        budget.amount <= balance.free()
    }

    /// Notes that a run was lent tokens for future requests.
    pub(super) fn note_ahead_borrower(&self, run: IncarnationId, now: ClockTime) {
        lock(&self.ahead_borrowers).insert(run, now);
    }

    /// The runs that may have free tokens of this account: the holders of grants, and the recent
    /// borrowers of tokens for future requests.
    pub(super) fn lenders(&self, now: ClockTime) -> Vec<IncarnationId> {
        let mut borrowers = lock(&self.ahead_borrowers);
        borrowers.retain(|_, lent_at| now.since(*lent_at) < AHEAD_LOAN_LIFETIME);
        let holders = lock(&self.holders);
        let others = borrowers.keys().filter(|run| !holders.contains(run));
        holders.iter().chain(others).copied().collect()
    }

    /// Adds tokens that another run has returned.
    pub(super) fn accept_returned(&self, amount: TokenCount) {
        lock(&self.balance).borrow(amount);
        let mut shortage = lock(&self.shortage);
        *shortage = shortage.map(|shortage| shortage.widened(amount));
    }

    /// Takes back tokens whose return didn't reach another run.
    pub(super) fn keep_unreturned(&self, amount: TokenCount, now: ClockTime) {
        lock(&self.balance).borrow(amount);
        *lock(&self.return_failed) = Some(now);
    }

    /// Whether the account is idle here, loans of it are unused, and their return may be tried.
    pub(super) fn has_idle_surplus(&self, now: ClockTime) -> bool {
        let may_try = lock(&self.return_failed)
            .is_none_or(|failed_at| now.since(failed_at) >= RETURN_RETRY_INTERVAL);
        let balance = lock(&self.balance);
        let is_idle = balance.idle_time(now).is_some_and(|idle| idle >= IDLE_LOAN_TIME);
        may_try && is_idle && balance.surplus() > TokenCount::ZERO
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
