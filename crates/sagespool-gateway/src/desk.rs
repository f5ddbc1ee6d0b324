//! Client accounts' budgets: what requests reserve, and the grants behind it.

mod account;
mod grants;
mod loans;
mod rests;
mod shortage;

pub(crate) use self::account::Reservation;
pub use self::shortage::{FailedRound, KnownShortage};

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use sagespool_ledger::GrantPolicy;
use sagespool_log::log_event;
use sagespool_platform::{ObjectClient, StoreError};
use sagespool_types::{
    BranchName, ClockTime, ConfigVersion, IncarnationId, InstanceName, TokenCount,
};

use self::account::{AccountDesk, lock};
use self::grants::GrantOutcome;
use self::loans::{Lenders, LoanRound, LoanSize, borrow, borrow_at_home};
use crate::fleet::FleetBoard;
use crate::refusal::Refusal;

/// The share of a request's time that waiting for the store may take.
const STORE_SHARE: u32 = 4;
const LONGEST_STORE_WAIT: Duration = Duration::from_millis(800);
/// After a failed call, requests that need the store are refused at once for so long. Each call
/// that waits for nothing costs its request the time in which it could be answered elsewhere.
const STORE_PAUSE: Duration = Duration::from_millis(250);

/// What a request asks of its account.
#[derive(Debug, Clone)]
pub(crate) struct BudgetOrder {
    pub(crate) branch: BranchName,
    /// The configuration that the total is from.
    pub(crate) version: ConfigVersion,
    /// The account's total.
    pub(crate) prepaid: TokenCount,
    /// The most that the request can cost.
    pub(crate) amount: TokenCount,
    pub(crate) request: String,
}

/// This instance's grants.
pub(crate) struct BudgetDesk {
    store: ObjectClient,
    run: IncarnationId,
    instance: InstanceName,
    terms: GrantPolicy,
    /// Instances at which accounts have their homes, this one among them.
    homes: AtomicUsize,
    accounts: Mutex<HashMap<BranchName, Arc<AccountDesk>>>,
    /// When the last call failed.
    store_failed: Mutex<Option<ClockTime>>,
}

impl BudgetDesk {
    pub(crate) fn new(
        store: ObjectClient,
        run: IncarnationId,
        instance: InstanceName,
        terms: GrantPolicy,
    ) -> Self {
        Self {
            store,
            run,
            instance,
            terms,
            homes: AtomicUsize::new(1),
            accounts: Mutex::default(),
            store_failed: Mutex::default(),
        }
    }

    /// Notes how many instances there are.
    pub(crate) fn note_homes(&self, homes: usize) {
        self.homes.store(homes, Ordering::Relaxed);
    }

    /// The terms of supplies in a fleet of the present size.
    fn supply_policy(&self) -> GrantPolicy {
        self.terms.scaled_to_homes(self.homes.load(Ordering::Relaxed))
    }

    fn account(&self, branch: &BranchName) -> Arc<AccountDesk> {
        let mut accounts = lock(&self.accounts);
        let fresh = || Arc::new(AccountDesk::new(branch));
        accounts.entry(branch.clone()).or_insert_with(fresh).clone()
    }

    /// Asks the store for more if the balance holds less than an order, and a supply beside it. If even
    /// the book can't cover the order, tells how much balance and book can.
    pub(crate) async fn stock_up(self: &Arc<Self>, order: &BudgetOrder) -> Option<TokenCount> {
        let account = self.account(&order.branch);
        let now = ClockTime::now();
        let holds_enough = {
            let mut balance = lock(&account.balance);
            balance.note_demand(order.amount, now);
            order.amount <= balance.free()
        };
        if holds_enough {
            self.top_up_early(&account, order, now);
            return None;
        }
        if let Some(room) = account.shortage_of(order, now) {
            return Some(room);
        }
        if self.store_is_away(now) {
            return None;
        }
        let wanted = order.amount;
        let asked = self.ask_in_time(&account, order, wanted, 1, LONGEST_STORE_WAIT);
        match asked.await {
            // What was reserved for the order is lent instead.
            Ok(GrantOutcome::Granted) => {
                lock(&account.balance).settle(wanted, TokenCount::ZERO);
                None
            }
            Ok(GrantOutcome::Short(room)) => {
                account.note_shortage(room, order.version, ClockTime::now());
                Some(room)
            }
            Err(error) => {
                *lock(&self.store_failed) = Some(ClockTime::now());
                log_event!(warn, "top-up-failed", branch = account.branch, error = error);
                None
            }
        }
    }

