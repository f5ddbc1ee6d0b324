//! The state of one process's view of the fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use sagespool_messages::{MemberInfo, MemberRole};
use sagespool_types::{ClockTime, IncarnationId, InstanceName};

use crate::digest::{ViewDigest, descriptions_match};
use crate::home::{HomeCandidate, hash_of, home_capacity};
use crate::policy::MembershipPolicy;
use crate::record::MemberRecord;
use crate::rounds::RoundState;
use crate::seeds::SeedList;
use crate::update_queue::UpdateQueue;

/// The longest time for which the instance list may still show an earlier run of an instance
/// as leaving after the next run has started.
const MAX_LIST_LAG: Duration = Duration::from_secs(5);

#[derive(Debug)]
pub(crate) struct MemberView {
    pub(crate) policy: MembershipPolicy,
    pub(crate) rng: fastrand::Rng,
    pub(crate) own: MemberInfo,
    pub(crate) records: BTreeMap<IncarnationId, MemberRecord>,
    /// Members that are alive or suspected.
    pub(crate) present: BTreeSet<IncarnationId>,
    pub(crate) suspects: BTreeSet<IncarnationId>,
    /// Dead members, which are called from time to time. Replaced ones are not among them.
    pub(crate) dead: BTreeSet<IncarnationId>,
    /// Members that call this process in each of their rounds.
    pub(crate) callers: BTreeSet<IncarnationId>,
    pub(crate) by_address: BTreeMap<SocketAddr, IncarnationId>,
    /// The newest known run of each instance.
    pub(crate) newest_runs: BTreeMap<InstanceName, IncarnationId>,
    /// Calls to make outside the rounds, and when.
    pub(crate) probes: BTreeMap<IncarnationId, ClockTime>,
    pub(crate) listed_leaving: BTreeSet<InstanceName>,
    /// Whether the list has shown the own instance as not leaving since the start.
    was_listed_active: bool,
    /// When the list was first read.
    first_listed: Option<ClockTime>,
    /// Newer-looking runs of the own instance, above which the own number was raised once.
    pub(crate) rival_runs: BTreeSet<IncarnationId>,
    pub(crate) seeds: SeedList,
    pub(crate) updates: UpdateQueue,
    pub(crate) digest: ViewDigest,
    pub(crate) rounds: RoundState,
    /// When this process last received a suspicion of itself, or found that it had been paused.
    pub(crate) disputed_at: ClockTime,
    last_change: u64,
    pub(crate) changes: BTreeMap<u64, IncarnationId>,
    pub(crate) homes: Option<Vec<HomeCandidate>>,
}

impl MemberView {
    pub(crate) fn new(own: MemberInfo, policy: MembershipPolicy, seed: u64) -> Self {
        let mut digest = ViewDigest::new();
        digest.insert(&own);
        Self {
            rounds: RoundState::new(&policy),
            policy,
            rng: fastrand::Rng::with_seed(seed),
            own,
            records: BTreeMap::new(),
            present: BTreeSet::new(),
            suspects: BTreeSet::new(),
            dead: BTreeSet::new(),
            callers: BTreeSet::new(),
            by_address: BTreeMap::new(),
            newest_runs: BTreeMap::new(),
            probes: BTreeMap::new(),
            listed_leaving: BTreeSet::new(),
            was_listed_active: false,
            first_listed: None,
            rival_runs: BTreeSet::new(),
            seeds: SeedList::default(),
            updates: UpdateQueue::default(),
            digest,
            disputed_at: ClockTime::default(),
            last_change: 0,
            changes: BTreeMap::new(),
            homes: None,
        }
    }

    /// True if the fleet is small enough for a mesh.
    pub(crate) fn is_mesh(&self) -> bool {
        self.digest.members() <= self.policy.mesh_limit
    }

