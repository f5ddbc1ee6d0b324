//! The budget grants that one process holds.

use std::collections::{BTreeMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sagespool_messages::{
    ChargeRecord, FinishReport, FinishState, ReserveRequest, ReservedCharge, SpendStatus,
};
use sagespool_types::{
    BookNumber, BranchName, ChargeId, ClockTime, GrantId, IncarnationId, RequestId, StoreRevision,
    TokenCount,
};

use crate::branch_balance::{BranchBalance, WriteContext};
use crate::grant::OpenCharge;
use crate::{
    BOOK_COUNT, BookRecord, BudgetMode, ClassHoldback, GrantRecovery, LedgerPolicy, OrphanCharge,
    RecoveryVerdict, SequenceSet, book_of,
};

/// Why a reservation isn't covered by the grants of this home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BudgetShortfall {
    /// Tokens that the fleet lacks according to this home's data; zero if a request to the store may
    /// be enough.
    pub missing: TokenCount,
    /// Tokens reserved for running requests of this home, which may become free.
    pub returnable: TokenCount,
    /// Free tokens in the book as last read; none if it was never read.
    pub book_free: Option<TokenCount>,
    /// Grants of other holders, each with its unsettled amount.
    pub other_grants: Vec<(GrantId, IncarnationId, TokenCount)>,
    /// Grants in doubt of other holders, likewise. A holder that is gone returns nothing of them,
    /// so requests must not wait for that; a holder that was only partitioned accounts for them
    /// once it is queried.
    pub grants_in_doubt: Vec<(GrantId, IncarnationId, TokenCount)>,
}

/// The result of a reservation.
#[derive(Debug, Clone, PartialEq)]
pub enum ReserveDecision {
    /// The amount is reserved.
    Reserved(ReservedCharge),
    /// The grants held now don't cover the amount.
    Insufficient(BudgetShortfall),
}

/// The balances of one book's branches.
#[derive(Debug, Default)]
struct BookShard {
    balances: BTreeMap<BranchName, BranchBalance>,
    /// The newest version of the book seen.
    version: StoreRevision,
    /// Outstanding grants of other holders, with their settled charges.
    outstanding: BTreeMap<GrantId, SequenceSet>,
    /// Grants that this process has sealed.
    sealed: HashSet<GrantId>,
    last_apply: Option<ClockTime>,
}

/// Minimum time between two writes of a book for grants that run low.
const LOW_GRANT_WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// The budget grants that one process holds, sharded by book with a lock for each shard.
#[derive(Debug)]
pub struct HomeLedger {
    incarnation: IncarnationId,
    policy: LedgerPolicy,
    shards: Vec<Mutex<BookShard>>,
    next_grant: AtomicU64,
    leaving: AtomicBool,
}

impl HomeLedger {
    /// An empty ledger for one incarnation.
    pub fn new(incarnation: IncarnationId, policy: LedgerPolicy) -> Self {
        let shards = (0..BOOK_COUNT).map(|_| Mutex::default()).collect();
        Self {
            incarnation,
            policy,
            shards,
            next_grant: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
        }
    }

