//! The upstreams that are eligible for new requests.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use sagespool_types::{
    CentreName, ClockTime, EntrySequence, ServiceName, SoftwareVersion, UpstreamName,
    UpstreamStartTime,
};

use crate::entry_order::EntryOrder;

/// An upstream's entry in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamRecord {
    /// Its name. A restarted upstream keeps it.
    pub name: UpstreamName,
    /// Start time of the current run, if the entry has one.
    pub born: Option<UpstreamStartTime>,
    /// The number of the write, counted from the start of the run.
    pub sequence: EntrySequence,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Version of its software.
    pub version: SoftwareVersion,
    /// Address for requests.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: CentreName,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// True if it accepts no new requests.
    pub leaving: bool,
    /// Remaining warm-up time when the entry was written.
    pub cold_left: Duration,
}

impl UpstreamRecord {
    /// Whether an entry differs from this one in its sequence at most.
    pub(crate) fn is_renewed_by(&self, renewed: &Self) -> bool {
        Self { sequence: renewed.sequence, ..self.clone() } == *renewed
    }

    /// The run that the entry describes.
    pub fn run(&self) -> UpstreamRun {
        UpstreamRun { name: self.name.clone(), born: self.born }
    }
}

/// One run of an upstream. A request that one run may have started may go to the next run of the
/// same upstream like to any other upstream.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct UpstreamRun {
    /// The upstream's name.
    pub name: UpstreamName,
    /// Start time of the run, if known.
    pub born: Option<UpstreamStartTime>,
}

/// Effect of a change to the list of upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamChange {
    /// The upstream is new, or its entry has changed.
    Joined,
    /// The upstream has restarted under its name. State kept for the earlier run no longer applies.
    Restarted,
    /// The upstream is leaving and gets no new requests.
    Leaving,
    /// The upstream was removed.
    Gone,
    /// The entry is missing but may only have lapsed. It is kept for now.
    Missing,
    /// The store lists an older entry than the known one, which is kept.
    Late,
    /// The store lists the known entry again after an older one.
    Restored,
    /// No relevant change.
    Unchanged,
}

#[derive(Debug)]
struct RegistryEntry {
    record: UpstreamRecord,
    /// When the entry went missing from the list.
    missing_since: Option<ClockTime>,
    /// Another upstream has replied at its address.
    replaced: bool,
    /// The upstream that appeared at its address later.
    successor: Option<UpstreamName>,
}

/// How long a leaving run is remembered while it isn't listed. Longer than a shutdown takes, and
/// than a store outage in which its entry lapses and reappears.
const LEAVING_RETENTION: Duration = Duration::from_secs(600);

/// The upstreams, as far as this instance has read them.
///
/// Upstreams can't renew their entries while the store is unavailable. The entries lapse and
/// reappear soon after it recovers. Dropping them at the first listing would leave no upstream to
/// send to although all are healthy. Entries found missing just after an outage are therefore kept
/// for a grace period if they are the larger part of a service. An entry that is removed later or
/// alone is dropped at once: that upstream is leaving and serves only for a limited time.
///
/// An entry that the store lists after a newer one is ignored: an upstream that is leaving would become
/// eligible again, or one that restarted would be addressed as its earlier run.
#[derive(Debug)]
pub struct UpstreamRegistry {
    entries: BTreeMap<UpstreamName, RegistryEntry>,
    order: EntryOrder,
    /// Data centres whose upstreams get no new requests, whatever their entries contain.
    evacuated: BTreeSet<CentreName>,
    /// Runs that have reported in a response that they are leaving, and when they last did. Entries
    /// come and go, and may be older than the responses.
    leaving_runs: BTreeMap<UpstreamName, BTreeMap<Option<UpstreamStartTime>, ClockTime>>,
    /// When the store recovered from an outage in which entries may have lapsed.
    recovered_at: Option<ClockTime>,
}

/// Time for entries to reappear after an outage. The platform promises about two seconds, and the
/// change takes a moment to arrive.
const LAPSE_GRACE_PERIOD: Duration = Duration::from_millis(2200);
/// Entries that lapsed in an outage are found missing within this time after it. The first listing
/// or watch comes at once; there is time for a second one if the first was rejected.
const LAPSE_DETECTION_PERIOD: Duration = Duration::from_millis(800);
/// A shorter visible outage lapses no entry. Entries last for several heartbeats, and an outage
/// becomes visible at the first failed call, two or three seconds into it.
const MIN_OUTAGE: Duration = Duration::from_millis(500);

/// Time between two writes of an entry, if the platform states no other.
const DEFAULT_HEARTBEAT: Duration = Duration::from_millis(1200);

