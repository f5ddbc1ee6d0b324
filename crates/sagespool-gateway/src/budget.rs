//! Client accounts' budgets: reservations of requests and the grants that cover them.
//!
//! Each account has a record in the store (`PrepaidRecord`) with its total and all grants.

mod account;
mod gather;
mod grants;
mod loan_returns;
mod loans;
mod shortage;

pub(crate) use self::account::Reservation;
pub use self::shortage::{CachedShortage, FailedLoanRound};

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use sagespool_ledger::GrantPolicy;
use sagespool_log::log_event;
use sagespool_messages::LendRequest;
use sagespool_platform::{ObjectClient, StoreError};
use sagespool_types::{
    BranchName, ClockTime, ConfigVersion, IncarnationId, InstanceName, TokenCount,
};

use self::account::{AccountState, lock};
use self::gather::{GatherOutcome, gather};
use self::grants::GrantOutcome;
use self::loans::{LoanAmount, borrow_at_home};
use crate::fleet::FleetClient;
use crate::refusal::Refusal;

/// A request waits for the store for at most its time left divided by this.
const STORE_SHARE: u32 = 4;
const MAX_STORE_WAIT: Duration = Duration::from_millis(800);
/// After a failed call, requests that need the store are refused immediately for this time. Waiting
/// for a call that fails uses up time in which another instance could serve the request.
const STORE_BACKOFF: Duration = Duration::from_millis(250);

/// The tokens that a request needs from its account.
#[derive(Debug, Clone)]
pub(crate) struct BudgetRequest {
    pub(crate) branch: BranchName,
    /// The version of the configuration that `prepaid` comes from.
    pub(crate) version: ConfigVersion,
    /// The account's total budget.
    pub(crate) prepaid: TokenCount,
    /// The maximum cost of the request.
    pub(crate) amount: TokenCount,
    pub(crate) request_id: String,
}

/// This instance's grants, by account.
pub(crate) struct BudgetPool {
    store: ObjectClient,
    run: IncarnationId,
    instance: InstanceName,
    policy: GrantPolicy,
    /// The number of instances that accounts' homes are spread over, including this one.
    homes: AtomicUsize,
    accounts: Mutex<HashMap<BranchName, Arc<AccountState>>>,
    /// When a call of the store last failed.
    store_failed: Mutex<Option<ClockTime>>,
}

impl BudgetPool {
    pub(crate) fn new(
        store: ObjectClient,
        run: IncarnationId,
        instance: InstanceName,
        policy: GrantPolicy,
    ) -> Self {
        Self {
            store,
            run,
            instance,
            policy,
            homes: AtomicUsize::new(1),
            accounts: Mutex::default(),
            store_failed: Mutex::default(),
        }
    }

    pub(crate) fn note_homes(&self, homes: usize) {
        self.homes.store(homes, Ordering::Relaxed);
    }

    /// The grant policy for the current number of instances.
    fn supply_policy(&self) -> GrantPolicy {
        self.policy.scaled_to_homes(self.homes.load(Ordering::Relaxed))
    }

    fn account(&self, branch: &BranchName) -> Arc<AccountState> {
        let mut accounts = lock(&self.accounts);
        let fresh = || Arc::new(AccountState::new(branch));
        accounts.entry(branch.clone()).or_insert_with(fresh).clone()
    }

    /// Raises this instance's grant until its free part covers a request, and tops it up early if it
    /// runs low. If the record can't cover the request, borrows from the runs that hold the rest;
    /// if they can't either, returns how much all of them cover together. For an account's home.
    pub(crate) async fn ensure_covered(
        self: &Arc<Self>,
        budget: &BudgetRequest,
        fleet: &Arc<FleetClient>,
    ) -> Option<TokenCount> {
        let account = self.account(&budget.branch);
        let now = ClockTime::now();
        let holds_enough = {
            let mut balance = lock(&account.balance);
            balance.note_demand(budget.amount, now);
            budget.amount <= balance.free()
        };
        if holds_enough {
            self.top_up_in_background(&account, budget, now);
            return None;
        }
        if let Some(room) = account.shortage_of(budget, now) {
            return Some(room);
        }
        if self.is_store_failing(now) {
            return None;
        }
        let wanted = budget.amount;
        let grant = self.request_grant_in_time(&account, budget, wanted, 1, MAX_STORE_WAIT);
        match grant.await {
            // Release the reservation, so that the amount can be lent.
            Ok(GrantOutcome::Granted) => {
                lock(&account.balance).settle(wanted, TokenCount::ZERO);
                None
            }
            Ok(GrantOutcome::Short(room)) => {
                match gather(&account, budget, fleet, AccountState::cover_with_loan, true).await {
                    GatherOutcome::KnownShort(room) => Some(room),
                    GatherOutcome::Short(lent) => {
                        account.note_shortage(room + lent, budget.version, ClockTime::now());
                        Some(room + lent)
                    }
                    GatherOutcome::Covered(_) | GatherOutcome::Unknown => None,
                }
            }
            Err(error) => {
                *lock(&self.store_failed) = Some(ClockTime::now());
                log_event!(warn, "top-up-failed", branch = account.branch, error = error);
                None
            }
        }
    }

