//! The store with one book: conditional updates, outages, writes that land late.

use std::collections::BTreeMap;

use sagespool_ledger::BookRecord;
use sagespool_types::{GrantId, StoreRevision};

/// What becomes of a write, and of the answer to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteFate {
    /// It takes effect and the writer hears so.
    Acknowledged,
    /// It takes effect and the answer is lost.
    AnswerLost,
    /// It is still on its way when the writer gives up on it.
    Delayed,
    /// It never reaches the store.
    Dropped,
}

/// A write, conditional on the book's version.
#[derive(Debug, Clone)]
pub struct DraftWrite {
    pub base: StoreRevision,
    pub record: BookRecord,
}

/// The store.
#[derive(Debug, Default)]
pub struct ModelStore {
    pub record: BookRecord,
    pub version: StoreRevision,
    pub revision: StoreRevision,
    pub outage: bool,
    pub delayed: BTreeMap<u64, DraftWrite>,
    next_delayed: u64,
    pub raises: RaiseTally,
    last_raised: Vec<GrantId>,
}

/// How often raises of grants took effect, so that a search that meets none is known for empty.
#[derive(Debug, Default, Clone, Copy)]
pub struct RaiseTally {
    pub landed: u64,
    pub heard: u64,
    /// Sealed by the very next write of the book, mostly before the holder had heard of the raise.
    pub sealed: u64,
}

impl ModelStore {
    /// The book and its version; nothing in an outage.
    pub fn read(&self) -> Option<DraftWrite> {
        (!self.outage).then(|| DraftWrite { base: self.version, record: self.record.clone() })
    }

    /// Another object changes.
    pub fn touch(&mut self) {
        self.revision = StoreRevision(self.revision.0 + 1);
    }

    /// A write arrives; true if it takes effect.
    pub fn land(&mut self, write: &DraftWrite) -> bool {
        if self.outage || write.base != self.version {
            return false;
        }
        self.touch();
        self.version = self.revision;
        self.tally(&write.record);
        self.record = write.record.clone();
        true
    }

    /// Counts the raises of a write, and checks that none is of a grant that nobody accounts for.
    fn tally(&mut self, new: &BookRecord) {
        let last = std::mem::take(&mut self.last_raised);
        for (branch, account) in &new.branches {
            let Some(before) = self.record.branches.get(branch) else {
                continue;
            };
            for (id, grant) in &account.grants {
                let Some(old) = before.grants.get(id) else {
                    continue;
                };
                self.raises.sealed += u64::from(last.contains(id) && grant.is_unaccounted());
                if grant.raised > old.raised {
                    assert!(!old.is_unaccounted(), "{id} was raised though sealed or in doubt");
                    self.raises.landed += 1;
                    self.last_raised.push(*id);
                }
            }
        }
    }

    /// A writer hears that its write took effect.
    pub fn heard(&mut self, write: &DraftWrite) {
        self.raises.heard += self.last_raised.len() as u64;
        debug_assert!(write.base < self.version, "a write heard of took effect");
    }

    /// A writer sends a write; the new version if it hears that it took effect.
    pub fn write(&mut self, write: &DraftWrite, fate: WriteFate) -> Option<StoreRevision> {
        match fate {
            WriteFate::Acknowledged => self.land(write).then_some(self.version),
            WriteFate::AnswerLost => {
                self.land(write);
                None
            }
            WriteFate::Delayed => {
                self.delayed.insert(self.next_delayed, write.clone());
                self.next_delayed += 1;
                None
            }
            WriteFate::Dropped => None,
        }
    }

    /// A delayed write arrives at last.
    pub fn land_delayed(&mut self, pick: usize) {
        let Some(number) = crate::pick(&self.delayed.keys().copied().collect::<Vec<_>>(), pick)
        else {
            return;
        };
        if let Some(write) = self.delayed.remove(&number) {
            self.land(&write);
        }
    }
}
