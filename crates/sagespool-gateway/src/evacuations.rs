//! Following the list of evacuated data centres in the store.

use std::sync::Arc;
use std::time::Duration;

use sagespool_log::log_event;
use sagespool_messages::FeedKind;
use sagespool_types::{CentreName, ClockTime};

use crate::follow::{FollowedPrefix, WATCH_WAIT, follow, key_name};
use crate::state::GatewayState;

/// Follows the evacuations until cancelled.
pub(crate) async fn follow_evacuations(state: Arc<GatewayState>) {
    let followed = FollowedPrefix {
        name: "evacuations",
        kind: FeedKind::Evacuations,
        prefix: state.dialect.evacuation_prefix,
        pause: |_| Duration::ZERO,
        wait: WATCH_WAIT,
        on_listing: |state, listing| {
            let listed: Vec<CentreName> =
                listing.items.iter().filter_map(|(key, _)| read_centre(key)).collect();
            let previous: Vec<CentreName> = state.upstreams().evacuated().cloned().collect();
            for centre in previous.iter().filter(|centre| !listed.contains(centre)) {
                state.readmit(centre, ClockTime::now());
            }
            listed.into_iter().for_each(|centre| state.evacuate(centre));
        },
        on_change: |state, change| {
            let Some(centre) = read_centre(&change.key) else {
                return false;
            };
            match change.value {
                Some(_) => state.evacuate(centre),
                None => state.readmit(&centre, ClockTime::now()),
            }
            true
        },
        on_recovery: |_, _| {},
    };
    follow(&state, followed).await;
}

/// The data centre in the key of an evacuation; `None` and a log line if it is no valid name.
fn read_centre(key: &str) -> Option<CentreName> {
    let centre = key_name(key).parse().ok();
    if centre.is_none() {
        log_event!(warn, "evacuation-unreadable", key = key);
    }
    centre
}
