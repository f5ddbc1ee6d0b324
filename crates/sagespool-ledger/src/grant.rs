//! A grant as its holder sees it.

use std::collections::BTreeMap;
use std::collections::HashMap;

use sagespool_messages::{ChargeRecord, GrantUse};
use sagespool_types::{
    ChargeId, ClockTime, GrantId, IncarnationId, RequestId, SequenceNumber, StoreRevision,
    TokenCount,
};

use crate::GrantRecord;
use crate::recovery::rank;

/// A reservation that isn't settled yet.
#[derive(Debug, Clone)]
pub(crate) struct OpenCharge {
    pub(crate) request: RequestId,
    pub(crate) reserved: TokenCount,
    /// The entry that will tell how it ended.
    pub(crate) entry: IncarnationId,
    /// When the request has to be answered.
    pub(crate) deadline: ClockTime,
    /// What sidecars witnessed: the highest attempt.
    pub(crate) evidence: Option<ChargeRecord>,
    /// The revision of its grant that it was handed out with.
    pub(crate) revision: StoreRevision,
    /// True once the entry can't tell any more: the sidecars have to be asked.
    pub(crate) entry_gone: bool,
    /// True once a sidecar that may have run it is gone for good: what it used can't be known.
    pub(crate) lost: bool,
    /// When it was last handed out to be looked into.
    pub(crate) asked: Option<ClockTime>,
}

impl OpenCharge {
    /// Takes in what a sidecar witnessed; an older attempt, or an older word on the same, is nothing.
    pub(crate) fn witness(&mut self, record: &ChargeRecord) {
        if self.evidence.as_ref().is_none_or(|known| rank(record) > rank(known)) {
            self.evidence = Some(record.clone());
        }
    }

    /// What is known to be used at the least.
    fn known_use(&self) -> TokenCount {
        let known = self.evidence.as_ref().map_or(TokenCount::ZERO, |record| record.used);
        known.min(self.reserved)
    }
}

