//! Building heartbeats, and applying received ones.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use sagespool_messages::{Heartbeat, MemberInfo, SuspectedMember};
use sagespool_types::ClockTime;

use crate::digest::slice_of;
use crate::merge::MergeResult;
use crate::record::MemberRecord;
use crate::sizing::{SUSPECT_NOTE_BYTES, max_encoded_bytes};
use crate::view::MemberView;

/// Time between two repairs in a mesh.
const MESH_REPAIR_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two repairs while the view is not settled.
const UNSETTLED_REPAIR_INTERVAL: Duration = Duration::from_millis(200);

/// Newer members and suspicions for a peer that sent outdated ones.
#[derive(Debug, Default)]
pub(crate) struct PeerCorrection {
    others: Vec<MemberInfo>,
    suspects: Vec<SuspectedMember>,
}

impl PeerCorrection {
    fn is_empty(&self) -> bool {
        self.others.is_empty() && self.suspects.is_empty()
    }
}

impl MemberView {
    /// The heartbeat to a peer, with pending repairs and corrections.
    pub(crate) fn heartbeat_for(&mut self, address: SocketAddr) -> Heartbeat {
        let mut heartbeat = self.heartbeat_with_updates();
        heartbeat.suspects.extend(self.suspect_note_for(address));
        if self.rounds.pending_repairs.remove(&address) {
            heartbeat.slices = self.digest.slices();
        }
        for pending in [&mut self.rounds.corrections, &mut self.rounds.deferred_corrections] {
            let correction = pending.remove(&address).unwrap_or_default();
            heartbeat.others.extend(correction.others);
            heartbeat.suspects.extend(correction.suspects);
        }
        heartbeat
    }

    /// The note to a peer that is itself suspected or dead here, so that it can refute it.
    fn suspect_note_for(&self, address: SocketAddr) -> Option<SuspectedMember> {
        let dead = || self.dead.iter().filter_map(|incarnation| self.records.get(incarnation));
        let present = self.by_address.get(&address);
        let present = present.and_then(|incarnation| self.records.get(incarnation));
        let record = present.or_else(|| dead().find(|record| record.info.address == address))?;
        record.suspect_note()
    }

    /// A heartbeat with as many updates as fit.
    fn heartbeat_with_updates(&mut self) -> Heartbeat {
        let mut others = Vec::new();
        let mut suspects = self.open_suspicions();
        let mut room =
            self.policy.max_update_bytes.saturating_sub(suspects.len() * SUSPECT_NOTE_BYTES);
        for incarnation in self.updates.least_sent_first() {
            let Some(record) = self.records.get(&incarnation) else { continue };
            let note = record.suspect_note();
            let cost = note.map_or_else(|| max_encoded_bytes(&record.info), |_| SUSPECT_NOTE_BYTES);
            if cost > room {
                break;
            }
            match note {
                Some(note) if suspects.contains(&note) => continue,
                Some(note) => suspects.push(note),
                None => others.push(record.info.clone()),
            }
            room -= cost;
            self.updates.record_sent(incarnation);
        }
        Heartbeat {
            from: self.own.clone(),
            others,
            view_digest: self.digest.whole(),
            suspects,
            slices: Vec::new(),
        }
    }

    /// All suspicions in a mesh: they go to everyone until resolved, so that a member that has
    /// heard from the suspect can contradict them.
    fn open_suspicions(&self) -> Vec<SuspectedMember> {
        if !self.is_mesh() {
            return Vec::new();
        }
        let suspects = self.suspects.iter().filter_map(|incarnation| self.records.get(incarnation));
        suspects.filter_map(MemberRecord::suspect_note).collect()
    }

