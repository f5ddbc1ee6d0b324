//! When to speak to whom, and what to say.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use sagespool_messages::Heartbeat;
use sagespool_types::{ClockTime, IncarnationId};

use crate::exchange::Correction;
use crate::policy::MembershipPolicy;
use crate::record::MemberState;
use crate::view::MemberView;

/// Of a mesh's period: a peer that called within it need not be called.
const SKIP_SHARE: f64 = 0.6;
/// Time between two extra rounds that refute rumours about this process.
const REFUTE_GAP: Duration = Duration::from_millis(500);
/// Seeds tried in one round of a larger fleet.
const SEEDS_EACH_ROUND: usize = 2;
/// Dead members called at once in a mesh, and how much rarer in a larger fleet.
const DEAD_EACH_TIME: usize = 3;
const GOSSIP_DEAD_FACTOR: u32 = 5;
/// A view counts as complete once all have agreed for so many rounds: at one round they may be the
/// first few to start, which haven't heard of the next.
const AGREED_ROUNDS: u32 = 2;
/// One in so many members discovered within a window says that more are to come.
const SETTLED_SHARE: usize = 20;

/// What was done when, and what waits to be done.
#[derive(Debug)]
pub(crate) struct RoundClock {
    pub(crate) started: Option<ClockTime>,
    last_due: Option<ClockTime>,
    next_round: ClockTime,
    next_neighbour: ClockTime,
    next_dead: ClockTime,
    pub(crate) next_repair: ClockTime,
    window_start: ClockTime,
    /// Urgent news of others wait for a round.
    pub(crate) urgent: bool,
    /// Urgent news of this process itself wait for a round.
    own_urgent: bool,
    /// A rumour about this process waits to be refuted.
    pub(crate) refuting: bool,
    refuted_at: ClockTime,
    urgent_tokens: f64,
    tokens_at: ClockTime,
    /// Members discovered within the present window.
    pub(crate) discovered: usize,
    /// Some member spoke to this process.
    pub(crate) contacted: bool,
    /// Rounds in a row at which everybody known had the same view as this process.
    agreed_rounds: u32,
    /// The view is complete: everybody agrees with it, or a whole window brought no discoveries
    /// worth mentioning.
    pub(crate) settled: bool,
    neighbours: Vec<IncarnationId>,
    pub(crate) watched: Vec<IncarnationId>,
    watched_next: usize,
    pub(crate) repairs: BTreeSet<SocketAddr>,
    /// What is to be told to peers at once, and with the next heartbeat to them.
    pub(crate) pushes: BTreeMap<SocketAddr, Correction>,
    pub(crate) later: BTreeMap<SocketAddr, Correction>,
    /// Peers that know the urgent news already.
    pub(crate) informed: BTreeSet<SocketAddr>,
}

impl RoundClock {
    pub(crate) fn new(policy: &MembershipPolicy) -> Self {
        let start = ClockTime::default();
        Self {
            started: None,
            last_due: None,
            next_round: start,
            next_neighbour: start,
            next_dead: start,
            next_repair: start,
            window_start: start,
            urgent: false,
            own_urgent: false,
            refuting: false,
            refuted_at: start,
            urgent_tokens: f64::from(policy.urgent_burst),
            tokens_at: start,
            discovered: 0,
            contacted: false,
            agreed_rounds: 0,
            settled: false,
            neighbours: Vec::new(),
            watched: Vec::new(),
            watched_next: 0,
            repairs: BTreeSet::new(),
            pushes: BTreeMap::new(),
            later: BTreeMap::new(),
            informed: BTreeSet::new(),
        }
    }

    /// The own description changed: the next call of `due` makes a round at once.
    pub(crate) fn announce_own(&mut self) {
        self.own_urgent = true;
    }
}

impl MemberView {
    /// The heartbeats that are due.
    pub(crate) fn due(&mut self, now: ClockTime) -> Vec<(SocketAddr, Heartbeat)> {
        self.forgive_stall(now);
        self.advance(now);
        let mut targets = BTreeSet::new();
        if now >= self.rounds.next_round {
            self.plan_round(now, &mut targets);
        } else if self.may_hurry(now) {
            targets.extend(self.partners(Duration::ZERO, now));
            targets.extend(self.caller_addresses());
            let informed = std::mem::take(&mut self.rounds.informed);
            targets.retain(|address| !informed.contains(address));
        }
        self.plan_probes(now, &mut targets);
        targets.extend(self.rounds.repairs.iter().copied());
        targets.extend(self.rounds.pushes.keys().copied());
        targets.remove(&self.own.address);
        targets.into_iter().map(|address| (address, self.beat_for(address))).collect()
    }

