//! The budgets that one process holds grants of.

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

use crate::grant::OpenCharge;
use crate::purse::{AskMoment, BranchPurse};
use crate::{
    BOOK_COUNT, BookRecord, BudgetMode, ClassHoldback, GrantRecovery, LedgerPolicy, OrphanCharge,
    RecoveryVerdict, SequenceSet, book_of,
};

/// Why a reservation isn't possible from what the home holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BudgetShortfall {
    /// What the fleet lacks for it as far as this home knows; zero if asking the store may do.
    pub missing: TokenCount,
    /// What this home's running requests hold and may give back.
    pub returnable: TokenCount,
    /// Free in the book as last read; none if it was never read.
    pub book_free: Option<TokenCount>,
    /// Grants of other holders, with what isn't settled of them.
    pub other_grants: Vec<(GrantId, IncarnationId, TokenCount)>,
    /// The same for grants in doubt. A holder that is gone gives nothing of them back, so nobody is
    /// to wait for that; one that was only cut off accounts for them once it is asked.
    pub grants_in_doubt: Vec<(GrantId, IncarnationId, TokenCount)>,
}

/// The answer to a reservation.
#[derive(Debug, Clone, PartialEq)]
pub enum ReserveDecision {
    /// Held.
    Reserved(ReservedCharge),
    /// Not from what is held now.
    Insufficient(BudgetShortfall),
}

/// The purses of one book's branches.
#[derive(Debug, Default)]
struct BookShard {
    purses: BTreeMap<BranchName, BranchPurse>,
    /// The newest version of the book seen.
    version: StoreRevision,
    /// Grants of other holders that are outstanding, with their settled charges.
    outstanding: BTreeMap<GrantId, SequenceSet>,
    /// Grants that this process has sealed.
    sealed: HashSet<GrantId>,
    last_apply: Option<ClockTime>,
}

/// The least time between two writes of a book for grants that run low.
const LOW_GAP: Duration = Duration::from_secs(1);

/// The budgets that one process holds grants of, in shards by book, each under its own lock.
#[derive(Debug)]
pub struct HomeLedger {
    incarnation: IncarnationId,
    policy: LedgerPolicy,
    shards: Vec<Mutex<BookShard>>,
    next_grant: AtomicU64,
    leaving: AtomicBool,
}

impl HomeLedger {
    /// An empty ledger of one incarnation.
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

    /// Says which parts of a branch's budget are kept for which classes.
    pub fn set_holdbacks(&self, branch: &BranchName, held_back: Vec<ClassHoldback>) {
        self.shard_of(branch).purses.entry(branch.clone()).or_default().held_back = held_back;
    }

    /// Holds a request's greatest possible cost, if a grant covers it.
    pub fn reserve(&self, order: &ReserveRequest, now: ClockTime) -> ReserveDecision {
        let mut shard = self.shard_of(&order.branch);
        let purse = shard.purses.entry(order.branch.clone()).or_default();
        let open = OpenCharge {
            request: order.request,
            reserved: order.amount,
            entry: order.entry,
            deadline: now.after(order.time_left),
            evidence: None,
            revision: StoreRevision::ZERO,
            entry_gone: false,
            lost: false,
            asked: None,
        };
        if let Some((charge, grant_revision)) = purse.reserve(&order.class, open, &self.policy, now)
        {
            let amount = order.amount;
            return ReserveDecision::Reserved(ReservedCharge { charge, grant_revision, amount });
        }
        ReserveDecision::Insufficient(purse.short(&order.class, order.amount))
    }

    /// What a reservation would find now, without holding anything.
    ///
    /// # Errors
    /// What is missing.
    pub fn covers(&self, order: &ReserveRequest) -> Result<(), BudgetShortfall> {
        let mut shard = self.shard_of(&order.branch);
        let purse = shard.purses.entry(order.branch.clone()).or_default();
        if purse.covers(&order.class, order.amount) {
            return Ok(());
        }
        Err(purse.short(&order.class, order.amount))
    }

    /// Notes that a request waits for a grant; the next apply asks for it.
    pub fn note_waiting(&self, branch: &BranchName, amount: TokenCount, now: ClockTime) {
        let mut shard = self.shard_of(branch);
        shard.purses.entry(branch.clone()).or_default().note_need(amount, now);
    }

