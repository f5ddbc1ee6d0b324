//! A store with one book: conditional updates, outages, delayed writes.

use std::collections::BTreeMap;

use sagespool_ledger::BookRecord;
use sagespool_types::{GrantId, StoreRevision};

/// The outcome of a write and of its reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// Applied, and the writer receives the reply.
    Acknowledged,
    /// Applied, but the reply is lost.
    AnswerLost,
    /// Still in flight when the writer stops waiting for the reply.
    Delayed,
    /// Never reaches the store.
    Dropped,
}

/// A write, conditional on the book's version.
#[derive(Debug, Clone)]
pub struct DraftWrite {
    pub base: StoreRevision,
    pub record: BookRecord,
}

/// The store's single book and its revision.
#[derive(Debug, Default)]
pub struct ModelStore {
    pub record: BookRecord,
    pub version: StoreRevision,
    pub revision: StoreRevision,
    pub outage: bool,
    pub delayed: BTreeMap<u64, DraftWrite>,
    next_delayed: u64,
    pub raises: RaiseCounts,
    last_raised: Vec<GrantId>,
}

/// Raises of grants that took effect, so that a search without any is detected.
#[derive(Debug, Default, Clone, Copy)]
pub struct RaiseCounts {
    pub applied: u64,
    pub acknowledged: u64,
    /// Sealed by the next write of the book, mostly before the holder had seen the raise.
    pub sealed: u64,
}

impl ModelStore {
    /// The book and its version; none during an outage.
    pub fn read(&self) -> Option<DraftWrite> {
        (!self.outage).then(|| DraftWrite { base: self.version, record: self.record.clone() })
    }

    /// Advances the revision as a write of another object does.
    pub fn touch(&mut self) {
        self.revision = StoreRevision(self.revision.0 + 1);
    }

    /// Applies a write; true if it took effect.
    pub fn apply_write(&mut self, write: &DraftWrite) -> bool {
        if self.outage || write.base != self.version {
            return false;
        }
        self.touch();
        self.version = self.revision;
        self.count_raises(&write.record);
        self.record = write.record.clone();
        true
    }

    /// Counts the raises of a write and checks that none is of a grant that is sealed or in doubt.
    fn count_raises(&mut self, new: &BookRecord) {
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
                    self.raises.applied += 1;
                    self.last_raised.push(*id);
                }
            }
        }
    }

    /// Counts the raises of a write whose reply the writer received.
    pub fn count_acknowledged(&mut self, write: &DraftWrite) {
        self.raises.acknowledged += self.last_raised.len() as u64;
        debug_assert!(write.base < self.version, "an acknowledged write took effect");
    }

    /// Sends a write; returns the new version if the writer receives the reply and the write took
    /// effect.
    pub fn write(&mut self, write: &DraftWrite, outcome: WriteOutcome) -> Option<StoreRevision> {
        match outcome {
            WriteOutcome::Acknowledged => self.apply_write(write).then_some(self.version),
            WriteOutcome::AnswerLost => {
                self.apply_write(write);
                None
            }
            WriteOutcome::Delayed => {
                self.delayed.insert(self.next_delayed, write.clone());
                self.next_delayed += 1;
                None
            }
            WriteOutcome::Dropped => None,
        }
    }

    /// Applies one of the delayed writes.
    pub fn apply_delayed(&mut self, pick: usize) {
        let Some(number) = crate::pick(&self.delayed.keys().copied().collect::<Vec<_>>(), pick)
        else {
            return;
        };
        if let Some(write) = self.delayed.remove(&number) {
            self.apply_write(&write);
        }
    }
}
