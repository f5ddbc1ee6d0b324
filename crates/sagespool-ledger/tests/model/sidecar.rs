//! Sidecars: they run attempts, remember them, and refuse what is sealed or older than themselves.

use std::collections::{BTreeMap, BTreeSet};

use sagespool_messages::{ChargeRecord, SealReply};
use sagespool_types::{AttemptNumber, ChargeId, GrantId, IncarnationId, StoreRevision, TokenCount};

/// An attempt on its way to a sidecar.
#[derive(Debug, Clone)]
pub struct SentDispatch {
    /// Place of the request in the world's list.
    pub request: usize,
    /// Place of the attempt in the request's list.
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
    /// The revision since which it knows all that ran beside its upstream.
    speaks_since: StoreRevision,
    /// The start of the incarnation that took its place.
    pub replaced_at: Option<StoreRevision>,
    sealed: BTreeSet<GrantId>,
    sealed_charges: BTreeSet<ChargeId>,
    pub running: Vec<SentDispatch>,
    records: BTreeMap<(ChargeId, AttemptNumber), ChargeRecord>,
}

impl ModelSidecar {
    /// A sidecar; `first` if none was beside its upstream before.
    pub fn new(incarnation: IncarnationId, started_at: StoreRevision, first: bool) -> Self {
        Self {
            incarnation,
            started_at,
            speaks_since: if first { StoreRevision::ZERO } else { started_at },
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
    pub fn refuses(&self, dispatch: &SentDispatch) -> bool {
        let charge = dispatch.record.charge;
        dispatch.revision <= self.started_at
            || self.sealed.contains(&charge.grant)
            || self.sealed_charges.contains(&charge)
    }

    /// Notes the present state of an attempt.
    pub fn note(&mut self, record: &ChargeRecord) {
        self.records.insert((record.charge, record.attempt), record.clone());
    }

    /// Seals a whole grant and lists what is known of it.
    pub fn seal_grant(&mut self, grant: GrantId) -> SealReply {
        self.sealed.insert(grant);
        self.reply(|charge| charge.grant == grant)
    }

    /// Seals one charge and lists what is known of it.
    pub fn seal_charge(&mut self, charge: ChargeId) -> SealReply {
        self.sealed_charges.insert(charge);
        self.reply(|known| known == charge)
    }

    fn reply(&self, concerns: impl Fn(ChargeId) -> bool) -> SealReply {
        let listed = self.records.values().filter(|record| concerns(record.charge));
        SealReply {
            sidecar: self.incarnation,
            started_at: Some(self.speaks_since),
            charges: listed.cloned().collect(),
        }
    }

    /// Ended attempts that it still remembers.
    pub fn ended(&self) -> Vec<ChargeRecord> {
        self.records.values().filter(|record| record.ended).cloned().collect()
    }

    /// Forgets ended attempts of a charge that is settled in the store.
    pub fn forget(&mut self, charge: ChargeId) {
        self.records.retain(|(known, _), record| *known != charge || !record.ended);
    }
}