    fn shard(&self, book: BookNumber) -> MutexGuard<'_, BookShard> {
        let shard = &self.shards[book.0 as usize % self.shards.len()];
        shard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn shard_of(&self, branch: &BranchName) -> MutexGuard<'_, BookShard> {
        self.shard(book_of(branch))
    }

    /// Sets the parts of a branch's budget that are held back for classes.
    pub fn set_holdbacks(&self, branch: &BranchName, held_back: Vec<ClassHoldback>) {
        self.shard_of(branch).balances.entry(branch.clone()).or_default().held_back = held_back;
    }

    /// Reserves a request's maximum cost if a grant covers it.
    pub fn reserve(&self, order: &ReserveRequest, now: ClockTime) -> ReserveDecision {
        let mut shard = self.shard_of(&order.branch);
        let balance = shard.balances.entry(order.branch.clone()).or_default();
        let open = OpenCharge {
            request: order.request,
            reserved: order.amount,
            entry: order.entry,
            deadline: now.after(order.time_left),
            reported_usage: None,
            revision: StoreRevision::ZERO,
            needs_inquiry: false,
            usage_unknown: false,
            last_inquiry: None,
        };
        if let Some((charge, grant_revision)) =
            balance.reserve(&order.class, open, &self.policy, now)
        {
            let amount = order.amount;
            return ReserveDecision::Reserved(ReservedCharge { charge, grant_revision, amount });
        }
        ReserveDecision::Insufficient(balance.shortfall(&order.class, order.amount))
    }

    /// Checks whether a reservation would succeed now, without reserving anything.
    ///
    /// # Errors
    ///
    /// The shortfall, if it wouldn't.
    pub fn covers(&self, order: &ReserveRequest) -> Result<(), BudgetShortfall> {
        let mut shard = self.shard_of(&order.branch);
        let balance = shard.balances.entry(order.branch.clone()).or_default();
        if balance.covers(&order.class, order.amount) {
            return Ok(());
        }
        Err(balance.shortfall(&order.class, order.amount))
    }

    /// Records that a request waits for a grant; the next [`HomeLedger::apply`] requests it.
    pub fn note_waiting(&self, branch: &BranchName, amount: TokenCount, now: ClockTime) {
        let mut shard = self.shard_of(branch);
        shard.balances.entry(branch.clone()).or_default().note_waiting_amount(amount, now);
    }

    /// Processes an entry's report on how a request ended.
    pub fn finish(&self, report: &FinishReport, _now: ClockTime) {
        let mut shard = self.shard_of(&report.branch);
        let balance = shard.balances.get_mut(&report.branch);
        let Some(grant) = balance.and_then(|balance| balance.grant_mut(&report.charge.grant))
        else {
            return;
        };
        let sequence = report.charge.sequence;
        match &report.state {
            FinishState::Ran(record) => {
                grant.settle(sequence, record.used);
            }
            FinishState::NotRun => {
                grant.settle(sequence, TokenCount::ZERO);
            }
            FinishState::GrantUnusable => {
                grant.settle(sequence, TokenCount::ZERO);
                grant.closing = true;
                grant.return_all_unspent();
            }
            FinishState::Unknown => {
                if let Some(open) = grant.open.get_mut(&sequence) {
                    open.needs_inquiry = true;
                }
            }
        }
    }

    /// Records the use reported by a sidecar: the lower bound for a charge if that sidecar is lost
    /// later.
    pub fn note_usage(&self, record: &ChargeRecord, _now: ClockTime) {
        let mut shard = self.shard_of(&record.branch);
        let balance = shard.balances.get_mut(&record.branch);
        let Some(grant) = balance.and_then(|balance| balance.grant_mut(&record.charge.grant))
        else {
            return;
        };
        if let Some(open) = grant.open.get_mut(&record.charge.sequence) {
            open.note_usage(record);
        }
    }

    /// Releases the reservation of a request whose entry never received the reply and so dispatched
    /// nothing; false if nothing is reserved for it.
    pub fn abandon(&self, branch: &BranchName, request: RequestId) -> bool {
        let mut shard = self.shard_of(branch);
        let Some(balance) = shard.balances.get_mut(branch) else {
            return false;
        };
        let mut held = false;
        for grant in &mut balance.grants {
            let open = grant.open.iter().filter(|(_, open)| open.request == request);
            let sequences: Vec<_> = open.map(|(sequence, _)| *sequence).collect();
            for sequence in sequences {
                held |= grant.settle(sequence, TokenCount::ZERO);
            }
        }
        held
    }

    /// Handles the loss of an entry; returns its open charges, which have to be sealed at the
    /// sidecars.
    ///
    /// The use that sidecars have reported so far settles none of them. An entry that was only
    /// partitioned, or whose dispatch is still in flight, may start another attempt, even after one
    /// whose complete response it didn't receive. The reservation is held until every sidecar
    /// refuses the charge.
    pub fn entry_gone(&self, entry: IncarnationId, now: ClockTime) -> Vec<OrphanCharge> {
        self.collect_orphans(now, |open| open.entry == entry)
    }

    /// Charges to query the sidecars about. Either their entry reported an unknown outcome, or their
    /// deadline has long passed: the entry's report was lost, or it never received the reply to its
    /// reservation. Each charge is listed again until it is resolved.
    pub fn overdue(&self, now: ClockTime) -> Vec<OrphanCharge> {
        let grace = self.policy.overdue_after;
        self.collect_orphans(now, |open| {
            let late = open.needs_inquiry || now.since(open.deadline) >= grace;
            late && open.last_inquiry.is_none_or(|last| now.since(last) >= grace)
        })
    }

    fn collect_orphans(
        &self,
        now: ClockTime,
        concerns: impl Fn(&OpenCharge) -> bool,
    ) -> Vec<OrphanCharge> {
        let mut orphans = Vec::new();
        for shard in &self.shards {
            let mut shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            for (branch, balance) in &mut shard.balances {
                for grant in &mut balance.grants {
                    for (sequence, open) in &mut grant.open {
                        if open.usage_unknown || !concerns(open) {
                            continue;
                        }
                        open.needs_inquiry = true;
                        open.last_inquiry = Some(now);
                        let charge = ChargeId { grant: grant.id, sequence: *sequence };
                        orphans.push(OrphanCharge {
                            branch: branch.clone(),
                            charge,
                            request: open.request,
                            since: open.revision.saturating_sub(StoreRevision(1)),
                        });
                    }
                }
            }
        }
        orphans
    }

    /// Ends an orphaned charge with the use established from all sidecars.
    pub fn resolve(&self, branch: &BranchName, charge: &ChargeId, used: TokenCount) -> bool {
        let mut shard = self.shard_of(branch);
        let balance = shard.balances.get_mut(branch);
        let grant = balance.and_then(|balance| balance.grant_mut(&charge.grant));
        grant.is_some_and(|grant| grant.settle(charge.sequence, used))
    }

    /// Ends orphaned charges of one grant as far as the sidecars that sealed them account for them;
    /// false if some sidecars have to be queried again. If a sidecar is lost, the reservations stay
    /// held, and the next write marks the grant as in doubt.
    pub fn resolve_recovery(&self, recovery: &GrantRecovery, charges: &[ChargeId]) -> bool {
        let mut shard = self.shard_of(&recovery.branch);
        let balance = shard.balances.get_mut(&recovery.branch);
        let Some(grant) = balance.and_then(|balance| balance.grant_mut(&recovery.grant)) else {
            return true;
        };
        for record in recovery.records() {
            if let Some(open) = grant.open.get_mut(&record.charge.sequence) {
                open.note_usage(record);
            }
        }
        let own = charges.iter().filter(|charge| charge.grant == recovery.grant);
        let (settled, whole) = match recovery.verdict() {
            RecoveryVerdict::Close(settled) => (settled, true),
            RecoveryVerdict::Wait(settled) => (settled, false),
            RecoveryVerdict::InDoubt(_) => {
                own.for_each(|charge| grant.mark_usage_unknown(charge.sequence));
                return true;
            }
        };
        let settled: BTreeMap<_, _> = settled.into_iter().collect();
        for charge in own {
            match settled.get(charge) {
                Some(used) => grant.settle(charge.sequence, *used),
                None => whole && grant.settle(charge.sequence, TokenCount::ZERO),
            };
        }
        whole
    }

    /// Books that are due for a write.
    pub fn books_due(&self, now: ClockTime) -> Vec<BookNumber> {
        let mut due = Vec::new();
        for (number, shard) in self.shards.iter().enumerate() {
            let mut shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            let waited = shard.last_apply.map_or(Duration::MAX, |last| now.since(last));
            for balance in shard.balances.values_mut() {
                balance.retire_idle(&self.policy, now);
            }
            let settle_turn = waited >= self.settle_interval();
            let low_turn = waited >= LOW_GRANT_WRITE_INTERVAL;
            let policy = &self.policy;
            let wanted = shard.balances.values().any(|balance| {
                (settle_turn && balance.needs_write(policy, now))
                    || (low_turn && balance.runs_low(policy, now))
            });
            if wanted {
                due.push(BookNumber(number as u64));
            }
        }
        due
    }

    fn settle_interval(&self) -> Duration {
        match self.policy.mode {
            BudgetMode::EachRequest => Duration::ZERO,
            _ => self.policy.settle_interval,
        }
    }

    /// Applies this home's changes to a book read at version `base`; true if that changed it. The
    /// caller writes the book on condition of that version. `seen` is the newest revision of the
    /// whole store seen by this process: a grant requested now is created after it.
    pub fn apply(
        &self,
        book: BookNumber,
        record: &mut BookRecord,
        base: StoreRevision,
        seen: StoreRevision,
        now: ClockTime,
    ) -> bool {
        let mut shard = self.shard(book);
        shard.last_apply = Some(now);
        let holder = self.incarnation;
        let mut new_id =
            || GrantId { holder, number: self.next_grant.fetch_add(1, Ordering::Relaxed) };
        let leaving = self.leaving.load(Ordering::Relaxed);
        let context = WriteContext { base, seen: seen.max(base), now, leaving };
        let mut changed = false;
        for (branch, balance) in &mut shard.balances {
            let Some(account) = record.branches.get_mut(branch) else {
                continue;
            };
            changed |= balance.apply(account, context, &self.policy, &mut new_id);
        }
        changed
    }

    /// [`HomeLedger::apply`] on behalf of waiting requests: does the same if that gives some of
    /// them what they lack or resolves an earlier write of unknown outcome; otherwise changes
    /// nothing and returns false. Other changes wait until the book is due.
    pub fn apply_for_waiting(
        &self,
        book: BookNumber,
        record: &mut BookRecord,
        base: StoreRevision,
        seen: StoreRevision,
        now: ClockTime,
    ) -> bool {
        // The baseline modes write in each round; earlier measurements of them depend on that.
        let would_help_waiting = self.policy.mode != BudgetMode::Escrow || {
            let shard = self.shard(book);
            shard.balances.iter().any(|(branch, balance)| {
                let account = record.branches.get(branch);
                account.is_some_and(|account| {
                    balance.would_help_waiting(account, base, &self.policy, now)
                })
            })
        };
        would_help_waiting && self.apply(book, record, base, seen, now)
    }

    /// Processes a book as stored at a version, from a read or an acknowledged write. Versions
    /// older than one seen before are ignored.
    pub fn observe(
        &self,
        book: BookNumber,
        record: &BookRecord,
        version: StoreRevision,
        now: ClockTime,
    ) {
        let mut shard = self.shard(book);
        if version < shard.version {
            return;
        }
        shard.version = version;
        let own = self.incarnation;
        let leaving = self.leaving.load(Ordering::Relaxed);
        for (branch, balance) in &mut shard.balances {
            if let Some(account) = record.branches.get(branch) {
                balance.observe(account, own, version, now);
                if leaving {
                    balance.return_all();
                }
            }
        }
        shard.outstanding.clear();
        for account in record.branches.values() {
            for (id, grant) in &account.grants {
                if grant.sealed_by == Some(own) {
                    shard.sealed.insert(*id);
                }
                // Another process may have sealed the grant again. As long as it is outstanding,
                // the recovering process needs its unsettled charges.
                if shard.sealed.contains(id) {
                    shard.outstanding.insert(*id, grant.charges.clone());
                }
            }
        }
    }

    /// The charges that are settled in the store, so that their sidecar can delete them.
    ///
    /// A charge of a grant that isn't outstanding counts as settled only if this process held or
    /// sealed the grant: it may not have seen other grants yet.
    pub fn durable_charges(&self, charges: &[(BranchName, ChargeId)]) -> Vec<ChargeId> {
        let is_durable = |(branch, charge): &(BranchName, ChargeId)| {
            let mut shard = self.shard_of(branch);
            let balance = shard.balances.get_mut(branch);
            if let Some(grant) = balance.and_then(|balance| balance.grant_mut(&charge.grant)) {
                let open = grant.open.contains_key(&charge.sequence);
                return !open && !grant.unsettled.contains_key(&charge.sequence);
            }
            if let Some(settled) = shard.outstanding.get(&charge.grant) {
                return settled.contains(charge.sequence);
            }
            charge.grant.holder == self.incarnation || shard.sealed.contains(&charge.grant)
        };
        charges.iter().filter(|charge| is_durable(charge)).map(|(_, charge)| *charge).collect()
    }

    /// Returns up to `wanted` unspent tokens of a branch; the next [`HomeLedger::apply`] writes
    /// that.
    pub fn return_unspent(
        &self,
        branch: &BranchName,
        wanted: TokenCount,
        _now: ClockTime,
    ) -> TokenCount {
        let mut shard = self.shard_of(branch);
        shard
            .balances
            .get_mut(branch)
            .map_or(TokenCount::ZERO, |balance| balance.return_unspent(wanted))
    }

    /// Tokens reserved here for running requests of a branch, which may become free.
    pub fn returnable(&self, branch: &BranchName) -> TokenCount {
        let shard = self.shard_of(branch);
        shard.balances.get(branch).map_or(TokenCount::ZERO, BranchBalance::returnable)
    }

    /// Returns all grants for a graceful stop; nothing new is reserved from then on.
    pub fn return_all(&self, _now: ClockTime) {
        self.leaving.store(true, Ordering::Relaxed);
        for shard in &self.shards {
            let mut shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            shard.balances.values_mut().for_each(BranchBalance::return_all);
        }
    }

    /// True if grants of the book's branches are held or may have been requested.
    pub fn holds_grants(&self, book: BookNumber) -> bool {
        self.shard(book).balances.values().any(|balance| !balance.is_empty())
    }

    /// The state of one branch's grants, or of all branches with grants.
    pub fn spend(&self, branch: Option<&BranchName>) -> Vec<SpendStatus> {
        if let Some(branch) = branch {
            let shard = self.shard_of(branch);
            return shard
                .balances
                .get(branch)
                .map(|balance| balance.status(branch))
                .into_iter()
                .collect();
        }
        let mut all = Vec::new();
        for shard in &self.shards {
            let shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            let held = shard.balances.iter().filter(|(_, balance)| !balance.grants.is_empty());
            all.extend(held.map(|(branch, balance)| balance.status(branch)));
        }
        all
    }
}