    /// Applies a peer's heartbeat; returns the correction for the peer.
    fn apply_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        is_call: bool,
        now: ClockTime,
    ) -> PeerCorrection {
        let mut correction = PeerCorrection::default();
        let sender = heartbeat.from.incarnation;
        if sender == self.own.incarnation {
            return correction;
        }
        for info in heartbeat.others.iter().chain([&heartbeat.from]) {
            match self.merge(info, now) {
                MergeResult::Applied => {}
                MergeResult::Known => self.updates.record_known(info.incarnation),
                MergeResult::Refuted(note) => correction.suspects.push(note),
                MergeResult::Superseded(newest) => correction.others.push(*newest),
            }
        }
        self.record_contact(sender, is_call, now);
        if let Some(record) = self.records.get_mut(&sender) {
            record.view_digest = Some(heartbeat.view_digest);
        }
        for note in &heartbeat.suspects {
            correction.others.extend(self.handle_suspicion(note, now));
        }
        correction
    }

    /// Handles a peer's heartbeat and returns the reply.
    pub(crate) fn handle_heartbeat(&mut self, heartbeat: &Heartbeat, now: ClockTime) -> Heartbeat {
        self.advance(now);
        let correction = self.apply_heartbeat(heartbeat, true, now);
        if self.rounds.urgent {
            // The reply carries the urgent updates, so a round for them can skip this peer.
            self.rounds.informed.insert(heartbeat.from.address);
        }
        let mut reply = self.heartbeat_with_updates();
        reply.others.extend(correction.others);
        reply.suspects.extend(correction.suspects);
        if !heartbeat.slices.is_empty() {
            reply.slices = self.digest.slices();
            reply.others.extend(self.differing_members(&heartbeat.slices, &[]));
        }
        reply
    }

    /// Handles the reply to a heartbeat.
    pub(crate) fn handle_reply(
        &mut self,
        address: SocketAddr,
        heartbeat: &Heartbeat,
        now: ClockTime,
    ) {
        self.advance(now);
        self.seeds.reset_backoff(address);
        self.evict_address(address, &heartbeat.from, now);
        let had_urgent = self.rounds.urgent;
        let correction = self.apply_heartbeat(heartbeat, false, now);
        if self.rounds.urgent && !had_urgent {
            self.rounds.informed.insert(address);
        }
        self.queue_correction(address, correction);
        if !heartbeat.slices.is_empty() {
            let others = self.differing_members(&heartbeat.slices, &heartbeat.others);
            self.rounds.corrections.entry(address).or_default().others.extend(others);
        } else if heartbeat.view_digest != self.digest.whole() && self.take_repair_turn(now) {
            self.rounds.pending_repairs.insert(address);
        }
    }

    /// Queues a correction for a peer: at once in a mesh, where this resolves suspicions; in a
    /// larger fleet with the next round's heartbeat if the peer is part of it, since gossip
    /// spreads everything else.
    fn queue_correction(&mut self, address: SocketAddr, correction: PeerCorrection) {
        if correction.is_empty() {
            return;
        }
        if self.is_mesh() {
            self.rounds.corrections.insert(address, correction);
        } else if self.round_peers(Duration::ZERO, ClockTime::default()).contains(&address) {
            self.rounds.deferred_corrections.insert(address, correction);
        }
    }

    fn take_repair_turn(&mut self, now: ClockTime) -> bool {
        if now < self.rounds.next_repair {
            return false;
        }
        let gap = match (self.rounds.settled, self.is_mesh()) {
            (false, _) => UNSETTLED_REPAIR_INTERVAL,
            (true, true) => MESH_REPAIR_INTERVAL,
            (true, false) => self.policy.repair_interval,
        };
        self.rounds.next_repair = now.after(gap);
        true
    }

    /// Members of the slices in which a peer's view differs, without those it just sent, up to
    /// the size limit of a repair. Whole slices go first, in random order, so that a truncated
    /// repair still makes progress.
    fn differing_members(&mut self, theirs: &[u32], sent: &[MemberInfo]) -> Vec<MemberInfo> {
        let mut indices = self.digest.differing(theirs);
        self.rng.shuffle(&mut indices);
        let order: BTreeMap<_, _> = indices.into_iter().zip(0_usize..).collect();
        let sent: BTreeSet<_> = sent.iter().map(|info| info.incarnation).collect();
        let mut found = Vec::new();
        for incarnation in &self.present {
            let Some(rank) = order.get(&slice_of(*incarnation, theirs.len())) else { continue };
            if !sent.contains(incarnation) {
                found.push((*rank, *incarnation));
            }
        }
        found.sort();
        let mut room = self.policy.max_repair_bytes;
        let infos = found.iter().filter_map(|(_, incarnation)| self.records.get(incarnation));
        infos
            .map(|record| &record.info)
            .take_while(|info| {
                let cost = max_encoded_bytes(info);
                let fits = cost <= room;
                room = room.saturating_sub(cost);
                fits
            })
            .cloned()
            .collect()
    }
}
