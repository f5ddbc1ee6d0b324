//! Lower and upper bounds of a branch's spend at one point in time.
//!
//! The point in time is one read of the branch's book. The read alone gives a
//! lower bound (what is settled) and an upper bound (what is settled, granted
//! or in doubt). The usage that holders of grants report narrows the bounds.
//! But a holder reports at another time than the read, and a charge may be
//! settled in between, so a plain sum would count it twice. Two rules keep the
//! bounds correct:
//!
//! - The use of a grant only grows. Usage that a holder reported *before* the
//!   read is a lower bound at the read; usage reported *after* the read, plus
//!   reservations of running requests, is an upper bound.
//! - Each grant is counted separately. What the book has settled under a grant
//!   and what its holder has used are two views of the same charges, so the
//!   greater of the two counts, never their sum. A grant that the book doesn't
//!   list is closed and already part of the branch's settled total.
//!
//! The holder's usage of a sealed or doubtful grant is ignored, because other
//! instances settle that grant. If a holder doesn't reply, its whole grant may
//! be spent.

use std::collections::HashMap;

use sagespool_ledger::{BookRecord, GrantRecord, SpendBounds};
use sagespool_messages::{GrantUse, StatusReply};
use sagespool_types::{BranchName, GrantId, IncarnationId, TokenCount, derives};

derives! { value;
    /// Lower and upper bound of a number of tokens.
    pub struct TokenRange {
        /// The lower bound.
        pub least: TokenCount,
        /// The upper bound; `None` if it is unknown.
        pub most: Option<TokenCount>,
    }
}

impl TokenRange {
    /// A range with equal bounds.
    pub fn exactly(tokens: TokenCount) -> Self {
        Self { least: tokens, most: Some(tokens) }
    }

    /// A range without an upper bound.
    pub fn at_least(tokens: TokenCount) -> Self {
        Self { least: tokens, most: None }
    }
}

/// Usage that holders reported for their grants in one round of status queries.
#[derive(Debug, Clone, Default)]
pub struct HolderUsage {
    grants_by_holder: HashMap<IncarnationId, HashMap<GrantId, GrantUse>>,
}

impl HolderUsage {
    /// Collects a branch's grant usage from status replies.
    ///
    /// Only usage of the replying incarnation's own grants counts: another incarnation at the same
    /// address can't report on them.
    pub fn of<'a>(branch: &BranchName, replies: impl IntoIterator<Item = &'a StatusReply>) -> Self {
        let mut grants_by_holder: HashMap<IncarnationId, HashMap<GrantId, GrantUse>> =
            HashMap::new();
        for reply in replies {
            let held = grants_by_holder.entry(reply.from).or_default();
            let spend = reply.spend.iter().filter(|status| status.branch == *branch);
            for usage in spend.flat_map(|status| &status.grants) {
                if usage.grant.holder == reply.from {
                    held.insert(usage.grant, usage.clone());
                }
            }
        }
        Self { grants_by_holder }
    }

    fn has_reply(&self, holder: IncarnationId) -> bool {
        self.grants_by_holder.contains_key(&holder)
    }

    fn usage(&self, grant: &GrantId) -> Option<&GrantUse> {
        self.grants_by_holder.get(&grant.holder)?.get(grant)
    }

    fn total_used(&self) -> TokenCount {
        self.grants_by_holder.values().flat_map(HashMap::values).map(|usage| usage.used).sum()
    }
}

/// A branch's spend at the read of its book.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SpendEstimate {
    /// The figures of the book alone, which are exact.
    pub book: SpendBounds,
    /// Bounds of the spend.
    pub spent: TokenRange,
    /// Reservations of running requests under the grants in the book, as their holders reported
    /// after the read.
    pub reserved: TokenRange,
}

impl SpendEstimate {
    /// Combines a read of the book with the usage that holders reported before and after it.
    pub fn combine(
        book: &BookRecord,
        branch: &BranchName,
        before: &HolderUsage,
        after: &HolderUsage,
    ) -> Self {
        let bounds = book.spend(branch).unwrap_or_default();
        let Some(account) = book.branches.get(branch) else {
            let none = TokenRange::exactly(TokenCount::ZERO);
            return Self { book: bounds, spent: none, reserved: none };
        };
        let (mut least, mut most) = (account.settled, account.settled);
        let mut reserved = TokenRange::exactly(TokenCount::ZERO);
        for (grant, record) in &account.grants {
            let is_accounted = !record.is_unaccounted();
            least += used_at_least(record, before.usage(grant).filter(|_| is_accounted));
            let usage_after = after.usage(grant).filter(|_| is_accounted);
            most += used_at_most(record, usage_after);
            let has_reply = is_accounted && after.has_reply(grant.holder);
            reserved = add_reserved(reserved, record, usage_after, has_reply);
        }
        let spent = TokenRange { least, most: Some(most) };
        Self { book: bounds, spent, reserved }
    }

    /// Bounds of the spend if the book can't be read: at least what the holders that replied have
    /// used under their grants.
    pub fn without_book(usage: &HolderUsage) -> TokenRange {
        TokenRange::at_least(usage.total_used())
    }
}

fn used_at_least(record: &GrantRecord, usage: Option<&GrantUse>) -> TokenCount {
    if record.is_unaccounted() {
        return record.settled + record.known_use();
    }
    record.settled.max(usage.map_or(TokenCount::ZERO, |usage| usage.used))
}

fn used_at_most(record: &GrantRecord, usage: Option<&GrantUse>) -> TokenCount {
    let Some(usage) = usage else { return record.amount };
    (usage.used + usage.reserved).max(record.settled).min(record.amount)
}

fn add_reserved(
    sum: TokenRange,
    record: &GrantRecord,
    usage: Option<&GrantUse>,
    has_reply: bool,
) -> TokenRange {
    let (least, most) = match usage {
        Some(usage) => (usage.reserved, usage.reserved),
        // The holder replied without this grant: the grant is closed and no request runs under it.
        None if has_reply => (TokenCount::ZERO, TokenCount::ZERO),
        None => (TokenCount::ZERO, record.unsettled_amount()),
    };
    TokenRange { least: sum.least + least, most: sum.most.map(|sum| sum + most) }
}
