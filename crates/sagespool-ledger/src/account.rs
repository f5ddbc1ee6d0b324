//! One branch's account in a book.

use std::collections::BTreeMap;

use sagespool_types::{CommandId, GrantId, IncarnationId, StoreRevision, TokenCount, derives};

use crate::SequenceSet;

derives! { record;
    /// A grant that is outstanding: its amount isn't free, whatever became of its holder.
    pub struct GrantRecord {
        /// What its holder may spend in all.
        pub amount: TokenCount,
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
        /// True if the sealer couldn't account for all of it: what isn't settled is in doubt.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        pub in_doubt: bool,
    }
}

impl GrantRecord {
    /// What isn't settled.
    pub fn rest(&self) -> TokenCount {
        self.amount.less(self.settled)
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
