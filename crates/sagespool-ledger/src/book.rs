//! Books: the store's objects that hold the accounts.

use std::collections::BTreeMap;

use sagespool_types::{
    BookNumber, BranchName, ChargeId, CommandId, GrantId, IncarnationId, TokenCount, derives,
};
use twox_hash::XxHash3_64;

use crate::account::AppliedTopUp;
use crate::{BranchAccount, GrantRecord};

/// The number of books; fixed, since changing it would move branches between objects.
pub const BOOK_COUNT: u64 = 64;

/// Commands remembered for each branch. A command repeated after so many later ones of the same
/// branch would be applied again; the command line repeats one within a minute.
const COMMANDS_KEPT: usize = 32;

/// The book that holds a branch's account.
pub fn book_of(branch: &BranchName) -> BookNumber {
    BookNumber(XxHash3_64::oneshot(branch.as_str().as_bytes()) % BOOK_COUNT)
}

/// The key of a book's object in the store.
pub fn book_key(book: BookNumber) -> String {
    format!("books/{book}")
}

derives! { record;
    /// The store's object of a book. Every change to it is one conditional update.
    #[derive(Default)]
    pub struct BookRecord {
        /// The accounts.
        pub branches: BTreeMap<BranchName, BranchAccount>,
    }
}

/// What became of a top-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TopUpOutcome {
    /// It was added.
    Applied,
    /// The same command was applied before; nothing changed.
    AlreadyApplied,
    /// The same command id came with another amount; nothing changed.
    OtherAmount {
        /// The amount that was applied.
        applied: TokenCount,
    },
}

/// What became of an order to release what is in doubt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseOutcome {
    /// The grant is closed and its rest is free.
    Released(TokenCount),
    /// There is no such grant; it was released, or settled, before.
    NoSuchGrant,
    /// The grant isn't in doubt: its holder, or its recovery, still accounts for it.
    NotInDoubt,
}

/// What is known of a branch's spend from its book alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SpendBounds {
    /// All that was prepaid.
    pub prepaid: TokenCount,
    /// Settled: the spend is at least this.
    pub settled: TokenCount,
    /// Outstanding under grants of holders that account for it: the spend is at most this more.
    pub granted: TokenCount,
    /// Outstanding under grants nobody can account for.
    pub in_doubt: TokenCount,
    /// Free to be granted.
    pub free: TokenCount,
}

impl BookRecord {
    /// Adds prepaid tokens; a command applied before changes nothing.
    pub fn top_up(
        &mut self,
        command: CommandId,
        branch: &BranchName,
        amount: TokenCount,
    ) -> TopUpOutcome {
        let account = self.branches.entry(branch.clone()).or_default();
        let applied = account.commands.iter().find(|applied| applied.command == command);
        if let Some(applied) = applied {
            if applied.amount == amount {
                return TopUpOutcome::AlreadyApplied;
            }
            return TopUpOutcome::OtherAmount { applied: applied.amount };
        }
        account.prepaid += amount;
        account.commands.push(AppliedTopUp { command, amount });
        if account.commands.len() > COMMANDS_KEPT {
            account.commands.remove(0);
        }
        TopUpOutcome::Applied
    }

    /// What may still be granted of a branch's budget.
    pub fn free(&self, branch: &BranchName) -> TokenCount {
        self.branches.get(branch).map_or(TokenCount::ZERO, BranchAccount::free)
    }

    /// What the book alone says of a branch's spend.
    pub fn spend(&self, branch: &BranchName) -> Option<SpendBounds> {
        let account = self.branches.get(branch)?;
        let mut bounds = SpendBounds {
            prepaid: account.prepaid,
            settled: account.settled_in_all(),
            free: account.free(),
            ..SpendBounds::default()
        };
        for grant in account.grants.values() {
            if grant.in_doubt {
                bounds.in_doubt += grant.rest();
            } else {
                bounds.granted += grant.rest();
            }
        }
        Some(bounds)
    }

    fn grant_mut(&mut self, branch: &BranchName, grant: &GrantId) -> Option<&mut GrantRecord> {
        self.branches.get_mut(branch)?.grants.get_mut(grant)
    }

    /// The outstanding grants whose holder is dead.
    pub fn outstanding_of(
        &self,
        dead: impl Fn(IncarnationId) -> bool,
    ) -> Vec<(BranchName, GrantId)> {
        let mut found = Vec::new();
        for (branch, account) in &self.branches {
            let grants = account.grants.keys().filter(|grant| dead(grant.holder));
            found.extend(grants.map(|grant| (branch.clone(), *grant)));
        }
        found
    }

    /// Marks a grant as sealed; false if it is gone, or sealed by the same already.
    ///
    /// The mark is durable before any sidecar is told. A holder that was only paused reads it before
    /// it takes the grant's revision for proven, and a sidecar that starts later refuses the grant as
    /// older than itself: between them no place is left where it could still be spent unseen.
    pub fn seal(&mut self, branch: &BranchName, grant: &GrantId, by: IncarnationId) -> bool {
        let Some(record) = self.grant_mut(branch, grant) else {
            return false;
        };
        if record.sealed_by == Some(by) {
            return false;
        }
        record.sealed_by = Some(by);
        true
    }

    /// Settles a charge of an outstanding grant; false if it is settled already or its grant is
    /// closed. What is settled never passes the grant's amount.
    pub fn settle(&mut self, branch: &BranchName, charge: &ChargeId, used: TokenCount) -> bool {
        let Some(record) = self.grant_mut(branch, &charge.grant) else {
            return false;
        };
        if !record.charges.insert(charge.sequence) {
            return false;
        }
        record.settled = (record.settled + used).min(record.amount);
        true
    }

    /// True if a charge that ran is settled here: by its number, or with its whole grant, which is
    /// closed and gone.
    pub fn is_settled(&self, branch: &BranchName, charge: &ChargeId) -> bool {
        let account = self.branches.get(branch);
        let grant = account.and_then(|account| account.grants.get(&charge.grant));
        grant.is_none_or(|record| record.charges.contains(charge.sequence))
    }

    /// Closes a grant whose every charge is settled; false if it is closed already.
    pub fn close(&mut self, branch: &BranchName, grant: &GrantId) -> bool {
        let Some(account) = self.branches.get_mut(branch) else {
            return false;
        };
        let found = account.grants.contains_key(grant);
        account.close(grant);
        found
    }

    /// Marks what is left of a sealed grant as in doubt; false if it is marked already.
    pub fn doubt(&mut self, branch: &BranchName, grant: &GrantId) -> bool {
        let Some(record) = self.grant_mut(branch, grant) else {
            return false;
        };
        !std::mem::replace(&mut record.in_doubt, true)
    }

    /// Releases what is in doubt under a grant, by an operator's explicit order: the operator vouches
    /// that nothing unaccounted ran under it.
    pub fn release(&mut self, branch: &BranchName, grant: &GrantId) -> ReleaseOutcome {
        let Some(record) = self.grant_mut(branch, grant) else {
            return ReleaseOutcome::NoSuchGrant;
        };
        if !record.in_doubt {
            return ReleaseOutcome::NotInDoubt;
        }
        let rest = record.rest();
        self.close(branch, grant);
        ReleaseOutcome::Released(rest)
    }
}