    /// Takes in how a request ended, as its entry saw it.
    pub fn finish(&self, report: &FinishReport, _now: ClockTime) {
        let mut shard = self.shard_of(&report.branch);
        let purse = shard.purses.get_mut(&report.branch);
        let Some(grant) = purse.and_then(|purse| purse.grant_mut(&report.charge.grant)) else {
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
                grant.shrink();
            }
            FinishState::Unknown => {
                if let Some(open) = grant.open.get_mut(&sequence) {
                    open.entry_gone = true;
                }
            }
        }
    }

    /// Takes in what a sidecar witnessed: the least that a charge used, should its witness be lost.
    pub fn note_usage(&self, record: &ChargeRecord, _now: ClockTime) {
        let mut shard = self.shard_of(&record.branch);
        let purse = shard.purses.get_mut(&record.branch);
        let Some(grant) = purse.and_then(|purse| purse.grant_mut(&record.charge.grant)) else {
            return;
        };
        if let Some(open) = grant.open.get_mut(&record.charge.sequence) {
            open.witness(record);
        }
    }

    /// Gives back what is held for a request whose entry never got the answer and so dispatched
    /// nothing; false if nothing is held for it.
    pub fn abandon(&self, branch: &BranchName, request: RequestId) -> bool {
        let mut shard = self.shard_of(branch);
        let Some(purse) = shard.purses.get_mut(branch) else {
            return false;
        };
        let mut held = false;
        for grant in &mut purse.grants {
            let open = grant.open.iter().filter(|(_, open)| open.request == request);
            let sequences: Vec<_> = open.map(|(sequence, _)| *sequence).collect();
            for sequence in sequences {
                held |= grant.settle(sequence, TokenCount::ZERO);
            }
        }
        held
    }

    /// Notes that an entry is gone; returns its charges, to be sealed at the sidecars.
    ///
    /// What sidecars reported so far settles none of them. An entry that was only cut off, or whose
    /// dispatch is still on its way, may start another attempt, even after one whose whole answer it
    /// didn't get; until every sidecar refuses the charge, its reservation is held.
    pub fn entry_gone(&self, entry: IncarnationId, now: ClockTime) -> Vec<OrphanCharge> {
        self.orphans(now, |open| open.entry == entry)
    }

    /// Charges to ask the sidecars about: their entry said that it can't tell, or they should have
    /// ended long ago by their deadline, since their entry lost the word or never had the
    /// reservation's answer. Each comes up again until it is resolved.
    pub fn overdue(&self, now: ClockTime) -> Vec<OrphanCharge> {
        let grace = self.policy.overdue_after;
        self.orphans(now, |open| {
            let late = open.entry_gone || now.since(open.deadline) >= grace;
            late && open.asked.is_none_or(|asked| now.since(asked) >= grace)
        })
    }

    fn orphans(&self, now: ClockTime, concerns: impl Fn(&OpenCharge) -> bool) -> Vec<OrphanCharge> {
        let mut orphans = Vec::new();
        for shard in &self.shards {
            let mut shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            for (branch, purse) in &mut shard.purses {
                for grant in &mut purse.grants {
                    for (sequence, open) in &mut grant.open {
                        if open.lost || !concerns(open) {
                            continue;
                        }
                        open.entry_gone = true;
                        open.asked = Some(now);
                        let charge = ChargeId { grant: grant.id, sequence: *sequence };
                        orphans.push(OrphanCharge {
                            branch: branch.clone(),
                            charge,
                            request: open.request,
                            since: open.revision.less(StoreRevision(1)),
                        });
                    }
                }
            }
        }
        orphans
    }

    /// Ends an orphaned charge with what all sidecars together say it used.
    pub fn resolve(&self, branch: &BranchName, charge: &ChargeId, used: TokenCount) -> bool {
        let mut shard = self.shard_of(branch);
        let purse = shard.purses.get_mut(branch);
        let grant = purse.and_then(|purse| purse.grant_mut(&charge.grant));
        grant.is_some_and(|grant| grant.settle(charge.sequence, used))
    }

    /// Ends orphaned charges of one grant, as far as the sidecars that have sealed them account for
    /// them; false if some have to be asked again. Where a witness is lost, the charges' reservations
    /// stay held, and the book will say that they are in doubt.
    pub fn resolve_recovery(&self, case: &GrantRecovery, charges: &[ChargeId]) -> bool {
        let mut shard = self.shard_of(&case.branch);
        let purse = shard.purses.get_mut(&case.branch);
        let Some(grant) = purse.and_then(|purse| purse.grant_mut(&case.grant)) else {
            return true;
        };
        for record in case.records() {
            if let Some(open) = grant.open.get_mut(&record.charge.sequence) {
                open.witness(record);
            }
        }
        let own = charges.iter().filter(|charge| charge.grant == case.grant);
        let (settled, whole) = match case.verdict() {
            RecoveryVerdict::Close(settled) => (settled, true),
            RecoveryVerdict::Wait(settled) => (settled, false),
            RecoveryVerdict::InDoubt(_) => {
                own.for_each(|charge| grant.lose(charge.sequence));
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

    /// Books whose turn has come to be written.
    pub fn books_due(&self, now: ClockTime) -> Vec<BookNumber> {
        let mut due = Vec::new();
        for (number, shard) in self.shards.iter().enumerate() {
            let mut shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            let waited = shard.last_apply.map_or(Duration::MAX, |last| now.since(last));
            for purse in shard.purses.values_mut() {
                purse.retire_idle(&self.policy, now);
            }
            let settle_turn = waited >= self.settle_gap();
            let low_turn = waited >= LOW_GAP;
            let policy = &self.policy;
            let wanted = shard.purses.values().any(|purse| {
                (settle_turn && purse.wants_write(policy, now))
                    || (low_turn && purse.runs_low(policy, now))
            });
            if wanted {
                due.push(BookNumber(number as u64));
            }
        }
        due
    }

    fn settle_gap(&self) -> Duration {
        match self.policy.mode {
            BudgetMode::EachRequest => Duration::ZERO,
            _ => self.policy.settle_interval,
        }
    }

    /// Puts what this home wants into a book as read at version `base`; true if that changed it. The
    /// caller writes it on condition of that version. `seen` is the newest revision of the whole
    /// store that this process has seen: a grant asked for now is made after it.
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
        let asking = AskMoment { base, seen: seen.max(base), now, leaving };
        let mut changed = false;
        for (branch, purse) in &mut shard.purses {
            let Some(account) = record.branches.get_mut(branch) else {
                continue;
            };
            changed |= purse.apply(account, asking, &self.policy, &mut new_id);
        }
        changed
    }

    /// [`HomeLedger::apply`] for requests that wait: the same, if it gives some of them what they
    /// lack or ends the doubt about an earlier write; else nothing, and false. What else there is to
    /// write waits for the book's turn.
    pub fn apply_for_waiting(
        &self,
        book: BookNumber,
        record: &mut BookRecord,
        base: StoreRevision,
        seen: StoreRevision,
        now: ClockTime,
    ) -> bool {
        // The baselines write in each round, as they did when they were measured first.
        let gains = self.policy.mode != BudgetMode::Escrow || {
            let shard = self.shard(book);
            shard.purses.iter().any(|(branch, purse)| {
                let account = record.branches.get(branch);
                account.is_some_and(|account| purse.gains(account, base, &self.policy, now))
            })
        };
        gains && self.apply(book, record, base, seen, now)
    }

    /// Takes in a book as it is in the store at a version, from a read or an acknowledged write.
    /// Older versions than seen before are passed over.
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
        for (branch, purse) in &mut shard.purses {
            if let Some(account) = record.branches.get(branch) {
                purse.observe(account, own, version, now);
                if leaving {
                    purse.return_all();
                }
            }
        }
        shard.outstanding.clear();
        for account in record.branches.values() {
            for (id, grant) in &account.grants {
                if grant.sealed_by == Some(own) {
                    shard.sealed.insert(*id);
                }
                // Another may have sealed it again meanwhile: as long as it is outstanding, what
                // isn't settled is needed by whoever recovers it.
                if shard.sealed.contains(id) {
                    shard.outstanding.insert(*id, grant.charges.clone());
                }
            }
        }
    }

    /// Which of these charges are settled in the store, so that their witness may forget them.
    ///
    /// A charge of a grant that isn't outstanding counts as settled only for this process's own
    /// grants and those it sealed: of others it may not have heard yet.
    pub fn durable_charges(&self, charges: &[(BranchName, ChargeId)]) -> Vec<ChargeId> {
        let is_durable = |(branch, charge): &(BranchName, ChargeId)| {
            let mut shard = self.shard_of(branch);
            let purse = shard.purses.get_mut(branch);
            if let Some(grant) = purse.and_then(|purse| purse.grant_mut(&charge.grant)) {
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

    /// Gives up to `wanted` of a branch's unspent tokens back; the next apply returns them.
    pub fn return_unspent(
        &self,
        branch: &BranchName,
        wanted: TokenCount,
        _now: ClockTime,
    ) -> TokenCount {
        let mut shard = self.shard_of(branch);
        shard.purses.get_mut(branch).map_or(TokenCount::ZERO, |purse| purse.return_unspent(wanted))
    }

    /// What running requests of a branch hold here and may give back.
    pub fn returnable(&self, branch: &BranchName) -> TokenCount {
        let shard = self.shard_of(branch);
        shard.purses.get(branch).map_or(TokenCount::ZERO, BranchPurse::returnable)
    }

    /// Hands every grant back, for a graceful stop; nothing new is reserved.
    pub fn return_all(&self, _now: ClockTime) {
        self.leaving.store(true, Ordering::Relaxed);
        for shard in &self.shards {
            let mut shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            shard.purses.values_mut().for_each(BranchPurse::return_all);
        }
    }

    /// True if grants of the book's branches are held, or may be.
    pub fn holds_grants(&self, book: BookNumber) -> bool {
        self.shard(book).purses.values().any(|purse| !purse.is_empty())
    }

    /// What is held of one branch's budget, or of all.
    pub fn spend(&self, branch: Option<&BranchName>) -> Vec<SpendStatus> {
        if let Some(branch) = branch {
            let shard = self.shard_of(branch);
            return shard
                .purses
                .get(branch)
                .map(|purse| purse.status(branch))
                .into_iter()
                .collect();
        }
        let mut all = Vec::new();
        for shard in &self.shards {
            let shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            let held = shard.purses.iter().filter(|(_, purse)| !purse.grants.is_empty());
            all.extend(held.map(|(branch, purse)| purse.status(branch)));
        }
        all
    }
}
