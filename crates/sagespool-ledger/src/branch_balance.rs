//! What a home holds of one branch's budget.

use std::collections::BTreeMap;
use std::time::Duration;

use sagespool_messages::SpendStatus;
use sagespool_types::{
    BranchName, ChargeId, ClassName, ClockTime, GrantId, IncarnationId, RequestId, StoreRevision,
    TokenCount,
};

use crate::account::BranchAccount;
use crate::grant::{HeldGrant, OpenCharge};
use crate::{BudgetMode, BudgetShortfall, GrantRecord, LedgerPolicy};

/// A part of a branch's remaining budget that only one class may use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClassHoldback {
    /// The class that may use it.
    pub class: ClassName,
    /// Size of the part.
    pub tokens: TokenCount,
}

/// A reservation whose outcome no entry is going to report: the sidecars have to be queried.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrphanCharge {
    /// The branch that pays for it.
    pub branch: BranchName,
    /// The open charge.
    pub charge: ChargeId,
    /// The request it was reserved for.
    pub request: RequestId,
    /// A store revision before anything can have run under the charge.
    pub since: StoreRevision,
}

/// A grant, or a raise of one, that was requested by a write of unknown outcome.
#[derive(Debug, Clone, Copy)]
struct PendingGrant {
    id: GrantId,
    /// The book version that the write is conditional on. Once the book has a later one, a write in
    /// flight can't take effect any more.
    base: StoreRevision,
}

/// The circumstances in which a write of a book is prepared.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WriteContext {
    /// The book version that the write is conditional on.
    pub(crate) base: StoreRevision,
    /// The newest revision of the whole store seen.
    pub(crate) seen: StoreRevision,
    pub(crate) now: ClockTime,
    /// True if no new grants are wanted.
    pub(crate) leaving: bool,
}

/// The amounts that requests wait for.
#[derive(Debug, Clone, Default)]
struct WaitingDemand {
    /// Each amount with the time it was last requested. One sum isn't enough: a grant that covers
    /// the smallest amount may cover no other.
    amounts: BTreeMap<TokenCount, ClockTime>,
    /// Sum of the amounts less what was granted since; no request waits once it is zero.
    sum: TokenCount,
}

impl WaitingDemand {
    fn note(&mut self, amount: TokenCount, now: ClockTime) {
        self.amounts.retain(|_, at| now.since(*at) < WAITING_AMOUNT_TTL);
        if self.amounts.is_empty() || self.sum == TokenCount::ZERO {
            self.amounts.clear();
            self.sum = TokenCount::ZERO;
        }
        if self.amounts.len() >= MAX_WAITING_AMOUNTS {
            self.amounts.pop_first();
        }
        self.amounts.insert(amount, now);
        self.sum += amount;
    }

    fn subtract_granted(&mut self, amount: TokenCount) {
        self.sum = self.sum.saturating_sub(amount);
    }

    /// The amounts that requests wait for now, in ascending order.
    fn waiting(&self, now: ClockTime) -> impl DoubleEndedIterator<Item = TokenCount> + '_ {
        let some_wait = self.sum > TokenCount::ZERO;
        let fresh = move |at: &ClockTime| some_wait && now.since(*at) < WAITING_AMOUNT_TTL;
        let fresh = self.amounts.iter().filter(move |(_, at)| fresh(at));
        fresh.map(|(amount, _)| *amount)
    }
}

/// The branch's account in the book, as last read.
#[derive(Debug, Clone, Default)]
pub(crate) struct BookSnapshot {
    pub(crate) free: TokenCount,
    pub(crate) other_grants: Vec<(GrantId, IncarnationId, TokenCount)>,
    pub(crate) grants_in_doubt: Vec<(GrantId, IncarnationId, TokenCount)>,
    pub(crate) is_known: bool,
}

/// Waiting requests repeat their amount at least this often.
const WAITING_AMOUNT_TTL: Duration = Duration::from_secs(2);
/// Maximum number of distinct waiting amounts; beyond it, the smallest is dropped until it is
/// requested again.
const MAX_WAITING_AMOUNTS: usize = 64;
/// Maximum number of grants held of one branch; beyond it, the oldest is returned.
const MAX_HELD_GRANTS: usize = 6;
/// A grant is returned if its available part is less than a new grant divided by this.
const REMNANT_DIVISOR: u64 = 8;

