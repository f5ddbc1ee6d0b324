//! When to speak to whom, and what to say.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use sagespool_messages::{Heartbeat, MemberInfo, SuspectNote};
use sagespool_types::{ClockTime, IncarnationId};

use crate::description::slice_of;
use crate::policy::MembershipPolicy;
use crate::record::{MemberRecord, MemberState};
use crate::sizing::{NOTE_BYTES, encoded_bytes};
use crate::view::{MemberView, MergeResult};

/// Of a mesh's period: a peer that called within it need not be called.
const SKIP_SHARE: f64 = 0.6;
/// Seeds tried in one round of a larger fleet.
const SEEDS_EACH_ROUND: usize = 2;
/// Dead members called at once in a mesh, and how much rarer in a larger fleet.
const DEAD_EACH_TIME: usize = 3;
const GOSSIP_DEAD_FACTOR: u32 = 5;
/// Time between two repairs while the view is not settled.
const UNSETTLED_GAP: Duration = Duration::from_millis(200);
/// Time between two repairs in a mesh.
const MESH_REPAIR_GAP: Duration = Duration::from_secs(1);
/// One in so many members discovered within a window says that more are to come.
const SETTLED_SHARE: usize = 20;

/// What was done when, and what waits to be done.
#[derive(Debug)]
pub(crate) struct RoundClock {
    last_due: Option<ClockTime>,
    next_round: ClockTime,
    next_neighbour: ClockTime,
    next_dead: ClockTime,
    next_repair: ClockTime,
    window_start: ClockTime,
    /// Urgent news of others wait for a round.
    pub(crate) urgent: bool,
    /// Urgent news of this process itself wait for a round.
    own_urgent: bool,
    urgent_tokens: f64,
    tokens_at: ClockTime,
    /// Members discovered within the present window.
    pub(crate) discovered: usize,
    /// Some member spoke to this process.
    pub(crate) contacted: bool,
    /// No discoveries worth mentioning within a whole window: the view is complete.
    pub(crate) settled: bool,
    neighbours: Vec<IncarnationId>,
    pub(crate) watched: Vec<IncarnationId>,
    watched_next: usize,
    repairs: BTreeSet<SocketAddr>,
    pushes: BTreeMap<SocketAddr, Correction>,
}

impl RoundClock {
    pub(crate) fn new(policy: &MembershipPolicy) -> Self {
        let start = ClockTime::default();
        Self {
            last_due: None,
            next_round: start,
            next_neighbour: start,
            next_dead: start,
            next_repair: start,
            window_start: start,
            urgent: false,
            own_urgent: false,
            urgent_tokens: f64::from(policy.urgent_burst),
            tokens_at: start,
            discovered: 0,
            contacted: false,
            settled: false,
            neighbours: Vec::new(),
            watched: Vec::new(),
            watched_next: 0,
            repairs: BTreeSet::new(),
            pushes: BTreeMap::new(),
        }
    }

