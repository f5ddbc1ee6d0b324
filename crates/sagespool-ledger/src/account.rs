//! One branch's account in a book.

use std::collections::BTreeMap;

use sagespool_types::{
    CommandId, GrantId, IncarnationId, SequenceNumber, StoreRevision, TokenCount, derives,
};

use crate::SequenceSet;

derives! { record;
    /// A grant that is outstanding: its amount isn't free, whatever became of its holder.
    pub struct GrantRecord {
        /// What its holder may spend in all.
        pub amount: TokenCount,
        /// What raises have added to the amount in all; never lowered, so that its holder finds in it
        /// a raise whose answer was lost.
        #[serde(default, skip_serializing_if = "is_zero")]
        pub raised: TokenCount,
        /// What of that is settled.
        #[serde(default)]
        pub settled: TokenCount,
        /// The charges that are settled; each counts once.
        #[serde(default)]
        pub charges: SequenceSet,
        /// The store's revision when the grant was asked for: it was made after this. A sidecar that
        /// started at or before it has seen the grant's whole life.
        pub asked_at: StoreRevision,
        /// Who sealed it, if its holder is believed dead.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub sealed_by: Option<IncarnationId>,
        /// True if not all of it can be accounted for: what isn't settled is in doubt.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        pub in_doubt: bool,
        /// Under a grant in doubt: charges of which some use is known, but whose last attempt's
        /// witness may be lost. They aren't settled; whoever releases the grant settles them so.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub known: Vec<(SequenceNumber, TokenCount)>,
    }
}

fn is_zero(amount: &TokenCount) -> bool {
    *amount == TokenCount::ZERO
}

impl GrantRecord {
    /// Adds to what its holder may spend; the account has checked that so much is free.
    pub(crate) fn raise(&mut self, by: TokenCount) {
        self.amount += by;
        self.raised += by;
    }

    /// What isn't settled.
    pub fn unsettled_amount(&self) -> TokenCount {
        self.amount.less(self.settled)
    }

    /// Settles a charge; false if it is settled already. What is settled never passes the amount.
    pub(crate) fn settle(&mut self, sequence: SequenceNumber, used: TokenCount) -> bool {
        if !self.charges.insert(sequence) {
            return false;
        }
        self.settled = (self.settled + used).min(self.amount);
        true
    }

    /// What is known to be used of what isn't settled.
    pub fn known_use(&self) -> TokenCount {
        let open = self.known.iter().filter(|(sequence, _)| !self.charges.contains(*sequence));
        open.map(|(_, used)| *used).sum::<TokenCount>().min(self.unsettled_amount())
    }

    /// Marks what isn't settled as in doubt, with what is known of it; false if that is known.
    pub(crate) fn doubt(&mut self, known: Vec<(SequenceNumber, TokenCount)>) -> bool {
        if self.in_doubt && self.known == known {
            return false;
        }
        self.in_doubt = true;
        self.known = known;
        true
    }

    /// True if its holder doesn't account for it any more, as far as its book knows.
    pub fn is_unaccounted(&self) -> bool {
        self.in_doubt || self.sealed_by.is_some()
    }
}

derives! { record;
    /// A top-up that was applied.
    pub struct AppliedTopUp {
        /// The command.
        pub command: CommandId,
        /// What it added.
        pub amount: TokenCount,
    }
}

derives! { record;
    /// One branch's account.
    #[derive(Default)]
    pub struct BranchAccount {
        /// All that was ever prepaid.
        pub prepaid: TokenCount,
        /// What closed grants have settled.
        #[serde(default)]
        pub settled: TokenCount,
        /// The newest commands applied, oldest first, so that one repeated changes nothing.
        #[serde(default)]
        pub commands: Vec<AppliedTopUp>,
        /// Outstanding grants.
        #[serde(default)]
        pub grants: BTreeMap<GrantId, GrantRecord>,
    }
}

impl BranchAccount {
    /// What may still be granted.
    pub fn free(&self) -> TokenCount {
        let outstanding: TokenCount = self.grants.values().map(|grant| grant.amount).sum();
        self.prepaid.less(self.settled + outstanding)
    }

    /// What is settled, under closed and outstanding grants.
    pub fn settled_in_all(&self) -> TokenCount {
        self.settled + self.grants.values().map(|grant| grant.settled).sum()
    }

    /// Closes a grant: what it settled stays settled, the rest is free.
    pub(crate) fn close(&mut self, grant: &GrantId) {
        if let Some(record) = self.grants.remove(grant) {
            self.settled += record.settled;
        }
    }
}
