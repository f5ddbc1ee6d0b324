//! One process's view: what it believes of each member, and how it learns.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use sagespool_messages::{MemberInfo, MemberRole, SuspectNote};
use sagespool_types::{ClockTime, IncarnationId, InstanceName};

use crate::description::{ViewDigest, is_described_alike};
use crate::home::{HomeCandidate, hash_of};
use crate::news::{NewsQueue, sends_for};
use crate::policy::MembershipPolicy;
use crate::record::{MemberRecord, MemberState};
use crate::rounds::RoundClock;
use crate::seeds::SeedList;
use crate::seniority::{is_newer, newer_by_revision};

/// Members called back to check a rumour, at once.
const MOST_CHECKS: usize = 3;
/// Silence of a caller, in gossip periods, after which it is called back.
const SILENT_PERIODS: u32 = 2;
/// Waits between calls to a member that doesn't answer double so often.
const MOST_DOUBLINGS: u32 = 7;
/// Time in which this process doesn't suspect a member for its own missed
/// calls, once the member refuted such a suspicion.
const BROKEN_LINK_TIME: Duration = Duration::from_secs(30);

/// How far a restarted process outnumbers its predecessor's rumour: members
/// know different numbers of it, but none so many rounds apart.
const RIVAL_MARGIN: u64 = 1000;

