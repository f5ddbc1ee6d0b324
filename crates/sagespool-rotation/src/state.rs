//! Leaving the rotation and returning to it.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use sagespool_messages::{CoverDenial, CoverRelease, CoverReply, CoverRequest};
use sagespool_types::{ClockTime, IncarnationId, InstanceCapacity, LoadPressure};

use crate::history::OutHistory;
use crate::ledger::CoverLedger;
use crate::policy::{
    COMFORT, COVER_SLOTS, FAIR_SHARE, MAX_ASKED, MAX_HOLD_FACTOR, NEEDED_SLOTS, RELAPSE_TIME,
    RENEWALS_PER_LEASE, ROUND_PAUSE, ROUND_TIMEOUT, RotationPolicy,
};

/// Successive samples of pressure after which a gateway asks for cover.
const PRESSED_SAMPLES: u32 = 2;

/// Another gateway of the data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CoverPeer {
    /// Its run.
    pub id: IncarnationId,
    /// The work that it can carry.
    pub capacity: InstanceCapacity,
}

/// A message to send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RotationAction {
    /// Ask a gateway for promises. The reply goes to [`RotationState::handle_reply`].
    Ask(IncarnationId, CoverRequest),
    /// Tell a gateway that its promises aren't needed.
    Release(IncarnationId, CoverRelease),
}

/// Why a gateway returned to the rotation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReturnCause {
    /// Its pressure has eased.
    Eased,
    /// Its promises ended or weren't renewed, for the last reason named, if any.
    CoverEnded(Option<CoverDenial>),
}

/// A change that operators see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RotationChange {
    /// The gateway has left the rotation, covered by so many others.
    Left {
        /// Gateways that promised to stay in.
        covers: usize,
    },
    /// The gateway is in the rotation again.
    Returned {
        /// Why.
        cause: ReturnCause,
        /// How long it was out.
        out_for: Duration,
    },
    /// The gateway is pressed and stays, since it found no cover.
    Uncovered {
        /// The last reason named, if any.
        denial: Option<CoverDenial>,
    },
}

/// The messages to send and the change of a step.
pub type RotationStep = (Vec<RotationAction>, Option<RotationChange>);

#[derive(Debug, Clone, Copy)]
struct HeldCover {
    slots: u32,
    until: ClockTime,
}

#[derive(Debug, Clone, Copy)]
struct OpenQuestion {
    peer: IncarnationId,
    slots: u32,
    asked_at: ClockTime,
}

#[derive(Debug, Clone)]
enum RotationPhase {
    In,
    Asking { since: ClockTime, candidates: Vec<IncarnationId> },
    Out { since: ClockTime, hold_until: ClockTime, renew_at: ClockTime },
}

/// Whether a gateway takes new callers, and its promises to others that don't.
///
/// Answers the load of a busy account whose callers all meet one gateway: it leaves the rotation while others
/// of its data centre can carry them. Fewer than half of a data centre's gateways are out by this at any time,
/// also in partitions, with old views of the fleet, and after restarts in any order.
#[derive(Debug, Clone)]
pub struct RotationState {
    policy: RotationPolicy,
    own: CoverPeer,
    started_at: ClockTime,
    phase: RotationPhase,
    ledger: CoverLedger,
    history: OutHistory,
    covers: BTreeMap<IncarnationId, HeldCover>,
    questions: BTreeMap<u64, OpenQuestion>,
    /// The number of the last question.
    number: u64,
    pressed_samples: u32,
    next_round: ClockTime,
    hold: Duration,
    returned_at: Option<ClockTime>,
    denial: Option<CoverDenial>,
}

impl RotationState {
    /// The state of a gateway that has just started.
    pub fn new(policy: RotationPolicy, own: CoverPeer, now: ClockTime) -> Self {
        Self {
            policy,
            own,
            started_at: now,
            phase: RotationPhase::In,
            ledger: CoverLedger::default(),
            history: OutHistory::default(),
            covers: BTreeMap::new(),
            questions: BTreeMap::new(),
            number: 0,
            pressed_samples: 0,
            next_round: now,
            hold: policy.hold,
            returned_at: None,
            denial: None,
        }
    }

    /// Since when the gateway has been out of rotation; `None` if it takes new callers.
    pub fn out_since(&self, now: ClockTime) -> Option<ClockTime> {
        match self.phase {
            RotationPhase::Out { since, .. } if self.held_slots(now) >= NEEDED_SLOTS => Some(since),
            _ => None,
        }
    }

    /// The slots that this gateway has promised.
    pub fn promised(&self, now: ClockTime) -> u32 {
        self.ledger.promised(now)
    }

    /// The share of the recent time that the gateway was out, in thousandths.
    pub fn out_share(&self, now: ClockTime) -> u32 {
        self.history.share(self.out_since(now), now)
    }

