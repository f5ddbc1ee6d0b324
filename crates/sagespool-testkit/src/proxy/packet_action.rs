//! What becomes of one UDP packet.

use std::time::Duration;

use super::table::PairFaults;

/// So much later comes a packet that is held back for others to overtake it.
const REORDER_DELAY: Duration = Duration::from_millis(5);

/// What becomes of one UDP packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PacketAction {
    /// How many copies arrive.
    pub(super) copies: u32,
    /// How much later they arrive.
    pub(super) delay: Duration,
}

/// Decides a packet's fate; `chance` gives a uniform number from 0 up to 1.
pub(super) fn decide_packet(faults: &PairFaults, mut chance: impl FnMut() -> f64) -> PacketAction {
    let mut happens = |share: f64| share > 0.0 && chance() < share;
    if faults.cut || happens(faults.drop_share) {
        return PacketAction { copies: 0, delay: Duration::ZERO };
    }
    let copies = if happens(faults.duplicate_share) { 2 } else { 1 };
    let held_back = happens(faults.reorder_share);
    let extra = if held_back { REORDER_DELAY } else { Duration::ZERO };
    PacketAction { copies, delay: faults.delay + extra }
}