    /// Lends a part of this instance's grant to another instance; returns the amount lent.
    pub(crate) fn lend(&self, request: &LendRequest, wanted: TokenCount) -> TokenCount {
        let account = self.account(&request.branch);
        let lent = lock(&account.balance).lend(wanted);
        if request.ahead > TokenCount::ZERO && lent > TokenCount::ZERO {
            account.note_ahead_borrower(request.borrower, ClockTime::now());
        }
        lent
    }

    /// How much this instance, as the account's home, lends a borrower for future requests.
    pub(crate) fn allowed_loan_ahead(
        &self,
        branch: &BranchName,
        prepaid: TokenCount,
        ahead: TokenCount,
        now: ClockTime,
    ) -> TokenCount {
        let account = self.account(branch);
        lock(&account.balance).allowed_loan_ahead(self.policy, prepaid, ahead, now)
    }

    /// Reserves the maximum cost of a request from the grant of this instance, from loans of other
    /// instances, or from a larger grant.
    pub(crate) async fn reserve(
        self: &Arc<Self>,
        budget: &BudgetRequest,
        deadline: ClockTime,
        fleet: &Arc<FleetClient>,
    ) -> Result<Reservation, Refusal> {
        let account = self.account(&budget.branch);
        let now = ClockTime::now();
        if lock(&account.balance).reserve(budget.amount, now) {
            if self.runs_low(&account, budget, now) && fleet.is_home(&budget.branch, now) {
                self.top_up_in_background(&account, budget, now);
            }
            return Ok(Reservation::new(account, budget.amount));
        }
        if account.shortage_of(budget, now).is_some() {
            return Err(self.refuse(&account, budget, Refusal::BudgetSpent, "known-short"));
        }
        let grant = match self.reserve_at_home(&account, budget, fleet).await {
            // The home has queried all runs that may have free tokens.
            Some(GrantOutcome::Short(room)) => {
                account.note_shortage(room, budget.version, ClockTime::now());
                return Err(self.refuse(&account, budget, Refusal::BudgetSpent, "home-short"));
            }
            Some(GrantOutcome::Granted) => Ok(GrantOutcome::Granted),
            None => {
                // An account's home requests grants for all instances, others for this request
                // only.
                let is_home = fleet.is_home(&budget.branch, now);
                let instances = if is_home { 1 } else { fleet.instances() };
                self.request_from_store(&account, budget, deadline, instances).await
            }
        };
        if matches!(grant, Ok(GrantOutcome::Granted)) {
            return Ok(Reservation::new(account, budget.amount));
        }
        // Too few free tokens in the record don't mean that the budget is spent: the runs with a
        // grant in it may have free ones.
        let knows_record = grant.is_ok();
        let gathered =
            gather(&account, budget, fleet, AccountState::reserve_with_loan, knows_record).await;
        match (gathered, grant) {
            (GatherOutcome::Covered(lent), _) => {
                log_event!(
                    info,
                    "budget-borrowed",
                    request = budget.request_id,
                    branch = budget.branch,
                    lent = lent,
                );
                Ok(Reservation::new(account, budget.amount))
            }
            (GatherOutcome::KnownShort(_), _) => {
                Err(self.refuse(&account, budget, Refusal::BudgetSpent, "known-short"))
            }
            (GatherOutcome::Short(lent), Ok(GrantOutcome::Short(room))) => {
                account.note_shortage(room + lent, budget.version, ClockTime::now());
                Err(self.refuse(&account, budget, Refusal::BudgetSpent, "book-short"))
            }
            // A run that didn't reply may have enough.
            (_, Ok(_)) => {
                Err(self.refuse(&account, budget, Refusal::BudgetUnreachable, "peer-away"))
            }
            (_, Err(error)) => {
                let cause = error.to_string();
                Err(self.refuse(&account, budget, Refusal::BudgetUnreachable, &cause))
            }
        }
    }

