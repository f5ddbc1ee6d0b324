//! Failure detection: silence, suspicion, death and refutation.

use std::net::SocketAddr;

use sagespool_messages::{MemberInfo, SuspectedMember};
use sagespool_types::{ClockTime, IncarnationId};

use crate::record::{MemberRecord, MemberState};
use crate::view::MemberView;

/// Limit of pending calls that check contradictory reports of a member.
const MAX_PENDING_CHECKS: usize = 3;
/// Gossip periods without a call from a caller after which it is called.
const SILENCE_GOSSIP_PERIODS: u32 = 2;
/// Missed calls after which the retry delay of a member stops doubling.
const BACKOFF_MISSED_CALLS: u32 = 7;

impl MemberView {
    /// Handles a peer's suspicion of a member. Returns the member's description if the
    /// suspicion is outdated.
    ///
    /// In a mesh a member that has heard from the suspect lately contradicts the suspicion.
    /// In a larger fleet the suspicion is gossiped until it reaches the suspect, which refutes
    /// it; a third party could only confirm that the suspect was alive some seconds ago.
    /// Members hold different numbers of the suspect, so the highest counts. Once the suspect
    /// has refuted a suspicion, a note with a lower number is stale: gossiping it again with
    /// a higher number would never end.
    pub(crate) fn handle_suspicion(
        &mut self,
        note: &SuspectedMember,
        now: ClockTime,
    ) -> Option<MemberInfo> {
        if note.incarnation == self.own.incarnation {
            self.refute(note.number, now);
            return None;
        }
        let mesh = self.is_mesh();
        let record = self.records.get_mut(&note.incarnation)?;
        let is_recent =
            record.last_contact.is_some_and(|at| now.since(at) < self.policy.suspect_after);
        let is_stale = record.info.number > note.number && record.recently_refuted(now);
        match &mut record.state {
            MemberState::Alive if is_stale || mesh && is_recent => {
                return Some(record.info.clone());
            }
            MemberState::Alive => {
                let number = note.number.max(record.info.number);
                self.suspect(&SuspectedMember { number, ..*note }, now);
                if is_recent {
                    self.schedule_check(note.incarnation, now);
                }
            }
            MemberState::Suspect { number, .. } | MemberState::Dead { number, .. } => {
                *number = note.number.max(*number);
                self.updates.record_known(note.incarnation);
            }
            MemberState::Replaced { .. } => {}
        }
        None
    }

    pub(crate) fn suspect(&mut self, note: &SuspectedMember, now: ClockTime) {
        self.mark_unfit(note.incarnation, now);
        let Some(record) = self.records.get_mut(&note.incarnation) else { return };
        record.state = MemberState::Suspect { since: now, number: note.number };
        self.suspects.insert(note.incarnation);
        self.rounds.urgent = true;
        self.queue_update(note.incarnation);
    }

    /// Refutes a suspicion of this process: raises the own number above the suspicion's and
    /// schedules a heartbeat to all peers.
    pub(crate) fn refute(&mut self, number: u64, now: ClockTime) {
        self.disputed_at = now;
        self.own.number = self.own.number.max(number) + 1;
        self.rounds.refutation_pending = true;
    }

    pub(crate) fn clear_suspicion(&mut self, incarnation: IncarnationId, now: ClockTime) {
        if !self.suspects.remove(&incarnation) {
            return;
        }
        if let Some(record) = self.records.get_mut(&incarnation) {
            record.state = MemberState::Alive;
            record.last_refuted = Some(now);
        }
        self.rounds.urgent = true;
        self.queue_update(incarnation);
    }

    /// Schedules a call to a member about which reports contradict each other. The number of
    /// pending calls is limited, since thousands of members return when a partition heals.
    pub(crate) fn schedule_check(&mut self, incarnation: IncarnationId, now: ClockTime) {
        if self.probes.len() < MAX_PENDING_CHECKS {
            self.probes.entry(incarnation).or_insert(now);
        }
    }

    /// Records a direct message from a member: a call if `is_call`, else a reply.
    pub(crate) fn record_contact(
        &mut self,
        incarnation: IncarnationId,
        is_call: bool,
        now: ClockTime,
    ) {
        self.rounds.contacted = true;
        let Some(record) = self.records.get_mut(&incarnation) else { return };
        if record.missed_calls > 0 {
            self.homes = None;
        }
        record.last_contact = Some(now);
        record.missed_calls = 0;
        if record.is_gone() {
            return;
        }
        record.last_heard = now;
        if is_call {
            // A single call may be a check. Calling back after a check would never end.
            let limit = self.policy.gossip_period * SILENCE_GOSSIP_PERIODS;
            let is_repeated = record.last_call.is_some_and(|before| now.since(before) < limit);
            record.last_call = Some(now);
            if is_repeated {
                self.callers.insert(incarnation);
            }
        }
        if record.state == MemberState::Alive {
            self.probes.remove(&incarnation);
        }
    }

