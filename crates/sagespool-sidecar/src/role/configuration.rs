//! Following the part of the configuration that a sidecar needs: how long
//! answers and keys are kept.

use std::sync::Arc;
use std::time::Duration;

use sagespool_log::log_event;
use sagespool_membership::{AppliedVersions, VersionOffer};
use sagespool_platform::StoreError;
use sagespool_settings::{FLEET_OBJECT_KEY, check_fleet};
use sagespool_types::{ConfigVersion, StoreRevision};
use serde_json::Value;
use smol::Timer;

use super::state::SidecarState;
use crate::KeyRetention;

/// How long a watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(30);

/// Between two tries while the store can't be read.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Follows the fleet's object: a reading, then watches; a reading anew
/// whenever a watch has lost its place.
pub(super) async fn follow(state: Arc<SidecarState>) {
    let versions = AppliedVersions::new();
    loop {
        if let Err(error) = read_and_watch(&state, &versions).await {
            log_event!(debug, "configuration-unread", cause = error);
        }
        Timer::after(RETRY_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
    }
}

async fn read_and_watch(
    state: &SidecarState,
    versions: &AppliedVersions,
) -> Result<(), StoreError> {
    let listing = state.objects.list::<Value>(FLEET_OBJECT_KEY).await?;
    for (key, stored) in &listing.items {
        apply(state, versions, key, stored.version, &stored.value);
    }
    let mut after = listing.revision;
    loop {
        let watched = state.objects.watch::<Value>(FLEET_OBJECT_KEY, after, WATCH_WAIT).await?;
        for change in &watched.changes {
            if let Some(value) = &change.value {
                apply(state, versions, &change.key, change.version, value);
            }
        }
        after = watched.revision;
    }
}

/// Puts a version of the fleet's object in force, unless a newer one is: an
/// answer that was long on its way must not undo a later change.
fn apply(
    state: &SidecarState,
    versions: &AppliedVersions,
    key: &str,
    version: StoreRevision,
    value: &Value,
) {
    if key != FLEET_OBJECT_KEY || versions.offer(key, version) != VersionOffer::Apply {
        return;
    }
    let fleet = match check_fleet(value) {
        Ok(fleet) => fleet,
        Err(faults) => {
            log_event!(error, "configuration-invalid", object = key, faults = faults);
            return;
        }
    };
    state.dispatcher.keys().retain(KeyRetention {
        answers: Duration::from_millis(fleet.answer_retention_ms),
        keys: Duration::from_millis(fleet.key_retention_ms),
    });
    let version = ConfigVersion(version.0);
    state.members.update_own(|own| own.config = version);
    state.metrics.set_config_version(version);
    log_event!(info, "configuration-applied", version = version);
}
