//! The promises of a gateway to stay in rotation.

use std::collections::BTreeMap;
use std::time::Duration;

use sagespool_messages::{CoverRelease, CoverRequest};
use sagespool_types::{ClockTime, IncarnationId};

use crate::policy::{COVER_SLOTS, FAIR_SHARE, WAITING_TIME};

#[derive(Debug, Clone, Copy)]
struct CoverPromise {
    slots: u32,
    /// The number of the newest question that was granted.
    number: u64,
    until: ClockTime,
}

/// The slots that a gateway has promised to others that are out of rotation.
///
/// While a promise stands, its giver stays in rotation and gives its slots to nobody else. A promise is
/// never made smaller before it ends: the leaver may not have heard of a change.
#[derive(Debug, Clone, Default)]
pub(crate) struct CoverLedger {
    promises: BTreeMap<IncarnationId, CoverPromise>,
    /// When a gateway with a small share of time out was last denied for want of a slot.
    waiting_at: Option<(IncarnationId, ClockTime)>,
}

impl CoverLedger {
    /// Whether no promise stands.
    pub(crate) fn is_empty(&self, now: ClockTime) -> bool {
        self.promises.values().all(|promise| promise.until <= now)
    }

    /// The slots that are promised.
    pub(crate) fn promised(&self, now: ClockTime) -> u32 {
        self.standing(now).map(|(_, promise)| promise.slots).sum()
    }

    fn standing(&self, now: ClockTime) -> impl Iterator<Item = (IncarnationId, CoverPromise)> {
        let promises = self.promises.iter();
        promises
            .filter(move |(_, promise)| promise.until > now)
            .map(|(id, promise)| (*id, *promise))
    }

    /// Whether another gateway, out of rotation for less than its fair share, waits for a slot.
    pub(crate) fn has_waiting(&self, besides: IncarnationId, now: ClockTime) -> bool {
        self.waiting_at.is_some_and(|(id, at)| id != besides && now.since(at) < WAITING_TIME)
    }

    /// Whether a promise to a leaver stands.
    pub(crate) fn covers(&self, leaver: IncarnationId, now: ClockTime) -> bool {
        self.standing(now).any(|(id, _)| id == leaver)
    }

    /// Promises up to the slots that are asked for. Returns how many, 0 for a question that came late.
    pub(crate) fn promise(
        &mut self,
        request: &CoverRequest,
        lease: Duration,
        now: ClockTime,
    ) -> u32 {
        let CoverRequest { leaver, number, slots: wanted, out_share, .. } = *request;
        self.promises.retain(|_, promise| promise.until > now);
        let earlier = self.promises.get(&leaver).copied();
        if earlier.is_some_and(|earlier| number <= earlier.number) {
            return 0;
        }
        let held = earlier.map_or(0, |earlier| earlier.slots);
        let free = COVER_SLOTS.saturating_sub(self.promised(now)) + held;
        let slots = wanted.min(free);
        if slots == 0 {
            if out_share < FAIR_SHARE {
                self.waiting_at = Some((leaver, now));
            }
            return 0;
        }
        let promise = CoverPromise { slots: slots.max(held), number, until: now.after(lease) };
        self.promises.insert(leaver, promise);
        slots
    }

    /// Ends a promise whose newest granted question isn't newer than the release.
    pub(crate) fn release(&mut self, release: CoverRelease) {
        let promise = self.promises.get(&release.leaver);
        if promise.is_some_and(|promise| promise.number <= release.number) {
            self.promises.remove(&release.leaver);
        }
    }
}
