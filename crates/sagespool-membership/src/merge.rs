//! Merging of member descriptions received from peers into the view.

use std::net::SocketAddr;

use sagespool_messages::{MemberInfo, SuspectedMember};
use sagespool_types::{ClockTime, IncarnationId};

use crate::digest::descriptions_match;
use crate::record::{MemberRecord, MemberState};
use crate::run_order::{is_newer_run, newer_by_revision};
use crate::update_queue::gossip_sends;
use crate::view::MemberView;

/// Added to the number of an older run of the own instance to exceed every number of it
/// that members hold. Their numbers differ, but by fewer rounds than this.
const RIVAL_NUMBER_MARGIN: u64 = 1000;

/// Limit of discoveries within a settle window that are gossiped as updates. Beyond it, as after
/// a process start or a healed partition, digests transfer them in far fewer bytes, since most
/// peers have most of them already.
const MAX_GOSSIPED_DISCOVERIES: usize = 32;

/// The result of merging one member's description.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum MergeResult {
    /// It was newer than the stored one, and has been stored.
    Applied,
    /// It wasn't newer than the stored one, or was ignored.
    Known,
    /// It describes a dead member with a number too low to refute the death.
    Refuted(SuspectedMember),
    /// A newer run of the same instance is known.
    Superseded(Box<MemberInfo>),
}

impl MemberView {
    /// Merges a member's description received from a peer.
    pub(crate) fn merge(&mut self, info: &MemberInfo, now: ClockTime) -> MergeResult {
        if info.incarnation == self.own.incarnation {
            return MergeResult::Known;
        }
        if info.instance == self.own.instance && !self.accepts_other_run(info) {
            self.insert_replaced(info, now);
            return MergeResult::Known;
        }
        match self.records.get(&info.incarnation).map(|record| record.state) {
            None => self.add_discovered(info, now),
            Some(MemberState::Replaced { .. }) => self.recheck_replaced(info, now),
            Some(MemberState::Dead { .. }) => self.update_dead(info, now),
            Some(_) => self.update_present(info, now),
        }
    }

    /// Handles another run of the own instance; true if it is accepted as the newer one.
    ///
    /// The store's revisions at the start decide if they differ. If only the numbers differ,
    /// a clock that was set back makes a dead older run look newer, and its successor would
    /// get no work. So this process raises its own number above that run's, once. If the
    /// other run still exceeds it after that, it is alive and is accepted.
    fn accepts_other_run(&mut self, info: &MemberInfo) -> bool {
        if !is_newer_run(info, &self.own) {
            return false;
        }
        if newer_by_revision(info, &self.own).is_some() || !self.rival_runs.insert(info.incarnation)
        {
            return true;
        }
        self.own.number = info.number + RIVAL_NUMBER_MARGIN;
        self.rounds.announce_own();
        false
    }

    fn add_discovered(&mut self, info: &MemberInfo, now: ClockTime) -> MergeResult {
        if self.records.len() >= self.policy.max_members {
            return MergeResult::Known;
        }
        self.rounds.discovered += 1;
        if !self.replace_older_run(info, now) {
            self.insert_replaced(info, now);
            return self.superseded(info);
        }
        self.records.insert(info.incarnation, MemberRecord::new(info.clone(), now));
        if info.leaving {
            self.mark_unfit(info.incarnation, now);
        }
        self.add_to_view(info.incarnation);
        MergeResult::Applied
    }

    /// Handles a description of a replaced run, which may be newer than its replacement.
    fn recheck_replaced(&mut self, info: &MemberInfo, now: ClockTime) -> MergeResult {
        let Some(record) = self.records.get(&info.incarnation) else { return MergeResult::Known };
        if info.number <= record.info.number || !self.replace_older_run(info, now) {
            return self.superseded(info);
        }
        self.restore(info, now)
    }

    /// The result for an older run: the newest run, to be sent back. An older run that is still
    /// alive learns of the newer one in this way.
    fn superseded(&self, info: &MemberInfo) -> MergeResult {
        let newest =
            self.newest_runs.get(&info.instance).and_then(|newest| self.records.get(newest));
        newest.map_or(MergeResult::Known, |newest| {
            MergeResult::Superseded(Box::new(newest.info.clone()))
        })
    }

    fn update_dead(&mut self, info: &MemberInfo, now: ClockTime) -> MergeResult {
        let Some(record) = self.records.get(&info.incarnation) else { return MergeResult::Known };
        let number = record.refutation_threshold();
        if info.number <= number {
            // Accepting stale gossip would bring a dead member back.
            return MergeResult::Refuted(SuspectedMember { incarnation: info.incarnation, number });
        }
        self.schedule_check(info.incarnation, now);
        self.restore(info, now)
    }

