//! Following the fleet's configuration in the store.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use sagespool_log::log_event;
use sagespool_membership::{AppliedVersions, VersionOffer};
use sagespool_settings::{
    BranchObject, CONFIGURATION_PREFIX, FLEET_OBJECT_KEY, FleetConfiguration, FleetObject,
    check_branches, check_fleet,
};
use sagespool_types::{ConfigVersion, StoreRevision};
use serde_json::Value;

use crate::state::EntryState;

const WATCH_WAIT: Duration = Duration::from_secs(20);
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// The configuration's objects as applied, and their versions.
#[derive(Default)]
struct AppliedObjects {
    fleet: Option<FleetObject>,
    branches: HashMap<String, BranchObject>,
    versions: AppliedVersions,
    newest: StoreRevision,
}

impl AppliedObjects {
    /// Applies one object, unless a newer version of it is applied already or it is not valid: an
    /// answer that was long on its way must not undo a later change.
    fn apply(&mut self, key: &str, version: StoreRevision, value: Option<Value>) -> bool {
        if self.versions.offer(key, version) != VersionOffer::Apply {
            return false;
        }
        self.newest = self.newest.max(version);
        if key == FLEET_OBJECT_KEY {
            return self.apply_fleet(key, value);
        }
        self.apply_branches(key, value)
    }

    fn apply_fleet(&mut self, key: &str, value: Option<Value>) -> bool {
        match value.map(|value| check_fleet(&value)) {
            Some(Ok(fleet)) => self.fleet = Some(fleet),
            Some(Err(faults)) => {
                log_event!(error, "configuration-invalid", object = key, faults = faults);
                return false;
            }
            None => return false,
        }
        true
    }

    fn apply_branches(&mut self, key: &str, value: Option<Value>) -> bool {
        match value.map(|value| check_branches(&value)) {
            Some(Ok(branches)) => {
                self.branches.insert(key.to_owned(), branches);
            }
            Some(Err(faults)) => {
                log_event!(error, "configuration-invalid", object = key, faults = faults);
                return false;
            }
            None => {
                self.branches.remove(key);
            }
        }
        true
    }
}

fn put_in_force(state: &EntryState, applied: &AppliedObjects) {
    let Some(fleet) = &applied.fleet else {
        return;
    };
    let version = ConfigVersion(applied.newest.0);
    let branches = applied.branches.values();
    let config = FleetConfiguration::build(version, fleet.clone(), branches);
    state.config.replace(config);
    state.members.update_own(|own| own.config = version);
    state.apply_configuration();
    log_event!(info, "configuration-applied", version = version);
}

/// Follows the configuration for the process's whole life: a reading of all objects, then watches;
/// a reading anew whenever a watch has lost its place.
pub(crate) async fn run_configuration(state: Arc<EntryState>) {
    let mut applied = AppliedObjects::default();
    loop {
        let Ok(listing) = state.objects.list::<Value>(CONFIGURATION_PREFIX).await else {
            smol::Timer::after(RETRY_PAUSE).await;
            continue;
        };
        let mut changed = false;
        // An object deleted while nobody watched isn't in the list: it is gone as of the list's revision.
        for key in applied.branches.keys().cloned().collect::<Vec<_>>() {
            if !listing.items.iter().any(|(listed, _)| *listed == key) {
                changed |= applied.apply(&key, listing.revision, None);
            }
        }
        for (key, stored) in listing.items {
            changed |= applied.apply(&key, stored.version, Some(stored.value));
        }
        if changed {
            put_in_force(&state, &applied);
        }
        follow(&state, &mut applied, listing.revision).await;
        smol::Timer::after(RETRY_PAUSE).await;
    }
}

async fn follow(state: &EntryState, applied: &mut AppliedObjects, mut after: StoreRevision) {
    loop {
        let watched = state.objects.watch::<Value>(CONFIGURATION_PREFIX, after, WATCH_WAIT).await;
        let Ok(watched) = watched else {
            return;
        };
        let mut changed = false;
        for change in watched.changes {
            changed |= applied.apply(&change.key, change.version, change.value);
        }
        if changed {
            put_in_force(state, applied);
        }
        after = watched.revision;
    }
}