    /// A process that was paused finds everyone silent. It doubts itself first:
    /// else it would declare the whole fleet dead on its return.
    fn forgive_stall(&mut self, now: ClockTime) {
        let last = self.rounds.last_due.replace(now);
        let Some(last) = last else {
            self.rounds.started = Some(now);
            self.rounds.window_start = now;
            self.rounds.tokens_at = now;
            return;
        };
        if now.since(last) < self.policy.stall_limit {
            return;
        }
        self.doubted = now;
        for incarnation in &self.present {
            let Some(record) = self.records.get_mut(incarnation) else { continue };
            record.heard = now;
            record.called = record.called.map(|_| now);
            if let MemberState::Suspect { since, .. } = &mut record.state {
                *since = now;
            }
        }
    }

    fn plan_round(&mut self, now: ClockTime, targets: &mut BTreeSet<SocketAddr>) {
        let period = self.period();
        let jitter = 0.9 + 0.2 * self.rng.f64();
        self.rounds.next_round = now.after(period.mul_f64(jitter));
        self.own.number += 1;
        self.settle(now);
        self.forget_old(now);
        self.renew_neighbours(now);
        let partners = self.partners(Duration::ZERO, now);
        self.rounds.later.retain(|address, _| partners.contains(address));
        let skip = if self.rounds.own_urgent { Duration::ZERO } else { period.mul_f64(SKIP_SHARE) };
        targets.extend(self.partners(skip, now));
        targets.extend(self.watched_now());
        targets.extend(self.seeds_now(now));
        targets.extend(self.dead_now(now));
        self.rounds.own_urgent = false;
        self.rounds.urgent = false;
        self.rounds.informed.clear();
    }

    fn period(&self) -> Duration {
        if self.is_mesh() { self.policy.mesh_period } else { self.policy.gossip_period }
    }

    /// Whether a round is due before its time. The own news go out at once. In
    /// a mesh those of others need not be passed on in haste, since everyone
    /// hears from everyone; in a larger fleet extra rounds are rationed.
    fn may_hurry(&mut self, now: ClockTime) -> bool {
        let refutes = self.rounds.refuting && now.since(self.rounds.refuted_at) >= REFUTE_GAP;
        if std::mem::take(&mut self.rounds.own_urgent) || refutes {
            self.own.number += 1;
            self.rounds.refuting = false;
            self.rounds.refuted_at = now;
            return true;
        }
        if !self.rounds.urgent || self.is_mesh() {
            return false;
        }
        let earned = now.since(self.rounds.tokens_at).as_secs_f64();
        let earned = earned / self.policy.urgent_gap.as_secs_f64();
        let most = f64::from(self.policy.urgent_burst);
        self.rounds.urgent_tokens = (self.rounds.urgent_tokens + earned).min(most);
        self.rounds.tokens_at = now;
        if self.rounds.urgent_tokens < 1.0 {
            return false;
        }
        self.rounds.urgent_tokens -= 1.0;
        self.rounds.urgent = false;
        true
    }

    /// Those whom a round speaks to, but for callers heard from within `skip`.
    pub(crate) fn partners(&self, skip: Duration, now: ClockTime) -> Vec<SocketAddr> {
        let mesh = self.is_mesh();
        let partners: Vec<_> = match mesh {
            true => self.present.iter().collect(),
            false => self.rounds.neighbours.iter().collect(),
        };
        let records = partners.into_iter().filter_map(|incarnation| self.records.get(incarnation));
        records
            .filter(|record| !mesh || record.called.is_none_or(|called| now.since(called) >= skip))
            .map(|record| record.info.address)
            .collect()
    }

    /// Some members are nobody's chosen neighbour; they are reached as callers.
    fn caller_addresses(&self) -> Vec<SocketAddr> {
        let callers = self.callers.iter().filter_map(|caller| self.records.get(caller));
        callers.map(|record| record.info.address).collect()
    }

    /// Neighbours of a larger fleet are chosen at random, and one is replaced
    /// now and then, so that each member is called by someone it didn't know
    /// within a few minutes, and views that drifted apart meet.
    fn renew_neighbours(&mut self, now: ClockTime) {
        let (records, limit) = (&self.records, self.policy.missed_limit);
        let usable = |neighbour: &IncarnationId| {
            records.get(neighbour).is_some_and(|record| record.is_usable(limit))
        };
        self.rounds.neighbours.retain(usable);
        if self.is_mesh() {
            return;
        }
        if now >= self.rounds.next_neighbour {
            self.rounds.next_neighbour =
                now.after(self.policy.neighbour_life / self.policy.fanout.max(1) as u32);
            if self.rounds.neighbours.len() >= self.policy.fanout {
                self.rounds.neighbours.remove(0);
            }
        }
        for _ in 0..2 * self.policy.fanout {
            if self.rounds.neighbours.len() >= self.policy.fanout {
                break;
            }
            let place = self.rng.usize(..self.present.len());
            let Some(chosen) = self.present.iter().nth(place).copied() else { break };
            if !self.rounds.neighbours.contains(&chosen) {
                self.rounds.neighbours.push(chosen);
            }
        }
    }