    /// Gives a part of this instance's grant to another one.
    pub(crate) fn lend(&self, branch: &BranchName, wanted: TokenCount) -> TokenCount {
        let account = self.account(branch);
        lock(&account.balance).lend(wanted)
    }

    /// How much of a loan for the time ahead another instance gets from this one as the home.
    pub(crate) fn allowed_loan_ahead(
        &self,
        branch: &BranchName,
        prepaid: TokenCount,
        ahead: TokenCount,
        now: ClockTime,
    ) -> TokenCount {
        let account = self.account(branch);
        lock(&account.balance).allowed_loan_ahead(self.terms, prepaid, ahead, now)
    }

    /// Sets the most that a request can cost aside, out of what the store granted or others lent.
    pub(crate) async fn reserve(
        self: &Arc<Self>,
        order: &BudgetOrder,
        deadline: ClockTime,
        fleet: &Arc<FleetBoard>,
    ) -> Result<Reservation, Refusal> {
        let account = self.account(&order.branch);
        let now = ClockTime::now();
        if lock(&account.balance).reserve(order.amount, now) {
            if self.runs_low(&account, order, now) && fleet.is_home(&order.branch, now) {
                self.top_up_early(&account, order, now);
            }
            return Ok(Reservation::new(account, order.amount));
        }
        if account.shortage_of(order, now).is_some() {
            return Err(self.refuse(&account, order, Refusal::BudgetSpent, "known-short"));
        }
        let asked = match self.reserve_at_home(&account, order, fleet).await {
            Some(outcome) => Ok(outcome),
            None => {
                // An account's home takes supplies for all instances, others only what they miss.
                let is_home = fleet.is_home(&order.branch, now);
                let instances = if is_home { 1 } else { fleet.instances() };
                self.ask_store(&account, order, deadline, instances).await
            }
        };
        if matches!(asked, Ok(GrantOutcome::Granted)) {
            return Ok(Reservation::new(account, order.amount));
        }
        // The book's word that it is short is the whole fleet's only with everybody's beside it.
        let asks_all = matches!(asked, Ok(GrantOutcome::Short(_)));
        let mut failed = account.round.lock().await;
        let now = ClockTime::now();
        if lock(&account.balance).reserve(order.amount, now) {
            drop(failed);
            return Ok(Reservation::new(account, order.amount));
        }
        if account.shortage_of(order, now).is_some() {
            return Err(self.refuse(&account, order, Refusal::BudgetSpent, "known-short"));
        }
        if failed.is_some_and(|failed| failed.stands_for(order.amount, now)) {
            return Err(self.refuse(&account, order, Refusal::BudgetUnreachable, "peers-away"));
        }
        let missing = order.amount.less(lock(&account.balance).free());
        let lenders = if asks_all { Lenders::All } else { Lenders::Only(account.holders()) };
        let loan = borrow(fleet, &account, order, missing, lenders).await;
        let reserved = account.reserve_with(order, loan.lent);
        let everybody_told = asks_all && loan.complete;
        let in_vain = !reserved && !everybody_told;
        *failed = in_vain.then(|| FailedRound::noted(order.amount, ClockTime::now()));
        drop(failed);
        if reserved {
            log_event!(
                info,
                "budget-borrowed",
                request = order.request,
                branch = order.branch,
                lent = loan.lent,
            );
            return Ok(Reservation::new(account, order.amount));
        }
        Err(self.refuse_after(&account, order, asked, loan))
    }