impl Default for UpstreamRegistry {
    fn default() -> Self {
        Self::new(DEFAULT_HEARTBEAT)
    }
}

impl UpstreamRegistry {
    /// An empty registry of upstreams that renew their entries every `heartbeat`.
    pub fn new(heartbeat: Duration) -> Self {
        Self {
            entries: BTreeMap::new(),
            order: EntryOrder::new(heartbeat),
            evacuated: BTreeSet::new(),
            leaving_runs: BTreeMap::new(),
            recovered_at: None,
        }
    }

    /// Notes that the store has recovered after calls had failed for `outage`.
    pub fn store_returned(&mut self, outage: Duration, now: ClockTime) {
        if outage >= MIN_OUTAGE {
            self.recovered_at = Some(now);
        }
    }

    fn recovered_within(&self, span: Duration, now: ClockTime) -> bool {
        self.recovered_at.is_some_and(|recovered_at| now.since(recovered_at) < span)
    }

    /// Replaces the whole list. Returns the upstreams that changed.
    pub fn replace(
        &mut self,
        records: Vec<UpstreamRecord>,
        now: ClockTime,
    ) -> Vec<(UpstreamName, UpstreamChange)> {
        let listed: BTreeSet<UpstreamName> =
            records.iter().map(|record| record.name.clone()).collect();
        self.order.note_listed(&listed);
        let missing: Vec<UpstreamName> =
            self.entries.keys().filter(|name| !listed.contains(name)).cloned().collect();
        // Owners before this listing: of two new upstreams at one address, either may be the later
        // one.
        let owners = self.owners_by_address();
        let mut changes: Vec<_> =
            records.into_iter().map(|record| self.put_with_owners(record, &owners, now)).collect();
        self.prefer_cold_owners();
        for name in &missing {
            self.mark_missing(name, now);
        }
        changes.extend(missing.into_iter().map(|name| self.remove(&name, now)));
        changes.retain(|(_, change)| *change != UpstreamChange::Unchanged);
        changes
    }

    fn owners_by_address(&self) -> BTreeMap<SocketAddr, UpstreamName> {
        let sound = self.entries.iter().filter(|(_, entry)| !entry.replaced);
        sound.map(|(name, entry)| (entry.record.address, name.clone())).collect()
    }

    /// Of two upstreams listed at one address together, the cold one is the one that has just
    /// started.
    fn prefer_cold_owners(&mut self) {
        let cold = self.entries.values().filter(|entry| !entry.record.cold_left.is_zero());
        let cold: BTreeMap<SocketAddr, UpstreamName> =
            cold.map(|entry| (entry.record.address, entry.record.name.clone())).collect();
        for entry in self.entries.values_mut().filter(|entry| entry.record.cold_left.is_zero()) {
            if let Some(successor) = cold.get(&entry.record.address) {
                entry.successor.get_or_insert_with(|| successor.clone());
            }
        }
    }

    /// Whether a listed entry is older than one that was read before.
    pub fn is_late(&self, record: &UpstreamRecord, now: ClockTime) -> bool {
        self.order.is_late(record, now)
    }

    /// Adds or updates an entry, unless it is older than the known one.
    pub fn put(
        &mut self,
        record: UpstreamRecord,
        now: ClockTime,
    ) -> (UpstreamName, UpstreamChange) {
        let owners = self.owners_before(&record);
        self.put_with_owners(record, &owners, now)
    }

    /// The owners of addresses, if the record is of a new upstream.
    fn owners_before(&self, record: &UpstreamRecord) -> BTreeMap<SocketAddr, UpstreamName> {
        match self.entries.contains_key(&record.name) {
            true => BTreeMap::new(),
            false => self.owners_by_address(),
        }
    }

    /// Takes the entries that seemed older than the known ones, but are listed for so long that their
    /// upstreams must have restarted. To be passed to [`restart`](Self::restart).
    pub fn take_restarted(&mut self, now: ClockTime) -> Vec<UpstreamRecord> {
        self.order.take_current(now)
    }

    /// Replaces an entry by one of a run that has restarted.
    pub fn restart(
        &mut self,
        record: UpstreamRecord,
        now: ClockTime,
    ) -> (UpstreamName, UpstreamChange) {
        let owners = self.owners_before(&record);
        self.put_current(record, &owners, now)
    }

    fn put_with_owners(
        &mut self,
        record: UpstreamRecord,
        owners: &BTreeMap<SocketAddr, UpstreamName>,
        now: ClockTime,
    ) -> (UpstreamName, UpstreamChange) {
        if !self.order.is_late(&record, now) {
            return self.put_current(record, owners, now);
        }
        let name = record.name.clone();
        self.order.hold(record, now);
        (name, UpstreamChange::Late)
    }