/// What a home holds of one branch's budget.
#[derive(Debug, Default)]
pub(crate) struct BranchBalance {
    /// Oldest first.
    pub(crate) grants: Vec<HeldGrant>,
    pending: Vec<PendingGrant>,
    pub(crate) snapshot: BookSnapshot,
    pub(crate) held_back: Vec<ClassHoldback>,
    waiting_demand: WaitingDemand,
    /// True from a return of tokens until the book shows it.
    return_pending: bool,
    demand: f64,
    demand_at: ClockTime,
    /// Spent under closed grants, for the static split.
    spent_closed: TokenCount,
}

impl BranchBalance {
    /// Tokens that new requests can reserve.
    pub(crate) fn available(&self) -> TokenCount {
        self.grants.iter().map(HeldGrant::available).sum()
    }

    fn unspent(&self) -> TokenCount {
        self.grants.iter().map(HeldGrant::unspent).sum()
    }

    /// Tokens reserved for running requests.
    pub(crate) fn reserved(&self) -> TokenCount {
        self.grants.iter().map(|grant| grant.reserved).sum()
    }

    /// Tokens that running requests may still free. A charge whose sidecar is lost frees nothing: a
    /// request that waited for it would be refused at its deadline instead of at once.
    pub(crate) fn returnable(&self) -> TokenCount {
        self.grants.iter().map(HeldGrant::returnable).sum()
    }

    /// Tokens held back for other classes.
    fn held_back_from(&self, class: &ClassName) -> TokenCount {
        self.held_back.iter().filter(|held| held.class != *class).map(|held| held.tokens).sum()
    }

    /// The shortfall of a request against all that this home could obtain now; zero if a request to
    /// the store may be enough.
    pub(crate) fn missing(&self, class: &ClassName, amount: TokenCount) -> TokenCount {
        let remaining = self.snapshot.free + self.unspent();
        (amount + self.held_back_from(class)).saturating_sub(remaining)
    }

    /// Whether a single grant covers an amount now.
    pub(crate) fn covers(&self, class: &ClassName, amount: TokenCount) -> bool {
        self.missing(class, amount) == TokenCount::ZERO
            && self.grants.iter().any(|grant| grant.available() >= amount)
    }

    /// Why an amount isn't covered.
    pub(crate) fn shortfall(&self, class: &ClassName, amount: TokenCount) -> BudgetShortfall {
        BudgetShortfall {
            missing: self.missing(class, amount),
            returnable: self.returnable(),
            book_free: self.snapshot.is_known.then_some(self.snapshot.free),
            other_grants: self.snapshot.other_grants.clone(),
            grants_in_doubt: self.snapshot.grants_in_doubt.clone(),
        }
    }

    /// Reserves an amount from the oldest grant that covers it.
    pub(crate) fn reserve(
        &mut self,
        class: &ClassName,
        open: OpenCharge,
        policy: &LedgerPolicy,
        now: ClockTime,
    ) -> Option<(ChargeId, StoreRevision)> {
        let amount = open.reserved;
        let mut open = open;
        if self.missing(class, amount) > TokenCount::ZERO {
            return None;
        }
        let grant =
            self.grants.iter_mut().find(|grant| grant.available() >= amount && !grant.closing)?;
        let revision = grant.revision;
        open.revision = revision;
        let charge = grant.reserve(open, now);
        if policy.mode == BudgetMode::EachRequest {
            grant.closing = true;
        }
        self.note_demand(amount, policy, now);
        Some((charge, revision))
    }

    fn demand_now(&self, policy: &LedgerPolicy, now: ClockTime) -> f64 {
        let passed = now.since(self.demand_at).as_secs_f64();
        self.demand * 0.5_f64.powf(passed / policy.demand_half_life.as_secs_f64())
    }

    /// The demand is a decaying sum; divided by its mean lifetime, it gives the rate.
    fn note_demand(&mut self, amount: TokenCount, policy: &LedgerPolicy, now: ClockTime) {
        self.demand = self.demand_now(policy, now) + amount.0 as f64;
        self.demand_at = now;
    }

    /// Expected use within the time for which grants should last.
    fn target(&self, policy: &LedgerPolicy, now: ClockTime) -> TokenCount {
        let mean_life = policy.demand_half_life.as_secs_f64() / std::f64::consts::LN_2;
        let rate = self.demand_now(policy, now) / mean_life;
        TokenCount((rate * policy.grant_ahead.as_secs_f64()) as u64)
    }