    /// Changes the own description. `leaving` can't be unset: peers stop using a leaving
    /// process for good, and unsetting it would make them send requests that it refuses.
    pub(crate) fn update_own(&mut self, change: impl FnOnce(&mut MemberInfo)) {
        let before = self.own.clone();
        change(&mut self.own);
        self.own.instance = before.instance.clone();
        self.own.incarnation = before.incarnation;
        self.own.leaving |= before.leaving;
        self.own.number = self.own.number.max(before.number) + 1;
        if descriptions_match(&before, &self.own) {
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
        self.last_change += 1;
        self.changes.remove(&record.change_number);
        record.change_number = self.last_change;
        self.changes.insert(self.last_change, incarnation);
    }

    /// All records changed after a position of the change log, and the log's newest position.
    pub(crate) fn changed_since(&self, number: u64) -> (u64, Vec<&MemberRecord>) {
        let changed = self.changes.range(number + 1..).map(|(_, incarnation)| incarnation);
        let changed = changed.filter_map(|incarnation| self.records.get(incarnation)).collect();
        (self.last_change, changed)
    }

    /// Applies the set of instances that the platform's list shows as leaving.
    pub(crate) fn set_listed_leaving(&mut self, leaving: BTreeSet<InstanceName>, now: ClockTime) {
        let changed: Vec<_> = self
            .listed_leaving
            .symmetric_difference(&leaving)
            .filter_map(|instance| self.newest_runs.get(instance).copied())
            .collect();
        self.listed_leaving = leaving;
        self.homes = None;
        for incarnation in changed {
            self.mark_unfit(incarnation, now);
            self.log_change(incarnation);
        }
    }

    /// Whether the list's leaving state of the own instance applies to this run.
    pub(crate) fn should_leave(&mut self, is_listed: bool, now: ClockTime) -> bool {
        self.was_listed_active |= !is_listed;
        let first = *self.first_listed.get_or_insert(now);
        is_listed && (self.was_listed_active || now.since(first) >= MAX_LIST_LAG)
    }

    /// A member's description with the instance list's leaving state merged in.
    pub(crate) fn effective_info(&self, info: &MemberInfo) -> MemberInfo {
        let mut info = info.clone();
        info.leaving |= self.listed_leaving.contains(&info.instance);
        info
    }

    /// Entries of the own region that are eligible as homes.
    pub(crate) fn homes(&mut self) -> &[HomeCandidate] {
        if self.homes.is_none() {
            self.homes = Some(self.collect_homes());
        }
        self.homes.as_deref().unwrap_or_default()
    }

    /// Reachable sidecars of the own region.
    pub(crate) fn sidecars(&self) -> Vec<HomeCandidate> {
        let present = self.present.iter().filter_map(|incarnation| self.records.get(incarnation));
        let eligible = present.filter(|record| {
            let info = &record.info;
            info.role == MemberRole::Sidecar
                && info.region == self.own.region
                && record.is_usable(self.policy.missed_call_limit)
        });
        eligible
            .map(|record| HomeCandidate {
                incarnation: record.info.incarnation,
                name_hash: hash_of(&record.info.instance),
            })
            .collect()
    }

    fn collect_homes(&self) -> Vec<HomeCandidate> {
        let others = self
            .present
            .iter()
            .filter_map(|incarnation| self.records.get(incarnation))
            .filter(|record| record.is_usable(self.policy.missed_call_limit))
            .map(|record| &record.info);
        let eligible: Vec<&MemberInfo> = others
            .chain([&self.own])
            .filter(|info| info.role == MemberRole::Entry && info.region == self.own.region)
            .filter(|info| !info.leaving && !self.listed_leaving.contains(&info.instance))
            .collect();
        let required = home_capacity(eligible.iter().map(|info| info.capacity).collect());
        eligible
            .into_iter()
            .filter(|info| info.capacity >= required)
            .map(|info| HomeCandidate {
                incarnation: info.incarnation,
                name_hash: hash_of(&info.instance),
            })
            .collect()
    }
}