    /// Adds or updates an entry that isn't older than the known one. A new upstream at a known
    /// upstream's address becomes its successor.
    fn put_current(
        &mut self,
        record: UpstreamRecord,
        owners: &BTreeMap<SocketAddr, UpstreamName>,
        now: ClockTime,
    ) -> (UpstreamName, UpstreamChange) {
        let name = record.name.clone();
        let is_older = self.order.is_restart(&record);
        let is_restored = self.order.note(&record, now);
        if is_older && record.born.is_none() {
            // What the earlier run reported can't be told from this one's by a start time.
            self.leaving_runs.remove(&name);
        }
        let is_new = !self.entries.contains_key(&name);
        let former = owners.get(&record.address).filter(|former| is_new && **former != name);
        if let Some(entry) = former.and_then(|former| self.entries.get_mut(former)) {
            entry.successor = Some(name.clone());
        }
        let known = self.entries.get(&name);
        let restarted =
            known.is_some_and(|known| is_older || is_other_run(known.record.born, record.born));
        let change = match known {
            _ if restarted => UpstreamChange::Restarted,
            Some(known) if known.record.is_renewed_by(&record) => match is_restored {
                true => UpstreamChange::Restored,
                false => UpstreamChange::Unchanged,
            },
            _ if record.leaving => UpstreamChange::Leaving,
            _ => UpstreamChange::Joined,
        };
        // The mark concerns the earlier run, so a restart clears it.
        let replaced = !restarted && known.is_some_and(|known| known.replaced);
        let successor = known.filter(|_| !restarted).and_then(|known| known.successor.clone());
        let entry = RegistryEntry { record, missing_since: None, replaced, successor };
        self.entries.insert(name.clone(), entry);
        (name, change)
    }

    /// The record to use for an entry that can't be parsed, because another writer has overwritten
    /// it. The upstream may be healthy and busy, so its requests go on, but it gets no new ones.
    /// None if the upstream is unknown.
    pub fn record_for_unreadable(&self, name: &UpstreamName) -> Option<UpstreamRecord> {
        let known = self.entries.get(name)?;
        Some(UpstreamRecord { leaving: true, ..known.record.clone() })
    }

