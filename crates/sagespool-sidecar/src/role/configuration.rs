//! Follows the part of the configuration that a sidecar uses: retention of
//! answers and keys.

use std::sync::Arc;
use std::time::Duration;

use sagespool_configuration::FollowerContext;
use sagespool_log::log_event;
use sagespool_messages::ConfigObject;
use sagespool_settings::check_fleet;
use sagespool_types::ConfigVersion;
use serde_json::Value;

use super::state::SidecarState;
use crate::KeyRetention;

/// Follows the fleet's object for the lifetime of the process.
pub(super) async fn follow(state: Arc<SidecarState>) {
    let context = FollowerContext {
        members: &state.members,
        objects: &state.objects,
        link: state.link(),
        apply: &|object| apply(&state, object),
    };
    state.follower.run(context).await;
}

/// Applies a version of the fleet's object if it is valid.
fn apply(state: &SidecarState, object: &ConfigObject) {
    let ConfigObject { key, version, value } = object;
    let Some(value) = value else { return };
    let Ok(value) = serde_json::from_str::<Value>(value) else {
        log_event!(error, "configuration-invalid", object = key, faults = "not JSON");
        return;
    };
    let fleet = match check_fleet(&value) {
        Ok(fleet) => fleet,
        Err(faults) => {
            log_event!(error, "configuration-invalid", object = key, faults = faults);
            return;
        }
    };
    state.dispatcher.keys().set_retention(KeyRetention {
        answers: Duration::from_millis(fleet.answer_retention_ms),
        keys: Duration::from_millis(fleet.key_retention_ms),
    });
    let config_version = ConfigVersion(version.0);
    state.members.update_own(|own| own.config = config_version);
    state.metrics.set_config_version(config_version);
    log_event!(info, "configuration-applied", object = key, version = version);
}
