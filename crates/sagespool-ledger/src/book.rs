//! Books: the store's objects that hold the accounts.

use std::collections::BTreeMap;

use sagespool_types::{
    BookNumber, BranchName, ChargeId, CommandId, GrantId, IncarnationId, TokenCount, derives,
};
use twox_hash::XxHash3_64;

use crate::account::AppliedTopUp;
use crate::{BranchAccount, GrantRecord, RecoveryVerdict};

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
    /// The grant isn't in doubt: its holder accounts for it.
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
    /// Outstanding under grants that nobody accounts for: sealed and being recovered, or with a
    /// witness lost.
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
            if grant.is_unaccounted() {
                bounds.settled += grant.known_use();
                bounds.in_doubt += grant.unsettled_amount().less(grant.known_use());
            } else {
                bounds.granted += grant.unsettled_amount();
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
        self.grants_where(|grant, _| dead(grant.holder))
    }

    /// The grants that a process has to seal: their holder is dead, and nobody who lives recovers
    /// them yet. Those in doubt wait for an operator.
    pub fn grants_to_seal(
        &self,
        dead: impl Fn(IncarnationId) -> bool,
    ) -> Vec<(BranchName, GrantId)> {
        self.grants_where(|grant, record| {
            let recovered = record.sealed_by.is_some_and(|sealer| !dead(sealer));
            dead(grant.holder) && !recovered && !record.in_doubt
        })
    }

    /// The grants that a process has sealed and has to account for.
    pub fn grants_sealed_by(&self, own: IncarnationId) -> Vec<(BranchName, GrantId)> {
        self.grants_where(|_, record| record.sealed_by == Some(own) && !record.in_doubt)
    }

    fn grants_where(
        &self,
        fits: impl Fn(&GrantId, &GrantRecord) -> bool,
    ) -> Vec<(BranchName, GrantId)> {
        let mut found = Vec::new();
        for (branch, account) in &self.branches {
            let grants = account.grants.iter().filter(|(grant, record)| fits(grant, record));
            found.extend(grants.map(|(grant, _)| (branch.clone(), *grant)));
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
        let record = self.grant_mut(branch, &charge.grant);
        record.is_some_and(|record| record.settle(charge.sequence, used))
    }

    /// True if a charge that ran is settled here: by its number, or with its whole grant, which is
    /// closed and gone.
    pub fn is_settled(&self, branch: &BranchName, charge: &ChargeId) -> bool {
        let account = self.branches.get(branch);
        let grant = account.and_then(|account| account.grants.get(&charge.grant));
        grant.is_none_or(|record| record.charges.contains(charge.sequence))
    }

    /// Closes a sealed grant whose every charge is settled; false if it is closed already, or in
    /// doubt: what a lost witness ran doesn't become known by asking the others again.
    pub fn close(&mut self, branch: &BranchName, grant: &GrantId) -> bool {
        let Some(account) = self.branches.get_mut(branch) else {
            return false;
        };
        let closable = account.grants.get(grant).is_some_and(|record| !record.in_doubt);
        if closable {
            account.close(grant);
        }
        closable
    }

    /// Marks what is left of a sealed grant as in doubt; false if it is marked already.
    pub fn doubt(&mut self, branch: &BranchName, grant: &GrantId) -> bool {
        let record = self.grant_mut(branch, grant);
        record.is_some_and(|record| record.doubt(record.known.clone()))
    }

    /// Does what the recovery of a sealed grant came to; false if that changes nothing.
    pub fn apply_recovery(
        &mut self,
        branch: &BranchName,
        grant: &GrantId,
        verdict: &RecoveryVerdict,
    ) -> bool {
        let Some(record) = self.grant_mut(branch, grant) else {
            return false;
        };
        let changed = match verdict {
            RecoveryVerdict::Close(settled) | RecoveryVerdict::Wait(settled) => {
                let new =
                    settled.iter().filter(|(charge, used)| record.settle(charge.sequence, *used));
                new.count() > 0
            }
            RecoveryVerdict::InDoubt(known) => {
                let known = known.iter().map(|(charge, used)| (charge.sequence, *used));
                record.doubt(known.collect())
            }
        };
        let closed = matches!(verdict, RecoveryVerdict::Close(_)) && self.close(branch, grant);
        changed || closed
    }

    /// Releases what nobody accounts for under a grant, by an operator's explicit order: the operator
    /// vouches that nothing else than what is known ran, or will run, under it.
    pub fn release(&mut self, branch: &BranchName, grant: &GrantId) -> ReleaseOutcome {
        let Some(account) = self.branches.get_mut(branch) else {
            return ReleaseOutcome::NoSuchGrant;
        };
        let Some(record) = account.grants.get(grant) else {
            return ReleaseOutcome::NoSuchGrant;
        };
        if !record.is_unaccounted() {
            return ReleaseOutcome::NotInDoubt;
        }
        let known = record.known_use();
        let rest = record.unsettled_amount().less(known);
        account.settled += known;
        account.close(grant);
        ReleaseOutcome::Released(rest)
    }
}
