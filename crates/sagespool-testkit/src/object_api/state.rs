//! The store's objects, change history and registered watches.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;
use std::sync::Arc;

use async_channel::{Receiver, Sender};
use sagespool_types::{ByteCount, ClockTime, StoreRevision};
use serde_json::value::RawValue;

use super::records::{AppliedWrite, ObjectChange, StoredObject};

/// The outcome of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteOutcome {
    /// The write took effect and created this version.
    Applied(StoreRevision),
    /// The object has this version instead; zero if it doesn't exist.
    Conflict(StoreRevision),
    /// The object to delete doesn't exist.
    Missing,
}

/// The changes that a watch finds.
#[derive(Debug)]
pub(super) enum WatchOutcome {
    /// Changes after the watch's revision, possibly none.
    Changes(Vec<ObjectChange>),
    /// The history no longer covers the watch's revision.
    HistoryTrimmed,
}

struct WaitingWatch {
    number: u64,
    prefix: String,
    wake: Sender<()>,
}

/// The state of the store. It has a single lock because one revision counts all objects' writes.
pub(super) struct StoreState {
    revision: StoreRevision,
    objects: BTreeMap<Arc<str>, StoredObject>,
    history: VecDeque<(StoreRevision, Arc<str>)>,
    history_limit: usize,
    /// The newest revision that was trimmed from the history.
    trimmed_through: StoreRevision,
    writes: Vec<AppliedWrite>,
    waiting: Vec<WaitingWatch>,
    watch_number: u64,
    most_waiting: u64,
}

impl StoreState {
    pub(super) fn new(history_limit: usize) -> Self {
        Self {
            revision: StoreRevision::ZERO,
            objects: BTreeMap::new(),
            history: VecDeque::new(),
            history_limit,
            trimmed_through: StoreRevision::ZERO,
            writes: Vec::new(),
            waiting: Vec::new(),
            watch_number: 0,
            most_waiting: 0,
        }
    }

    pub(super) fn revision(&self) -> StoreRevision {
        self.revision
    }

    pub(super) fn writes(&self) -> &[AppliedWrite] {
        &self.writes
    }

    pub(super) fn get(&self, key: &str) -> Option<StoredObject> {
        self.objects.get(key).cloned()
    }

    /// The objects under a prefix, sorted by key.
    pub(super) fn list(&self, prefix: &str) -> Vec<StoredObject> {
        let from = (Bound::Included(prefix), Bound::Unbounded);
        self.objects
            .range::<str, _>(from)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, object)| object.clone())
            .collect()
    }

    /// Puts a document if the object has the expected version.
    pub(super) fn put(
        &mut self,
        key: &str,
        expected: Option<StoreRevision>,
        value: Arc<RawValue>,
        now: ClockTime,
    ) -> WriteOutcome {
        let present = self.version_of(key);
        if expected.is_some_and(|expected| expected != present) {
            return WriteOutcome::Conflict(present);
        }
        let size = ByteCount(value.get().len() as u64);
        let key: Arc<str> = key.into();
        let version = self.record_write(&key, size, now);
        let object = StoredObject { key: key.clone(), version, value };
        self.objects.insert(key, object);
        WriteOutcome::Applied(version)
    }

    /// Deletes an object if it has the expected version.
    pub(super) fn delete(
        &mut self,
        key: &str,
        expected: Option<StoreRevision>,
        now: ClockTime,
    ) -> WriteOutcome {
        let present = self.version_of(key);
        if present == StoreRevision::ZERO {
            return WriteOutcome::Missing;
        }
        if expected.is_some_and(|expected| expected != present) {
            return WriteOutcome::Conflict(present);
        }
        self.objects.remove(key);
        let version = self.record_write(&key.into(), ByteCount::ZERO, now);
        WriteOutcome::Applied(version)
    }

    fn version_of(&self, key: &str) -> StoreRevision {
        self.objects.get(key).map_or(StoreRevision::ZERO, |object| object.version)
    }

    fn record_write(&mut self, key: &Arc<str>, size: ByteCount, now: ClockTime) -> StoreRevision {
        self.revision += StoreRevision(1);
        let revision = self.revision;
        self.writes.push(AppliedWrite { revision, key: key.clone(), size, at: now });
        self.history.push_back((revision, key.clone()));
        self.trim_history();
        self.wake_watches(key);
        revision
    }

    fn trim_history(&mut self) {
        while self.history.len() > self.history_limit {
            let Some((revision, _)) = self.history.pop_front() else { return };
            self.trimmed_through = revision;
        }
    }

    /// The newest change of each key under a prefix after a revision.
    pub(super) fn changes(&self, prefix: &str, after: StoreRevision) -> WatchOutcome {
        if after < self.trimmed_through {
            return WatchOutcome::HistoryTrimmed;
        }
        let newer = self.history.partition_point(|(revision, _)| *revision <= after);
        let mut seen = BTreeSet::new();
        let mut changes = Vec::new();
        for (revision, key) in self.history.range(newer..).rev() {
            if key.starts_with(prefix) && seen.insert(key) {
                changes.push(self.newest_change(key, *revision));
            }
        }
        changes.reverse();
        WatchOutcome::Changes(changes)
    }

    fn newest_change(&self, key: &Arc<str>, version: StoreRevision) -> ObjectChange {
        let value = self.objects.get(key).map(|object| object.value.clone());
        ObjectChange { key: key.clone(), version, value }
    }

    /// Registers a watch; it is woken by the next change under its prefix.
    pub(super) fn add_watch(&mut self, prefix: &str) -> (u64, Receiver<()>) {
        let (wake, woken) = async_channel::bounded(1);
        self.watch_number += 1;
        let number = self.watch_number;
        self.waiting.push(WaitingWatch { number, prefix: prefix.to_owned(), wake });
        self.most_waiting = self.most_waiting.max(self.waiting_watches());
        (number, woken)
    }

    pub(super) fn remove_watch(&mut self, number: u64) {
        self.waiting.retain(|watch| watch.number != number);
    }

    pub(super) fn waiting_watches(&self) -> u64 {
        self.waiting.len() as u64
    }

    pub(super) fn most_waiting_watches(&self) -> u64 {
        self.most_waiting
    }

    fn wake_watches(&self, key: &str) {
        let matching = self.waiting.iter().filter(|watch| key.starts_with(&watch.prefix));
        for watch in matching {
            // A full channel means that the watch has been woken already.
            let _ = watch.wake.try_send(());
        }
    }

    /// Wakes every watch, so that it checks whether the store is still available.
    pub(super) fn wake_all(&self) {
        for watch in &self.waiting {
            let _ = watch.wake.try_send(());
        }
    }
}
