//! The account of one branch in a book.

use std::collections::BTreeMap;

use sagespool_types::{
    CommandId, GrantId, IncarnationId, SequenceNumber, StoreRevision, TokenCount, derives,
};

use crate::SequenceSet;

derives! { record;
    /// An outstanding grant. Its amount isn't free, whether its holder is alive or not.
    pub struct GrantRecord {
        /// Total that the holder may spend.
        pub amount: TokenCount,
        /// Sum of all raises included in the amount. Never lowered, so that the holder detects a
        /// raise whose reply was lost.
        #[serde(default, skip_serializing_if = "is_zero")]
        pub raised: TokenCount,
        /// Settled part of the amount.
        #[serde(default)]
        pub settled: TokenCount,
        /// Settled charges; each counts once.
        #[serde(default)]
        pub charges: SequenceSet,
        /// Store revision at the time of the grant request; the grant was created after it. A
        /// sidecar that started at or before this revision covers the grant's whole lifetime.
        pub asked_at: StoreRevision,
        /// The process that sealed the grant, if the holder is presumed dead.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub sealed_by: Option<IncarnationId>,
        /// True if the use of the unsettled part can't be established completely: that part is in
        /// doubt.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        pub in_doubt: bool,
        /// For a grant in doubt: charges with some reported use whose last attempt may have run at
        /// a lost sidecar. They are not settled until an operator releases the grant, which settles
        /// them at these amounts.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub known: Vec<(SequenceNumber, TokenCount)>,
    }
}

fn is_zero(amount: &TokenCount) -> bool {
    *amount == TokenCount::ZERO
}

impl GrantRecord {
    /// Raises the amount; the account has checked that this much is free.
    pub(crate) fn raise(&mut self, by: TokenCount) {
        self.amount += by;
        self.raised += by;
    }

    /// The amount less what is settled.
    pub fn unsettled_amount(&self) -> TokenCount {
        self.amount.saturating_sub(self.settled)
    }

    /// Settles a charge; false if it is settled already. The settled sum is capped at the amount.
    pub(crate) fn settle(&mut self, sequence: SequenceNumber, used: TokenCount) -> bool {
        if !self.charges.insert(sequence) {
            return false;
        }
        self.settled = (self.settled + used).min(self.amount);
        true
    }

    /// Reported use of charges that are not settled, capped at the unsettled amount.
    pub fn known_use(&self) -> TokenCount {
        let open = self.known.iter().filter(|(sequence, _)| !self.charges.contains(*sequence));
        open.map(|(_, used)| *used).sum::<TokenCount>().min(self.unsettled_amount())
    }

    /// Marks the unsettled part as in doubt and records its reported use; false if both are
    /// recorded already.
    pub(crate) fn mark_in_doubt(&mut self, known: Vec<(SequenceNumber, TokenCount)>) -> bool {
        if self.in_doubt && self.known == known {
            return false;
        }
        self.in_doubt = true;
        self.known = known;
        true
    }

    /// True if, as far as the book shows, the holder no longer accounts for the grant.
    pub fn is_unaccounted(&self) -> bool {
        self.in_doubt || self.sealed_by.is_some()
    }
}

derives! { record;
    /// An applied top-up command.
    pub struct AppliedTopUp {
        /// Makes a repeated top-up idempotent.
        pub command: CommandId,
        /// Tokens that it added.
        pub amount: TokenCount,
    }
}

derives! { record;
    /// The account of one branch.
    #[derive(Default)]
    pub struct BranchAccount {
        /// Sum of all top-ups.
        pub prepaid: TokenCount,
        /// Settled under closed grants.
        #[serde(default)]
        pub settled: TokenCount,
        /// The most recent top-up commands, oldest first, so that a repeated command changes
        /// nothing.
        #[serde(default)]
        pub commands: Vec<AppliedTopUp>,
        /// Grants that aren't closed.
        #[serde(default)]
        pub grants: BTreeMap<GrantId, GrantRecord>,
    }
}

impl BranchAccount {
    /// Tokens that can still be granted.
    pub fn free(&self) -> TokenCount {
        let outstanding: TokenCount = self.grants.values().map(|grant| grant.amount).sum();
        self.prepaid.saturating_sub(self.settled + outstanding)
    }

    /// Settled under closed and outstanding grants.
    pub fn total_settled(&self) -> TokenCount {
        self.settled + self.grants.values().map(|grant| grant.settled).sum()
    }

    /// Closes a grant: its settled part stays settled, the remainder becomes free.
    pub(crate) fn close(&mut self, grant: &GrantId) {
        if let Some(record) = self.grants.remove(grant) {
            self.settled += record.settled;
        }
    }
}