    /// Reserves with a loan of the account's home. The home's word that the book is short is taken
    /// like the book's own; nothing if the home can't be asked, or lends too little for now.
    async fn reserve_at_home(
        &self,
        account: &Arc<AccountDesk>,
        order: &BudgetOrder,
        fleet: &Arc<FleetBoard>,
    ) -> Option<GrantOutcome> {
        let (missing, ahead) = {
            let balance = lock(&account.balance);
            let ahead =
                balance.loan_ahead(self.terms, order.prepaid, order.amount, ClockTime::now());
            (order.amount.less(balance.free()), ahead)
        };
        let size = LoanSize { missing, ahead };
        let mut reply = borrow_at_home(fleet, account, order, size).await?;
        if account.reserve_with(order, reply.lent) {
            return Some(GrantOutcome::Granted);
        }
        if ahead > TokenCount::ZERO {
            // Near the end of a total it may cover the request, if not the time ahead.
            let missing = order.amount.less(lock(&account.balance).free());
            let size = LoanSize { missing, ahead: TokenCount::ZERO };
            reply = borrow_at_home(fleet, account, order, size).await?;
            if account.reserve_with(order, reply.lent) {
                return Some(GrantOutcome::Granted);
            }
        }
        let own = lock(&account.balance).free();
        reply.room.map(|room| GrantOutcome::Short(room + own))
    }

    /// The refusal of a request that nobody could pay for. It says that the budget is spent only if
    /// the store and every other gateway said that they have too little.
    fn refuse_after(
        &self,
        account: &AccountDesk,
        order: &BudgetOrder,
        asked: Result<GrantOutcome, StoreError>,
        loan: LoanRound,
    ) -> Refusal {
        match asked {
            Ok(GrantOutcome::Short(room)) if loan.complete => {
                account.note_shortage(room + loan.lent, order.version, ClockTime::now());
                self.refuse(account, order, Refusal::BudgetSpent, "book-short")
            }
            // Somebody who can't be asked may hold enough.
            Ok(_) => self.refuse(account, order, Refusal::BudgetUnreachable, "peer-away"),
            Err(error) => {
                self.refuse(account, order, Refusal::BudgetUnreachable, &error.to_string())
            }
        }
    }

    async fn ask_store(
        &self,
        account: &AccountDesk,
        order: &BudgetOrder,
        deadline: ClockTime,
        instances: usize,
    ) -> Result<GrantOutcome, StoreError> {
        let now = ClockTime::now();
        if self.store_is_away(now) {
            return Err(StoreError::Unavailable);
        }
        let limit = (deadline.since(now) / STORE_SHARE).min(LONGEST_STORE_WAIT);
        let asked = self.ask_in_time(account, order, order.amount, instances, limit).await;
        if asked.is_err() {
            *lock(&self.store_failed) = Some(ClockTime::now());
        }
        asked
    }

    fn refuse(
        &self,
        account: &AccountDesk,
        order: &BudgetOrder,
        refusal: Refusal,
        cause: &str,
    ) -> Refusal {
        let free = lock(&account.balance).free();
        log_event!(
            info,
            "budget-refused",
            request = order.request,
            branch = order.branch,
            amount = order.amount,
            free = free,
            prepaid = order.prepaid,
            plan = order.version,
            reason = refusal.reason(),
            cause = cause,
        );
        refusal
    }

    fn runs_low(&self, account: &AccountDesk, order: &BudgetOrder, now: ClockTime) -> bool {
        lock(&account.balance).runs_low(self.supply_policy(), order.prepaid, now)
    }

    fn store_is_away(&self, now: ClockTime) -> bool {
        lock(&self.store_failed).is_some_and(|failed| now.since(failed) < STORE_PAUSE)
    }

    /// Asks for more before the balance is empty, so that requests seldom wait for the store.
    fn top_up_early(
        self: &Arc<Self>,
        account: &Arc<AccountDesk>,
        order: &BudgetOrder,
        now: ClockTime,
    ) {
        let runs_low = self.runs_low(account, order, now);
        if !runs_low || account.is_nearly_spent(now) || self.store_is_away(now) {
            return;
        }
        if account.tops_up.swap(true, Ordering::Relaxed) {
            return;
        }
        let (desk, account, order) = (self.clone(), account.clone(), order.clone());
        smol::spawn(async move {
            let asked = desk.ask_in_time(&account, &order, TokenCount::ZERO, 1, LONGEST_STORE_WAIT);
            if let Err(error) = asked.await {
                *lock(&desk.store_failed) = Some(ClockTime::now());
                log_event!(warn, "top-up-failed", branch = account.branch, error = error);
            }
            account.tops_up.store(false, Ordering::Relaxed);
        })
        .detach();
    }
}