    fn restore(&mut self, info: &MemberInfo, now: ClockTime) -> MergeResult {
        self.dead.remove(&info.incarnation);
        self.rounds.discovered += 1;
        let Some(record) = self.records.get_mut(&info.incarnation) else {
            return MergeResult::Known;
        };
        record.info = info.clone();
        record.state = MemberState::Alive;
        record.last_heard = now;
        record.last_refuted = Some(now);
        record.missed_calls = 0;
        self.add_to_view(info.incarnation);
        MergeResult::Applied
    }

    fn update_present(&mut self, info: &MemberInfo, now: ClockTime) -> MergeResult {
        let Some(record) = self.records.get_mut(&info.incarnation) else {
            return MergeResult::Known;
        };
        if info.number <= record.info.number {
            return MergeResult::Known;
        }
        let refutes = info.number > record.refutation_threshold();
        let before = std::mem::replace(&mut record.info, info.clone());
        record.last_heard = now;
        if info.leaving && !before.leaving {
            self.mark_unfit(info.incarnation, now);
        }
        self.update_description(&before, info);
        if refutes {
            self.clear_suspicion(info.incarnation, now);
        }
        MergeResult::Applied
    }

    /// Applies a change of a present member's description.
    fn update_description(&mut self, before: &MemberInfo, info: &MemberInfo) {
        let load_changed = before.serves != info.serves || before.config != info.config;
        if !descriptions_match(before, info) {
            self.digest.remove(before);
            self.digest.insert(info);
            if self.by_address.get(&before.address) == Some(&info.incarnation) {
                self.by_address.remove(&before.address);
            }
            self.by_address.insert(info.address, info.incarnation);
            self.queue_update(info.incarnation);
            self.rounds.urgent |= info.leaving && !before.leaving;
        } else if load_changed {
            self.log_change(info.incarnation);
        }
    }

    /// Replaces the member stored for an address if another process answers there: it can't
    /// be running any more, whatever the numbers are.
    pub(crate) fn evict_address(
        &mut self,
        address: SocketAddr,
        answering: &MemberInfo,
        now: ClockTime,
    ) {
        let Some(stored) = self.by_address.get(&address).copied() else { return };
        if stored == answering.incarnation {
            return;
        }
        self.mark_replaced(stored, now);
        if self.newest_runs.get(&answering.instance) == Some(&stored) {
            self.newest_runs.remove(&answering.instance);
        }
    }

    /// Marks the known run of an instance as replaced; false if the known one is newer.
    fn replace_older_run(&mut self, info: &MemberInfo, now: ClockTime) -> bool {
        let Some(incarnation) = self.newest_runs.get(&info.instance).copied() else { return true };
        let newest = self.records.get(&incarnation).map(|record| &record.info);
        if newest.is_some_and(|newest| !is_newer_run(info, newest)) {
            return false;
        }
        self.mark_replaced(incarnation, now);
        true
    }

    /// Marks a member as replaced by another run of its instance or at its address.
    pub(crate) fn mark_replaced(&mut self, incarnation: IncarnationId, now: ClockTime) {
        self.mark_unfit(incarnation, now);
        self.remove_from_view(incarnation);
        self.dead.remove(&incarnation);
        if let Some(record) = self.records.get_mut(&incarnation) {
            record.state = MemberState::Replaced { since: now };
        }
        self.log_change(incarnation);
    }

    fn insert_replaced(&mut self, info: &MemberInfo, now: ClockTime) {
        let mut record = MemberRecord::new(info.clone(), now);
        record.state = MemberState::Replaced { since: now };
        self.records.entry(info.incarnation).or_insert(record);
    }

    /// Adds a member to the view.
    fn add_to_view(&mut self, incarnation: IncarnationId) {
        let Some(record) = self.records.get(&incarnation) else { return };
        if self.present.insert(incarnation) {
            self.digest.insert(&record.info);
        }
        self.newest_runs.insert(record.info.instance.clone(), incarnation);
        self.by_address.insert(record.info.address, incarnation);
        let is_bulk = !self.rounds.settled || self.rounds.discovered > MAX_GOSSIPED_DISCOVERIES;
        let sends = if is_bulk { 1 } else { gossip_sends(self.digest.members()) };
        self.updates.push(incarnation, sends);
        self.log_change(incarnation);
    }

    /// Removes a member from the view; its record is kept.
    pub(crate) fn remove_from_view(&mut self, incarnation: IncarnationId) {
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

    /// Queues a member's state for gossip and logs the change.
    pub(crate) fn queue_update(&mut self, incarnation: IncarnationId) {
        self.updates.push(incarnation, gossip_sends(self.digest.members()));
        self.log_change(incarnation);
    }
}
