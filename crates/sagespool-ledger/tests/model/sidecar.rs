//! Sidecars: they run attempts, record them, and refuse those that are sealed or older than
//! themselves.

use std::collections::{BTreeMap, BTreeSet};

use sagespool_messages::{ChargeRecord, SealReply};
use sagespool_types::{AttemptNumber, ChargeId, GrantId, IncarnationId, StoreRevision, TokenCount};

/// A dispatched attempt.
#[derive(Debug, Clone)]
pub struct ModelDispatch {
    /// Index of the request in the world's list.
    pub request: usize,
    /// Index of the attempt in the request's list.
    pub place: usize,
    pub record: ChargeRecord,
    pub revision: StoreRevision,
    pub limit: TokenCount,
}

/// One incarnation of a sidecar.
#[derive(Debug)]
pub struct ModelSidecar {
    pub incarnation: IncarnationId,
    pub started_at: StoreRevision,
    /// The revision since which it has recorded everything that ran at its upstream.
    covers_since: StoreRevision,
    /// The store revision at which its successor started.
    pub replaced_at: Option<StoreRevision>,
    sealed: BTreeSet<GrantId>,
    sealed_charges: BTreeSet<ChargeId>,
    pub running: Vec<ModelDispatch>,
    records: BTreeMap<(ChargeId, AttemptNumber), ChargeRecord>,
}

impl ModelSidecar {
    /// A new sidecar; `first` if its upstream had none before.
    pub fn new(incarnation: IncarnationId, started_at: StoreRevision, first: bool) -> Self {
        Self {
            incarnation,
            started_at,
            covers_since: if first { StoreRevision::ZERO } else { started_at },
            replaced_at: None,
            sealed: BTreeSet::new(),
            sealed_charges: BTreeSet::new(),
            running: Vec::new(),
            records: BTreeMap::new(),
        }
    }

    pub fn is_alive(&self) -> bool {
        self.replaced_at.is_none()
    }

    /// True if it refuses an attempt.
    pub fn refuses(&self, dispatch: &ModelDispatch) -> bool {
        let charge = dispatch.record.charge;
        dispatch.revision <= self.started_at
            || self.sealed.contains(&charge.grant)
            || self.sealed_charges.contains(&charge)
    }

    /// Records the present state of an attempt.
    pub fn note(&mut self, record: &ChargeRecord) {
        self.records.insert((record.charge, record.attempt), record.clone());
    }

    /// Seals a whole grant and lists its recorded charges.
    pub fn seal_grant(&mut self, grant: GrantId) -> SealReply {
        self.sealed.insert(grant);
        self.reply(|charge| charge.grant == grant)
    }

    /// Seals one charge and lists its recorded attempts.
    pub fn seal_charge(&mut self, charge: ChargeId) -> SealReply {
        self.sealed_charges.insert(charge);
        self.reply(|known| known == charge)
    }

    fn reply(&self, concerns: impl Fn(ChargeId) -> bool) -> SealReply {
        let listed = self.records.values().filter(|record| concerns(record.charge));
        SealReply {
            sidecar: self.incarnation,
            started_at: Some(self.covers_since),
            charges: listed.cloned().collect(),
        }
    }

    /// Recorded attempts that have ended.
    pub fn ended(&self) -> Vec<ChargeRecord> {
        self.records.values().filter(|record| record.ended).cloned().collect()
    }

    /// Deletes ended attempts of a charge that is settled in the store.
    pub fn forget(&mut self, charge: ChargeId) {
        self.records.retain(|(known, _), record| *known != charge || !record.ended);
    }
}
