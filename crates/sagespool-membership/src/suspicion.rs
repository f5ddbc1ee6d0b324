//! Silence, suspicion, death, and taking it back.

use std::net::SocketAddr;

use sagespool_messages::{MemberInfo, SuspectNote};
use sagespool_types::{ClockTime, IncarnationId};

use crate::record::{MemberRecord, MemberState};
use crate::view::MemberView;

/// Members called back to check a rumour, at once.
const MOST_CHECKS: usize = 3;
/// Silence of a caller, in gossip periods, after which it is called back.
const SILENT_PERIODS: u32 = 2;
/// Waits between calls to a member that doesn't answer double so often.
const MOST_DOUBLINGS: u32 = 7;

impl MemberView {
    /// A peer finds that a member doesn't answer. What is returned sets it right.
    ///
    /// In a mesh, whoever heard from the member lately says so. In a larger
    /// fleet the suspicion is passed on, the member hears of it on some way and
    /// refutes it itself: a third party's word would only say that it lived some
    /// seconds ago. Members know different numbers of it, so the highest counts;
    /// but once it has refuted a suspicion, a note with a lower number is an
    /// echo, and passing it on under a higher one would never end.
    pub(crate) fn accuse(&mut self, note: &SuspectNote, now: ClockTime) -> Option<MemberInfo> {
        if note.incarnation == self.own.incarnation {
            self.refute(note.number, now);
            return None;
        }
        let mesh = self.is_mesh();
        let record = self.records.get_mut(&note.incarnation)?;
        let spoke = record.direct.is_some_and(|at| now.since(at) < self.policy.suspect_after);
        let echo = record.info.number > note.number && record.refuted_lately(now);
        match &mut record.state {
            MemberState::Alive if echo || mesh && spoke => return Some(record.info.clone()),
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

    pub(crate) fn suspect(&mut self, note: &SuspectNote, now: ClockTime) {
        self.mark_unfit(note.incarnation, now);
        let Some(record) = self.records.get_mut(&note.incarnation) else { return };
        record.state = MemberState::Suspect { since: now, number: note.number };
        self.suspects.insert(note.incarnation);
        self.rounds.urgent = true;
        self.spread(note.incarnation);
    }

    /// Someone believes this process dead: its number rises above the rumour's,
    /// and it says so to all its peers.
    pub(crate) fn refute(&mut self, number: u64, now: ClockTime) {
        self.doubted = now;
        self.own.number = self.own.number.max(number) + 1;
        self.rounds.refuting = true;
    }

    pub(crate) fn clear_suspicion(&mut self, incarnation: IncarnationId, now: ClockTime) {
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
    pub(crate) fn check_rumour(&mut self, incarnation: IncarnationId, now: ClockTime) {
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
        let refuted = record.refuted_lately(now) && record.direct < record.refuted;
        let alive = record.state == MemberState::Alive;
        let note = SuspectNote { incarnation, number: record.info.number };
        self.mark_unfit(incarnation, now);
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
        self.mark_unfit(incarnation, now);
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
}
