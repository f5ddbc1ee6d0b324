//! Scheduling of heartbeats: when, and to which peers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use sagespool_messages::Heartbeat;
use sagespool_types::{ClockTime, IncarnationId};

use crate::exchange::PeerCorrection;
use crate::policy::MembershipPolicy;
use crate::record::MemberState;
use crate::view::MemberView;

/// Fraction of the mesh period: a peer that called within it isn't called.
const MESH_SKIP_FRACTION: f64 = 0.6;
/// Time between two extra rounds that refute suspicions of this process.
const REFUTE_INTERVAL: Duration = Duration::from_millis(500);
/// Seeds tried in one round of a larger fleet.
const SEEDS_PER_ROUND: usize = 2;
/// Dead members called at once in a mesh.
const MESH_DEAD_PROBES: usize = 3;
/// Factor by which calls to dead members are rarer in a larger fleet.
const GOSSIP_DEAD_INTERVAL_FACTOR: u32 = 5;
/// Consecutive rounds with equal views after which the view counts as complete. After a single
/// round the equal views may be those of the first few processes to start.
const AGREED_ROUNDS: u32 = 2;
/// With at least this many other members in the own data centre, all neighbours but one are among
/// them: links between data centres are billed by the byte, and one of them each is enough for news
/// to reach all. A smaller data centre may be cut off as a whole from a few links.
const MIN_LOCAL_MEMBERS: usize = 16;
/// A window settles the view if it discovered at most one member in this many.
const SETTLED_DISCOVERY_DIVISOR: usize = 20;

/// Times of the last and next activities, and pending work.
#[derive(Debug)]
pub(crate) struct RoundState {
    pub(crate) started: Option<ClockTime>,
    last_due: Option<ClockTime>,
    next_round: ClockTime,
    next_neighbour: ClockTime,
    next_dead_probe: ClockTime,
    pub(crate) next_repair: ClockTime,
    window_start: ClockTime,
    /// Urgent updates of other members wait for a round.
    pub(crate) urgent: bool,
    /// An urgent update of this process itself waits for a round.
    own_urgent: bool,
    /// A suspicion of this process waits to be refuted.
    pub(crate) refutation_pending: bool,
    refuted_at: ClockTime,
    urgent_tokens: f64,
    tokens_updated_at: ClockTime,
    /// Members discovered within the current window.
    pub(crate) discovered: usize,
    /// Some member has sent a message to this process.
    pub(crate) contacted: bool,
    /// Consecutive rounds in which all known members had the same view as this process.
    agreed_rounds: u32,
    /// The view is complete: all views agree, or a whole window brought few discoveries.
    pub(crate) settled: bool,
    neighbours: Vec<IncarnationId>,
    pub(crate) watched: Vec<IncarnationId>,
    watched_position: usize,
    pub(crate) pending_repairs: BTreeSet<SocketAddr>,
    /// Corrections to send at once.
    pub(crate) corrections: BTreeMap<SocketAddr, PeerCorrection>,
    /// Corrections to send with the next regular heartbeat to a peer.
    pub(crate) deferred_corrections: BTreeMap<SocketAddr, PeerCorrection>,
    /// Peers that already have the urgent updates.
    pub(crate) informed: BTreeSet<SocketAddr>,
}

impl RoundState {
    pub(crate) fn new(policy: &MembershipPolicy) -> Self {
        let start = ClockTime::default();
        Self {
            started: None,
            last_due: None,
            next_round: start,
            next_neighbour: start,
            next_dead_probe: start,
            next_repair: start,
            window_start: start,
            urgent: false,
            own_urgent: false,
            refutation_pending: false,
            refuted_at: start,
            urgent_tokens: f64::from(policy.urgent_burst),
            tokens_updated_at: start,
            discovered: 0,
            contacted: false,
            agreed_rounds: 0,
            settled: false,
            neighbours: Vec::new(),
            watched: Vec::new(),
            watched_position: 0,
            pending_repairs: BTreeSet::new(),
            corrections: BTreeMap::new(),
            deferred_corrections: BTreeMap::new(),
            informed: BTreeSet::new(),
        }
    }

    /// Makes the next call of `due_heartbeats` start a round for the own description.
    pub(crate) fn announce_own(&mut self) {
        self.own_urgent = true;
    }
}

impl MemberView {
    /// The heartbeats to send now, by address.
    pub(crate) fn due_heartbeats(&mut self, now: ClockTime) -> Vec<(SocketAddr, Heartbeat)> {
        self.reset_after_stall(now);
        self.advance(now);
        let mut targets = BTreeSet::new();
        if now >= self.rounds.next_round {
            self.plan_round(now, &mut targets);
        } else if self.take_early_round(now) {
            targets.extend(self.round_peers(Duration::ZERO, now));
            targets.extend(self.caller_addresses());
            let informed = std::mem::take(&mut self.rounds.informed);
            targets.retain(|address| !informed.contains(address));
        }
        self.plan_probes(now, &mut targets);
        targets.extend(self.rounds.pending_repairs.iter().copied());
        targets.extend(self.rounds.corrections.keys().copied());
        targets.remove(&self.own.address);
        targets.into_iter().map(|address| (address, self.heartbeat_for(address))).collect()
    }

