//! Applied configuration versions, which never decrease.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use sagespool_types::{ConfigVersion, StoreRevision};

/// The result of offering a version of an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionOutcome {
    /// It is newer and counts as applied from now on; the caller has to apply it.
    Apply,
    /// It is applied already.
    Applied,
    /// It is older than the applied version, or than the one a neighbour reported.
    Older {
        /// The lowest version that is accepted.
        wanted: StoreRevision,
    },
}

#[derive(Debug, Clone, Copy, Default)]
struct VersionRecord {
    applied: Option<StoreRevision>,
    reported: StoreRevision,
}

/// The applied version of each configuration object of a process.
///
/// A process never applies a lower version than one it had: lagging relays and delayed replies
/// offer old versions. A restarted process doesn't have the versions of its predecessor; it
/// queries its neighbours, calls [`Self::record_reported`] with the version of each, and then
/// rejects lower ones for an object that it hasn't applied yet.
///
/// ```
/// use sagespool_membership::{AppliedVersions, VersionOutcome};
/// use sagespool_types::StoreRevision;
///
/// let versions = AppliedVersions::new();
/// versions.record_reported("configuration/fleet", StoreRevision(9));
/// let wanted = StoreRevision(9);
/// let older = versions.offer("configuration/fleet", StoreRevision(7));
/// assert_eq!(older, VersionOutcome::Older { wanted });
/// assert_eq!(versions.offer("configuration/fleet", wanted), VersionOutcome::Apply);
/// ```
#[derive(Debug, Default)]
pub struct AppliedVersions {
    objects: Mutex<BTreeMap<String, VersionRecord>>,
}

impl AppliedVersions {
    /// No object applied.
    pub fn new() -> Self {
        Self::default()
    }

    fn objects(&self) -> MutexGuard<'_, BTreeMap<String, VersionRecord>> {
        self.objects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Offers a version of an object; it counts as applied if the result is `Apply`.
    pub fn offer(&self, object: &str, version: StoreRevision) -> VersionOutcome {
        let mut objects = self.objects();
        let record = objects.entry(object.to_owned()).or_default();
        let wanted = record.applied.unwrap_or(record.reported);
        if record.applied == Some(version) {
            return VersionOutcome::Applied;
        }
        if version < wanted {
            return VersionOutcome::Older { wanted };
        }
        record.applied = Some(version);
        VersionOutcome::Apply
    }

    /// Records a version that a neighbour has applied.
    pub fn record_reported(&self, object: &str, version: StoreRevision) {
        let mut objects = self.objects();
        let record = objects.entry(object.to_owned()).or_default();
        record.reported = record.reported.max(version);
    }

    /// The applied version of an object.
    pub fn applied(&self, object: &str) -> Option<StoreRevision> {
        self.objects().get(object).and_then(|record| record.applied)
    }

    /// All objects with their applied versions, for neighbours that start.
    pub fn list(&self) -> Vec<(String, StoreRevision)> {
        let objects = self.objects();
        let applied = objects
            .iter()
            .filter_map(|(object, record)| record.applied.map(|version| (object.clone(), version)));
        applied.collect()
    }

    /// Objects of which a neighbour reported a newer version, with that version.
    pub fn missing(&self) -> Vec<(String, StoreRevision)> {
        let objects = self.objects();
        let missing = objects.iter().filter(|(_, record)| record.applied < Some(record.reported));
        missing.map(|(object, record)| (object.clone(), record.reported)).collect()
    }

    /// The newest applied version of any object, as sent in heartbeats.
    pub fn in_force(&self) -> ConfigVersion {
        let objects = self.objects();
        let newest = objects.values().filter_map(|record| record.applied).max();
        ConfigVersion(newest.unwrap_or_default().0)
    }

    /// True if a member that reports `newest` has a newer version of some object.
    pub fn is_behind(&self, newest: ConfigVersion) -> bool {
        self.in_force() < newest
    }
}
