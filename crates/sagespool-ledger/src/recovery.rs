//! Accounting for the grant of a dead holder, from what sidecars list.

use std::collections::{BTreeMap, BTreeSet};

use sagespool_messages::{ChargeRecord, SealReply};
use sagespool_types::{
    BranchName, ChargeId, GrantId, IncarnationId, SequenceNumber, StoreRevision, TokenCount,
};

/// What is to be done with a sealed grant now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecoveryVerdict {
    /// Everything is accounted for: settle these and close the grant.
    Close(Vec<(ChargeId, TokenCount)>),
    /// Settle these; some still run, or a sidecar hasn't answered yet. Ask again.
    Wait(Vec<(ChargeId, TokenCount)>),
    /// Settle these; what a lost witness may have run can't be known, so the rest is in doubt.
    Doubt(Vec<(ChargeId, TokenCount)>),
}

/// The recovery of one sealed grant.
#[derive(Debug, Clone)]
pub struct RecoveryCase {
    /// The branch.
    pub branch: BranchName,
    /// The grant.
    pub grant: GrantId,
    asked_at: StoreRevision,
    /// Sidecars that could have run something under it and haven't answered.
    missing: BTreeSet<IncarnationId>,
    /// True if one that answered, or is gone, can't speak for the grant's whole life.
    lost_witness: bool,
    charges: BTreeMap<SequenceNumber, ChargeRecord>,
}

impl RecoveryCase {
    /// A case that has heard nobody yet. `asked_at` is the book's version that the grant was asked
    /// on; `sidecars` are all that could have run something under it.
    pub fn new(
        branch: BranchName,
        grant: GrantId,
        asked_at: StoreRevision,
        sidecars: impl IntoIterator<Item = IncarnationId>,
    ) -> Self {
        let missing = sidecars.into_iter().collect();
        Self { branch, grant, asked_at, missing, lost_witness: false, charges: BTreeMap::new() }
    }

    /// Adds sidecars heard of meanwhile.
    pub fn expect(&mut self, sidecar: IncarnationId) {
        self.missing.insert(sidecar);
    }

    /// Sidecars that haven't answered.
    pub fn missing(&self) -> impl Iterator<Item = IncarnationId> + '_ {
        self.missing.iter().copied()
    }

    /// Takes in a sidecar's list. One that started after the grant was asked for can't say what its
    /// predecessor beside the same upstream ran under it.
    pub fn take_reply(&mut self, reply: &SealReply) {
        self.missing.remove(&reply.sidecar);
        let saw_all = reply.started_at.is_some_and(|started| started <= self.asked_at);
        self.lost_witness |= !saw_all;
        for record in &reply.charges {
            self.take_charge(record);
        }
    }

    fn take_charge(&mut self, record: &ChargeRecord) {
        let known = self.charges.get(&record.charge.sequence);
        let rank = |record: &ChargeRecord| (record.attempt, record.ended, record.used);
        if known.is_none_or(|known| rank(record) > rank(known)) {
            self.charges.insert(record.charge.sequence, record.clone());
        }
    }

    /// Notes that a sidecar is gone for good: what it ran and didn't report can't be known.
    pub fn give_up(&mut self, sidecar: IncarnationId) {
        if self.missing.remove(&sidecar) {
            self.lost_witness = true;
        }
    }

    /// What is to be done now.
    pub fn verdict(&self) -> RecoveryVerdict {
        let ended = self.charges.values().filter(|record| record.ended);
        let settled = ended.map(|record| (record.charge, record.used)).collect();
        let running = self.charges.values().any(|record| !record.ended);
        if running || !self.missing.is_empty() {
            return RecoveryVerdict::Wait(settled);
        }
        if self.lost_witness {
            return RecoveryVerdict::Doubt(settled);
        }
        RecoveryVerdict::Close(settled)
    }
}
