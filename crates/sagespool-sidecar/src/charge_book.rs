//! The witness's book: every charge that this incarnation has run or runs.
//!
//! The book guards three things. A grant that a home has sealed starts nothing
//! new, so that the home may give back what nobody lists. A charge is never
//! run twice by an equal attempt. And what ran is kept until the store has it,
//! so that no crash of an entry or a home loses a charge.

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

/// What an attempt asks of the book before it may start.
#[derive(Debug, Clone)]
pub struct ChargeWish {
    /// The charge with the revision of its grant.
    pub reserved: ReservedCharge,
    /// The branch that pays.
    pub branch: BranchName,
    /// The request.
    pub request: RequestId,
    /// The caller's key, if it gave one.
    pub key: Option<KeyDigest>,
    /// Which attempt this is.
    pub attempt: AttemptNumber,
    /// True if the request may never run twice.
    pub non_idempotent: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChargeEnding {
    /// True if the answer came whole.
    pub whole: bool,
    /// True if its entry still listened, and so will tell the home. Only the time of the first
    /// report rests on it: an entry that dies with the word is made up for by that report.
    pub heard: bool,
}

/// Why an attempt may not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChargeRefusal {
    /// The store's revision at this incarnation's start isn't known yet.
    NotStarted,
    /// The grant was made before this incarnation started.
    GrantTooOld {
        /// When the grant was made.
        granted: StoreRevision,
        /// When this incarnation started.
        started: StoreRevision,
    },
    /// The grant is sealed.
    GrantSealed,
    /// The charge is sealed.
    ChargeSealed,
    /// The charge has run here, by this attempt or a later one.
    RunBefore {
        /// The highest attempt that ran, where it is still known.
        attempt: Option<AttemptNumber>,
    },
}

impl fmt::Display for ChargeRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotStarted => f.write_str("the sidecar has not reached the store yet"),
            Self::GrantTooOld { granted, started } => {
                write!(f, "the grant of revision {granted} is older than the sidecar ({started})")
            }
            Self::GrantSealed => f.write_str("the grant is sealed"),
            Self::ChargeSealed => f.write_str("the charge is sealed"),
            Self::RunBefore { attempt: Some(attempt) } => {
                write!(f, "attempt {attempt} of this charge has run here")
            }
            Self::RunBefore { attempt: None } => f.write_str("this charge has run here"),
        }
    }
}

/// Every charge that this incarnation has run or runs, by grant.
#[derive(Debug)]
pub struct ChargeBook {
    sidecar: IncarnationId,
    policy: ReportPolicy,
    started_at: OnceLock<StoreRevision>,
    shards: StateShards<GrantShard>,
}

/// Which ended charges are to be reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReportScope {
    /// Those whose time has come.
    Due,
    /// All.
    All,
}

/// A part of the grants.
#[derive(Debug, Default)]
struct GrantShard {
    grants: HashMap<GrantId, GrantState>,
    /// The grants with ended charges that aren't durable, so that a report
    /// doesn't visit every grant that was ever sealed.
    unsettled: BTreeSet<GrantId>,
}

impl ChargeBook {
    /// An empty book of a sidecar that doesn't know the store's revision yet.
    pub fn new(sidecar: IncarnationId, policy: ReportPolicy) -> Self {
        Self { sidecar, policy, started_at: OnceLock::new(), shards: StateShards::default() }
    }

    /// Notes the store's revision as it was after this incarnation started.
    /// Only the first call counts.
    pub fn started(&self, revision: StoreRevision) {
        self.started_at.get_or_init(|| revision);
    }

    /// The store's revision when this incarnation started, once it is known.
    pub fn started_at(&self) -> Option<StoreRevision> {
        self.started_at.get().copied()
    }

    /// Lets an attempt start and records it as running, or says why not.
    ///
    /// A grant no newer than this incarnation is refused: a predecessor in the
    /// same place may have run charges of it, or may have been asked to seal
    /// it, and neither is known here.
    ///
    /// # Errors
    ///
    /// The [`ChargeRefusal`]; nothing is recorded then.
    pub fn open(&self, wish: &ChargeWish, now: ClockTime) -> Result<(), ChargeRefusal> {
        let started = self.started_at().ok_or(ChargeRefusal::NotStarted)?;
        let granted = wish.reserved.grant_revision;
        if granted <= started {
            return Err(ChargeRefusal::GrantTooOld { granted, started });
        }
        let grant = wish.reserved.charge.grant;
        self.shards.of(&grant).grants.entry(grant).or_default().open(wish, now)
    }

