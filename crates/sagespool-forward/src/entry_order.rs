//! Order of the writes of upstreams' entries.
//!
//! The store may execute a write that got no response seconds later, after newer writes. It then
//! lists an older entry at a newer revision, so the revision doesn't order the writes of an entry.
//! The start time of the upstream's run and the sequence of the write within it do.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sagespool_types::{ClockTime, EntrySequence, UpstreamName, UpstreamStartTime};

use crate::registry::UpstreamRecord;

/// The longest time from a newer write until the store executes an earlier one, and until that is
/// read.
const LATE_WRITE_PERIOD: Duration = Duration::from_secs(10);
/// Heartbeats without a write after which the store removes an entry.
const EXPIRY_HEARTBEATS: u32 = 3;
/// Additional time for heartbeats and removals that are late.
const EXPIRY_MARGIN: Duration = Duration::from_secs(1);

/// The latest write of an upstream's entry that was read.
#[derive(Debug)]
struct LatestWrite {
    born: Option<UpstreamStartTime>,
    sequence: EntrySequence,
    leaving: bool,
    /// Whether the entry has been removed since.
    removed: bool,
    /// When the write or the removal was read.
    read_at: ClockTime,
    held: Option<HeldWrite>,
}

/// An older write that the store lists in place of the latest one.
#[derive(Debug)]
struct HeldWrite {
    record: UpstreamRecord,
    since: ClockTime,
}

impl LatestWrite {
    fn of(record: &UpstreamRecord, now: ClockTime) -> Self {
        Self {
            born: record.born,
            sequence: record.sequence,
            leaving: record.leaving,
            removed: false,
            read_at: now,
            held: None,
        }
    }

    /// Whether a record was written before this write, if its run hasn't restarted without a start
    /// time.
    fn is_after(&self, record: &UpstreamRecord) -> bool {
        if let (Some(born), Some(other)) = (self.born, record.born)
            && born != other
        {
            return born > other;
        }
        let has_left = self.removed && self.leaving && !record.leaving;
        self.sequence > record.sequence || has_left
    }

    /// Whether the start times show that a record is of the same run.
    fn is_same_run(&self, record: &UpstreamRecord) -> bool {
        self.born.is_some() && self.born == record.born
    }
}

/// Tells the writes that the store executed late from the current ones.
///
/// A write that seems older may also be the first one of a run that restarted without a start time,
/// or after its clock stepped back. Such a run renews its entry, whereas the entry that a late write
/// left is soon overwritten, or removed because its upstream is silent. So an older entry is taken
/// over once it has been listed for longer than that takes.
#[derive(Debug)]
pub(crate) struct EntryOrder {
    expiry: Duration,
    latest: BTreeMap<UpstreamName, LatestWrite>,
}

impl EntryOrder {
    /// `heartbeat` is the time between two writes of an entry.
    pub(crate) fn new(heartbeat: Duration) -> Self {
        Self { expiry: heartbeat * EXPIRY_HEARTBEATS + EXPIRY_MARGIN, latest: BTreeMap::new() }
    }

    /// Whether a listed record was written before one that was read earlier.
    pub(crate) fn is_late(&self, record: &UpstreamRecord, now: ClockTime) -> bool {
        self.latest.get(&record.name).is_some_and(|latest| {
            latest.is_after(record)
                && (latest.is_same_run(record) || now.since(latest.read_at) < LATE_WRITE_PERIOD)
        })
    }

    /// Whether a record that was written later belongs to another run: it seems older, but no late
    /// write is executed any more.
    pub(crate) fn is_restart(&self, record: &UpstreamRecord) -> bool {
        self.latest.get(&record.name).is_some_and(|latest| latest.is_after(record))
    }

    /// Keeps a late write until the store lists a newer one again.
    pub(crate) fn hold(&mut self, record: UpstreamRecord, now: ClockTime) {
        let Some(latest) = self.latest.get_mut(&record.name) else {
            return;
        };
        let renewed = latest.held.as_ref().filter(|held| held.record.is_renewed_by(&record));
        let since = renewed.map_or(now, |held| held.since);
        latest.held = Some(HeldWrite { record, since });
    }

    /// Notes the current write of an entry. True if the store listed an older one meanwhile.
    pub(crate) fn note(&mut self, record: &UpstreamRecord, now: ClockTime) -> bool {
        let mut noted = LatestWrite::of(record, now);
        let known = self.latest.get(&record.name);
        let is_same = |known: &&LatestWrite| {
            (known.born, known.sequence, known.removed) == (noted.born, noted.sequence, false)
        };
        // Reading a write again makes it no newer.
        noted.read_at = known.filter(is_same).map_or(now, |known| known.read_at);
        let replaced = self.latest.insert(record.name.clone(), noted);
        replaced.is_some_and(|replaced| replaced.held.is_some())
    }

    /// Notes that the store doesn't list an entry, which may have lapsed.
    pub(crate) fn note_missing(&mut self, name: &UpstreamName) {
        if let Some(latest) = self.latest.get_mut(name) {
            latest.held = None;
        }
    }

    /// Notes that the store lists no entries but these.
    pub(crate) fn note_listed(&mut self, listed: &BTreeSet<UpstreamName>) {
        let unlisted = self.latest.iter_mut().filter(|(name, _)| !listed.contains(*name));
        unlisted.for_each(|(_, latest)| latest.held = None);
    }

    /// Notes that an entry is gone.
    pub(crate) fn note_removed(&mut self, name: &UpstreamName, now: ClockTime) {
        if let Some(latest) = self.latest.get_mut(name) {
            latest.held = None;
            latest.removed = true;
            latest.read_at = now;
        }
    }

    /// Takes the older writes that have been listed for too long to be late ones, and drops the
    /// removed entries that no late write brings back any more.
    pub(crate) fn take_current(&mut self, now: ClockTime) -> Vec<UpstreamRecord> {
        let expiry = self.expiry;
        let held = self.latest.values_mut().filter_map(|latest| {
            let held = latest.held.take()?;
            if latest.is_same_run(&held.record) || now.since(held.since) < expiry {
                latest.held = Some(held);
                return None;
            }
            Some(held.record)
        });
        let current = held.collect();
        self.latest.retain(|_, latest| {
            !latest.removed
                || latest.held.is_some()
                || now.since(latest.read_at) < LATE_WRITE_PERIOD
        });
        current
    }
}
