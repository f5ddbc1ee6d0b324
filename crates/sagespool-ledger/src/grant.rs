//! A grant as seen by its holder.

use std::collections::BTreeMap;
use std::collections::HashMap;

use sagespool_messages::{ChargeRecord, GrantUse};
use sagespool_types::{
    ChargeId, ClockTime, GrantId, IncarnationId, RequestId, SequenceNumber, StoreRevision,
    TokenCount,
};

use crate::GrantRecord;
use crate::recovery::recency;

/// A reservation that isn't settled yet.
#[derive(Debug, Clone)]
pub(crate) struct OpenCharge {
    pub(crate) request: RequestId,
    pub(crate) reserved: TokenCount,
    /// The entry that reports how the request ended.
    pub(crate) entry: IncarnationId,
    /// Deadline of the request.
    pub(crate) deadline: ClockTime,
    /// Use reported by sidecars, for the highest attempt.
    pub(crate) reported_usage: Option<ChargeRecord>,
    /// The grant revision that was returned with the reservation.
    pub(crate) revision: StoreRevision,
    /// True once the entry can't report the outcome: the sidecars have to be queried.
    pub(crate) needs_inquiry: bool,
    /// True once a sidecar that may have run the charge is gone for good: its use can't be
    /// established.
    pub(crate) usage_unknown: bool,
    /// Time of the last inquiry at the sidecars.
    pub(crate) last_inquiry: Option<ClockTime>,
}

impl OpenCharge {
    /// Records the use reported by a sidecar. Reports of an older attempt, or older reports of the
    /// same attempt, are ignored.
    pub(crate) fn note_usage(&mut self, record: &ChargeRecord) {
        if self.reported_usage.as_ref().is_none_or(|known| recency(record) > recency(known)) {
            self.reported_usage = Some(record.clone());
        }
    }

    /// Lower bound of the use.
    fn known_use(&self) -> TokenCount {
        let known = self.reported_usage.as_ref().map_or(TokenCount::ZERO, |record| record.used);
        known.min(self.reserved)
    }
}

/// A grant held by this process.
#[derive(Debug)]
pub(crate) struct HeldGrant {
    pub(crate) id: GrantId,
    /// A version of the book in which the grant was present and not sealed.
    pub(crate) revision: StoreRevision,
    /// Total that may be spent. Lowered immediately when tokens are to be returned; raised only
    /// once the raise is seen in the store.
    pub(crate) amount: TokenCount,
    /// Sum of the stored raises that `amount` includes.
    raised: TokenCount,
    /// The stored amount, as last seen.
    pub(crate) stored_amount: TokenCount,
    /// Spent by finished requests.
    pub(crate) used: TokenCount,
    /// Reserved for running requests.
    pub(crate) reserved: TokenCount,
    next_sequence: u64,
    pub(crate) open: HashMap<SequenceNumber, OpenCharge>,
    /// Finished charges that aren't known to be settled in the store.
    pub(crate) unsettled: BTreeMap<SequenceNumber, TokenCount>,
    /// Takes no new reservations and is closed once no charge is open.
    pub(crate) closing: bool,
    /// True if the book marks a part of it as in doubt.
    pub(crate) in_doubt: bool,
    pub(crate) last_used: ClockTime,
}

impl HeldGrant {
    pub(crate) fn new(
        id: GrantId,
        record: &GrantRecord,
        revision: StoreRevision,
        now: ClockTime,
    ) -> Self {
        Self {
            id,
            revision,
            amount: record.amount,
            raised: record.raised,
            stored_amount: record.amount,
            used: TokenCount::ZERO,
            reserved: TokenCount::ZERO,
            next_sequence: 0,
            open: HashMap::new(),
            unsettled: BTreeMap::new(),
            closing: false,
            in_doubt: record.in_doubt,
            last_used: now,
        }
    }

    /// Tokens that new requests can reserve.
    pub(crate) fn available(&self) -> TokenCount {
        if self.closing {
            return TokenCount::ZERO;
        }
        self.amount.saturating_sub(self.used + self.reserved)
    }

    /// Tokens neither spent nor reserved; unlike `available`, also while closing.
    pub(crate) fn unspent(&self) -> TokenCount {
        self.amount.saturating_sub(self.used + self.reserved)
    }

    /// Reserves an amount; the caller has checked that it is available.
    pub(crate) fn reserve(&mut self, open: OpenCharge, now: ClockTime) -> ChargeId {
        let sequence = SequenceNumber(self.next_sequence);
        self.next_sequence += 1;
        self.reserved += open.reserved;
        self.last_used = now;
        self.open.insert(sequence, open);
        ChargeId { grant: self.id, sequence }
    }