/// A grant held by this process.
#[derive(Debug)]
pub(crate) struct HeldGrant {
    pub(crate) id: GrantId,
    /// A version of its book at which it was there, unsealed.
    pub(crate) revision: StoreRevision,
    /// What may be spent in all; lowered at once when some is to be given back, raised once a raise
    /// is seen in the store.
    pub(crate) amount: TokenCount,
    /// The raises in the store that `amount` has in it.
    raised: TokenCount,
    /// The amount in the store, as last seen.
    pub(crate) stored_amount: TokenCount,
    /// Spent by ended requests.
    pub(crate) used: TokenCount,
    /// Held for running requests.
    pub(crate) reserved: TokenCount,
    next: u64,
    pub(crate) open: HashMap<SequenceNumber, OpenCharge>,
    /// Ended and not known to be settled in the store.
    pub(crate) unsettled: BTreeMap<SequenceNumber, TokenCount>,
    /// Nothing new is reserved from it, and it is closed once nothing is open.
    pub(crate) closing: bool,
    /// True if its book says that some of it is in doubt.
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
            next: 0,
            open: HashMap::new(),
            unsettled: BTreeMap::new(),
            closing: false,
            in_doubt: record.in_doubt,
            last_used: now,
        }
    }

    /// What new requests may reserve.
    pub(crate) fn available(&self) -> TokenCount {
        if self.closing {
            return TokenCount::ZERO;
        }
        self.amount.less(self.used + self.reserved)
    }

    /// What isn't spent or held, also while closing.
    pub(crate) fn unspent(&self) -> TokenCount {
        self.amount.less(self.used + self.reserved)
    }

    /// Holds an amount; the caller has checked that it is available.
    pub(crate) fn reserve(&mut self, open: OpenCharge, now: ClockTime) -> ChargeId {
        let sequence = SequenceNumber(self.next);
        self.next += 1;
        self.reserved += open.reserved;
        self.last_used = now;
        self.open.insert(sequence, open);
        ChargeId { grant: self.id, sequence }
    }

    /// What is used and held of it, for operators.
    pub(crate) fn usage(&self) -> GrantUse {
        GrantUse { grant: self.id, used: self.used, reserved: self.reserved }
    }

    /// Spent and known to be settled in the store.
    pub(crate) fn settled_used(&self) -> TokenCount {
        self.used.less(self.unsettled.values().copied().sum())
    }

    /// Ends a reservation; false if it had ended before. At most what was reserved is spent.
    pub(crate) fn settle(&mut self, sequence: SequenceNumber, used: TokenCount) -> bool {
        let Some(open) = self.open.remove(&sequence) else {
            return false;
        };
        let used = used.min(open.reserved);
        self.reserved = self.reserved.less(open.reserved);
        self.used += used;
        self.unsettled.insert(sequence, used);
        true
    }

    /// True if nothing under it will change by itself any more.
    pub(crate) fn is_done(&self) -> bool {
        self.closing && self.open.values().all(|open| open.lost)
    }

    /// True if only an operator's release is awaited.
    pub(crate) fn is_left_in_doubt(&self) -> bool {
        self.is_done() && self.in_doubt && !self.open.is_empty()
    }

    /// Gives up on a charge whose witness is gone for good. Its whole reservation stays held.
    pub(crate) fn lose(&mut self, sequence: SequenceNumber) {
        if let Some(open) = self.open.get_mut(&sequence) {
            open.lost = true;
            self.closing = true;
            self.shrink();
        }
    }

    /// What is reserved for charges that may still end.
    pub(crate) fn returnable(&self) -> TokenCount {
        let lost = self.open.values().filter(|open| open.lost);
        let lost: TokenCount = lost.map(|open| open.reserved).sum();
        self.reserved.less(lost)
    }

    /// Puts what ended into the grant's record; true if that changed it. Each charge is found by its
    /// number, so that one put in before counts once.
    pub(crate) fn settle_into(&self, record: &mut GrantRecord) -> bool {
        let mut changed = false;
        for (sequence, used) in &self.unsettled {
            changed |= record.settle(*sequence, *used);
        }
        // Only ever lowered: `amount` was lowered here before anything of this is written, so what
        // is returned isn't reserved from, however late the write takes effect.
        let amount = self.amount + record.raised.less(self.raised);
        if amount < record.amount {
            record.amount = amount.max(record.settled);
            changed = true;
        }
        changed
    }

    /// What is known of the charges whose witness is lost.
    pub(crate) fn known_uses(&self) -> Vec<(SequenceNumber, TokenCount)> {
        let mut known: Vec<_> =
            self.open.iter().map(|(sequence, open)| (*sequence, open.known_use())).collect();
        known.sort_unstable();
        known
    }

    /// Takes in what raises added since its record was last seen, also one whose answer was lost.
    /// Under a grant that is closing it goes back unspent.
    fn observe_raise(&mut self, record: &GrantRecord) -> TokenCount {
        let new = record.raised.less(self.raised);
        self.raised += new;
        self.amount += new;
        if self.closing {
            self.shrink();
        }
        new
    }

    /// Takes in its record as it is in the store; returns what raises added since it was last seen.
    pub(crate) fn observe(&mut self, record: &GrantRecord) -> TokenCount {
        let raised = self.observe_raise(record);
        self.unsettled.retain(|sequence, _| !record.charges.contains(*sequence));
        self.stored_amount = record.amount;
        self.in_doubt = record.in_doubt;
        // Sealed while this process was paused or cut off: sidecars start nothing more under it, and
        // a recovery may have settled charges that are open here.
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

    /// Gives up to `most` of the unspent part back. Nothing is reserved from that from now on, so the
    /// book's amount may be lowered at any later time, also by a write whose answer is lost.
    pub(crate) fn return_unspent(&mut self, most: TokenCount) -> TokenCount {
        let given = self.unspent().min(most);
        self.amount = self.amount.less(given);
        given
    }

    /// Gives all of the unspent part back.
    pub(crate) fn shrink(&mut self) -> TokenCount {
        self.return_unspent(TokenCount(u64::MAX))
    }
}
