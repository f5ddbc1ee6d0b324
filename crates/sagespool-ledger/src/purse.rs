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

/// Part of a branch's remaining budget that only one class may use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClassHoldback {
    /// The class.
    pub class: ClassName,
    /// How much is kept for it.
    pub tokens: TokenCount,
}

/// A reservation that nobody will report on any more: sidecars have to be asked what ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrphanCharge {
    /// The branch.
    pub branch: BranchName,
    /// The charge.
    pub charge: ChargeId,
    /// The request.
    pub request: RequestId,
    /// A revision of the store before anything could run under the charge.
    pub since: StoreRevision,
}

/// A grant, or a raise of one, that a write asked for whose outcome may not be known.
#[derive(Debug, Clone, Copy)]
struct AskedGrant {
    id: GrantId,
    /// The book's version that the write was based on. Once the book has a later one, a write that
    /// was still on its way can't take effect any more.
    base: StoreRevision,
}

/// When a write of a book is being made up.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AskMoment {
    /// The book's version that the write is conditional on.
    pub(crate) base: StoreRevision,
    /// The newest revision of the whole store seen.
    pub(crate) seen: StoreRevision,
    pub(crate) now: ClockTime,
    /// True if nothing new is wanted any more.
    pub(crate) leaving: bool,
}

/// What requests wait for.
#[derive(Debug, Clone, Default)]
struct WaitingNeed {
    /// The amounts, each with when it was last asked for. One sum wouldn't do: a grant that covers
    /// the least of them may cover no other.
    amounts: BTreeMap<TokenCount, ClockTime>,
    /// What they ask for together, less what was granted since; nobody waits once it is zero.
    sum: TokenCount,
}

impl WaitingNeed {
    fn note(&mut self, amount: TokenCount, now: ClockTime) {
        self.amounts.retain(|_, at| now.since(*at) < NEED_LASTS);
        if self.amounts.is_empty() || self.sum == TokenCount::ZERO {
            self.amounts.clear();
            self.sum = TokenCount::ZERO;
        }
        if self.amounts.len() >= MOST_AMOUNTS {
            self.amounts.pop_first();
        }
        self.amounts.insert(amount, now);
        self.sum += amount;
    }

    fn took(&mut self, amount: TokenCount) {
        self.sum = self.sum.less(amount);
    }

    /// The amounts that requests wait for now, the least first.
    fn waiting(&self, now: ClockTime) -> impl DoubleEndedIterator<Item = TokenCount> + '_ {
        let some_wait = self.sum > TokenCount::ZERO;
        let fresh = move |at: &ClockTime| some_wait && now.since(*at) < NEED_LASTS;
        let fresh = self.amounts.iter().filter(move |(_, at)| fresh(at));
        fresh.map(|(amount, _)| *amount)
    }
}

/// The book's word on the branch, as last read.
#[derive(Debug, Clone, Default)]
pub(crate) struct BookView {
    pub(crate) free: TokenCount,
    pub(crate) other_grants: Vec<(GrantId, IncarnationId, TokenCount)>,
    pub(crate) grants_in_doubt: Vec<(GrantId, IncarnationId, TokenCount)>,
    pub(crate) seen: bool,
}

/// Waiting requests repeat their need at least this often.
const NEED_LASTS: Duration = Duration::from_secs(2);
/// Different amounts that requests wait for, before the least is left to ask again.
const MOST_AMOUNTS: usize = 64;
/// Grants held of one branch before the oldest is handed back.
const MOST_GRANTS: usize = 6;
/// A grant with less than this part of a new one left is handed back.
const REMNANT_PART: u64 = 8;

/// What a home holds of one branch's budget.
#[derive(Debug, Default)]
pub(crate) struct BranchPurse {
    /// Oldest first.
    pub(crate) grants: Vec<HeldGrant>,
    asked: Vec<AskedGrant>,
    pub(crate) view: BookView,
    pub(crate) held_back: Vec<ClassHoldback>,
    need: WaitingNeed,
    /// True from when something was given back until the book shows it.
    has_given_back: bool,
    demand: f64,
    demand_at: ClockTime,
    /// Spent under grants that are closed, for the static split.
    spent_closed: TokenCount,
}