    /// Notes what a running attempt has used so far.
    pub fn update(&self, charge: ChargeId, attempt: AttemptNumber, used: TokenCount) {
        if let Some(grant) = self.shards.of(&charge.grant).grants.get_mut(&charge.grant) {
            grant.update(charge.sequence, attempt, used);
        }
    }

    /// Ends an attempt; its record is kept until it is durable.
    pub fn end(
        &self,
        charge: ChargeId,
        attempt: AttemptNumber,
        ending: ChargeEnding,
        now: ClockTime,
    ) -> Option<ChargeRecord> {
        let ChargeEnding { whole, heard } = ending;
        let wait = if heard { self.policy.heard_after } else { self.policy.first_after };
        let due = now.after(wait);
        self.change(charge, |grant| grant.end(charge.sequence, attempt, whole, due))
    }

    /// Takes back an attempt that surely did not run.
    ///
    /// If a seal has listed it, whoever sealed waits for its end: then it ends
    /// with nothing used instead of vanishing.
    pub fn withdraw(&self, charge: ChargeId, attempt: AttemptNumber, now: ClockTime) {
        let due = now.after(self.policy.first_after);
        self.change(charge, |grant| grant.withdraw(charge.sequence, attempt, due));
    }

    /// Seals a grant or some of its charges for as long as this incarnation
    /// lives, and lists what ran.
    ///
    /// The list is complete: a charge is opened under the same lock, so it is
    /// either listed or refused.
    pub fn seal(&self, request: &SealRequest, now: ClockTime) -> SealReply {
        let due = now.after(self.policy.first_after);
        let mut shard = self.shards.of(&request.grant);
        let charges = shard.grants.entry(request.grant).or_default().seal(request, due);
        SealReply { sidecar: self.sidecar, started_at: self.started_at(), charges }
    }

    /// The reports that are due, with whom each goes to. What is named here is
    /// due again later, ever more seldom, until it is durable.
    pub fn due(&self, now: ClockTime) -> Vec<(IncarnationId, ChargeReport)> {
        self.collect(now, ReportScope::Due)
    }

    /// Reports of every ended charge, due or not: the sidecar is about to end.
    pub fn flush(&self, now: ClockTime) -> Vec<(IncarnationId, ChargeReport)> {
        self.collect(now, ReportScope::All)
    }

    fn collect(&self, now: ClockTime, scope: ReportScope) -> Vec<(IncarnationId, ChargeReport)> {
        let mut records: BTreeMap<IncarnationId, Vec<ChargeRecord>> = BTreeMap::new();
        for mut shard in self.shards.each() {
            shard.collect(&self.policy, now, scope, &mut records);
        }
        let sidecar = self.sidecar;
        let reports = records.into_iter().filter(|(_, charges)| !charges.is_empty());
        reports.map(|(to, charges)| (to, ChargeReport { sidecar, charges })).collect()
    }

    /// Forgets ended charges that are settled in the store; that they ran
    /// stays known.
    pub fn durable(&self, named: &ChargesDurable, now: ClockTime) {
        for charge in &named.charges {
            self.change(*charge, |grant| grant.durable(charge.sequence, now));
        }
    }

    /// How many ended charges are not known to be durable.
    pub fn unsettled(&self) -> usize {
        self.shards.each().map(|shard| shard.count_unsettled()).sum()
    }

    /// Forgets grants under which nothing has happened for long. Sealed ones,
    /// and those with charges not yet durable, stay.
    pub fn forget_idle(&self, now: ClockTime) {
        for mut shard in self.shards.each() {
            shard.grants.retain(|_, grant| !grant.is_idle(&self.policy, now));
        }
    }

    fn change<T>(
        &self,
        charge: ChargeId,
        apply: impl FnOnce(&mut GrantState) -> Option<T>,
    ) -> Option<T> {
        let mut shard = self.shards.of(&charge.grant);
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
            let grant = self.grants.get_mut(id).expect("a grant with open charges is never idle");
            let batch = records.entry(grant.reporter().unwrap_or(id.holder)).or_default();
            grant.collect(policy, now, scope, batch);
        }
    }

    fn count_unsettled(&self) -> usize {
        let grants = self.unsettled.iter().filter_map(|id| self.grants.get(id));
        grants.map(GrantState::count_unsettled).sum()
    }
}