/// What a peer's word on a member was worth.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum MergeResult {
    /// It was news, or at least newer.
    Taken,
    /// It was known.
    Known,
    /// It speaks of a member believed dead, and doesn't refute that.
    Refuted(SuspectNote),
    /// A newer run of the same instance is known.
    Outnumbered(Box<MemberInfo>),
}

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
    newest: BTreeMap<InstanceName, IncarnationId>,
    /// Members to call besides the rounds, and when.
    pub(crate) probes: BTreeMap<IncarnationId, ClockTime>,
    pub(crate) listed_leaving: BTreeSet<InstanceName>,
    /// Other runs of the own instance that this process has outnumbered once.
    rivals: BTreeSet<IncarnationId>,
    pub(crate) seeds: SeedList,
    pub(crate) news: NewsQueue,
    pub(crate) digest: ViewDigest,
    pub(crate) rounds: RoundClock,
    change_number: u64,
    changes: BTreeMap<u64, IncarnationId>,
    homes: Option<Vec<HomeCandidate>>,
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
            rivals: BTreeSet::new(),
            seeds: SeedList::default(),
            news: NewsQueue::default(),
            digest,
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

    /// Takes in what a peer says of a member.
    pub(crate) fn merge(&mut self, info: &MemberInfo, now: ClockTime) -> MergeResult {
        if info.incarnation == self.own.incarnation {
            return MergeResult::Known;
        }
        if info.instance == self.own.instance && !self.admits_rival(info) {
            self.remember_replaced(info, now);
            return MergeResult::Known;
        }
        match self.records.get(&info.incarnation).map(|record| record.state) {
            None => self.discover(info, now),
            Some(MemberState::Replaced { .. }) => self.reconsider(info, now),
            Some(MemberState::Dead { .. }) => self.revive(info, now),
            Some(_) => self.refresh(info, now),
        }
    }

    /// Another run of the own instance is heard of; true if it is to be believed.
    ///
    /// Where the store's revisions tell which is newer, they are believed. Where
    /// only the numbers do, an instance's clock that was set back makes the dead
    /// predecessor look newer, and its successor would get no work: so this
    /// process outnumbers it, once. If it counts on beyond that, it lives as well.
    fn admits_rival(&mut self, info: &MemberInfo) -> bool {
        if !is_newer(info, &self.own) {
            return false;
        }
        if newer_by_revision(info, &self.own).is_some() || !self.rivals.insert(info.incarnation) {
            return true;
        }
        self.own.number = info.number + RIVAL_MARGIN;
        self.rounds.announce_own();
        false
    }

    fn discover(&mut self, info: &MemberInfo, now: ClockTime) -> MergeResult {
        if self.records.len() >= self.policy.most_members {
            return MergeResult::Known;
        }
        self.rounds.discovered += 1;
        if !self.supersede(info, now) {
            self.remember_replaced(info, now);
            return self.outnumbered(info);
        }
        self.records.insert(info.incarnation, MemberRecord::new(info.clone(), now));
        self.enter(info.incarnation);
        MergeResult::Taken
    }

    /// A replaced run is heard of again: is it newer than its replacement after all?
    fn reconsider(&mut self, info: &MemberInfo, now: ClockTime) -> MergeResult {
        let Some(record) = self.records.get(&info.incarnation) else { return MergeResult::Known };
        if info.number <= record.info.number || !self.supersede(info, now) {
            return self.outnumbered(info);
        }
        self.bring_back(info, now)
    }

    /// The sender is told of the newer run: if it is that older one itself and
    /// lives, it learns it.
    fn outnumbered(&self, info: &MemberInfo) -> MergeResult {
        let newest = self.newest.get(&info.instance).and_then(|newest| self.records.get(newest));
        newest.map_or(MergeResult::Known, |newest| {
            MergeResult::Outnumbered(Box::new(newest.info.clone()))
        })
    }

    fn revive(&mut self, info: &MemberInfo, now: ClockTime) -> MergeResult {
        let Some(record) = self.records.get(&info.incarnation) else { return MergeResult::Known };
        let number = record.refuted_above();
        if info.number <= number {
            // Stale gossip of a dead member is how a ghost would come back.
            return MergeResult::Refuted(SuspectNote { incarnation: info.incarnation, number });
        }
        self.check_rumour(info.incarnation, now);
        self.bring_back(info, now)
    }

    fn bring_back(&mut self, info: &MemberInfo, now: ClockTime) -> MergeResult {
        self.dead.remove(&info.incarnation);
        self.rounds.discovered += 1;
        let Some(record) = self.records.get_mut(&info.incarnation) else {
            return MergeResult::Known;
        };
        record.info = info.clone();
        record.state = MemberState::Alive;
        record.heard = now;
        record.missed = 0;
        self.enter(info.incarnation);
        MergeResult::Taken
    }

    fn refresh(&mut self, info: &MemberInfo, now: ClockTime) -> MergeResult {
        let Some(record) = self.records.get_mut(&info.incarnation) else {
            return MergeResult::Known;
        };
        if info.number <= record.info.number {
            return MergeResult::Known;
        }
        let refutes = info.number > record.refuted_above();
        let before = std::mem::replace(&mut record.info, info.clone());
        record.heard = now;
        self.describe(&before, info);
        if refutes {
            self.clear_suspicion(info.incarnation, now);
        }
        MergeResult::Taken
    }

    /// Follows a change of a present member's description.
    fn describe(&mut self, before: &MemberInfo, info: &MemberInfo) {
        let load_changed = before.serves != info.serves || before.config != info.config;
        if !is_described_alike(before, info) {
            self.digest.remove(before);
            self.digest.insert(info);
            self.by_address.remove(&before.address);
            self.by_address.insert(info.address, info.incarnation);
            self.spread(info.incarnation);
            self.rounds.urgent |= info.leaving && !before.leaving;
        } else if load_changed {
            self.log_change(info.incarnation);
        }
    }

    /// Another process answers at a member's address: the member is surely not
    /// there any more, whatever their numbers say.
    pub(crate) fn evict(&mut self, address: SocketAddr, answering: &MemberInfo, now: ClockTime) {
        let Some(there) = self.by_address.get(&address).copied() else { return };
        if there == answering.incarnation {
            return;
        }
        self.replace(there, now);
        if self.newest.get(&answering.instance) == Some(&there) {
            self.newest.remove(&answering.instance);
        }
    }

    /// Makes room for a run of an instance, unless a newer one is known.
    fn supersede(&mut self, info: &MemberInfo, now: ClockTime) -> bool {
        let Some(incarnation) = self.newest.get(&info.instance).copied() else { return true };
        let newest = self.records.get(&incarnation).map(|record| &record.info);
        if newest.is_some_and(|newest| !is_newer(info, newest)) {
            return false;
        }
        self.replace(incarnation, now);
        true
    }

    /// A member isn't there any more: another run took its instance or its address.
    pub(crate) fn replace(&mut self, incarnation: IncarnationId, now: ClockTime) {
        self.leave_view(incarnation);
        self.dead.remove(&incarnation);
        if let Some(record) = self.records.get_mut(&incarnation) {
            record.state = MemberState::Replaced { since: now };
        }
        self.log_change(incarnation);
    }

    fn remember_replaced(&mut self, info: &MemberInfo, now: ClockTime) {
        let mut record = MemberRecord::new(info.clone(), now);
        record.state = MemberState::Replaced { since: now };
        self.records.entry(info.incarnation).or_insert(record);
    }

    /// A member is part of the view from now on.
    fn enter(&mut self, incarnation: IncarnationId) {
        let Some(record) = self.records.get(&incarnation) else { return };
        if self.present.insert(incarnation) {
            self.digest.insert(&record.info);
        }
        self.newest.insert(record.info.instance.clone(), incarnation);
        self.by_address.insert(record.info.address, incarnation);
        self.spread(incarnation);
    }

    /// A member is not part of the view any more.
    fn leave_view(&mut self, incarnation: IncarnationId) {
        let Some(record) = self.records.get(&incarnation) else { return };
        if self.present.remove(&incarnation) {
            self.digest.remove(&record.info);
        }
        if self.by_address.get(&record.info.address) == Some(&incarnation) {
            self.by_address.remove(&record.info.address);
        }
        self.suspects.remove(&incarnation);
        self.callers.remove(&incarnation);
        self.probes.remove(&incarnation);
    }

    /// Passes a member's state on, and logs the change.
    fn spread(&mut self, incarnation: IncarnationId) {
        self.news.push(incarnation, sends_for(self.digest.members()));
        self.log_change(incarnation);
    }

    /// A peer finds that a member doesn't answer.
    ///
    /// In a mesh, whoever heard from the member lately says so and the accuser
    /// is set right with what is returned. In a larger fleet the suspicion is
    /// passed on, the member hears of it on some way, and refutes it itself:
    /// a third party's word would only say that it lived some seconds ago.
    pub(crate) fn accuse(&mut self, note: &SuspectNote, now: ClockTime) -> Option<MemberInfo> {
        if note.incarnation == self.own.incarnation {
            self.refute(note.number);
            return None;
        }
        let mesh = self.is_mesh();
        let record = self.records.get_mut(&note.incarnation)?;
        let spoke = record.direct.is_some_and(|at| now.since(at) < self.policy.suspect_after);
        match &mut record.state {
            MemberState::Alive if mesh && spoke => return Some(record.info.clone()),
            MemberState::Alive => {
                let number = note.number.max(record.info.number);
                self.suspect(&SuspectNote { number, ..*note }, now);
                if spoke {
                    self.check_rumour(note.incarnation, now);
                }
            }
            MemberState::Suspect { number, .. } | MemberState::Dead { number, .. } => {
                *number = note.number.max(*number);
                self.news.known_already(note.incarnation);
            }
            MemberState::Replaced { .. } => {}
        }
        None
    }

    fn suspect(&mut self, note: &SuspectNote, now: ClockTime) {
        let Some(record) = self.records.get_mut(&note.incarnation) else { return };
        record.state = MemberState::Suspect { since: now, number: note.number };
        self.suspects.insert(note.incarnation);
        self.rounds.urgent = true;
        self.spread(note.incarnation);
    }

    /// Someone believes this process dead: its number rises above the rumour's.
    fn refute(&mut self, number: u64) {
        if number >= self.own.number {
            self.own.number = number + 1;
            self.rounds.announce_own();
        }
    }

    fn clear_suspicion(&mut self, incarnation: IncarnationId, now: ClockTime) {
        if !self.suspects.remove(&incarnation) {
            return;
        }
        if let Some(record) = self.records.get_mut(&incarnation) {
            record.state = MemberState::Alive;
            record.refuted = Some(now);
        }
        self.rounds.urgent = true;
        self.spread(incarnation);
    }

    /// Calls a member that rumours disagree on, but few of them at once: after
    /// a partition heals, thousands come back.
    fn check_rumour(&mut self, incarnation: IncarnationId, now: ClockTime) {
        if self.probes.len() < MOST_CHECKS {
            self.probes.entry(incarnation).or_insert(now);
        }
    }

    /// A member spoke to this process: in a call of its own, or in an answer.
    pub(crate) fn contact(&mut self, incarnation: IncarnationId, called: bool, now: ClockTime) {
        self.rounds.contacted = true;
        let Some(record) = self.records.get_mut(&incarnation) else { return };
        if record.missed > 0 {
            self.homes = None;
        }
        record.direct = Some(now);
        record.missed = 0;
        if record.is_gone() {
            return;
        }
        record.heard = now;
        if called {
            // A single call may be a check, and a check of a check would never end.
            let limit = self.policy.gossip_period * SILENT_PERIODS;
            let again = record.called.is_some_and(|before| now.since(before) < limit);
            record.called = Some(now);
            if again {
                self.callers.insert(incarnation);
            }
        }
        if record.state == MemberState::Alive {
            self.probes.remove(&incarnation);
        }
    }

    /// A call to an address was not answered. It is called again, ever more
    /// rarely; from the second time on the member is suspected.
    pub(crate) fn missed(&mut self, address: SocketAddr, now: ClockTime) {
        let Some(incarnation) = self.by_address.get(&address).copied() else { return };
        let Some(record) = self.records.get_mut(&incarnation) else { return };
        record.missed += 1;
        let wait = self.policy.retry_gap * 2_u32.pow(record.missed.min(MOST_DOUBLINGS) - 1);
        let silent = record.missed >= self.policy.missed_limit;
        // Only the link from here is broken: others would be troubled for nothing.
        let refuted = record.refuted.is_some_and(|at| now.since(at) < BROKEN_LINK_TIME);
        let alive = record.state == MemberState::Alive;
        let note = SuspectNote { incarnation, number: record.info.number };
        self.homes = None;
        self.probes.insert(incarnation, now.after(wait));
        if silent && alive && !refuted {
            self.suspect(&note, now);
        }
    }

    /// Lets time pass: silence raises suspicion, and suspicion ends in death.
    pub(crate) fn advance(&mut self, now: ClockTime) {
        if self.is_mesh() {
            self.suspect_silent(now);
        } else {
            self.call_silent_back(now);
        }
        self.bury(now);
    }

    fn suspect_silent(&mut self, now: ClockTime) {
        let silent: Vec<_> = self
            .present
            .iter()
            .filter_map(|incarnation| self.records.get(incarnation))
            .filter(|record| record.state == MemberState::Alive)
            .filter(|record| now.since(record.heard) >= self.policy.suspect_after)
            .map(|record| SuspectNote {
                incarnation: record.info.incarnation,
                number: record.info.number,
            })
            .collect();
        for note in silent {
            self.suspect(&note, now);
        }
    }

    /// A member that called each round and doesn't any more has chosen another
    /// neighbour, or is dead: a call tells.
    fn call_silent_back(&mut self, now: ClockTime) {
        let limit = self.policy.gossip_period * SILENT_PERIODS;
        let is_silent =
            |record: &MemberRecord| record.called.is_none_or(|called| now.since(called) >= limit);
        let silent: Vec<_> = self
            .callers
            .iter()
            .filter(|caller| self.records.get(caller).is_none_or(is_silent))
            .copied()
            .collect();
        for incarnation in silent {
            self.callers.remove(&incarnation);
            self.probes.entry(incarnation).or_insert(now);
        }
    }

    fn bury(&mut self, now: ClockTime) {
        let limit =
            if self.is_mesh() { self.policy.mesh_refute } else { self.policy.gossip_refute };
        let lapsed = |incarnation: &&IncarnationId| match self.records.get(incarnation) {
            Some(MemberRecord { state: MemberState::Suspect { since, .. }, .. }) => {
                now.since(*since) >= limit
            }
            _ => true,
        };
        let lapsed: Vec<_> = self.suspects.iter().filter(lapsed).copied().collect();
        for incarnation in lapsed {
            self.declare_dead(incarnation, now);
        }
    }

    fn declare_dead(&mut self, incarnation: IncarnationId, now: ClockTime) {
        self.leave_view(incarnation);
        let Some(record) = self.records.get_mut(&incarnation) else { return };
        let number = record.refuted_above();
        record.state = MemberState::Dead { since: now, number };
        self.dead.insert(incarnation);
        self.log_change(incarnation);
    }

    /// Forgets incarnations that have been gone for long.
    pub(crate) fn forget_old(&mut self, now: ClockTime) {
        let limit = self.policy.forget_after;
        let old: Vec<_> = self
            .records
            .iter()
            .filter(|(_, record)| match record.state {
                MemberState::Dead { since, .. } | MemberState::Replaced { since } => {
                    now.since(since) >= limit
                }
                _ => false,
            })
            .map(|(incarnation, _)| *incarnation)
            .collect();
        for incarnation in old {
            self.forget(incarnation);
        }
    }

    fn forget(&mut self, incarnation: IncarnationId) {
        self.dead.remove(&incarnation);
        let Some(record) = self.records.remove(&incarnation) else { return };
        self.changes.remove(&record.changed);
        if self.newest.get(&record.info.instance) == Some(&incarnation) {
            self.newest.remove(&record.info.instance);
        }
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
    pub(crate) fn list_leaving(&mut self, leaving: BTreeSet<InstanceName>) {
        let changed: Vec<_> = self
            .listed_leaving
            .symmetric_difference(&leaving)
            .filter_map(|instance| self.newest.get(instance).copied())
            .collect();
        self.listed_leaving = leaving;
        self.homes = None;
        for incarnation in changed {
            self.log_change(incarnation);
        }
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