impl BranchPurse {
    /// What new requests may reserve.
    pub(crate) fn available(&self) -> TokenCount {
        self.grants.iter().map(HeldGrant::available).sum()
    }

    fn unspent(&self) -> TokenCount {
        self.grants.iter().map(HeldGrant::unspent).sum()
    }

    /// What running requests hold and may give back.
    pub(crate) fn reserved(&self) -> TokenCount {
        self.grants.iter().map(|grant| grant.reserved).sum()
    }

    /// What running requests may give back. A charge whose witness is lost gives nothing back: a
    /// request that waited for it would be refused at its deadline instead of at once.
    pub(crate) fn returnable(&self) -> TokenCount {
        self.grants.iter().map(HeldGrant::returnable).sum()
    }

    /// What is kept from a class for the others.
    fn kept_from(&self, class: &ClassName) -> TokenCount {
        self.held_back.iter().filter(|held| held.class != *class).map(|held| held.tokens).sum()
    }

    /// What a request of the class lacks of what this home could ever hand out now; zero if only the
    /// store has to be asked.
    pub(crate) fn missing(&self, class: &ClassName, amount: TokenCount) -> TokenCount {
        let remaining = self.view.free + self.unspent();
        (amount + self.kept_from(class)).less(remaining)
    }

    /// Whether some grant covers an amount now.
    pub(crate) fn covers(&self, class: &ClassName, amount: TokenCount) -> bool {
        self.missing(class, amount) == TokenCount::ZERO
            && self.grants.iter().any(|grant| grant.available() >= amount)
    }

    /// Why an amount isn't covered.
    pub(crate) fn short(&self, class: &ClassName, amount: TokenCount) -> BudgetShortfall {
        BudgetShortfall {
            missing: self.missing(class, amount),
            returnable: self.returnable(),
            book_free: self.view.seen.then_some(self.view.free),
            other_grants: self.view.other_grants.clone(),
            grants_in_doubt: self.view.grants_in_doubt.clone(),
        }
    }

    /// Holds an amount from the oldest grant that covers it.
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

    /// Demand is a decaying sum; over its mean life it gives the rate.
    fn note_demand(&mut self, amount: TokenCount, policy: &LedgerPolicy, now: ClockTime) {
        self.demand = self.demand_now(policy, now) + amount.0 as f64;
        self.demand_at = now;
    }

    /// What the present demand will use within the time that grants should last.
    fn target(&self, policy: &LedgerPolicy, now: ClockTime) -> TokenCount {
        let mean_life = policy.demand_half_life.as_secs_f64() / std::f64::consts::LN_2;
        let rate = self.demand_now(policy, now) / mean_life;
        TokenCount((rate * policy.grant_ahead.as_secs_f64()) as u64)
    }

    /// Notes that a request waits for a grant.
    pub(crate) fn note_need(&mut self, amount: TokenCount, now: ClockTime) {
        self.need.note(amount, now);
    }

    /// True if a write would bring something, apart from waiting requests, who ask by themselves.
    pub(crate) fn wants_write(&self, policy: &LedgerPolicy, now: ClockTime) -> bool {
        let to_settle = self.grants.iter().any(|grant| !grant.unsettled.is_empty());
        let to_close = self.grants.iter().any(|grant| grant.is_done() && !grant.is_left_in_doubt());
        let to_return = self.grants.iter().any(|grant| grant.amount < grant.stored_amount);
        let to_find = !self.asked.is_empty();
        to_settle || to_close || to_return || to_find || self.runs_low(policy, now)
    }

