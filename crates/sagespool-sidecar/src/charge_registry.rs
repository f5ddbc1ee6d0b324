//! The charges of every attempt that this incarnation runs or has run.
//!
//! The registry guarantees three things. A grant that a home has sealed admits
//! no new attempt, so that the home can return the tokens of charges that no
//! sidecar lists. The same attempt never runs a charge twice. Records of
//! attempts that ran are kept until they are durable in the store, so that no
//! crash of an entry or a home loses a charge.

mod grant;
mod policy;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::sync::OnceLock;

use sagespool_messages::{
    ChargeRecord, ChargeReport, ChargesDurable, ReservedCharge, SealReply, SealRequest,
};
use sagespool_types::{
    AttemptNumber, BranchName, ChargeId, ClockTime, GrantId, IncarnationId, KeyDigest, RequestId,
    StoreRevision, TokenCount,
};

use crate::shards::StateShards;
use grant::GrantState;

pub use policy::ReportPolicy;

/// An attempt's request to open its charge.
#[derive(Debug, Clone)]
pub struct ChargeRequest {
    /// The charge with the revision of its grant.
    pub reserved: ReservedCharge,
    /// The branch whose budget is charged.
    pub branch: BranchName,
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Digest of the caller's idempotency key; `None` if the request has none.
    pub key: Option<KeyDigest>,
    /// Number of the attempt within the request.
    pub attempt: AttemptNumber,
    /// Whether the request must not run twice.
    pub non_idempotent: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChargeOutcome {
    /// Whether the answer was complete.
    pub whole: bool,
    /// Whether the entry was still reading the answer, and so will report the end to the home. This
    /// only delays the first report, which still reaches the holder if that entry crashes.
    pub end_delivered: bool,
}

/// Why a charge is not opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChargeRefusal {
    /// The store's revision at the start of this incarnation is not known yet.
    NotStarted,
    /// The grant was made before this incarnation started.
    GrantTooOld {
        /// Store revision at which the grant was made.
        granted: StoreRevision,
        /// Store revision at the start of this incarnation.
        started: StoreRevision,
    },
    /// The grant is sealed.
    GrantSealed,
    /// The charge is sealed.
    ChargeSealed,
    /// The charge has already run here, and this attempt must not follow.
    AlreadyRun {
        /// The highest attempt that ran; `None` once its record is settled and dropped.
        attempt: Option<AttemptNumber>,
    },
}

impl fmt::Display for ChargeRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotStarted => {
                f.write_str("the sidecar has not read its start revision from the store yet")
            }
            Self::GrantTooOld { granted, started } => {
                write!(f, "the grant of revision {granted} predates the sidecar ({started})")
            }
            Self::GrantSealed => f.write_str("the grant is sealed"),
            Self::ChargeSealed => f.write_str("the charge is sealed"),
            Self::AlreadyRun { attempt: Some(attempt) } => {
                write!(f, "attempt {attempt} of this charge has already run here")
            }
            Self::AlreadyRun { attempt: None } => f.write_str("this charge has already run here"),
        }
    }
}

/// The charges that this incarnation runs or has run, by grant.
#[derive(Debug)]
pub struct ChargeRegistry {
    sidecar: IncarnationId,
    policy: ReportPolicy,
    started_at: OnceLock<StoreRevision>,
    shards: StateShards<GrantShard>,
}

/// Selects the ended charges to report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReportScope {
    /// Those whose report is due.
    Due,
    /// All of them, due or not.
    All,
}

/// One shard of the grants.
#[derive(Debug, Default)]
struct GrantShard {
    grants: HashMap<GrantId, GrantState>,
    /// Grants with ended charges that are not durable. Collecting reports visits
    /// these alone, not every grant that was ever sealed.
    unsettled: BTreeSet<GrantId>,
}

impl ChargeRegistry {
    /// An empty registry, which opens no charge until [`Self::set_started_at`] is called.
    pub fn new(sidecar: IncarnationId, policy: ReportPolicy) -> Self {
        Self { sidecar, policy, started_at: OnceLock::new(), shards: StateShards::default() }
    }

    /// Sets the store's revision after the start of this incarnation.
    /// Later calls have no effect.
    pub fn set_started_at(&self, revision: StoreRevision) {
        self.started_at.get_or_init(|| revision);
    }

    /// The store's revision after the start of this incarnation; `None` until it was read.
    pub fn started_at(&self) -> Option<StoreRevision> {
        self.started_at.get().copied()
    }

    /// Opens a charge for an attempt and records the attempt as running.
    ///
    /// A grant no newer than this incarnation is refused. An earlier incarnation
    /// on this instance may have run charges of it or sealed it, and those
    /// records are lost.
    ///
    /// # Errors
    ///
    /// Returns a [`ChargeRefusal`] and records nothing if the charge must not run.
    pub fn open(&self, request: &ChargeRequest, now: ClockTime) -> Result<(), ChargeRefusal> {
        let started = self.started_at().ok_or(ChargeRefusal::NotStarted)?;
        let granted = request.reserved.grant_revision;
        if granted <= started {
            return Err(ChargeRefusal::GrantTooOld { granted, started });
        }
        let grant = request.reserved.charge.grant;
        self.shards.lock_for(&grant).grants.entry(grant).or_default().open(request, now)
    }