    /// Reserves with a loan from the account's home. A shortage that the home reports counts like
    /// one read from the record. `None` if there is no other home, it doesn't reply, or
    /// it lends too little without reporting a shortage.
    async fn reserve_at_home(
        &self,
        account: &Arc<AccountState>,
        budget: &BudgetRequest,
        fleet: &Arc<FleetClient>,
    ) -> Option<GrantOutcome> {
        let (missing, ahead) = {
            let balance = lock(&account.balance);
            let ahead =
                balance.loan_ahead(self.policy, budget.prepaid, budget.amount, ClockTime::now());
            (budget.amount.saturating_sub(balance.free()), ahead)
        };
        let size = LoanAmount { missing, ahead };
        let mut reply = borrow_at_home(fleet, account, budget, size).await?;
        if account.reserve_with_loan(budget, reply.lent) {
            return Some(GrantOutcome::Granted);
        }
        if ahead > TokenCount::ZERO {
            // When the budget is nearly spent, the home may be able to cover this request alone.
            let missing = budget.amount.saturating_sub(lock(&account.balance).free());
            let size = LoanAmount { missing, ahead: TokenCount::ZERO };
            reply = borrow_at_home(fleet, account, budget, size).await?;
            if account.reserve_with_loan(budget, reply.lent) {
                return Some(GrantOutcome::Granted);
            }
        }
        let own = lock(&account.balance).free();
        reply.room.map(|room| GrantOutcome::Short(room + own))
    }

    async fn request_from_store(
        &self,
        account: &AccountState,
        budget: &BudgetRequest,
        deadline: ClockTime,
        instances: usize,
    ) -> Result<GrantOutcome, StoreError> {
        let now = ClockTime::now();
        if self.is_store_failing(now) {
            return Err(StoreError::Unavailable);
        }
        let limit = (deadline.since(now) / STORE_SHARE).min(MAX_STORE_WAIT);
        let grant =
            self.request_grant_in_time(account, budget, budget.amount, instances, limit).await;
        if grant.is_err() {
            *lock(&self.store_failed) = Some(ClockTime::now());
        }
        grant
    }

    fn refuse(
        &self,
        account: &AccountState,
        budget: &BudgetRequest,
        refusal: Refusal,
        cause: &str,
    ) -> Refusal {
        let free = lock(&account.balance).free();
        log_event!(
            info,
            "budget-refused",
            request = budget.request_id,
            branch = budget.branch,
            amount = budget.amount,
            free = free,
            prepaid = budget.prepaid,
            plan = budget.version,
            reason = refusal.reason(),
            cause = cause,
        );
        refusal
    }

    fn runs_low(&self, account: &AccountState, budget: &BudgetRequest, now: ClockTime) -> bool {
        lock(&account.balance).runs_low(self.supply_policy(), budget.prepaid, now)
    }

    fn is_store_failing(&self, now: ClockTime) -> bool {
        lock(&self.store_failed).is_some_and(|failed| now.since(failed) < STORE_BACKOFF)
    }

    /// Requests a larger grant in the background before the current one is used up, so that
    /// requests seldom wait for the store.
    fn top_up_in_background(
        self: &Arc<Self>,
        account: &Arc<AccountState>,
        budget: &BudgetRequest,
        now: ClockTime,
    ) {
        let runs_low = self.runs_low(account, budget, now);
        if !runs_low || account.is_nearly_spent(now) || self.is_store_failing(now) {
            return;
        }
        if account.topping_up.swap(true, Ordering::Relaxed) {
            return;
        }
        let (pool, account, budget) = (self.clone(), account.clone(), budget.clone());
        smol::spawn(async move {
            let grant =
                pool.request_grant_in_time(&account, &budget, TokenCount::ZERO, 1, MAX_STORE_WAIT);
            if let Err(error) = grant.await {
                *lock(&pool.store_failed) = Some(ClockTime::now());
                log_event!(warn, "top-up-failed", branch = account.branch, error = error);
            }
            account.topping_up.store(false, Ordering::Relaxed);
        })
        .detach();
    }
}
