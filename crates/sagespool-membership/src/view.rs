//! One process's view: what it believes of each member, and how it learns.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use sagespool_messages::{MemberInfo, MemberRole};
use sagespool_types::{ClockTime, IncarnationId, InstanceName};

use crate::description::{ViewDigest, is_described_alike};
use crate::home::{HomeCandidate, hash_of};
use crate::news::NewsQueue;
use crate::policy::MembershipPolicy;
use crate::record::MemberRecord;
use crate::rounds::RoundClock;
use crate::seeds::SeedList;

/// The instance list's word about an earlier run of a process may stand so long
/// after the next run has begun.
const LIST_LAG: Duration = Duration::from_secs(5);

#[derive(Debug)]
pub(crate) struct MemberView {
    pub(crate) policy: MembershipPolicy,
    pub(crate) rng: fastrand::Rng,
    pub(crate) own: MemberInfo,
    pub(crate) records: BTreeMap<IncarnationId, MemberRecord>,
    /// Alive and suspected members.
    pub(crate) present: BTreeSet<IncarnationId>,
    pub(crate) suspects: BTreeSet<IncarnationId>,
    /// Dead members, which are called now and then; replaced ones are not.
    pub(crate) dead: BTreeSet<IncarnationId>,
    /// Members that call this process each round.
    pub(crate) callers: BTreeSet<IncarnationId>,
    pub(crate) by_address: BTreeMap<SocketAddr, IncarnationId>,
    /// The newest run known of each instance.
    pub(crate) newest: BTreeMap<InstanceName, IncarnationId>,
    /// Members to call besides the rounds, and when.
    pub(crate) probes: BTreeMap<IncarnationId, ClockTime>,
    pub(crate) listed_leaving: BTreeSet<InstanceName>,
    /// Whether the list has shown the own instance as not leaving since the start.
    was_listed_staying: bool,
    /// When the list was first read.
    first_listed: Option<ClockTime>,
    /// Other runs of the own instance that this process has outnumbered once.
    pub(crate) rivals: BTreeSet<IncarnationId>,
    pub(crate) seeds: SeedList,
    pub(crate) news: NewsQueue,
    pub(crate) digest: ViewDigest,
    pub(crate) rounds: RoundClock,
    /// When this process last learned that others believed it gone, or found
    /// that it had been paused.
    pub(crate) doubted: ClockTime,
    change_number: u64,
    pub(crate) changes: BTreeMap<u64, IncarnationId>,
    pub(crate) homes: Option<Vec<HomeCandidate>>,
}

impl MemberView {
    pub(crate) fn new(own: MemberInfo, policy: MembershipPolicy, seed: u64) -> Self {
        let mut digest = ViewDigest::new();
        digest.insert(&own);
        Self {
            rounds: RoundClock::new(&policy),
            policy,
            rng: fastrand::Rng::with_seed(seed),
            own,
            records: BTreeMap::new(),
            present: BTreeSet::new(),
            suspects: BTreeSet::new(),
            dead: BTreeSet::new(),
            callers: BTreeSet::new(),
            by_address: BTreeMap::new(),
            newest: BTreeMap::new(),
            probes: BTreeMap::new(),
            listed_leaving: BTreeSet::new(),
            was_listed_staying: false,
            first_listed: None,
            rivals: BTreeSet::new(),
            seeds: SeedList::default(),
            news: NewsQueue::default(),
            digest,
            doubted: ClockTime::default(),
            change_number: 0,
            changes: BTreeMap::new(),
            homes: None,
        }
    }

    /// True in a fleet small enough for everyone to hear from everyone.
    pub(crate) fn is_mesh(&self) -> bool {
        self.digest.members() <= self.policy.mesh_limit
    }

    /// Changes the own description. A process that is leaving stays so: its
    /// peers give up its work for good, and a change of mind would have them
    /// send it requests that it is about to refuse.
    pub(crate) fn update_own(&mut self, change: impl FnOnce(&mut MemberInfo)) {
        let before = self.own.clone();
        change(&mut self.own);
        self.own.instance = before.instance.clone();
        self.own.incarnation = before.incarnation;
        self.own.leaving |= before.leaving;
        self.own.number = self.own.number.max(before.number) + 1;
        if is_described_alike(&before, &self.own) {
            return;
        }
        self.digest.remove(&before);
        self.digest.insert(&self.own);
        self.rounds.announce_own();
        self.homes = None;
    }

    pub(crate) fn log_change(&mut self, incarnation: IncarnationId) {
        self.homes = None;
        let Some(record) = self.records.get_mut(&incarnation) else { return };
        self.change_number += 1;
        self.changes.remove(&record.changed);
        record.changed = self.change_number;
        self.changes.insert(self.change_number, incarnation);
    }

    /// Everything that changed after a place in the log, and the log's newest place.
    pub(crate) fn changed_since(&self, number: u64) -> (u64, Vec<&MemberRecord>) {
        let changed = self.changes.range(number + 1..).map(|(_, incarnation)| incarnation);
        let changed = changed.filter_map(|incarnation| self.records.get(incarnation)).collect();
        (self.change_number, changed)
    }

    /// The instances that the platform's list shows as leaving.
    pub(crate) fn list_leaving(&mut self, leaving: BTreeSet<InstanceName>, now: ClockTime) {
        let changed: Vec<_> = self
            .listed_leaving
            .symmetric_difference(&leaving)
            .filter_map(|instance| self.newest.get(instance).copied())
            .collect();
        self.listed_leaving = leaving;
        self.homes = None;
        for incarnation in changed {
            self.mark_unfit(incarnation, now);
            self.log_change(incarnation);
        }
    }

    /// Whether the list's word that the own instance leaves is meant for this run.
    pub(crate) fn is_to_leave(&mut self, is_listed: bool, now: ClockTime) -> bool {
        self.was_listed_staying |= !is_listed;
        let first = *self.first_listed.get_or_insert(now);
        is_listed && (self.was_listed_staying || now.since(first) >= LIST_LAG)
    }

    /// A member as it should be seen: the instance list may know that it leaves.
    pub(crate) fn shown(&self, info: &MemberInfo) -> MemberInfo {
        let mut info = info.clone();
        info.leaving |= self.listed_leaving.contains(&info.instance);
        info
    }

    /// Entries of the own region that may be a home now.
    pub(crate) fn homes(&mut self) -> &[HomeCandidate] {
        if self.homes.is_none() {
            self.homes = Some(self.find_homes());
        }
        self.homes.as_deref().unwrap_or_default()
    }

    fn find_homes(&self) -> Vec<HomeCandidate> {
        let others = self
            .present
            .iter()
            .filter_map(|incarnation| self.records.get(incarnation))
            .filter(|record| record.is_usable(self.policy.missed_limit))
            .map(|record| &record.info);
        others
            .chain([&self.own])
            .filter(|info| info.role == MemberRole::Entry && info.region == self.own.region)
            .filter(|info| !info.leaving && !self.listed_leaving.contains(&info.instance))
            .map(|info| HomeCandidate {
                incarnation: info.incarnation,
                name_hash: hash_of(&info.instance),
            })
            .collect()
    }
}
