//! What others say of a member, taken into the view.

use std::net::SocketAddr;

use sagespool_messages::{MemberInfo, SuspectNote};
use sagespool_types::{ClockTime, IncarnationId};

use crate::description::is_described_alike;
use crate::news::sends_for;
use crate::record::{MemberRecord, MemberState};
use crate::seniority::{is_newer, newer_by_revision};
use crate::view::MemberView;

/// How far a restarted process outnumbers its predecessor's rumour: members
/// know different numbers of it, but none so many rounds apart.
const RIVAL_MARGIN: u64 = 1000;

/// Members discovered within a window that are passed on as news. Beyond it,
/// as when a process starts or a partition heals, digests do it with far fewer
/// bytes: most peers know most of them already.
const FEW_DISCOVERIES: usize = 32;

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

impl MemberView {
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
        if info.leaving {
            self.mark_unfit(info.incarnation, now);
        }
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
        record.refuted = Some(now);
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
        if info.leaving && !before.leaving {
            self.mark_unfit(info.incarnation, now);
        }
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
            if self.by_address.get(&before.address) == Some(&info.incarnation) {
                self.by_address.remove(&before.address);
            }
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
        self.mark_unfit(incarnation, now);
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
        let is_bulk = !self.rounds.settled || self.rounds.discovered > FEW_DISCOVERIES;
        let sends = if is_bulk { 1 } else { sends_for(self.digest.members()) };
        self.news.push(incarnation, sends);
        self.log_change(incarnation);
    }

    /// A member is not part of the view any more.
    pub(crate) fn leave_view(&mut self, incarnation: IncarnationId) {
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
    pub(crate) fn spread(&mut self, incarnation: IncarnationId) {
        self.news.push(incarnation, sends_for(self.digest.members()));
        self.log_change(incarnation);
    }
}
