//! What a heartbeat says, and what is made of one.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use sagespool_messages::{Heartbeat, MemberInfo, SuspectNote};
use sagespool_types::ClockTime;

use crate::description::slice_of;
use crate::merge::MergeResult;
use crate::record::MemberRecord;
use crate::sizing::{NOTE_BYTES, encoded_bytes};
use crate::view::MemberView;

/// Time between two repairs in a mesh.
const MESH_REPAIR_GAP: Duration = Duration::from_secs(1);
/// Time between two repairs while the view is not settled.
const UNSETTLED_GAP: Duration = Duration::from_millis(200);
/// What sets a peer right.
#[derive(Debug, Default)]
pub(crate) struct Correction {
    others: Vec<MemberInfo>,
    suspects: Vec<SuspectNote>,
}

impl Correction {
    fn is_empty(&self) -> bool {
        self.others.is_empty() && self.suspects.is_empty()
    }
}

impl MemberView {
    pub(crate) fn beat_for(&mut self, address: SocketAddr) -> Heartbeat {
        let mut beat = self.news_beat();
        beat.suspects.extend(self.note_for(address));
        if self.rounds.repairs.remove(&address) {
            beat.slices = self.digest.slices();
        }
        for pushes in [&mut self.rounds.pushes, &mut self.rounds.later] {
            let push = pushes.remove(&address).unwrap_or_default();
            beat.others.extend(push.others);
            beat.suspects.extend(push.suspects);
        }
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
        if let Some(record) = self.records.get_mut(&sender) {
            record.digest = Some(beat.view_digest);
        }
        for note in &beat.suspects {
            correction.others.extend(self.accuse(note, now));
        }
        correction
    }

    /// A peer's heartbeat arrived; the answer to it.
    pub(crate) fn received(&mut self, beat: &Heartbeat, now: ClockTime) -> Heartbeat {
        self.advance(now);
        let correction = self.take_in(beat, true, now);
        if self.rounds.urgent {
            // The answer holds the urgent news: a round for them can leave this one out.
            self.rounds.informed.insert(beat.from.address);
        }
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
        let had_urgent = self.rounds.urgent;
        let correction = self.take_in(beat, false, now);
        if self.rounds.urgent && !had_urgent {
            self.rounds.informed.insert(address);
        }
        self.set_right(address, correction);
        if !beat.slices.is_empty() {
            let others = self.differing_members(&beat.slices, &beat.others);
            self.rounds.pushes.entry(address).or_default().others.extend(others);
        } else if beat.view_digest != self.digest.whole() && self.may_repair(now) {
            self.rounds.repairs.insert(address);
        }
    }

    /// Tells a peer what it had wrong: at once in a mesh, where a suspicion is
    /// settled that way; with the next round's heartbeat in a larger fleet, if
    /// there will be one, where everything else finds its way by itself.
    fn set_right(&mut self, address: SocketAddr, correction: Correction) {
        if correction.is_empty() {
            return;
        }
        if self.is_mesh() {
            self.rounds.pushes.insert(address, correction);
        } else if self.partners(Duration::ZERO, ClockTime::default()).contains(&address) {
            self.rounds.later.insert(address, correction);
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
