//! What this entry had running on an upstream, over the last seconds.

use sagespool_types::ClockTime;

const SLOT_MICROS: u64 = 50_000;
const SLOTS: u64 = 128;

/// Own requests running, at a resolution of 50 ms for the last 6.4 s.
#[derive(Debug, Clone, Default)]
pub(crate) struct OwnHistory {
    now: u32,
    /// The slot of the last change.
    last: u64,
    /// The count at the end of each slot; empty until the first change.
    slots: Vec<u32>,
}

impl OwnHistory {
    pub(crate) fn now(&self) -> u32 {
        self.now
    }

    pub(crate) fn set(&mut self, count: u32, now: ClockTime) {
        let slot = now.0 / SLOT_MICROS;
        if self.slots.is_empty() {
            self.slots = vec![0; SLOTS as usize];
            self.last = slot;
        }
        let first = (self.last + 1).max(slot.saturating_sub(SLOTS));
        for passed in first..slot {
            self.slots[(passed % SLOTS) as usize] = self.now;
        }
        self.last = self.last.max(slot);
        self.now = count;
        self.slots[(self.last % SLOTS) as usize] = count;
    }

    /// The count at a time; the oldest known where it is too long ago.
    pub(crate) fn at(&self, time: ClockTime) -> u32 {
        let slot = time.0 / SLOT_MICROS;
        if self.slots.is_empty() || slot >= self.last {
            return self.now;
        }
        let oldest = (self.last + 1).saturating_sub(SLOTS);
        self.slots[(slot.max(oldest) % SLOTS) as usize]
    }
}
