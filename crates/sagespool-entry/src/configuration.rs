//! Applies changes of the fleet's configuration.

use std::sync::Arc;

use sagespool_configuration::FollowerContext;
use sagespool_ledger::ClassHoldback;
use sagespool_log::log_event;
use sagespool_messages::ConfigObject;
use sagespool_settings::{
    BranchObject, FLEET_OBJECT_KEY, FleetConfiguration, branch_object_shard, check_branches,
    check_fleet,
};
use sagespool_types::ConfigVersion;
use serde_json::Value;

use crate::state::EntryState;

/// Follows the configuration for the lifetime of the process.
pub(crate) async fn run_configuration(state: Arc<EntryState>) {
    let context = FollowerContext {
        members: &state.members,
        objects: &state.objects,
        link: state.link(),
        apply: &|object| apply(&state, object),
    };
    state.follower.run(context).await;
}

/// Applies one object if it is valid.
fn apply(state: &EntryState, object: &ConfigObject) {
    let ConfigObject { key, version, value } = object;
    // Objects arrive in any order; the configuration has the version of its newest object.
    let current = state.config.current().map(|config| config.version());
    let config_version = ConfigVersion(version.0).max(current.unwrap_or_default());
    let value = value.as_deref().map(serde_json::from_str);
    let Ok(value) = value.transpose() else {
        log_event!(error, "configuration-invalid", object = key, faults = "not JSON");
        return;
    };
    let changed = if key == FLEET_OBJECT_KEY {
        apply_fleet_object(state, config_version, value)
    } else {
        apply_branch_object(state, config_version, key, value)
    };
    let Some(config) = changed else {
        return;
    };
    for fault in config.validation_errors() {
        log_event!(warn, "configuration-fault", detail = fault);
    }
    state.config.replace(config);
    state.members.update_own(|own| own.config = config_version);
    state.metrics.set_config_version(config_version);
    log_event!(info, "configuration-applied", object = key, version = version);
}

fn apply_branch_object(
    state: &EntryState,
    version: ConfigVersion,
    key: &str,
    value: Option<Value>,
) -> Option<FleetConfiguration> {
    let shard = branch_object_shard(key)?;
    let current = state.config.current()?;
    let object = match value {
        Some(value) => {
            let checked = check_branches(&value);
            checked.map_err(|faults| log_invalid(key, &faults)).ok()?
        }
        None => BranchObject::default(),
    };
    apply_holdbacks(state, &object);
    Some(current.with_branches(version, shard, object))
}

fn apply_fleet_object(
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

fn log_invalid(key: &str, faults: &sagespool_settings::ValidationErrors) {
    log_event!(error, "configuration-invalid", object = key, faults = faults);
}

/// Applies the branches' holdbacks for classes to the ledger.
fn apply_holdbacks(state: &EntryState, object: &BranchObject) {
    for (branch, entry) in &object.branches {
        let held = entry.held_back.iter();
        let held =
            held.map(|held| ClassHoldback { class: held.class.clone(), tokens: held.tokens });
        state.ledger.set_holdbacks(branch, held.collect());
    }
}