    /// The gateways whose promises this one relies on while it is out, with the slots of each.
    pub fn covers(&self, now: ClockTime) -> Vec<(IncarnationId, u32)> {
        if self.out_since(now).is_none() {
            return Vec::new();
        }
        let valid = self.covers.iter().filter(|(_, cover)| cover.until > now);
        valid.map(|(peer, cover)| (*peer, cover.slots)).collect()
    }

    fn held_slots(&self, now: ClockTime) -> u32 {
        let valid = self.covers.values().filter(|cover| cover.until > now);
        valid.map(|cover| cover.slots).sum()
    }

    /// Decides for a new sample of the pressure. `peers` are the other gateways of the data centre that this
    /// one believes to take callers, needed with a full pressure only; `is_ready` is false while it can't serve for other reasons.
    pub fn decide(
        &mut self,
        pressure: LoadPressure,
        is_ready: bool,
        peers: &[CoverPeer],
        now: ClockTime,
    ) -> RotationStep {
        let is_pressed = pressure >= LoadPressure::FULL && is_ready;
        self.pressed_samples = if is_pressed { self.pressed_samples + 1 } else { 0 };
        match self.phase {
            RotationPhase::In => {
                if !self.may_ask(now) {
                    return (Vec::new(), None);
                }
                self.denial = None;
                self.phase = RotationPhase::Asking { since: now, candidates: self.rank(peers) };
                self.ask_more(pressure, now)
            }
            RotationPhase::Asking { since, .. } if now.since(since) > ROUND_TIMEOUT => {
                self.give_up(now)
            }
            RotationPhase::Asking { .. } => (Vec::new(), None),
            RotationPhase::Out { hold_until, renew_at, .. } => {
                if self.held_slots(now) < NEEDED_SLOTS {
                    return self.come_back(ReturnCause::CoverEnded(self.denial), now);
                }
                if !is_ready || (now >= hold_until && pressure < COMFORT) {
                    return self.come_back(ReturnCause::Eased, now);
                }
                if now < renew_at {
                    return (Vec::new(), None);
                }
                (self.renew(pressure, now), None)
            }
        }
    }

    fn may_ask(&self, now: ClockTime) -> bool {
        self.pressed_samples >= PRESSED_SAMPLES
            && now >= self.next_round
            && now.since(self.started_at) >= self.policy.lease
            && self.ledger.is_empty(now)
    }

    /// The peers to ask, the strongest first. Weaker ones than this gateway can't take its callers. Peers of
    /// one strength come in an order of this gateway's own, so that several leavers ask different ones.
    fn rank(&self, peers: &[CoverPeer]) -> Vec<IncarnationId> {
        let others = peers.iter().filter(|peer| peer.id != self.own.id);
        let mut fit: Vec<_> = others.filter(|peer| peer.capacity >= self.own.capacity).collect();
        fit.sort_by_key(|peer| (Reverse(peer.capacity), peer.id.0 ^ self.own.id.0));
        let mut candidates: Vec<_> = fit.iter().take(MAX_ASKED).map(|peer| peer.id).collect();
        candidates.reverse();
        candidates
    }

    /// Asks further candidates for the slots that are neither held nor asked for. Gives up if there are none.
    fn ask_more(&mut self, pressure: LoadPressure, now: ClockTime) -> RotationStep {
        let mut actions = Vec::new();
        loop {
            let asked: u32 = self.questions.values().map(|question| question.slots).sum();
            let missing = NEEDED_SLOTS.saturating_sub(asked + self.held_slots(now));
            let RotationPhase::Asking { candidates, .. } = &mut self.phase else { break };
            if missing == 0 {
                break;
            }
            let Some(peer) = candidates.pop() else { break };
            actions.push(self.ask(peer, missing.min(COVER_SLOTS), pressure, now));
        }
        if self.questions.is_empty() {
            let (releases, change) = self.give_up(now);
            actions.extend(releases);
            return (actions, change);
        }
        (actions, None)
    }

    fn ask(
        &mut self,
        peer: IncarnationId,
        slots: u32,
        pressure: LoadPressure,
        now: ClockTime,
    ) -> RotationAction {
        self.number += 1;
        self.questions.insert(self.number, OpenQuestion { peer, slots, asked_at: now });
        let request = CoverRequest {
            leaver: self.own.id,
            number: self.number,
            slots,
            pressure,
            out_share: self.out_share(now),
        };
        RotationAction::Ask(peer, request)
    }

    fn renew(&mut self, pressure: LoadPressure, now: ClockTime) -> Vec<RotationAction> {
        if let RotationPhase::Out { renew_at, .. } = &mut self.phase {
            *renew_at = now.after(self.policy.lease / RENEWALS_PER_LEASE);
        }
        let held: Vec<_> = self.covers.iter().map(|(peer, cover)| (*peer, cover.slots)).collect();
        held.into_iter().map(|(peer, slots)| self.ask(peer, slots, pressure, now)).collect()
    }