    /// Used and reserved tokens, for operators.
    pub(crate) fn usage(&self) -> GrantUse {
        GrantUse { grant: self.id, used: self.used, reserved: self.reserved }
    }

    /// Spent tokens that are known to be settled in the store.
    pub(crate) fn settled_used(&self) -> TokenCount {
        self.used.saturating_sub(self.unsettled.values().copied().sum())
    }

    /// Ends a reservation; false if it has ended already. The use is capped at the reserved amount.
    pub(crate) fn settle(&mut self, sequence: SequenceNumber, used: TokenCount) -> bool {
        let Some(open) = self.open.remove(&sequence) else {
            return false;
        };
        let used = used.min(open.reserved);
        self.reserved = self.reserved.saturating_sub(open.reserved);
        self.used += used;
        self.unsettled.insert(sequence, used);
        true
    }

    /// True if no further change is expected without an operator.
    pub(crate) fn is_quiescent(&self) -> bool {
        self.closing && self.open.values().all(|open| open.usage_unknown)
    }

    /// True if the grant only waits for an operator's release.
    pub(crate) fn awaits_release(&self) -> bool {
        self.is_quiescent() && self.in_doubt && !self.open.is_empty()
    }

    /// Marks a charge whose use can't be established since its sidecar is gone for good. Its whole
    /// reservation stays held.
    pub(crate) fn mark_usage_unknown(&mut self, sequence: SequenceNumber) {
        if let Some(open) = self.open.get_mut(&sequence) {
            open.usage_unknown = true;
            self.closing = true;
            self.return_all_unspent();
        }
    }

    /// Tokens reserved for charges that may still end.
    pub(crate) fn returnable(&self) -> TokenCount {
        let lost = self.open.values().filter(|open| open.usage_unknown);
        let lost: TokenCount = lost.map(|open| open.reserved).sum();
        self.reserved.saturating_sub(lost)
    }

    /// Writes finished charges into the grant's record; true if that changed it. Charges are
    /// identified by number, so a charge that was written before counts once.
    pub(crate) fn settle_into(&self, record: &mut GrantRecord) -> bool {
        let mut changed = false;
        for (sequence, used) in &self.unsettled {
            changed |= record.settle(*sequence, *used);
        }
        // The stored amount is only ever lowered. `amount` was lowered here before this write, so
        // the returned part can't be reserved from, however late the write takes effect.
        let amount = self.amount + record.raised.saturating_sub(self.raised);
        if amount < record.amount {
            record.amount = amount.max(record.settled);
            changed = true;
        }
        changed
    }

    /// Reported use of the charges whose sidecar is lost.
    pub(crate) fn known_usage(&self) -> Vec<(SequenceNumber, TokenCount)> {
        let mut known: Vec<_> =
            self.open.iter().map(|(sequence, open)| (*sequence, open.known_use())).collect();
        known.sort_unstable();
        known
    }

    /// Adds raises made since the record was last seen, including one whose reply was lost. If the
    /// grant is closing, they are returned unspent.
    fn observe_raise(&mut self, record: &GrantRecord) -> TokenCount {
        let new = record.raised.saturating_sub(self.raised);
        self.raised += new;
        self.amount += new;
        if self.closing {
            self.return_all_unspent();
        }
        new
    }

    /// Merges the stored record; returns the raises since it was last seen.
    pub(crate) fn observe(&mut self, record: &GrantRecord) -> TokenCount {
        let raised = self.observe_raise(record);
        self.unsettled.retain(|sequence, _| !record.charges.contains(*sequence));
        self.stored_amount = record.amount;
        self.in_doubt = record.in_doubt;
        // The grant was sealed while this process was paused or partitioned. Sidecars start nothing
        // more under it, and a recovery may have settled charges that are open here.
        self.closing |= record.sealed_by.is_some();
        let elsewhere: Vec<_> = self
            .open
            .keys()
            .copied()
            .filter(|sequence| record.charges.contains(*sequence))
            .collect();
        for sequence in elsewhere {
            self.settle(sequence, TokenCount(u64::MAX));
            self.unsettled.remove(&sequence);
        }
        raised
    }

    /// Returns up to `most` of the unspent part. It isn't reserved from any more, so the book's
    /// amount can be lowered at any later time, also by a write whose reply is lost.
    pub(crate) fn return_unspent(&mut self, most: TokenCount) -> TokenCount {
        let given = self.unspent().min(most);
        self.amount = self.amount.saturating_sub(given);
        given
    }

    /// Returns the whole unspent part.
    pub(crate) fn return_all_unspent(&mut self) -> TokenCount {
        self.return_unspent(TokenCount(u64::MAX))
    }
}