    /// Records that a request waits for a grant.
    pub(crate) fn note_waiting_amount(&mut self, amount: TokenCount, now: ClockTime) {
        self.waiting_demand.note(amount, now);
    }

    /// True if a write would change the account, waiting requests aside: they trigger their own
    /// writes.
    pub(crate) fn needs_write(&self, policy: &LedgerPolicy, now: ClockTime) -> bool {
        let to_settle = self.grants.iter().any(|grant| !grant.unsettled.is_empty());
        let to_close =
            self.grants.iter().any(|grant| grant.is_quiescent() && !grant.awaits_release());
        let to_return = self.grants.iter().any(|grant| grant.amount < grant.stored_amount);
        let has_pending = !self.pending.is_empty();
        to_settle || to_close || to_return || has_pending || self.runs_low(policy, now)
    }

    /// True if the grants last for less than half of the intended time and the book has more.
    pub(crate) fn runs_low(&self, policy: &LedgerPolicy, now: ClockTime) -> bool {
        if policy.mode != BudgetMode::Escrow {
            return false;
        }
        // Near the end of a budget, many writes would gain little each: the remainder is requested
        // once a request needs it.
        let half = self.target(policy, now).0 / 2;
        self.available().0 < half && self.snapshot.free.0 >= half
    }

    /// Starts closing grants that have been unused for the idle time.
    pub(crate) fn retire_idle(&mut self, policy: &LedgerPolicy, now: ClockTime) {
        for grant in &mut self.grants {
            let idle = grant.open.is_empty() && now.since(grant.last_used) >= policy.idle_after;
            if idle && !grant.closing {
                grant.closing = true;
                grant.return_all_unspent();
            }
        }
    }

    /// Applies this home's changes to the account as just read; true if that changed it. It is
    /// idempotent if an earlier write took effect unnoticed: charges are identified by number,
    /// grants by id, and a return only ever lowers an amount.
    pub(crate) fn apply(
        &mut self,
        account: &mut BranchAccount,
        context: WriteContext,
        policy: &LedgerPolicy,
        new_id: &mut dyn FnMut() -> GrantId,
    ) -> bool {
        let WriteContext { base, seen, now, leaving } = context;
        let mut changed = self.apply_held_grants(account);
        changed |= self.has_write_in_flight(base);
        // After a return, nothing is requested until the book has shown the returned tokens to the
        // home that recalled them. Otherwise the same write would take them again for a request
        // that waits or was just refused, and the other home would refuse its request although the
        // budget isn't spent.
        if leaving || self.return_pending {
            return changed;
        }
        let raisable = self.raisable(account, policy);
        let Some((least, aim)) = self.wanted_amounts(account, raisable, policy, now) else {
            return changed;
        };
        if self.free_for(account, policy) < least && self.return_all_but(raisable) {
            changed |= self.apply_held_grants(account);
        }
        let free = self.free_for(account, policy);
        if free < least || free == TokenCount::ZERO {
            return changed;
        }
        let amount = aim.min(free).max(least);
        let record = raisable.and_then(|id| account.grants.get_mut(&id));
        if let (Some(id), Some(record)) = (raisable, record) {
            self.note_pending(PendingGrant { id, base });
            record.raise(amount);
            return true;
        }
        let pending =
            self.pending.iter().find(|pending| pending.base == base && !self.is_held(&pending.id));
        let id = pending.map_or_else(new_id, |pending| pending.id);
        self.note_pending(PendingGrant { id, base });
        let record = GrantRecord {
            amount,
            raised: TokenCount::ZERO,
            settled: TokenCount::ZERO,
            charges: Default::default(),
            asked_at: seen,
            sealed_by: None,
            in_doubt: false,
            known: Vec::new(),
        };
        account.grants.insert(id, record);
        true
    }

    /// True if a write based on the book's present version may still be in flight. Its grant would
    /// take effect without any process accounting for it, and its amount would be neither spent nor
    /// returned. A write that changes only the version makes it fail.
    fn has_write_in_flight(&self, base: StoreRevision) -> bool {
        self.pending.iter().any(|pending| pending.base == base)
    }

    fn is_held(&self, id: &GrantId) -> bool {
        self.grants.iter().any(|grant| grant.id == *id)
    }

    fn note_pending(&mut self, new: PendingGrant) {
        let known =
            self.pending.iter().any(|pending| pending.id == new.id && pending.base == new.base);
        if !known {
            self.pending.push(new);
        }
    }

