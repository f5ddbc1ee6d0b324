//! The upstreams that may get work.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use sagespool_types::{CentreName, ClockTime, ServiceName, UpstreamBirth, UpstreamName};

/// An upstream as the list of upstreams has it.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamRecord {
    /// What it is known by. It may start again under the same name.
    pub name: UpstreamName,
    /// When its present run began, if it says so.
    pub born: Option<UpstreamBirth>,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: CentreName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// True if it wants no new work.
    pub leaving: bool,
    /// How much longer it is cold, as of the moment at which it wrote its entry.
    pub cold_left: Duration,
}

impl UpstreamRecord {
    /// The run of the upstream that the entry speaks of.
    pub fn run(&self) -> UpstreamRun {
        UpstreamRun { name: self.name.clone(), born: self.born }
    }
}

/// One run of an upstream: a request that a run may have begun can meet the next run of the same
/// upstream as it can meet any other upstream.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct UpstreamRun {
    /// The upstream.
    pub name: UpstreamName,
    /// When the run began, if that is known.
    pub born: Option<UpstreamBirth>,
}

/// What a change of the list did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamChange {
    /// An upstream came, or is another than before.
    Joined,
    /// An upstream has started again under its name: what was known of it is of its earlier run.
    Restarted,
    /// An upstream leaves, and gets no new work.
    Leaving,
    /// An upstream is gone.
    Gone,
    /// An entry is missing that may only have lapsed: it is kept for now.
    Missing,
    /// Nothing that matters.
    Unchanged,
}

#[derive(Debug)]
struct RosterEntry {
    record: UpstreamRecord,
    /// Since when it has been missing from the list.
    missing: Option<ClockTime>,
    /// Another upstream answered at its address.
    replaced: bool,
    /// The upstream that came to its address later.
    successor: Option<UpstreamName>,
}

/// How long it is remembered that an upstream leaves which isn't listed: longer than its leaving takes,
/// and than outages of the store in which its entry lapses and comes back.
const LEAVING_KEPT: Duration = Duration::from_secs(600);

/// What this instance knows of the upstreams.
///
/// Entries lapse while the store is away, since upstreams can't renew them, and are back soon
/// after it returns. Dropping them at the first look would leave nothing to send to, though all
/// upstreams are well. So what is found missing when the store is back is kept for a while, if it is
/// the larger part of a service. What is removed later, or alone, is gone at once: it leaves, and
/// serves for a limited time only.
#[derive(Debug, Default)]
pub struct UpstreamRegistry {
    entries: BTreeMap<UpstreamName, RosterEntry>,
    /// Data centres whose upstreams get no new work, whatever they say themselves.
    evacuated: BTreeSet<CentreName>,
    /// Runs of upstreams that have said in their answers that they leave, and when they said it last.
    /// Entries come and go, and may be older than the answers.
    said_leaving: BTreeMap<UpstreamName, BTreeMap<Option<UpstreamBirth>, ClockTime>>,
    /// When the store came back after an outage in which entries may have lapsed.
    returned: Option<ClockTime>,
    loaded: bool,
}

/// How long entries may take to come back after an outage: the platform promises about two
/// seconds, and its word takes a moment to arrive.
const LAPSE_GRACE: Duration = Duration::from_millis(2200);
/// What lapsed during an outage is found missing by this time after it: the first listing or watch
/// comes at once, and a second one in case the first was turned away.
const LAPSE_FOUND: Duration = Duration::from_millis(800);
/// An outage that shows for a shorter time lapses nothing. Entries last for several heartbeats, and
/// an outage shows from the first call that fails, two or three seconds into it.
const LEAST_OUTAGE: Duration = Duration::from_millis(500);

impl UpstreamRegistry {
    /// Whether the list was ever read.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Notes that the store has answered again after calls had failed for so long.
    pub fn store_returned(&mut self, outage: Duration, now: ClockTime) {
        if outage >= LEAST_OUTAGE {
            self.returned = Some(now);
        }
    }

    fn is_within(&self, span: Duration, now: ClockTime) -> bool {
        self.returned.is_some_and(|returned| now.since(returned) < span)
    }

