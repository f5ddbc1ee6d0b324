//! Changes that are passed on with heartbeats until enough peers had them.

use std::collections::BTreeMap;

use sagespool_types::IncarnationId;

/// Changes kept at once. What is dropped beyond is found by digests.
const MOST_ITEMS: usize = 512;
/// Sends given up when a peer turns out to know the change already.
const LOST_INTEREST: u32 = 2;

/// The members whose latest change is still passed on.
#[derive(Debug, Default)]
pub(crate) struct NewsQueue {
    sends_left: BTreeMap<IncarnationId, u32>,
}

impl NewsQueue {
    /// Passes a member's state on, so many times.
    pub(crate) fn push(&mut self, incarnation: IncarnationId, sends: u32) {
        self.sends_left.insert(incarnation, sends);
        if self.sends_left.len() <= MOST_ITEMS {
            return;
        }
        let oldest = self.sends_left.iter().min_by_key(|(_, left)| **left);
        if let Some(incarnation) = oldest.map(|(incarnation, _)| *incarnation) {
            self.sends_left.remove(&incarnation);
        }
    }

    /// A peer told this process what it knew: others know it too.
    pub(crate) fn known_already(&mut self, incarnation: IncarnationId) {
        self.spend(incarnation, LOST_INTEREST);
    }

    /// It was sent once.
    pub(crate) fn sent(&mut self, incarnation: IncarnationId) {
        self.spend(incarnation, 1);
    }

    fn spend(&mut self, incarnation: IncarnationId, sends: u32) {
        let Some(left) = self.sends_left.get_mut(&incarnation) else { return };
        *left = left.saturating_sub(sends);
        if *left == 0 {
            self.sends_left.remove(&incarnation);
        }
    }

    /// All items, the least sent first.
    pub(crate) fn newest_first(&self) -> Vec<IncarnationId> {
        let mut items: Vec<_> = self.sends_left.iter().collect();
        items.sort_by(|left, right| right.1.cmp(left.1));
        items.into_iter().map(|(incarnation, _)| *incarnation).collect()
    }
}

/// How often a change is passed on in a view of so many members: with twice
/// the logarithm each is reached with high probability, and digests find the rest.
pub(crate) fn sends_for(members: usize) -> u32 {
    2 * (usize::BITS - members.leading_zeros()) + 2
}