    /// The held grant to raise instead of taking another one. The remainders of many grants would
    /// cover no request near the end of a budget, and each would be returned by a write of its own.
    ///
    /// A grant that is sealed or in doubt isn't raised, since its holder no longer accounts for it.
    /// A raise keeps the grant's revision, so a sidecar that started since refuses the raised part
    /// as well.
    fn raisable(&self, account: &BranchAccount, policy: &LedgerPolicy) -> Option<GrantId> {
        if policy.mode != BudgetMode::Escrow {
            return None;
        }
        let grant = self.grants.iter().rev().find(|grant| !grant.closing)?;
        let record = account.grants.get(&grant.id)?;
        (!record.is_unaccounted()).then_some(grant.id)
    }

    /// True if a write of the account now would give waiting requests what they lack, or resolve an
    /// earlier write of unknown outcome. Other changes wait until the book is due, so a request
    /// that can't be paid for costs no write.
    pub(crate) fn would_help_waiting(
        &self,
        account: &BranchAccount,
        base: StoreRevision,
        policy: &LedgerPolicy,
        now: ClockTime,
    ) -> bool {
        if self.has_write_in_flight(base) {
            return true;
        }
        if self.waiting_demand.waiting(now).next().is_none() {
            return false;
        }
        let raisable = self.raisable(account, policy);
        let Some((least, _)) = self.wanted_amounts(account, raisable, policy, now) else {
            return false;
        };
        let kept = |grant: &&HeldGrant| Some(grant.id) != raisable;
        let unspent: TokenCount = self.grants.iter().filter(kept).map(HeldGrant::unspent).sum();
        let lowered: TokenCount =
            self.grants.iter().map(|grant| grant.stored_amount.saturating_sub(grant.amount)).sum();
        let free = self.free_for(account, policy);
        free + unspent + lowered >= least && least > TokenCount::ZERO
    }

    fn apply_held_grants(&self, account: &mut BranchAccount) -> bool {
        let mut changed = false;
        for grant in &self.grants {
            let Some(record) = account.grants.get_mut(&grant.id) else {
                continue;
            };
            changed |= grant.settle_into(record);
            if !grant.is_quiescent() {
                continue;
            }
            if !grant.open.is_empty() {
                changed |= record.mark_in_doubt(grant.known_usage());
                continue;
            }
            account.close(&grant.id);
            changed = true;
        }
        changed
    }

    /// The minimum useful amount and the wanted amount, if a grant is wanted.
    fn wanted_amounts(
        &self,
        account: &BranchAccount,
        raisable: Option<GrantId>,
        policy: &LedgerPolicy,
        now: ClockTime,
    ) -> Option<(TokenCount, TokenCount)> {
        if policy.mode == BudgetMode::EachRequest {
            return self.waiting_demand.waiting(now).next().map(|least| (least, least));
        }
        let lacking = self.target(policy, now).saturating_sub(self.available());
        let free = account.free();
        // At most half of the free tokens is taken ahead, so that other homes find some as well.
        let half = TokenCount(free.0 / 2);
        let held = self.grants.iter().find(|grant| Some(grant.id) == raisable);
        let held = held.map_or(TokenCount::ZERO, HeldGrant::available);
        let least = self.waiting_demand.waiting(now).find(|amount| *amount > held);
        let (Some(least), Some(most)) = (least, self.waiting_demand.waiting(now).next_back())
        else {
            let low = self.runs_low(policy, now);
            return low.then_some((TokenCount(1), lacking.min(half)));
        };
        let wanted = lacking.max(TokenCount(most.0.saturating_mul(policy.grant_requests)));
        // The end of a budget is taken whole: taking half each time would cost a write each.
        let last = policy.grant_requests > 1 && free <= wanted;
        let ahead = if last { free } else { wanted.min(half) };
        Some((least.saturating_sub(held), self.waiting_demand.sum.saturating_sub(held).max(ahead)))
    }

    fn free_for(&self, account: &BranchAccount, policy: &LedgerPolicy) -> TokenCount {
        let BudgetMode::StaticSplit { entries } = policy.mode else {
            return account.free();
        };
        let share = TokenCount(account.prepaid.0 / u64::from(entries.max(1)));
        let held: TokenCount = self.grants.iter().map(|grant| grant.amount).sum();
        account.free().min(share.saturating_sub(self.spent_closed + held))
    }