    /// Takes the whole list. Gives what became of each upstream that changed.
    pub fn replace(
        &mut self,
        records: Vec<UpstreamRecord>,
        now: ClockTime,
    ) -> Vec<(UpstreamName, UpstreamChange)> {
        self.loaded = true;
        let listed: Vec<UpstreamName> = records.iter().map(|record| record.name.clone()).collect();
        let missing: Vec<UpstreamName> =
            self.entries.keys().filter(|name| !listed.contains(name)).cloned().collect();
        // Of two that are both new, either may be the later one.
        let known = self.by_address();
        let mut changes: Vec<_> =
            records.into_iter().map(|record| self.put_after(record, &known)).collect();
        self.prefer_cold();
        for name in &missing {
            self.mark_missing(name, now);
        }
        changes.extend(missing.into_iter().map(|name| self.remove(&name, now)));
        changes.retain(|(_, change)| *change != UpstreamChange::Unchanged);
        changes
    }

    fn by_address(&self) -> BTreeMap<SocketAddr, UpstreamName> {
        let sound = self.entries.iter().filter(|(_, entry)| !entry.replaced);
        sound.map(|(name, entry)| (entry.record.address, name.clone())).collect()
    }

    /// Of two upstreams that were listed at one address together, the cold one has just started.
    fn prefer_cold(&mut self) {
        let cold = self.entries.values().filter(|entry| !entry.record.cold_left.is_zero());
        let cold: BTreeMap<SocketAddr, UpstreamName> =
            cold.map(|entry| (entry.record.address, entry.record.name.clone())).collect();
        for entry in self.entries.values_mut().filter(|entry| entry.record.cold_left.is_zero()) {
            if let Some(successor) = cold.get(&entry.record.address) {
                entry.successor.get_or_insert_with(|| successor.clone());
            }
        }
    }

    /// Takes an entry that is new or has changed.
    pub fn put(&mut self, record: UpstreamRecord) -> (UpstreamName, UpstreamChange) {
        if self.entries.contains_key(&record.name) {
            return self.put_after(record, &BTreeMap::new());
        }
        let known = self.by_address();
        self.put_after(record, &known)
    }

    /// Takes an entry. An upstream that comes to the address of a known one succeeds it.
    fn put_after(
        &mut self,
        record: UpstreamRecord,
        known: &BTreeMap<SocketAddr, UpstreamName>,
    ) -> (UpstreamName, UpstreamChange) {
        let name = record.name.clone();
        let is_new = !self.entries.contains_key(&name);
        let former = known.get(&record.address).filter(|former| is_new && **former != name);
        if let Some(entry) = former.and_then(|former| self.entries.get_mut(former)) {
            entry.successor = Some(name.clone());
        }
        let known = self.entries.get(&name);
        let restarted = known.is_some_and(|known| is_later_run(known.record.born, record.born));
        let change = match known {
            Some(known) if known.record == record => UpstreamChange::Unchanged,
            _ if restarted => UpstreamChange::Restarted,
            _ if record.leaving => UpstreamChange::Leaving,
            _ => UpstreamChange::Joined,
        };
        // Whoever has the address now answered for the run before.
        let replaced = !restarted && known.is_some_and(|known| known.replaced);
        let successor = known.filter(|_| !restarted).and_then(|known| known.successor.clone());
        let entry = RosterEntry { record, missing: None, replaced, successor };
        self.entries.insert(name.clone(), entry);
        (name, change)
    }

    /// What an upstream's entry stands for that can't be read: another writer has written over it.
    /// The upstream may be well and busy, so nothing of it is cut off, but the entry names nobody to
    /// use. Nothing if the upstream wasn't known.
    pub fn record_for_unreadable(&self, name: &UpstreamName) -> Option<UpstreamRecord> {
        let known = self.entries.get(name)?;
        Some(UpstreamRecord { leaving: true, ..known.record.clone() })
    }

