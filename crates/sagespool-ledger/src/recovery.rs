//! Recovery of sealed grants from the charges that sidecars list.

use std::collections::{BTreeMap, BTreeSet};

use sagespool_messages::{ChargeRecord, SealReply};
use sagespool_types::{
    BranchName, ChargeId, GrantId, IncarnationId, SequenceNumber, StoreRevision, TokenCount,
};

/// What to do with a sealed grant now; applied by [`crate::BookRecord::apply_recovery`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecoveryVerdict {
    /// Everything is accounted for: settle these charges and close the grant.
    Close(Vec<(ChargeId, TokenCount)>),
    /// Settle these charges, which are final. Others still run or a sidecar hasn't replied: query
    /// again.
    Wait(Vec<(ChargeId, TokenCount)>),
    /// A lost sidecar may have run charges, so the unsettled part is in doubt. These uses are
    /// reported but not final, since the lost sidecar may have run later attempts; an operator's
    /// release settles them.
    InDoubt(Vec<(ChargeId, TokenCount)>),
}

/// A charge as listed by the sidecar of its last known attempt.
#[derive(Debug, Clone)]
struct ListedAttempt {
    sidecar: IncarnationId,
    record: ChargeRecord,
}

/// The recovery of one sealed grant, or of sealed charges of one grant.
#[derive(Debug, Clone)]
pub struct GrantRecovery {
    /// The branch that pays for the grant.
    pub branch: BranchName,
    /// The grant whose charges are collected.
    pub grant: GrantId,
    asked_at: StoreRevision,
    /// Sidecars that may have run charges of the grant and haven't replied.
    missing: BTreeSet<IncarnationId>,
    /// Sidecars that are gone for good.
    gone: BTreeSet<IncarnationId>,
    /// True if the list of a sidecar doesn't cover the whole time since the grant was requested, or
    /// is missing.
    has_gap: bool,
    charges: BTreeMap<SequenceNumber, ListedAttempt>,
}

impl GrantRecovery {
    /// Starts a recovery without any reply. Nothing can have run before the store revision
    /// `asked_at`: [`crate::GrantRecord::asked_at`] for a whole grant,
    /// [`crate::OrphanCharge::since`] for charges. `sidecars` must contain every sidecar that was
    /// running at that revision or later, gone or not: the use at a sidecar that is left out would
    /// be freed.
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
            has_gap: false,
            charges: BTreeMap::new(),
        }
    }

    /// Adds a sidecar that was discovered after the start.
    pub fn add_sidecar(&mut self, sidecar: IncarnationId) {
        self.missing.insert(sidecar);
    }

    /// Sidecars that haven't replied.
    pub fn missing(&self) -> impl Iterator<Item = IncarnationId> + '_ {
        self.missing.iter().copied()
    }

    /// The last known attempt of each listed charge.
    pub fn records(&self) -> impl Iterator<Item = &ChargeRecord> {
        self.charges.values().map(|listed| &listed.record)
    }

    /// Merges a sidecar's list. A sidecar that started after the grant request can't list what its
    /// predecessor at the same upstream ran.
    pub fn take_reply(&mut self, reply: &SealReply) {
        self.missing.remove(&reply.sidecar);
        let covers_lifetime = reply.started_at.is_some_and(|started| started <= self.asked_at);
        self.has_gap |= !covers_lifetime;
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
        if known.is_none_or(|known| recency(record) > recency(&known.record)) {
            self.charges.insert(sequence, ListedAttempt { sidecar, record: record.clone() });
        }
    }

    /// Marks a sidecar as gone for good: neither the charges that it ran without listing them nor
    /// the outcome of an attempt that it listed as running can be established.
    pub fn mark_gone(&mut self, sidecar: IncarnationId) {
        self.gone.insert(sidecar);
        let unanswered = self.missing.remove(&sidecar);
        let runs = |listed: &ListedAttempt| listed.sidecar == sidecar && !listed.record.ended;
        self.has_gap |= unanswered || self.charges.values().any(runs);
    }

    /// True if an attempt may still run at a sidecar that is going to report its end.
    fn still_runs(&self) -> bool {
        let runs =
            |listed: &ListedAttempt| !listed.record.ended && !self.gone.contains(&listed.sidecar);
        self.charges.values().any(runs)
    }

    /// Decides what to do with the replies received so far.
    ///
    /// Nothing is settled before every sidecar has replied. A missing one may have run a later
    /// attempt of a charge that another lists as ended. Settled by number, the charge would keep
    /// the earlier attempt's use, and closing the grant would free what the later one spent.
    pub fn verdict(&self) -> RecoveryVerdict {
        if !self.missing.is_empty() {
            return RecoveryVerdict::Wait(Vec::new());
        }
        match (self.has_gap, self.still_runs()) {
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

/// Order of records of one charge: the higher is the more recent.
pub(crate) fn recency(record: &ChargeRecord) -> impl Ord + use<> {
    (record.attempt, record.ended, record.used)
}