    /// Sets the tokens that a running attempt has used so far.
    pub fn update_used(&self, charge: ChargeId, attempt: AttemptNumber, used: TokenCount) {
        if let Some(grant) = self.shards.lock_for(&charge.grant).grants.get_mut(&charge.grant) {
            grant.update(charge.sequence, attempt, used);
        }
    }

    /// Ends an attempt and returns its record, which is kept until it is durable.
    pub fn end_attempt(
        &self,
        charge: ChargeId,
        attempt: AttemptNumber,
        outcome: ChargeOutcome,
        now: ClockTime,
    ) -> Option<ChargeRecord> {
        let ChargeOutcome { whole, end_delivered } = outcome;
        let delay = if end_delivered {
            self.policy.first_delay_if_delivered
        } else {
            self.policy.first_delay
        };
        let due = now.after(delay);
        self.update_grant(charge, |grant| grant.end(charge.sequence, attempt, whole, due))
    }

    /// Removes an attempt that certainly did not run.
    ///
    /// If a seal has listed the attempt, the home that sealed waits for its end.
    /// The attempt then ends with no tokens used instead of being removed.
    pub fn withdraw(&self, charge: ChargeId, attempt: AttemptNumber, now: ClockTime) {
        let due = now.after(self.policy.first_delay);
        self.update_grant(charge, |grant| grant.withdraw(charge.sequence, attempt, due));
    }

    /// Seals a grant or some of its charges for the lifetime of this incarnation,
    /// and lists the attempts that run or have run under them.
    ///
    /// The list is complete: charges are opened under the same lock, so each is
    /// either listed or refused.
    pub fn seal(&self, request: &SealRequest, now: ClockTime) -> SealReply {
        let due = now.after(self.policy.first_delay);
        let mut shard = self.shards.lock_for(&request.grant);
        let charges = shard.grants.entry(request.grant).or_default().seal(request, due);
        SealReply { sidecar: self.sidecar, started_at: self.started_at(), charges }
    }

    /// The reports that are due, with the incarnation that each is sent to. A
    /// reported charge falls due again after a growing delay until it is durable.
    pub fn due_reports(&self, now: ClockTime) -> Vec<(IncarnationId, ChargeReport)> {
        self.collect(now, ReportScope::Due)
    }

    /// Reports of every ended charge, due or not, for use during shutdown.
    pub fn all_reports(&self, now: ClockTime) -> Vec<(IncarnationId, ChargeReport)> {
        self.collect(now, ReportScope::All)
    }

    fn collect(&self, now: ClockTime, scope: ReportScope) -> Vec<(IncarnationId, ChargeReport)> {
        let mut records: BTreeMap<IncarnationId, Vec<ChargeRecord>> = BTreeMap::new();
        for mut shard in self.shards.lock_each() {
            shard.collect(&self.policy, now, scope, &mut records);
        }
        let sidecar = self.sidecar;
        let reports = records.into_iter().filter(|(_, charges)| !charges.is_empty());
        reports.map(|(to, charges)| (to, ChargeReport { sidecar, charges })).collect()
    }

    /// Drops the records of ended charges that are settled in the store. The
    /// charges stay marked as run.
    pub fn mark_durable(&self, settled: &ChargesDurable, now: ClockTime) {
        for charge in &settled.charges {
            self.update_grant(*charge, |grant| grant.mark_durable(charge.sequence, now));
        }
    }

    /// Number of ended charges that are not known to be durable.
    pub fn unsettled_count(&self) -> usize {
        self.shards.lock_each().map(|shard| shard.count_unsettled()).sum()
    }

    /// Evicts grants without activity for [`ReportPolicy::idle_timeout`]. Grants
    /// that are sealed or have charges that are not durable stay.
    pub fn evict_idle(&self, now: ClockTime) {
        for mut shard in self.shards.lock_each() {
            shard.grants.retain(|_, grant| !grant.is_idle(&self.policy, now));
        }
    }

    fn update_grant<T>(
        &self,
        charge: ChargeId,
        apply: impl FnOnce(&mut GrantState) -> Option<T>,
    ) -> Option<T> {
        let mut shard = self.shards.lock_for(&charge.grant);
        let grant = shard.grants.get_mut(&charge.grant)?;
        let result = apply(grant);
        if grant.count_unsettled() == 0 {
            shard.unsettled.remove(&charge.grant);
        } else {
            shard.unsettled.insert(charge.grant);
        }
        result
    }
}

impl GrantShard {
    fn collect(
        &mut self,
        policy: &ReportPolicy,
        now: ClockTime,
        scope: ReportScope,
        records: &mut BTreeMap<IncarnationId, Vec<ChargeRecord>>,
    ) {
        for id in &self.unsettled {
            let grant = self.grants.get_mut(id).expect("a grant with charges is never evicted");
            let batch = records.entry(grant.reporter().unwrap_or(id.holder)).or_default();
            grant.collect(policy, now, scope, batch);
        }
    }

    fn count_unsettled(&self) -> usize {
        let grants = self.unsettled.iter().filter_map(|id| self.grants.get(id));
        grants.map(GrantState::count_unsettled).sum()
    }
}