    /// Applies the reply to a question; `None` if there was none.
    pub fn handle_reply(
        &mut self,
        number: u64,
        reply: Option<CoverReply>,
        pressure: LoadPressure,
        now: ClockTime,
    ) -> RotationStep {
        let Some(question) = self.questions.remove(&number) else {
            return (Vec::new(), None);
        };
        match reply {
            Some(CoverReply::Promised { slots, lease }) => {
                let until = question.asked_at.after(lease.min(self.policy.lease));
                self.covers.insert(question.peer, HeldCover { slots, until });
            }
            Some(CoverReply::Denied(denial)) => {
                self.denial = Some(denial);
                self.covers.remove(&question.peer);
            }
            // Without a reply the earlier promise stands until its end.
            None => {}
        }
        match self.phase {
            RotationPhase::In => (Vec::new(), None),
            RotationPhase::Asking { .. } if self.held_slots(now) >= NEEDED_SLOTS => self.leave(now),
            RotationPhase::Asking { .. } => self.ask_more(pressure, now),
            RotationPhase::Out { .. } if self.held_slots(now) < NEEDED_SLOTS => {
                self.come_back(ReturnCause::CoverEnded(self.denial), now)
            }
            RotationPhase::Out { .. } => (Vec::new(), None),
        }
    }

    fn leave(&mut self, now: ClockTime) -> RotationStep {
        let relapsed = self.returned_at.is_some_and(|at| now.since(at) < RELAPSE_TIME);
        let longest = self.policy.hold * MAX_HOLD_FACTOR;
        self.hold = if relapsed { (self.hold * 2).min(longest) } else { self.policy.hold };
        self.phase = RotationPhase::Out {
            since: now,
            hold_until: now.after(self.hold),
            renew_at: now.after(self.policy.lease / RENEWALS_PER_LEASE),
        };
        (Vec::new(), Some(RotationChange::Left { covers: self.covers.len() }))
    }

    fn come_back(&mut self, cause: ReturnCause, now: ClockTime) -> RotationStep {
        let RotationPhase::Out { since, .. } = self.phase else {
            return (Vec::new(), None);
        };
        self.history.add(since, now);
        self.returned_at = Some(now);
        let change = RotationChange::Returned { cause, out_for: now.since(since) };
        (self.end(now), Some(change))
    }

    fn give_up(&mut self, now: ClockTime) -> RotationStep {
        (self.end(now), Some(RotationChange::Uncovered { denial: self.denial }))
    }

    /// Ends a round or a time out of rotation, with releases to all that may have promised something.
    fn end(&mut self, now: ClockTime) -> Vec<RotationAction> {
        self.phase = RotationPhase::In;
        self.pressed_samples = 0;
        self.next_round = now.after(ROUND_PAUSE);
        let questions = std::mem::take(&mut self.questions);
        let covers = std::mem::take(&mut self.covers);
        let asked = questions.values().map(|question| question.peer);
        let mut peers: Vec<_> = covers.into_keys().chain(asked).collect();
        peers.sort_unstable();
        peers.dedup();
        let release = CoverRelease { leaver: self.own.id, number: self.number };
        peers.into_iter().map(|peer| RotationAction::Release(peer, release)).collect()
    }

    /// Decides on another gateway's question. `takes_callers` is false while this one isn't ready or stops.
    pub fn handle_request(
        &mut self,
        request: CoverRequest,
        pressure: LoadPressure,
        takes_callers: bool,
        now: ClockTime,
    ) -> CoverReply {
        if now.since(self.started_at) < self.policy.lease {
            return CoverReply::Denied(CoverDenial::Starting);
        }
        if !takes_callers || !matches!(self.phase, RotationPhase::In) {
            return CoverReply::Denied(CoverDenial::NotTaking);
        }
        let is_renewal = self.ledger.covers(request.leaver, now);
        let is_pressed = match is_renewal {
            true => pressure >= LoadPressure::FULL,
            false => pressure >= COMFORT || pressure.0.saturating_mul(2) > request.pressure.0,
        };
        if is_pressed {
            return CoverReply::Denied(CoverDenial::Pressed);
        }
        if request.out_share >= FAIR_SHARE && self.ledger.has_waiting(request.leaver, now) {
            return CoverReply::Denied(CoverDenial::OthersTurn);
        }
        match self.ledger.promise(&request, self.policy.lease, now) {
            0 => CoverReply::Denied(CoverDenial::NoSlot),
            slots => CoverReply::Promised { slots, lease: self.policy.lease },
        }
    }

    /// Ends promises that another gateway needs no longer.
    pub fn handle_release(&mut self, release: CoverRelease) {
        self.ledger.release(release);
    }
}