    /// Excludes an upstream whose address another one has taken over. Its entry may stay listed for
    /// some time, which doesn't bring it back.
    pub fn mark_replaced(&mut self, name: &UpstreamName) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.replaced = true;
        }
    }

    /// Notes that a run has reported in a response that it is leaving. True if that is new.
    pub fn note_leaving(&mut self, run: &UpstreamRun, now: ClockTime) -> bool {
        let runs = self.leaving_runs.entry(run.name.clone()).or_default();
        runs.insert(run.born, now).is_none()
    }

    /// Whether an upstream's current run is leaving, by its entry or by its responses.
    fn is_leaving(&self, record: &UpstreamRecord) -> bool {
        let runs = self.leaving_runs.get(&record.name);
        let mut runs = runs.into_iter().flat_map(BTreeMap::keys);
        record.leaving || runs.any(|born| !is_other_run(*born, record.born))
    }

    /// Removes an entry that was deleted from the store.
    pub fn remove(
        &mut self,
        name: &UpstreamName,
        now: ClockTime,
    ) -> (UpstreamName, UpstreamChange) {
        self.mark_missing(name, now);
        let Some(entry) = self.entries.get(name) else {
            return (name.clone(), UpstreamChange::Unchanged);
        };
        let (leaving, service) = (self.is_leaving(&entry.record), entry.record.service.clone());
        if !leaving
            && self.recovered_within(LAPSE_DETECTION_PERIOD, now)
            && self.is_mostly_missing(&service)
        {
            return (name.clone(), UpstreamChange::Missing);
        }
        self.entries.remove(name);
        self.order.note_removed(name, now);
        (name.clone(), UpstreamChange::Gone)
    }

    fn mark_missing(&mut self, name: &UpstreamName, now: ClockTime) {
        self.order.note_missing(name);
        if let Some(entry) = self.entries.get_mut(name) {
            entry.missing_since.get_or_insert(now);
        }
    }

    /// Whether less than half of a service's upstreams are still listed.
    fn is_mostly_missing(&self, service: &ServiceName) -> bool {
        let of_service = || self.entries.values().filter(|entry| entry.record.service == *service);
        let listed = of_service().filter(|entry| entry.missing_since.is_none()).count();
        listed * 2 < of_service().count()
    }

    /// Drops entries that lapsed and didn't reappear in time.
    pub fn expire(&mut self, now: ClockTime) -> Vec<UpstreamName> {
        self.prune_leaving_runs(now);
        if self.recovered_within(LAPSE_GRACE_PERIOD, now) {
            return Vec::new();
        }
        let lapsed = |(name, entry): (&UpstreamName, &RegistryEntry)| {
            entry.missing_since.is_some().then(|| name.clone())
        };
        let gone: Vec<UpstreamName> = self.entries.iter().filter_map(lapsed).collect();
        for name in &gone {
            self.entries.remove(name);
            self.order.note_removed(name, now);
        }
        gone
    }

    fn prune_leaving_runs(&mut self, now: ClockTime) {
        let entries = &self.entries;
        self.leaving_runs.retain(|name, runs| {
            runs.retain(|_, noted_at| {
                entries.contains_key(name) || now.since(*noted_at) < LEAVING_RETENTION
            });
            !runs.is_empty()
        });
    }

    /// The upstreams of a service that are eligible for new requests.
    pub fn ready<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a UpstreamRecord> + 'a {
        self.of_service(service).filter(|record| !self.evacuated.contains(&record.centre))
    }

    /// Upstreams of a service that would be eligible if no data centre were evacuated.
    fn of_service<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a UpstreamRecord> + 'a {
        let present = self.entries.values().filter(|entry| !self.is_superseded(entry));
        let records = present.map(|entry| &entry.record);
        records.filter(move |record| record.service == *service && !self.is_leaving(record))
    }

    /// Whether a run is still eligible for new requests.
    pub fn is_ready(&self, run: &UpstreamRun) -> bool {
        let Some(entry) = self.entries.get(&run.name) else {
            return false;
        };
        let record = &entry.record;
        !is_other_run(run.born, record.born)
            && !self.is_superseded(entry)
            && !self.is_leaving(record)
            && !self.evacuated.contains(&record.centre)
    }

    /// Whether an upstream's current run still has the software version of a record.
    pub fn has_version(&self, record: &UpstreamRecord) -> bool {
        self.get(&record.name).is_none_or(|current| {
            current.version == record.version && !is_other_run(record.born, current.born)
        })
    }

    /// Whether another upstream owns this one's address. The entry of a crashed upstream stays
    /// listed for seconds beside its successor's, and each request sent to it comes back unserved.
    /// A successor that was itself marked as replaced is no proof, since another writer may have
    /// corrupted its entry.
    fn is_superseded(&self, entry: &RegistryEntry) -> bool {
        let successor = entry.successor.as_ref().and_then(|name| self.entries.get(name));
        let owns_address = |successor: &RegistryEntry| {
            !successor.replaced && successor.record.address == entry.record.address
        };
        entry.replaced || successor.is_some_and(owns_address)
    }

    /// Whether evacuations alone leave a service without eligible upstreams.
    pub fn is_evacuated(&self, service: &ServiceName) -> bool {
        let mut records = self.of_service(service).peekable();
        records.peek().is_some() && records.all(|record| self.evacuated.contains(&record.centre))
    }

    /// Stops new requests to a data centre's upstreams. False if it was evacuated already.
    pub fn evacuate(&mut self, centre: CentreName) -> bool {
        self.evacuated.insert(centre)
    }

    /// Ends a data centre's evacuation and returns its upstreams. None if it wasn't evacuated.
    pub fn readmit(&mut self, centre: &CentreName) -> Option<Vec<UpstreamRecord>> {
        if !self.evacuated.remove(centre) {
            return None;
        }
        let records = self.entries.values().map(|entry| &entry.record);
        Some(records.filter(|record| record.centre == *centre).cloned().collect())
    }

    /// The evacuated data centres.
    pub fn evacuated(&self) -> impl Iterator<Item = &CentreName> {
        self.evacuated.iter()
    }

    /// The services and software versions of all upstreams, also of those that are leaving.
    pub fn versions(&self) -> impl Iterator<Item = (&ServiceName, &SoftwareVersion)> {
        self.entries.values().map(|entry| (&entry.record.service, &entry.record.version))
    }

    /// The number of listed upstreams.
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// An upstream's record, if it is still kept.
    pub fn get(&self, name: &UpstreamName) -> Option<&UpstreamRecord> {
        self.entries.get(name).map(|entry| &entry.record)
    }
}

/// Whether an entry belongs to another run than the known one. False if either start time is
/// unknown.
fn is_other_run(known: Option<UpstreamStartTime>, born: Option<UpstreamStartTime>) -> bool {
    matches!((known, born), (Some(known), Some(born)) if known != born)
}
