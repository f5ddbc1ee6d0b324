//! Books: the store objects that contain the branch accounts.

use std::collections::BTreeMap;

use sagespool_types::{
    BookNumber, BranchName, ChargeId, CommandId, GrantId, IncarnationId, TokenCount, derives,
};
use twox_hash::XxHash3_64;

use crate::account::AppliedTopUp;
use crate::{BranchAccount, GrantRecord, RecoveryVerdict};

/// Number of books. Fixed: another number would move branches between objects.
pub const BOOK_COUNT: u64 = 64;

/// Top-up commands kept for each branch. A command repeated after this many later commands of the
/// same branch would be applied again; the command line repeats a command within a minute.
const MAX_KEPT_COMMANDS: usize = 32;

/// The book that contains a branch's account.
pub fn book_of(branch: &BranchName) -> BookNumber {
    BookNumber(XxHash3_64::oneshot(branch.as_str().as_bytes()) % BOOK_COUNT)
}

/// The store key of a book.
pub fn book_key(book: BookNumber) -> String {
    format!("books/{book}")
}

derives! { record;
    /// A book as stored. Every change is one conditional update.
    #[derive(Default)]
    pub struct BookRecord {
        /// The accounts, by branch.
        pub branches: BTreeMap<BranchName, BranchAccount>,
    }
}

/// The result of a top-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TopUpOutcome {
    /// The amount was added.
    Applied,
    /// The same command was applied before; nothing changed.
    AlreadyApplied,
    /// The same command id was applied before with another amount; nothing changed.
    OtherAmount {
        /// The amount that was applied.
        applied: TokenCount,
    },
}

/// The result of an operator's order to release a grant in doubt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseOutcome {
    /// The grant is closed; this much of it became free.
    Released(TokenCount),
    /// There is no such grant: it was released or settled before.
    NoSuchGrant,
    /// The grant isn't in doubt: its holder accounts for it.
    NotInDoubt,
}

/// Bounds on a branch's spend, derived from its book alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SpendBounds {
    /// Sum of all top-ups.
    pub prepaid: TokenCount,
    /// Lower bound of the spend.
    pub settled: TokenCount,
    /// Unsettled under grants whose holders account for them: the spend may be higher by this much.
    pub granted: TokenCount,
    /// Unsettled under grants that no process accounts for: sealed and in recovery, or with a lost
    /// sidecar that may have run charges.
    pub in_doubt: TokenCount,
    /// Tokens that can still be granted.
    pub free: TokenCount,
}

impl BookRecord {
    /// Adds prepaid tokens. A command that was applied before changes nothing.
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
        if account.commands.len() > MAX_KEPT_COMMANDS {
            account.commands.remove(0);
        }
        TopUpOutcome::Applied
    }

    /// Tokens of a branch's budget that can still be granted.
    pub fn free(&self, branch: &BranchName) -> TokenCount {
        self.branches.get(branch).map_or(TokenCount::ZERO, BranchAccount::free)
    }

    /// The bounds on a branch's spend; none if the book has no account of it.
    pub fn spend(&self, branch: &BranchName) -> Option<SpendBounds> {
        let account = self.branches.get(branch)?;
        let mut bounds = SpendBounds {
            prepaid: account.prepaid,
            settled: account.total_settled(),
            free: account.free(),
            ..SpendBounds::default()
        };
        for grant in account.grants.values() {
            if grant.is_unaccounted() {
                bounds.settled += grant.known_use();
                bounds.in_doubt += grant.unsettled_amount().saturating_sub(grant.known_use());
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
        self.filter_grants(|grant, _| dead(grant.holder))
    }

    /// The grants that a process has to seal: the holder is dead and no live process recovers them
    /// yet. Grants in doubt are excluded; they wait for an operator.
    pub fn grants_to_seal(
        &self,
        dead: impl Fn(IncarnationId) -> bool,
    ) -> Vec<(BranchName, GrantId)> {
        self.filter_grants(|grant, record| {
            let recovered = record.sealed_by.is_some_and(|sealer| !dead(sealer));
            dead(grant.holder) && !recovered && !record.in_doubt
        })
    }

    /// The grants that a process has sealed and has to recover.
    pub fn grants_sealed_by(&self, own: IncarnationId) -> Vec<(BranchName, GrantId)> {
        self.filter_grants(|_, record| record.sealed_by == Some(own) && !record.in_doubt)
    }

    fn filter_grants(
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

    /// Marks a grant as sealed; false if it is closed or sealed by the same process already.
    ///
    /// The mark must be durable before any sidecar receives the seal request. A holder that was
    /// only paused reads the mark before it uses the grant's revision, and a sidecar that starts
    /// later refuses the grant as older than itself. Together these leave no place where the grant
    /// can still be spent unnoticed.
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
    /// closed. The settled sum is capped at the grant's amount.
    pub fn settle(&mut self, branch: &BranchName, charge: &ChargeId, used: TokenCount) -> bool {
        let record = self.grant_mut(branch, &charge.grant);
        record.is_some_and(|record| record.settle(charge.sequence, used))
    }

    /// True if a charge that ran is settled, either individually or because its grant is closed.
    pub fn is_settled(&self, branch: &BranchName, charge: &ChargeId) -> bool {
        let account = self.branches.get(branch);
        let grant = account.and_then(|account| account.grants.get(&charge.grant));
        grant.is_none_or(|record| record.charges.contains(charge.sequence))
    }

    /// Closes a sealed grant whose charges are all settled; false if it is closed already or in
    /// doubt. Querying the remaining sidecars again can't reveal what a lost one ran.
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

    /// Marks the unsettled part of a sealed grant as in doubt; false if it is marked already.
    pub fn mark_in_doubt(&mut self, branch: &BranchName, grant: &GrantId) -> bool {
        let record = self.grant_mut(branch, grant);
        record.is_some_and(|record| record.mark_in_doubt(record.known.clone()))
    }

    /// Applies the state of a grant's recovery; false if that changes nothing.
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
                record.mark_in_doubt(known.collect())
            }
        };
        let closed = matches!(verdict, RecoveryVerdict::Close(_)) && self.close(branch, grant);
        changed || closed
    }

    /// Releases a grant that no process accounts for, by an operator's explicit order. The operator
    /// vouches that no charge ran, or will run, under it beyond the reported use.
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
        let rest = record.unsettled_amount().saturating_sub(known);
        account.settled += known;
        account.close(grant);
        ReleaseOutcome::Released(rest)
    }
}