    /// Returns the unspent part of all grants but the one to be raised, so that a request covered
    /// by none of them gets a grant that covers it.
    fn return_all_but(&mut self, kept: Option<GrantId>) -> bool {
        let mut shrunk = false;
        for grant in self.grants.iter_mut().filter(|grant| Some(grant.id) != kept) {
            shrunk |= grant.return_all_unspent() > TokenCount::ZERO;
            grant.closing = true;
        }
        shrunk
    }

    /// Returns up to the wanted amount; what is returned isn't reserved from any more.
    pub(crate) fn return_unspent(&mut self, wanted: TokenCount) -> TokenCount {
        let mut given = TokenCount::ZERO;
        for grant in &mut self.grants {
            if given >= wanted {
                break;
            }
            given += grant.return_unspent(wanted.saturating_sub(given));
        }
        self.return_pending |= given > TokenCount::ZERO;
        given
    }

    /// Returns everything.
    pub(crate) fn return_all(&mut self) {
        self.return_all_but(None);
        self.waiting_demand = WaitingDemand::default();
        self.demand = 0.0;
    }

    /// Processes the account as stored at a version.
    pub(crate) fn observe(
        &mut self,
        account: &BranchAccount,
        own: IncarnationId,
        version: StoreRevision,
        now: ClockTime,
    ) {
        let others = account.grants.iter().filter(|(id, _)| id.holder != own);
        let (doubted, others): (Vec<_>, Vec<_>) = others.partition(|(_, record)| record.in_doubt);
        let unsettled = |grants: Vec<(&GrantId, &GrantRecord)>| {
            grants
                .into_iter()
                .map(|(id, record)| (*id, id.holder, record.unsettled_amount()))
                .collect()
        };
        self.snapshot = BookSnapshot {
            free: account.free(),
            other_grants: unsettled(others),
            grants_in_doubt: unsettled(doubted),
            is_known: true,
        };
        // The order matters: a grant that was sealed before this home saw it is added first, then
        // found sealed and returned before anything is reserved from it.
        self.observe_pending(account, version, now);
        self.observe_held(account);
    }

    fn observe_pending(&mut self, account: &BranchAccount, version: StoreRevision, now: ClockTime) {
        for pending in std::mem::take(&mut self.pending) {
            if self.is_held(&pending.id) {
                // For a raise, the grant's own record shows whether it took effect.
                if version <= pending.base {
                    self.pending.push(pending);
                }
                continue;
            }
            match account.grants.get(&pending.id) {
                Some(record) => self.adopt(HeldGrant::new(pending.id, record, version, now)),
                None if version > pending.base => {}
                None => self.pending.push(pending),
            }
        }
    }

    fn adopt(&mut self, new: HeldGrant) {
        self.waiting_demand.subtract_granted(new.amount);
        let crowded = self.grants.len() >= MAX_HELD_GRANTS;
        for (place, grant) in self.grants.iter_mut().enumerate() {
            let remnant = grant.available().0 < new.amount.0 / REMNANT_DIVISOR;
            if !grant.closing && (remnant || (crowded && place == 0)) {
                grant.closing = true;
                grant.return_all_unspent();
            }
        }
        self.grants.push(new);
    }

    fn observe_held(&mut self, account: &BranchAccount) {
        let spent_closed = &mut self.spent_closed;
        let waiting_demand = &mut self.waiting_demand;
        self.grants.retain_mut(|grant| {
            let Some(record) = account.grants.get(&grant.id) else {
                *spent_closed += grant.used;
                return false;
            };
            waiting_demand.subtract_granted(grant.observe(record));
            true
        });
        let is_awaited = |grant: &HeldGrant| !grant.closing && grant.amount < grant.stored_amount;
        self.return_pending &= self.grants.iter().any(is_awaited);
    }

    /// The held grant with that id.
    pub(crate) fn grant_mut(&mut self, id: &GrantId) -> Option<&mut HeldGrant> {
        self.grants.iter_mut().find(|grant| grant.id == *id)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.grants.iter().all(HeldGrant::awaits_release) && self.pending.is_empty()
    }

    pub(crate) fn status(&self, branch: &BranchName) -> SpendStatus {
        let charged = self.grants.iter().flat_map(|grant| grant.unsettled.values().copied()).sum();
        SpendStatus {
            branch: branch.clone(),
            granted: self
                .grants
                .iter()
                .map(|grant| grant.amount.saturating_sub(grant.settled_used()))
                .sum(),
            reserved: self.reserved(),
            charged,
            grants: self.grants.iter().map(HeldGrant::usage).collect(),
        }
    }
}