    /// Takes an upstream out that another one has replaced at its address. Its entry may stay on the
    /// list for some time, which doesn't bring it back.
    pub fn mark_replaced(&mut self, name: &UpstreamName) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.replaced = true;
        }
    }

    /// Takes a run's own word, in an answer, that it leaves. True if that is news.
    pub fn note_leaving(&mut self, run: &UpstreamRun, now: ClockTime) -> bool {
        let said = self.said_leaving.entry(run.name.clone()).or_default();
        said.insert(run.born, now).is_none()
    }

    /// Whether an upstream's present run leaves, by its entry or by its own word.
    fn is_leaving(&self, record: &UpstreamRecord) -> bool {
        let said = self.said_leaving.get(&record.name);
        let mut runs = said.into_iter().flat_map(BTreeMap::keys);
        record.leaving || runs.any(|born| !is_later_run(*born, record.born))
    }

    /// Takes word that an entry was removed.
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
        if !leaving && self.is_within(LAPSE_FOUND, now) && self.is_mostly_missing(&service) {
            return (name.clone(), UpstreamChange::Missing);
        }
        self.entries.remove(name);
        (name.clone(), UpstreamChange::Gone)
    }

    fn mark_missing(&mut self, name: &UpstreamName, now: ClockTime) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.missing.get_or_insert(now);
        }
    }

    /// Whether less than half of a service's upstreams are still listed.
    fn is_mostly_missing(&self, service: &ServiceName) -> bool {
        let of_service = || self.entries.values().filter(|entry| entry.record.service == *service);
        let listed = of_service().filter(|entry| entry.missing.is_none()).count();
        listed * 2 < of_service().count()
    }

    /// Drops entries that lapsed and didn't come back in time.
    pub fn expire(&mut self, now: ClockTime) -> Vec<UpstreamName> {
        self.forget_leavers(now);
        if self.is_within(LAPSE_GRACE, now) {
            return Vec::new();
        }
        let lapsed = |(name, entry): (&UpstreamName, &RosterEntry)| {
            entry.missing.is_some().then(|| name.clone())
        };
        let gone: Vec<UpstreamName> = self.entries.iter().filter_map(lapsed).collect();
        for name in &gone {
            self.entries.remove(name);
        }
        gone
    }

    fn forget_leavers(&mut self, now: ClockTime) {
        let entries = &self.entries;
        self.said_leaving.retain(|name, runs| {
            runs.retain(|_, heard| entries.contains_key(name) || now.since(*heard) < LEAVING_KEPT);
            !runs.is_empty()
        });
    }

    /// The upstreams of a service that may get new work.
    pub fn ready<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a UpstreamRecord> + 'a {
        self.of_service(service).filter(|record| !self.evacuated.contains(&record.centre))
    }

    /// Upstreams of a service that would get new work if no data centre were evacuated.
    fn of_service<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a UpstreamRecord> + 'a {
        let present = self.entries.values().filter(|entry| !self.is_succeeded(entry));
        let records = present.map(|entry| &entry.record);
        records.filter(move |record| record.service == *service && !self.is_leaving(record))
    }

    /// Whether another upstream has the address of this one. The entry of an upstream that crashed
    /// stays for seconds while the next one at its address is listed beside it, and each request that
    /// is sent to the former comes back unserved. A successor that was itself sent away in vain is no
    /// proof: another writer may have spoilt its entry.
    fn is_succeeded(&self, entry: &RosterEntry) -> bool {
        let successor = entry.successor.as_ref().and_then(|name| self.entries.get(name));
        let answers = |successor: &RosterEntry| {
            !successor.replaced && successor.record.address == entry.record.address
        };
        entry.replaced || successor.is_some_and(answers)
    }

    /// Whether nothing but evacuations keeps a service from getting work.
    pub fn is_evacuated(&self, service: &ServiceName) -> bool {
        let mut records = self.of_service(service).peekable();
        records.peek().is_some() && records.all(|record| self.evacuated.contains(&record.centre))
    }

    /// Gives a data centre's upstreams no new work from now on. False if it was so before.
    pub fn evacuate(&mut self, centre: CentreName) -> bool {
        self.evacuated.insert(centre)
    }

    /// Lets a data centre's upstreams have work again. Gives these upstreams; nothing if the data
    /// centre wasn't evacuated.
    pub fn readmit(&mut self, centre: &CentreName) -> Option<Vec<UpstreamRecord>> {
        if !self.evacuated.remove(centre) {
            return None;
        }
        let records = self.entries.values().map(|entry| &entry.record);
        Some(records.filter(|record| record.centre == *centre).cloned().collect())
    }

    /// The data centres that are evacuated.
    pub fn evacuated(&self) -> impl Iterator<Item = &CentreName> {
        self.evacuated.iter()
    }

    /// An upstream, if it is still on the list.
    pub fn get(&self, name: &UpstreamName) -> Option<&UpstreamRecord> {
        self.entries.get(name).map(|entry| &entry.record)
    }
}

/// Whether an entry's run is another one than the one that was known.
fn is_later_run(known: Option<UpstreamBirth>, born: Option<UpstreamBirth>) -> bool {
    matches!((known, born), (Some(known), Some(born)) if known != born)
}