    /// The own description changed, or a rumour about this process must be
    /// refuted: the next call of `due` makes a round at once.
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
            self.rounds.window_start = now;
            self.rounds.tokens_at = now;
            return;
        };
        if now.since(last) < self.policy.stall_limit {
            return;
        }
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
        let skip = if self.rounds.own_urgent { Duration::ZERO } else { period.mul_f64(SKIP_SHARE) };
        targets.extend(self.partners(skip, now));
        targets.extend(self.watched_now());
        targets.extend(self.seeds_now(now));
        targets.extend(self.dead_now(now));
        self.rounds.own_urgent = false;
        self.rounds.urgent = false;
    }

    fn period(&self) -> Duration {
        if self.is_mesh() { self.policy.mesh_period } else { self.policy.gossip_period }
    }

    /// Whether a round is due before its time. The own news go out at once. In
    /// a mesh those of others need not be passed on in haste, since everyone
    /// hears from everyone; in a larger fleet extra rounds are rationed.
    fn may_hurry(&mut self, now: ClockTime) -> bool {
        if std::mem::take(&mut self.rounds.own_urgent) {
            self.own.number += 1;
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
    fn partners(&self, skip: Duration, now: ClockTime) -> Vec<SocketAddr> {
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

    /// Judges at the end of each window whether this process knows the fleet.
    fn settle(&mut self, now: ClockTime) {
        if now.since(self.rounds.window_start) < self.policy.settle_after {
            return;
        }
        let quiet = self.rounds.discovered * SETTLED_SHARE <= self.digest.members();
        let alone = self.seeds.is_empty() && self.records.is_empty();
        self.rounds.settled = quiet && (self.rounds.contacted || alone);
        self.rounds.window_start = now;
        self.rounds.discovered = 0;
    }

    fn beat_for(&mut self, address: SocketAddr) -> Heartbeat {
        let mut beat = self.news_beat();
        beat.suspects.extend(self.note_for(address));
        if self.rounds.repairs.remove(&address) {
            beat.slices = self.digest.slices();
        }
        let push = self.rounds.pushes.remove(&address).unwrap_or_default();
        beat.others.extend(push.others);
        beat.suspects.extend(push.suspects);
        beat
    }

    /// Whoever is suspected or believed dead is told so, and can refute it.
    fn note_for(&self, address: SocketAddr) -> Option<SuspectNote> {
        let dead = || self.dead.iter().filter_map(|incarnation| self.records.get(incarnation));
        let present = self.by_address.get(&address);
        let present = present.and_then(|incarnation| self.records.get(incarnation));
        let record = present.or_else(|| dead().find(|record| record.info.address == address))?;
        record.note()
    }

    /// A heartbeat with as much news as fits.
    fn news_beat(&mut self) -> Heartbeat {
        let mut others = Vec::new();
        let mut suspects = self.open_questions();
        let mut room = self.policy.news_bytes.saturating_sub(suspects.len() * NOTE_BYTES);
        for incarnation in self.news.newest_first() {
            let Some(record) = self.records.get(&incarnation) else { continue };
            let note = record.note();
            let cost = note.map_or_else(|| encoded_bytes(&record.info), |_| NOTE_BYTES);
            if cost > room {
                break;
            }
            match note {
                Some(note) if suspects.contains(&note) => continue,
                Some(note) => suspects.push(note),
                None => others.push(record.info.clone()),
            }
            room -= cost;
            self.news.sent(incarnation);
        }
        Heartbeat {
            from: self.own.clone(),
            others,
            view_digest: self.digest.whole(),
            suspects,
            slices: Vec::new(),
        }
    }

    /// In a mesh every suspicion is told to everyone until it is settled: who
    /// heard from the member says so.
    fn open_questions(&self) -> Vec<SuspectNote> {
        if !self.is_mesh() {
            return Vec::new();
        }
        let suspects = self.suspects.iter().filter_map(|incarnation| self.records.get(incarnation));
        suspects.filter_map(MemberRecord::note).collect()
    }

    /// Takes a peer's heartbeat in; what is returned sets the peer right.
    fn take_in(&mut self, beat: &Heartbeat, called: bool, now: ClockTime) -> Correction {
        let mut correction = Correction::default();
        let sender = beat.from.incarnation;
        if sender == self.own.incarnation {
            return correction;
        }
        for info in beat.others.iter().chain([&beat.from]) {
            match self.merge(info, now) {
                MergeResult::Taken => {}
                MergeResult::Known => self.news.known_already(info.incarnation),
                MergeResult::Refuted(note) => correction.suspects.push(note),
                MergeResult::Outnumbered(newest) => correction.others.push(*newest),
            }
        }
        self.contact(sender, called, now);
        for note in &beat.suspects {
            correction.others.extend(self.accuse(note, now));
        }
        correction
    }

    /// A peer's heartbeat arrived; the answer to it.
    pub(crate) fn received(&mut self, beat: &Heartbeat, now: ClockTime) -> Heartbeat {
        self.advance(now);
        let correction = self.take_in(beat, true, now);
        let mut reply = self.news_beat();
        reply.others.extend(correction.others);
        reply.suspects.extend(correction.suspects);
        if !beat.slices.is_empty() {
            reply.slices = self.digest.slices();
            reply.others.extend(self.differing_members(&beat.slices, &[]));
        }
        reply
    }

    /// A peer answered a heartbeat.
    pub(crate) fn answered(&mut self, address: SocketAddr, beat: &Heartbeat, now: ClockTime) {
        self.advance(now);
        self.seeds.answered(address);
        self.evict(address, &beat.from, now);
        let mut correction = self.take_in(beat, false, now);
        if !beat.slices.is_empty() {
            correction.others.extend(self.differing_members(&beat.slices, &beat.others));
        } else if beat.view_digest != self.digest.whole() && self.may_repair(now) {
            self.rounds.repairs.insert(address);
        }
        if !correction.is_empty() {
            self.rounds.pushes.insert(address, correction);
        }
    }

    fn may_repair(&mut self, now: ClockTime) -> bool {
        if now < self.rounds.next_repair {
            return false;
        }
        let gap = match (self.rounds.settled, self.is_mesh()) {
            (false, _) => UNSETTLED_GAP,
            (true, true) => MESH_REPAIR_GAP,
            (true, false) => self.policy.repair_gap,
        };
        self.rounds.next_repair = now.after(gap);
        true
    }

    /// Members of the slices in which a peer's view differs, without those it
    /// just sent, up to the bytes of a repair. Whole slices go first, in random
    /// order, so that a repair that is cut short still makes progress.
    fn differing_members(&mut self, theirs: &[u32], sent: &[MemberInfo]) -> Vec<MemberInfo> {
        let mut places = self.digest.differing(theirs);
        self.rng.shuffle(&mut places);
        let order: BTreeMap<_, _> = places.into_iter().zip(0_usize..).collect();
        let sent: BTreeSet<_> = sent.iter().map(|info| info.incarnation).collect();
        let mut found = Vec::new();
        for incarnation in &self.present {
            let Some(rank) = order.get(&slice_of(*incarnation, theirs.len())) else { continue };
            if !sent.contains(incarnation) {
                found.push((*rank, *incarnation));
            }
        }
        found.sort();
        let mut room = self.policy.repair_bytes;
        let infos = found.iter().filter_map(|(_, incarnation)| self.records.get(incarnation));
        infos
            .map(|record| &record.info)
            .take_while(|info| {
                let cost = encoded_bytes(info);
                let fits = cost <= room;
                room = room.saturating_sub(cost);
                fits
            })
            .cloned()
            .collect()
    }
}

/// What sets a peer right.
#[derive(Debug, Default)]
struct Correction {
    others: Vec<MemberInfo>,
    suspects: Vec<SuspectNote>,
}

impl Correction {
    fn is_empty(&self) -> bool {
        self.others.is_empty() && self.suspects.is_empty()
    }
}