    /// The watched members whose turn it is. In a mesh all are called anyway.
    fn watched_now(&mut self) -> Vec<SocketAddr> {
        let watched = &self.rounds.watched;
        if self.is_mesh() || watched.is_empty() {
            return Vec::new();
        }
        let count = self.policy.watched_each_round.min(watched.len());
        let first = self.rounds.watched_next;
        self.rounds.watched_next = (first + count) % watched.len();
        let turn = (first..first + count).map(|place| watched[place % watched.len()]);
        turn.filter(|incarnation| self.present.contains(incarnation))
            .filter_map(|incarnation| self.records.get(&incarnation))
            .map(|record| record.info.address)
            .collect()
    }

    fn seeds_now(&mut self, now: ClockTime) -> Vec<SocketAddr> {
        let most = if self.is_mesh() { self.policy.mesh_limit } else { SEEDS_EACH_ROUND };
        let by_address = &self.by_address;
        let own = self.own.address;
        let known = |address: &SocketAddr| *address == own || by_address.contains_key(address);
        self.seeds.due(most, now, known)
    }

    /// Dead members are called now and then: after a partition heals, nobody
    /// else tells this side that the other one lives, if the platform is down.
    fn dead_now(&mut self, now: ClockTime) -> Vec<SocketAddr> {
        if now < self.rounds.next_dead || self.dead.is_empty() {
            return Vec::new();
        }
        let (gap, count) = match self.is_mesh() {
            true => (self.policy.dead_gap, DEAD_EACH_TIME),
            false => (self.policy.dead_gap * GOSSIP_DEAD_FACTOR, 1),
        };
        self.rounds.next_dead = now.after(gap);
        let mut chosen = Vec::new();
        for _ in 0..count {
            let place = self.rng.usize(..self.dead.len());
            let Some(incarnation) = self.dead.iter().nth(place) else { continue };
            chosen.extend(self.records.get(incarnation).map(|record| record.info.address));
        }
        chosen
    }

    fn plan_probes(&mut self, now: ClockTime, targets: &mut BTreeSet<SocketAddr>) {
        let due: Vec<_> = self
            .probes
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(incarnation, _)| *incarnation)
            .collect();
        for incarnation in due {
            self.probes.remove(&incarnation);
            let Some(record) = self.records.get(&incarnation) else { continue };
            targets.insert(record.info.address);
        }
    }

    /// Judges whether this process knows the fleet: in a mesh as soon as all agree, else at the end
    /// of a window.
    ///
    /// Without the agreement a process that starts waits for the second window, since the first one
    /// holds the discovery of everybody: callers of a fleet that lost power got 503 for ten
    /// seconds.
    fn settle(&mut self, now: ClockTime) {
        let agreed = self.is_agreed();
        self.rounds.agreed_rounds = if agreed { self.rounds.agreed_rounds + 1 } else { 0 };
        if self.rounds.agreed_rounds >= AGREED_ROUNDS {
            self.rounds.settled = true;
            self.rounds.window_start = now;
            self.rounds.discovered = 0;
            return;
        }
        if now.since(self.rounds.window_start) < self.policy.settle_after {
            return;
        }
        let quiet = self.rounds.discovered * SETTLED_SHARE <= self.digest.members();
        let alone = self.seeds.is_empty() && self.records.is_empty();
        self.rounds.settled = quiet && (self.rounds.contacted || alone);
        self.rounds.window_start = now;
        self.rounds.discovered = 0;
    }

    /// True in a mesh if every listed address is a member's and every member last said that it sees
    /// what this process sees. An address that doesn't answer is no agreement: who is there may
    /// hold grants.
    fn is_agreed(&self) -> bool {
        let own = self.digest.whole();
        let is_known = |address: &SocketAddr| {
            *address == self.own.address || self.by_address.contains_key(address)
        };
        let mut present = self.present.iter().filter_map(|member| self.records.get(member));
        self.is_mesh()
            && self.rounds.contacted
            && !self.seeds.is_empty()
            && self.seeds.are_all(is_known)
            && present.all(|record| record.digest == Some(own))
    }
}
