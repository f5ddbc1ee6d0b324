//! One account at this instance: its balance, the book as it is known, and reservations.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_lock::Mutex as TurnLock;
use sagespool_ledger::{PrepaidBalance, PrepaidRecord};
use sagespool_types::{
    BranchName, ClockTime, ConfigVersion, IncarnationId, StoreRevision, TokenCount,
};

use super::BudgetOrder;
use super::shortage::{FailedRound, KnownShortage};

/// One account's.
pub(crate) struct AccountDesk {
    pub(super) branch: BranchName,
    pub(super) balance: Mutex<PrepaidBalance>,
    /// The book as it was last read or written. Whoever holds the lock writes.
    pub(super) book: TurnLock<Option<KnownBook>>,
    shortage: Mutex<Option<KnownShortage>>,
    /// The runs that the book named when it was seen last: they may hold something.
    holders: Mutex<Vec<IncarnationId>>,
    /// Whoever holds it asks others for loans. Requests of one account wait for each other's round,
    /// which may serve them too.
    pub(super) round: TurnLock<Option<FailedRound>>,
    pub(super) tops_up: AtomicBool,
}

#[derive(Clone)]
pub(super) struct KnownBook {
    pub(super) version: StoreRevision,
    pub(super) value: PrepaidRecord,
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl AccountDesk {
    pub(super) fn new(branch: &BranchName) -> Self {
        Self {
            branch: branch.clone(),
            balance: Mutex::default(),
            book: TurnLock::new(None),
            shortage: Mutex::default(),
            holders: Mutex::default(),
            round: TurnLock::new(None),
            tops_up: AtomicBool::new(false),
        }
    }

    /// Takes a loan, and reserves what a request needs; false if that is too much even so.
    pub(super) fn reserve_with(&self, order: &BudgetOrder, lent: TokenCount) -> bool {
        let mut balance = lock(&self.balance);
        balance.borrow(lent);
        balance.reserve(order.amount, ClockTime::now())
    }

    /// Notes the runs that a book names.
    pub(super) fn see_holders(&self, book: &PrepaidRecord) {
        *lock(&self.holders) = book.holders.keys().copied().collect();
    }

    /// The runs that may hold something of this account.
    pub(super) fn holders(&self) -> Vec<IncarnationId> {
        lock(&self.holders).clone()
    }

    /// Notes that nobody could cover more than this.
    pub(super) fn note_shortage(&self, room: TokenCount, version: ConfigVersion, now: ClockTime) {
        let mut shortage = lock(&self.shortage);
        *shortage = Some(KnownShortage::noted(*shortage, room, version, now));
    }

    /// What could be covered, if that is known to be too little for an order.
    pub(super) fn shortage_of(&self, order: &BudgetOrder, now: ClockTime) -> Option<TokenCount> {
        let shortage = (*lock(&self.shortage))?;
        shortage.covers_less_than(order.amount, order.version, now).then_some(shortage.room())
    }

    pub(super) fn is_nearly_spent(&self, now: ClockTime) -> bool {
        lock(&self.shortage).is_some_and(|shortage| shortage.is_fresh(now))
    }
}

/// What a request has set aside. Dropping it settles: the rest is free at once.
pub(crate) struct Reservation {
    account: Arc<AccountDesk>,
    amount: TokenCount,
    prompt: TokenCount,
    answer: TokenCount,
}

impl Reservation {
    pub(super) fn new(account: Arc<AccountDesk>, amount: TokenCount) -> Self {
        Self { account, amount, prompt: TokenCount::ZERO, answer: TokenCount::ZERO }
    }

    /// What the account pays.
    pub(crate) fn charged(&self) -> TokenCount {
        (self.prompt + self.answer).min(self.amount)
    }

    /// Sets what is charged for the prompt.
    pub(crate) fn set_prompt(&mut self, tokens: TokenCount) {
        self.prompt = tokens;
    }

    /// Adds to what is charged for the answer.
    pub(crate) fn add_answer(&mut self, tokens: TokenCount) {
        self.answer += tokens;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        lock(&self.account.balance).settle(self.amount, self.charged());
    }
}
