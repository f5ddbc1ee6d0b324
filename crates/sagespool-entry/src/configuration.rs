//! Following the fleet's configuration in the store.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use sagespool_ledger::HeldBack;
use sagespool_log::log_event;
use sagespool_membership::{AppliedVersions, VersionOffer};
use sagespool_settings::{
    BranchObject, CONFIGURATION_PREFIX, FLEET_OBJECT_KEY, FleetConfiguration, branch_object_key,
    branch_object_shard, check_branches, check_fleet,
};
use sagespool_types::{ConfigVersion, StoreRevision};
use serde_json::Value;

use crate::state::EntryState;

const WATCH_WAIT: Duration = Duration::from_secs(20);
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// What has been applied so far.
#[derive(Default)]
struct AppliedObjects {
    versions: AppliedVersions,
    /// Shards of branches that exist, to notice one deleted while nobody watched.
    shards: BTreeSet<u64>,
    newest: StoreRevision,
}

impl AppliedObjects {
    /// Applies one object, unless a newer version of it is applied already or it is not valid: an
    /// answer that was long on its way must not undo a later change.
    fn apply(
        &mut self,
        state: &EntryState,
        key: &str,
        version: StoreRevision,
        value: Option<Value>,
    ) {
        // Branches before the first fleet object can't be in force; they are read again with it.
        if key != FLEET_OBJECT_KEY && state.config.current().is_none() {
            return;
        }
        if self.versions.offer(key, version) != VersionOffer::Apply {
            return;
        }
        self.newest = self.newest.max(version);
        let config_version = ConfigVersion(self.newest.0);
        let changed = if key == FLEET_OBJECT_KEY {
            fleet_changed(state, config_version, value)
        } else {
            self.shard_changed(state, config_version, key, value)
        };
        let Some(config) = changed else {
            return;
        };
        for fault in config.faults() {
            log_event!(warn, "configuration-fault", detail = fault);
        }
        state.config.replace(config);
        state.members.update_own(|own| own.config = config_version);
        state.metrics.set_config_version(config_version);
        log_event!(info, "configuration-applied", object = key, version = version);
    }

    fn shard_changed(
        &mut self,
        state: &EntryState,
        version: ConfigVersion,
        key: &str,
        value: Option<Value>,
    ) -> Option<FleetConfiguration> {
        let shard = branch_object_shard(key)?;
        let object = match value {
            Some(value) => {
                let checked = check_branches(&value);
                checked.map_err(|faults| log_invalid(key, &faults)).ok()?
            }
            None => BranchObject::default(),
        };
        if object.branches.is_empty() {
            self.shards.remove(&shard);
        } else {
            self.shards.insert(shard);
        }
        hold_back(state, &object);
        let current = state.config.current()?;
        Some(current.with_branches(version, shard, object))
    }
}

fn fleet_changed(
    state: &EntryState,
    version: ConfigVersion,
    value: Option<Value>,
) -> Option<FleetConfiguration> {
    let key = FLEET_OBJECT_KEY;
    let fleet = check_fleet(&value?).map_err(|faults| log_invalid(key, &faults)).ok()?;
    Some(match state.config.current() {
        Some(current) => current.with_fleet(version, fleet),
        None => FleetConfiguration::build(version, fleet, []),
    })
}

fn log_invalid(key: &str, faults: &sagespool_settings::SettingsFaults) {
    log_event!(error, "configuration-invalid", object = key, faults = faults);
}

/// Brings what branches hold back for classes to the ledger.
fn hold_back(state: &EntryState, object: &BranchObject) {
    for (branch, entry) in &object.branches {
        let held = entry.held_back.iter();
        let held = held.map(|held| HeldBack { class: held.class.clone(), tokens: held.tokens });
        state.ledger.hold_back(branch, held.collect());
    }
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
        // The fleet's object comes first: without it nothing can be in force.
        let (fleet, shards): (Vec<_>, Vec<_>) =
            listing.items.into_iter().partition(|(key, _)| key == FLEET_OBJECT_KEY);
        let listed: BTreeSet<u64> =
            shards.iter().filter_map(|(key, _)| branch_object_shard(key)).collect();
        for (key, stored) in fleet.into_iter().chain(shards) {
            applied.apply(&state, &key, stored.version, Some(stored.value));
        }
        // An object that isn't listed any more was gone as of the list's revision.
        for shard in applied.shards.difference(&listed).copied().collect::<Vec<_>>() {
            applied.apply(&state, &branch_object_key(shard), listing.revision, None);
        }
        follow(&state, &mut applied, listing.revision).await;
        smol::Timer::after(RETRY_PAUSE).await;
    }
}

/// Applies changes as they come; returns when all is to be read again.
async fn follow(state: &EntryState, applied: &mut AppliedObjects, mut after: StoreRevision) {
    let had_fleet = state.config.current().is_some();
    loop {
        let watched = state.objects.watch::<Value>(CONFIGURATION_PREFIX, after, WATCH_WAIT).await;
        let Ok(watched) = watched else {
            return;
        };
        for change in watched.changes {
            applied.apply(state, &change.key, change.version, change.value);
        }
        if !had_fleet && state.config.current().is_some() {
            return;
        }
        after = watched.revision;
    }
}
