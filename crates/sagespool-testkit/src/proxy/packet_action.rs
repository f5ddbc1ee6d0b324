//! The fault decision for a UDP packet.

use std::time::Duration;

use super::table::PairFaults;

/// Additional delay of a reordered packet, so that later packets overtake it.
const REORDER_DELAY: Duration = Duration::from_millis(5);

/// The action for one UDP packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PacketAction {
    /// Number of copies to deliver; 0 drops the packet.
    pub(super) copies: u32,
    /// Delay before the delivery.
    pub(super) delay: Duration,
}

/// Decides on a packet; `chance` returns a uniform random number in [0, 1).
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
