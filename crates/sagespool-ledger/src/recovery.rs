//! Accounting for what ran, from what sidecars list once they have sealed it.

use std::collections::{BTreeMap, BTreeSet};

use sagespool_messages::{ChargeRecord, SealReply};
use sagespool_types::{
    BranchName, ChargeId, GrantId, IncarnationId, SequenceNumber, StoreRevision, TokenCount,
};

/// What is to be done with a sealed grant now: [`crate::BookRecord::recover`] does it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecoveryVerdict {
    /// Everything is accounted for: settle these and close the grant.
    Close(Vec<(ChargeId, TokenCount)>),
    /// Settle these, which are final; some still run, or a sidecar hasn't answered yet. Ask again.
    Wait(Vec<(ChargeId, TokenCount)>),
    /// What a lost witness may have run can't be known, so what isn't settled is in doubt. These are
    /// known; they aren't final, since the lost one may have run later attempts, and are settled by
    /// an operator's release.
    InDoubt(Vec<(ChargeId, TokenCount)>),
}

/// A charge as the sidecar of its last known attempt listed it.
#[derive(Debug, Clone)]
struct ListedCharge {
    sidecar: IncarnationId,
    record: ChargeRecord,
}

/// The recovery of one sealed grant, or of sealed charges of one grant.
#[derive(Debug, Clone)]
pub struct GrantRecovery {
    /// The branch.
    pub branch: BranchName,
    /// The grant.
    pub grant: GrantId,
    asked_at: StoreRevision,
    /// Sidecars that could have run something under it and haven't answered.
    missing: BTreeSet<IncarnationId>,
    /// Sidecars that are gone for good.
    gone: BTreeSet<IncarnationId>,
    /// True if one that answered, or is gone, can't speak for the whole time.
    lost_witness: bool,
    charges: BTreeMap<SequenceNumber, ListedCharge>,
}

impl GrantRecovery {
    /// A case that has heard nobody yet. Nothing can have run before the store's revision `asked_at`:
    /// [`crate::GrantRecord::asked_at`] for a whole grant, [`crate::OrphanCharge::since`] for charges.
    /// `sidecars` are all that could have run something: every one that was there at that revision
    /// or later, gone or not. A list that misses one frees what that one ran.
    pub fn new(
        branch: BranchName,
        grant: GrantId,
        asked_at: StoreRevision,
        sidecars: impl IntoIterator<Item = IncarnationId>,
    ) -> Self {
        Self {
            branch,
            grant,
            asked_at,
            missing: sidecars.into_iter().collect(),
            gone: BTreeSet::new(),
            lost_witness: false,
            charges: BTreeMap::new(),
        }
    }

    /// Adds sidecars heard of meanwhile.
    pub fn expect(&mut self, sidecar: IncarnationId) {
        self.missing.insert(sidecar);
    }

    /// Sidecars that haven't answered.
    pub fn missing(&self) -> impl Iterator<Item = IncarnationId> + '_ {
        self.missing.iter().copied()
    }

    /// What sidecars listed: of each charge the last attempt known.
    pub fn records(&self) -> impl Iterator<Item = &ChargeRecord> {
        self.charges.values().map(|listed| &listed.record)
    }

    /// Takes in a sidecar's list. One that started after the grant was asked for can't say what its
    /// predecessor beside the same upstream ran under it.
    pub fn take_reply(&mut self, reply: &SealReply) {
        self.missing.remove(&reply.sidecar);
        let saw_all = reply.started_at.is_some_and(|started| started <= self.asked_at);
        self.lost_witness |= !saw_all;
        for record in &reply.charges {
            self.take_charge(reply.sidecar, record);
        }
    }

    fn take_charge(&mut self, sidecar: IncarnationId, record: &ChargeRecord) {
        if record.charge.grant != self.grant {
            return;
        }
        let sequence = record.charge.sequence;
        let known = self.charges.get(&sequence);
        if known.is_none_or(|known| rank(record) > rank(&known.record)) {
            self.charges.insert(sequence, ListedCharge { sidecar, record: record.clone() });
        }
    }

    /// Notes that a sidecar is gone for good: what it ran and didn't list can't be known, nor how an
    /// attempt ended that it listed as running.
    pub fn mark_gone(&mut self, sidecar: IncarnationId) {
        self.gone.insert(sidecar);
        let unheard = self.missing.remove(&sidecar);
        let runs = |listed: &ListedCharge| listed.sidecar == sidecar && !listed.record.ended;
        self.lost_witness |= unheard || self.charges.values().any(runs);
    }

    /// True if an attempt may still run at a sidecar that will tell how it ends.
    fn still_runs(&self) -> bool {
        let runs =
            |listed: &ListedCharge| !listed.record.ended && !self.gone.contains(&listed.sidecar);
        self.charges.values().any(runs)
    }

    /// What is to be done now.
    ///
    /// Nothing is settled before every sidecar was heard. One that wasn't may have run a later
    /// attempt under a charge that another lists as ended; settled by number, the charge would keep
    /// the earlier attempt's use, and closing the grant would free what the later one spent.
    pub fn verdict(&self) -> RecoveryVerdict {
        if !self.missing.is_empty() {
            return RecoveryVerdict::Wait(Vec::new());
        }
        match (self.lost_witness, self.still_runs()) {
            (true, true) => RecoveryVerdict::Wait(Vec::new()),
            (true, false) => RecoveryVerdict::InDoubt(self.uses(|_| true)),
            (false, true) => RecoveryVerdict::Wait(self.uses(|record| record.ended)),
            (false, false) => RecoveryVerdict::Close(self.uses(|record| record.ended)),
        }
    }

    fn uses(&self, fits: impl Fn(&ChargeRecord) -> bool) -> Vec<(ChargeId, TokenCount)> {
        let records = self.records().filter(|record| fits(record));
        records.map(|record| (record.charge, record.used)).collect()
    }
}

/// Of two records of a charge, the higher is the later word.
pub(crate) fn rank(record: &ChargeRecord) -> impl Ord + use<> {
    (record.attempt, record.ended, record.used)
}