    /// True if the grants last for less than half the time they should, and the book has more.
    pub(crate) fn runs_low(&self, policy: &LedgerPolicy, now: ClockTime) -> bool {
        if policy.mode != BudgetMode::Escrow {
            return false;
        }
        // Near the end of a budget little would be won by each of many writes: what is left is asked
        // for once a request needs it.
        let half = self.target(policy, now).0 / 2;
        self.available().0 < half && self.view.free.0 >= half
    }

    /// Marks grants that nobody has used for long, to be handed back.
    pub(crate) fn retire_idle(&mut self, policy: &LedgerPolicy, now: ClockTime) {
        for grant in &mut self.grants {
            let idle = grant.open.is_empty() && now.since(grant.last_used) >= policy.idle_after;
            if idle && !grant.closing {
                grant.closing = true;
                grant.shrink();
            }
        }
    }

    /// Puts what this home wants into the account as just read; true if that changed it. Doing so
    /// again, on an account where an earlier write took effect unknown to this home, changes nothing
    /// twice: charges are found by number, grants by id, amounts only ever go down.
    pub(crate) fn apply(
        &mut self,
        account: &mut BranchAccount,
        asking: AskMoment,
        policy: &LedgerPolicy,
        new_id: &mut dyn FnMut() -> GrantId,
    ) -> bool {
        let AskMoment { base, seen, now, leaving } = asking;
        let mut changed = self.apply_held(account);
        changed |= self.awaits_write(base);
        // What is given back is taken by nobody here before the book has shown it to the home that
        // asked: else the same write takes it again, for a request that waits or was just refused,
        // and the other home refuses its own for a budget that isn't spent.
        if leaving || self.has_given_back {
            return changed;
        }
        let raisable = self.raisable(account, policy);
        let Some((least, aim)) = self.wish(account, raisable, policy, now) else {
            return changed;
        };
        if self.free_for(account, policy) < least && self.shrink_all_but(raisable) {
            changed |= self.apply_held(account);
        }
        let free = self.free_for(account, policy);
        if free < least || free == TokenCount::ZERO {
            return changed;
        }
        let amount = aim.min(free).max(least);
        let record = raisable.and_then(|id| account.grants.get_mut(&id));
        if let (Some(id), Some(record)) = (raisable, record) {
            self.note_asked(AskedGrant { id, base });
            record.raise(amount);
            return true;
        }
        let asked = self.asked.iter().find(|asked| asked.base == base && !self.is_held(&asked.id));
        let id = asked.map_or_else(new_id, |asked| asked.id);
        self.note_asked(AskedGrant { id, base });
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

    /// True if a write of this home that was based on the book's present version may still be on its
    /// way. Its grant would take effect with nobody left who knows of it, and its amount would be
    /// neither spent nor returned. A write that changes nothing but the version makes it fail.
    fn awaits_write(&self, base: StoreRevision) -> bool {
        self.asked.iter().any(|asked| asked.base == base)
    }

    fn is_held(&self, id: &GrantId) -> bool {
        self.grants.iter().any(|grant| grant.id == *id)
    }

    fn note_asked(&mut self, new: AskedGrant) {
        let known = self.asked.iter().any(|asked| asked.id == new.id && asked.base == new.base);
        if !known {
            self.asked.push(new);
        }
    }

    /// The held grant to raise instead of taking another. Remnants of many grants would cover no
    /// request near a budget's end, and each would be handed back by a write of its own.
    ///
    /// One that is sealed or in doubt isn't raised: its holder doesn't account for it any more. Its
    /// revision stays as it was, so a sidecar that started since refuses the raised part as well.
    fn raisable(&self, account: &BranchAccount, policy: &LedgerPolicy) -> Option<GrantId> {
        if policy.mode != BudgetMode::Escrow {
            return None;
        }
        let grant = self.grants.iter().rev().find(|grant| !grant.closing)?;
        let record = account.grants.get(&grant.id)?;
        (!record.is_unaccounted()).then_some(grant.id)
    }

    /// True if a write of the account now would give waiting requests what they lack, or end the
    /// doubt about an earlier write. Others can wait for their turn: a request that nothing can pay
    /// for costs no write.
    pub(crate) fn gains(
        &self,
        account: &BranchAccount,
        base: StoreRevision,
        policy: &LedgerPolicy,
        now: ClockTime,
    ) -> bool {
        if self.awaits_write(base) {
            return true;
        }
        if self.need.waiting(now).next().is_none() {
            return false;
        }
        let raisable = self.raisable(account, policy);
        let Some((least, _)) = self.wish(account, raisable, policy, now) else {
            return false;
        };
        let kept = |grant: &&HeldGrant| Some(grant.id) != raisable;
        let unspent: TokenCount = self.grants.iter().filter(kept).map(HeldGrant::unspent).sum();
        let lowered: TokenCount =
            self.grants.iter().map(|grant| grant.stored_amount.less(grant.amount)).sum();
        let free = self.free_for(account, policy);
        free + unspent + lowered >= least && least > TokenCount::ZERO
    }

    fn apply_held(&self, account: &mut BranchAccount) -> bool {
        let mut changed = false;
        for grant in &self.grants {
            let Some(record) = account.grants.get_mut(&grant.id) else {
                continue;
            };
            changed |= grant.settle_into(record);
            if !grant.is_done() {
                continue;
            }
            if !grant.open.is_empty() {
                changed |= record.doubt(grant.known_uses());
                continue;
            }
            account.close(&grant.id);
            changed = true;
        }
        changed
    }

    /// The least that helps and what is aimed at, if a grant is wanted.
    fn wish(
        &self,
        account: &BranchAccount,
        raisable: Option<GrantId>,
        policy: &LedgerPolicy,
        now: ClockTime,
    ) -> Option<(TokenCount, TokenCount)> {
        if policy.mode == BudgetMode::EachRequest {
            return self.need.waiting(now).next().map(|least| (least, least));
        }
        let lacking = self.target(policy, now).less(self.available());
        let free = account.free();
        // Half of what is free at most is taken ahead, so that another home finds some as well.
        let half = TokenCount(free.0 / 2);
        let held = self.grants.iter().find(|grant| Some(grant.id) == raisable);
        let held = held.map_or(TokenCount::ZERO, HeldGrant::available);
        let least = self.need.waiting(now).find(|amount| *amount > held);
        let (Some(least), Some(most)) = (least, self.need.waiting(now).next_back()) else {
            let low = self.runs_low(policy, now);
            return low.then_some((TokenCount(1), lacking.min(half)));
        };
        let wanted = lacking.max(TokenCount(most.0.saturating_mul(policy.grant_requests)));
        // The last of a budget is taken whole: halves of it would cost a write each.
        let last = policy.grant_requests > 1 && free <= wanted;
        let ahead = if last { free } else { wanted.min(half) };
        Some((least.less(held), self.need.sum.less(held).max(ahead)))
    }

    fn free_for(&self, account: &BranchAccount, policy: &LedgerPolicy) -> TokenCount {
        let BudgetMode::StaticSplit { entries } = policy.mode else {
            return account.free();
        };
        let share = TokenCount(account.prepaid.0 / u64::from(entries.max(1)));
        let held: TokenCount = self.grants.iter().map(|grant| grant.amount).sum();
        account.free().min(share.less(self.spent_closed + held))
    }

    /// Gives all unspent parts back but that of the grant to be raised, so that a request that none
    /// of them covers gets one that does.
    fn shrink_all_but(&mut self, kept: Option<GrantId>) -> bool {
        let mut shrunk = false;
        for grant in self.grants.iter_mut().filter(|grant| Some(grant.id) != kept) {
            shrunk |= grant.shrink() > TokenCount::ZERO;
            grant.closing = true;
        }
        shrunk
    }

    /// Gives back up to what is wanted; what was given back isn't reserved from any more.
    pub(crate) fn return_unspent(&mut self, wanted: TokenCount) -> TokenCount {
        let mut given = TokenCount::ZERO;
        for grant in &mut self.grants {
            if given >= wanted {
                break;
            }
            given += grant.return_unspent(wanted.less(given));
        }
        self.has_given_back |= given > TokenCount::ZERO;
        given
    }

    /// Hands everything back.
    pub(crate) fn return_all(&mut self) {
        self.shrink_all_but(None);
        self.need = WaitingNeed::default();
        self.demand = 0.0;
    }

    /// Takes in the account as it is in the store at a version.
    pub(crate) fn observe(
        &mut self,
        account: &BranchAccount,
        own: IncarnationId,
        version: StoreRevision,
        now: ClockTime,
    ) {
        let others = account.grants.iter().filter(|(id, _)| id.holder != own);
        let (doubted, others): (Vec<_>, Vec<_>) = others.partition(|(_, record)| record.in_doubt);
        let rests = |grants: Vec<(&GrantId, &GrantRecord)>| {
            grants
                .into_iter()
                .map(|(id, record)| (*id, id.holder, record.unsettled_amount()))
                .collect()
        };
        self.view = BookView {
            free: account.free(),
            other_grants: rests(others),
            grants_in_doubt: rests(doubted),
            seen: true,
        };
        // In this order: a grant that was sealed before this home heard of it is taken in, found
        // sealed, and handed back without anything having been reserved from it.
        self.observe_asked(account, version, now);
        self.observe_held(account);
    }

    fn observe_asked(&mut self, account: &BranchAccount, version: StoreRevision, now: ClockTime) {
        for asked in std::mem::take(&mut self.asked) {
            if self.is_held(&asked.id) {
                // A raise: the grant's own record tells whether it took effect.
                if version <= asked.base {
                    self.asked.push(asked);
                }
                continue;
            }
            match account.grants.get(&asked.id) {
                Some(record) => self.adopt(HeldGrant::new(asked.id, record, version, now)),
                None if version > asked.base => {}
                None => self.asked.push(asked),
            }
        }
    }

    fn adopt(&mut self, new: HeldGrant) {
        self.need.took(new.amount);
        let crowded = self.grants.len() >= MOST_GRANTS;
        for (place, grant) in self.grants.iter_mut().enumerate() {
            let remnant = grant.available().0 < new.amount.0 / REMNANT_PART;
            if !grant.closing && (remnant || (crowded && place == 0)) {
                grant.closing = true;
                grant.shrink();
            }
        }
        self.grants.push(new);
    }

    fn observe_held(&mut self, account: &BranchAccount) {
        let spent_closed = &mut self.spent_closed;
        let need = &mut self.need;
        self.grants.retain_mut(|grant| {
            let Some(record) = account.grants.get(&grant.id) else {
                *spent_closed += grant.used;
                return false;
            };
            need.took(grant.observe(record));
            true
        });
        let is_awaited = |grant: &HeldGrant| !grant.closing && grant.amount < grant.stored_amount;
        self.has_given_back &= self.grants.iter().any(is_awaited);
    }

    /// The held grant of that id.
    pub(crate) fn grant_mut(&mut self, id: &GrantId) -> Option<&mut HeldGrant> {
        self.grants.iter_mut().find(|grant| grant.id == *id)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.grants.iter().all(HeldGrant::is_left_in_doubt) && self.asked.is_empty()
    }

    pub(crate) fn status(&self, branch: &BranchName) -> SpendStatus {
        let charged = self.grants.iter().flat_map(|grant| grant.unsettled.values().copied()).sum();
        SpendStatus {
            branch: branch.clone(),
            granted: self.grants.iter().map(|grant| grant.amount.less(grant.settled_used())).sum(),
            reserved: self.reserved(),
            charged,
            grants: self.grants.iter().map(HeldGrant::usage).collect(),
        }
    }
}