    /// Records an unanswered call. Schedules a retry with exponential backoff, and suspects
    /// the member after `missed_call_limit` failures.
    pub(crate) fn record_missed_call(&mut self, address: SocketAddr, now: ClockTime) {
        let Some(incarnation) = self.by_address.get(&address).copied() else { return };
        let Some(record) = self.records.get_mut(&incarnation) else { return };
        record.missed_calls += 1;
        let wait = self.policy.retry_interval
            * 2_u32.pow(record.missed_calls.min(BACKOFF_MISSED_CALLS) - 1);
        let silent = record.missed_calls >= self.policy.missed_call_limit;
        // A recent refutation shows that only the link from here is broken: no suspicion.
        let refuted = record.recently_refuted(now) && record.last_contact < record.last_refuted;
        let alive = record.state == MemberState::Alive;
        let note = SuspectedMember { incarnation, number: record.info.number };
        self.mark_unfit(incarnation, now);
        self.probes.insert(incarnation, now.after(wait));
        if silent && alive && !refuted {
            self.suspect(&note, now);
        }
    }

    /// Applies timeouts: silent members become suspected, expired suspicions become deaths.
    pub(crate) fn advance(&mut self, now: ClockTime) {
        if self.is_mesh() {
            self.suspect_silent(now);
        } else {
            self.probe_silent_callers(now);
        }
        self.expire_suspicions(now);
    }

    fn suspect_silent(&mut self, now: ClockTime) {
        let silent: Vec<_> = self
            .present
            .iter()
            .filter_map(|incarnation| self.records.get(incarnation))
            .filter(|record| record.state == MemberState::Alive)
            .filter(|record| now.since(record.last_heard) >= self.policy.suspect_after)
            .map(|record| SuspectedMember {
                incarnation: record.info.incarnation,
                number: record.info.number,
            })
            .collect();
        for note in silent {
            self.suspect(&note, now);
        }
    }

    /// Calls members that used to call each round and stopped: such a member has either
    /// chosen another neighbour or died.
    fn probe_silent_callers(&mut self, now: ClockTime) {
        let limit = self.policy.gossip_period * SILENCE_GOSSIP_PERIODS;
        let is_silent = |record: &MemberRecord| {
            record.last_call.is_none_or(|called| now.since(called) >= limit)
        };
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

    /// Declares members dead that haven't refuted a suspicion in time.
    fn expire_suspicions(&mut self, now: ClockTime) {
        let limit = if self.is_mesh() {
            self.policy.mesh_refute_timeout
        } else {
            self.policy.gossip_refute_timeout
        };
        let is_expired = |incarnation: &&IncarnationId| match self.records.get(incarnation) {
            Some(MemberRecord { state: MemberState::Suspect { since, .. }, .. }) => {
                now.since(*since) >= limit
            }
            _ => true,
        };
        let expired: Vec<_> = self.suspects.iter().filter(is_expired).copied().collect();
        for incarnation in expired {
            self.declare_dead(incarnation, now);
        }
    }

    fn declare_dead(&mut self, incarnation: IncarnationId, now: ClockTime) {
        self.mark_unfit(incarnation, now);
        self.remove_from_view(incarnation);
        let Some(record) = self.records.get_mut(&incarnation) else { return };
        let number = record.refutation_threshold();
        record.state = MemberState::Dead { since: now, number };
        self.dead.insert(incarnation);
        self.log_change(incarnation);
    }

    /// Removes records of incarnations that were gone for `gone_retention`.
    pub(crate) fn drop_expired_records(&mut self, now: ClockTime) {
        let limit = self.policy.gone_retention;
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
            self.remove_record(incarnation);
        }
    }

    fn remove_record(&mut self, incarnation: IncarnationId) {
        self.dead.remove(&incarnation);
        let Some(record) = self.records.remove(&incarnation) else { return };
        self.changes.remove(&record.change_number);
        if self.newest_runs.get(&record.info.instance) == Some(&incarnation) {
            self.newest_runs.remove(&record.info.instance);
        }
    }
}