    /// Restarts all timeouts after a pause of this process. After a pause everyone looks
    /// silent, and without this the whole fleet would be declared dead.
    fn reset_after_stall(&mut self, now: ClockTime) {
        let last = self.rounds.last_due.replace(now);
        let Some(last) = last else {
            self.rounds.started = Some(now);
            self.rounds.window_start = now;
            self.rounds.tokens_updated_at = now;
            return;
        };
        if now.since(last) < self.policy.stall_threshold {
            return;
        }
        self.disputed_at = now;
        for incarnation in &self.present {
            let Some(record) = self.records.get_mut(incarnation) else { continue };
            record.last_heard = now;
            record.last_call = record.last_call.map(|_| now);
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
        self.update_settled(now);
        self.drop_expired_records(now);
        self.rotate_neighbours(now);
        let peers = self.round_peers(Duration::ZERO, now);
        self.rounds.deferred_corrections.retain(|address, _| peers.contains(address));
        let skip = if self.rounds.own_urgent {
            Duration::ZERO
        } else {
            period.mul_f64(MESH_SKIP_FRACTION)
        };
        targets.extend(self.round_peers(skip, now));
        targets.extend(self.next_watched());
        targets.extend(self.due_seeds(now));
        targets.extend(self.due_dead_members(now));
        self.rounds.own_urgent = false;
        self.rounds.urgent = false;
        self.rounds.informed.clear();
    }

    fn period(&self) -> Duration {
        if self.is_mesh() { self.policy.mesh_period } else { self.policy.gossip_period }
    }

    /// Whether to start a round before its time. Updates of this process go out at once. In a
    /// mesh those of others need no extra round, since everyone hears from everyone; in a
    /// larger fleet extra rounds are limited by a token bucket.
    fn take_early_round(&mut self, now: ClockTime) -> bool {
        let refutes =
            self.rounds.refutation_pending && now.since(self.rounds.refuted_at) >= REFUTE_INTERVAL;
        if std::mem::take(&mut self.rounds.own_urgent) || refutes {
            self.own.number += 1;
            self.rounds.refutation_pending = false;
            self.rounds.refuted_at = now;
            return true;
        }
        if !self.rounds.urgent || self.is_mesh() {
            return false;
        }
        let earned = now.since(self.rounds.tokens_updated_at).as_secs_f64();
        let earned = earned / self.policy.urgent_interval.as_secs_f64();
        let limit = f64::from(self.policy.urgent_burst);
        self.rounds.urgent_tokens = (self.rounds.urgent_tokens + earned).min(limit);
        self.rounds.tokens_updated_at = now;
        if self.rounds.urgent_tokens < 1.0 {
            return false;
        }
        self.rounds.urgent_tokens -= 1.0;
        self.rounds.urgent = false;
        true
    }

    /// The peers of a round, without callers heard from within `skip`.
    pub(crate) fn round_peers(&self, skip: Duration, now: ClockTime) -> Vec<SocketAddr> {
        let mesh = self.is_mesh();
        let peers: Vec<_> = match mesh {
            true => self.present.iter().collect(),
            false => self.rounds.neighbours.iter().collect(),
        };
        let records = peers.into_iter().filter_map(|incarnation| self.records.get(incarnation));
        records
            .filter(|record| {
                !mesh || record.last_call.is_none_or(|called| now.since(called) >= skip)
            })
            .map(|record| record.info.address)
            .collect()
    }

    /// The addresses of callers. Some members are no one's chosen neighbour and are reached
    /// only as callers.
    fn caller_addresses(&self) -> Vec<SocketAddr> {
        let callers = self.callers.iter().filter_map(|caller| self.records.get(caller));
        callers.map(|record| record.info.address).collect()
    }

    /// Updates the random neighbours of a larger fleet. One is replaced from time to time, so
    /// that each member is called by a new one within a few minutes, and diverged views meet.
    fn rotate_neighbours(&mut self, now: ClockTime) {
        let (records, limit) = (&self.records, self.policy.missed_call_limit);
        let usable = |neighbour: &IncarnationId| {
            records.get(neighbour).is_some_and(|record| record.is_usable(limit))
        };
        self.rounds.neighbours.retain(usable);
        if self.is_mesh() {
            return;
        }
        if self.rounds.neighbours.len() >= self.policy.fanout && now < self.rounds.next_neighbour {
            return;
        }
        if now >= self.rounds.next_neighbour {
            self.rounds.next_neighbour =
                now.after(self.policy.neighbour_lifetime / self.policy.fanout.max(1) as u32);
            if self.rounds.neighbours.len() >= self.policy.fanout {
                self.rounds.neighbours.remove(0);
            }
        }
        let local = self.local_members();
        let prefers_local = local.len() >= MIN_LOCAL_MEMBERS;
        for _ in 0..2 * self.policy.fanout {
            if self.rounds.neighbours.len() >= self.policy.fanout {
                break;
            }
            let has_remote = self.rounds.neighbours.iter().any(|chosen| !local.contains(chosen));
            let chosen = match prefers_local && has_remote {
                true => local.get(self.rng.usize(..local.len())).copied(),
                false => self.present.iter().nth(self.rng.usize(..self.present.len())).copied(),
            };
            let Some(chosen) = chosen else { break };
            if !self.rounds.neighbours.contains(&chosen) {
                self.rounds.neighbours.push(chosen);
            }
        }
    }

    /// The other members of the own data centre.
    fn local_members(&self) -> Vec<IncarnationId> {
        let present = self.present.iter();
        let is_local = |incarnation: &&IncarnationId| {
            let record = self.records.get(incarnation);
            record.is_some_and(|record| record.info.centre == self.own.centre)
        };
        present.filter(is_local).copied().collect()
    }

    /// The next watched members in turn; none in a mesh, where all are called anyway.
    fn next_watched(&mut self) -> Vec<SocketAddr> {
        let watched = &self.rounds.watched;
        if self.is_mesh() || watched.is_empty() {
            return Vec::new();
        }
        let count = self.policy.watched_per_round.min(watched.len());
        let first = self.rounds.watched_position;
        self.rounds.watched_position = (first + count) % watched.len();
        let turn = (first..first + count).map(|index| watched[index % watched.len()]);
        turn.filter(|incarnation| self.present.contains(incarnation))
            .filter_map(|incarnation| self.records.get(&incarnation))
            .map(|record| record.info.address)
            .collect()
    }

    fn due_seeds(&mut self, now: ClockTime) -> Vec<SocketAddr> {
        let limit = if self.is_mesh() { self.policy.mesh_limit } else { SEEDS_PER_ROUND };
        let by_address = &self.by_address;
        let own = self.own.address;
        let known = |address: &SocketAddr| *address == own || by_address.contains_key(address);
        self.seeds.take_due(limit, now, known)
    }

    /// Dead members to call. After a partition heals, this is the only way to find that the
    /// other side is alive while the platform is down.
    fn due_dead_members(&mut self, now: ClockTime) -> Vec<SocketAddr> {
        if now < self.rounds.next_dead_probe || self.dead.is_empty() {
            return Vec::new();
        }
        let (gap, count) = match self.is_mesh() {
            true => (self.policy.dead_probe_interval, MESH_DEAD_PROBES),
            false => (self.policy.dead_probe_interval * GOSSIP_DEAD_INTERVAL_FACTOR, 1),
        };
        self.rounds.next_dead_probe = now.after(gap);
        let mut chosen = Vec::new();
        for _ in 0..count {
            let index = self.rng.usize(..self.dead.len());
            let Some(incarnation) = self.dead.iter().nth(index) else { continue };
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

    /// Decides whether the view is complete: in a mesh as soon as all views agree, else at the
    /// end of a window.
    ///
    /// Without the agreement a starting process waits for the second window, since the first
    /// one holds the discovery of all members: after a power loss of a whole fleet, callers got
    /// 503 for ten seconds.
    fn update_settled(&mut self, now: ClockTime) {
        let agreed = self.all_views_agree();
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
        let quiet = self.rounds.discovered * SETTLED_DISCOVERY_DIVISOR <= self.digest.members();
        let alone = self.seeds.is_empty() && self.records.is_empty();
        self.rounds.settled = quiet && (self.rounds.contacted || alone);
        self.rounds.window_start = now;
        self.rounds.discovered = 0;
    }

    /// True in a mesh if every seed address belongs to a member and every member last reported the
    /// same view digest as this process has. An address that doesn't answer prevents agreement,
    /// since a process there may hold grants.
    fn all_views_agree(&self) -> bool {
        let own = self.digest.whole();
        let is_known = |address: &SocketAddr| {
            *address == self.own.address || self.by_address.contains_key(address)
        };
        let mut present = self.present.iter().filter_map(|member| self.records.get(member));
        self.is_mesh()
            && self.rounds.contacted
            && !self.seeds.is_empty()
            && self.seeds.all_match(is_known)
            && present.all(|record| record.view_digest == Some(own))
    }
}
