//! Updates that are gossiped with heartbeats until enough peers have them.

use std::collections::BTreeMap;

use sagespool_types::IncarnationId;

/// Updates queued at once. Digests repair what is dropped beyond this.
const MAX_QUEUED_UPDATES: usize = 512;
/// Sends deducted when a peer turns out to have the update already.
const KNOWN_SEND_REDUCTION: u32 = 2;

/// The members whose latest change is still gossiped.
#[derive(Debug, Default)]
pub(crate) struct UpdateQueue {
    sends_left: BTreeMap<IncarnationId, u32>,
}

impl UpdateQueue {
    /// Queues a member's current state for `sends` sends.
    pub(crate) fn push(&mut self, incarnation: IncarnationId, sends: u32) {
        self.sends_left.insert(incarnation, sends);
        if self.sends_left.len() <= MAX_QUEUED_UPDATES {
            return;
        }
        let oldest = self.sends_left.iter().min_by_key(|(_, left)| **left);
        if let Some(incarnation) = oldest.map(|(incarnation, _)| *incarnation) {
            self.sends_left.remove(&incarnation);
        }
    }

    /// A peer sent a state that was known here, so others probably have it too.
    pub(crate) fn record_known(&mut self, incarnation: IncarnationId) {
        self.use_sends(incarnation, KNOWN_SEND_REDUCTION);
    }

    /// Counts one send of the update.
    pub(crate) fn record_sent(&mut self, incarnation: IncarnationId) {
        self.use_sends(incarnation, 1);
    }

    fn use_sends(&mut self, incarnation: IncarnationId, sends: u32) {
        let Some(left) = self.sends_left.get_mut(&incarnation) else { return };
        *left = left.saturating_sub(sends);
        if *left == 0 {
            self.sends_left.remove(&incarnation);
        }
    }

    /// All queued members, the least often sent first.
    pub(crate) fn least_sent_first(&self) -> Vec<IncarnationId> {
        let mut items: Vec<_> = self.sends_left.iter().collect();
        items.sort_by(|left, right| right.1.cmp(left.1));
        items.into_iter().map(|(incarnation, _)| *incarnation).collect()
    }
}

/// How often an update is sent in a view of `members` members. Twice the logarithm reaches
/// every member with high probability; digests repair the rest.
pub(crate) fn gossip_sends(members: usize) -> u32 {
    2 * (usize::BITS - members.leading_zeros()) + 2
}
