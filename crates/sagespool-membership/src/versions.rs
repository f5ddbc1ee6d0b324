//! Configuration versions that never go back.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use sagespool_types::{ConfigVersion, StoreRevision};

/// What to do with a version of an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionOffer {
    /// It is newer: put it in force. It counts as applied from now on.
    Apply,
    /// It is in force already.
    Applied,
    /// An older one than is in force, or than a neighbour has in force.
    Older {
        /// The lowest version that would be taken.
        wanted: StoreRevision,
    },
}

#[derive(Debug, Clone, Copy, Default)]
struct VersionRecord {
    applied: Option<StoreRevision>,
    heard: StoreRevision,
}

/// Which version of each configuration object a process has in force.
///
/// A process never puts a version in force that is lower than one it had: a
/// relay that lags, or an answer that was delayed, offers old versions. A
/// process that starts has forgotten what its predecessor had in force; it asks
/// its neighbours, calls [`Self::heard`] with what each has, and then takes
/// nothing lower for an object that it hasn't applied yet.
///
/// ```
/// use sagespool_membership::{AppliedVersions, VersionOffer};
/// use sagespool_types::StoreRevision;
///
/// let versions = AppliedVersions::new();
/// versions.heard("configuration/fleet", StoreRevision(9));
/// let wanted = StoreRevision(9);
/// let older = versions.offer("configuration/fleet", StoreRevision(7));
/// assert_eq!(older, VersionOffer::Older { wanted });
/// assert_eq!(versions.offer("configuration/fleet", wanted), VersionOffer::Apply);
/// ```
#[derive(Debug, Default)]
pub struct AppliedVersions {
    objects: Mutex<BTreeMap<String, VersionRecord>>,
}

impl AppliedVersions {
    /// Nothing applied.
    pub fn new() -> Self {
        Self::default()
    }

    fn objects(&self) -> MutexGuard<'_, BTreeMap<String, VersionRecord>> {
        self.objects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A version of an object is at hand: is it to be put in force?
    pub fn offer(&self, object: &str, version: StoreRevision) -> VersionOffer {
        let mut objects = self.objects();
        let record = objects.entry(object.to_owned()).or_default();
        let wanted = record.applied.unwrap_or(record.heard);
        if record.applied == Some(version) {
            return VersionOffer::Applied;
        }
        if version < wanted {
            return VersionOffer::Older { wanted };
        }
        record.applied = Some(version);
        VersionOffer::Apply
    }

    /// A neighbour has this version in force.
    pub fn heard(&self, object: &str, version: StoreRevision) {
        let mut objects = self.objects();
        let record = objects.entry(object.to_owned()).or_default();
        record.heard = record.heard.max(version);
    }

    /// The version of an object that is in force.
    pub fn applied(&self, object: &str) -> Option<StoreRevision> {
        self.objects().get(object).and_then(|record| record.applied)
    }

    /// Every object with the version in force, for neighbours that start.
    pub fn list(&self) -> Vec<(String, StoreRevision)> {
        let objects = self.objects();
        let applied = objects
            .iter()
            .filter_map(|(object, record)| record.applied.map(|version| (object.clone(), version)));
        applied.collect()
    }

    /// Objects of which a neighbour has a newer version, with that version.
    pub fn missing(&self) -> Vec<(String, StoreRevision)> {
        let objects = self.objects();
        let missing = objects.iter().filter(|(_, record)| record.applied < Some(record.heard));
        missing.map(|(object, record)| (object.clone(), record.heard)).collect()
    }

    /// The newest version in force of any object, as heartbeats carry it.
    pub fn in_force(&self) -> ConfigVersion {
        let objects = self.objects();
        let newest = objects.values().filter_map(|record| record.applied).max();
        ConfigVersion(newest.unwrap_or_default().0)
    }

    /// True if a member that reports `newest` has something in force that this process lacks.
    pub fn is_behind(&self, newest: ConfigVersion) -> bool {
        self.in_force() < newest
    }
}
