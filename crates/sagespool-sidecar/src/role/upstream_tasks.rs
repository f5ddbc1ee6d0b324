//! What a sidecar does at intervals for its upstream and its memory.

use std::sync::Arc;
use std::time::Duration;

use sagespool_log::log_event;
use sagespool_messages::UpstreamKind;
use sagespool_operations::{FenceRecord, fence_key};
use sagespool_platform::StoreError;
use sagespool_types::{ClockTime, FenceNumber, StoreRevision};
use serde::de::IgnoredAny;
use smol::Timer;

use super::state::SidecarState;
use crate::UpstreamSample;

/// How often the upstream is looked at.
const LOAD_PERIOD: Duration = Duration::from_millis(200);

/// How long the engine may wait for a change of its cache.
const CACHE_WAIT: Duration = Duration::from_secs(10);

/// Between two questions for changes, so that many come in one answer.
const CACHE_PAUSE: Duration = Duration::from_millis(200);

/// Between two tries to ask for changes.
const CACHE_RETRY: Duration = Duration::from_secs(1);

/// How often memories are cleared of what is past its time.
const EXPIRY_PERIOD: Duration = Duration::from_secs(1);

/// Between two tries to reach the store; doubled up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// A prefix under which the store has no object: its revision is all that is asked.
const EMPTY_PREFIX: &str = "sidecar-start/";

/// Reads the upstream's newest order and the store's revision after this
/// incarnation's start, however long the store can't be reached. Until then no
/// order and no grant is known to be newer.
pub(super) async fn find_start(state: Arc<SidecarState>) {
    let mut pause = FIRST_PAUSE;
    loop {
        match read_start(&state).await {
            Ok(revision) => {
                log_event!(info, "sidecar-ready", started_at = revision);
                return;
            }
            Err(error) => log_event!(warn, "store-unreached", cause = error),
        }
        Timer::after(pause.mul_f64(0.5 + fastrand::f64())).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

/// The orders come first: an upstream that is drained must not run anything on a
/// grant that the second reading lets in.
async fn read_start(state: &SidecarState) -> Result<StoreRevision, StoreError> {
    let key = fence_key(&state.settings.upstream.name);
    let fence = state.objects.get::<FenceRecord>(&key).await?.map(|stored| stored.value);
    let newest = fence.as_ref().map_or(FenceNumber(0), |fence| fence.number);
    let is_drained = fence.is_some_and(|fence| fence.drained);
    state.dispatcher.start_orders(newest, is_drained);
    let revision = state.objects.list::<IgnoredAny>(EMPTY_PREFIX).await?.revision;
    state.dispatcher.charges().started(revision);
    state.members.update_own(|own| own.started_at = Some(revision));
    Ok(revision)
}

/// Looks at the upstream and tells the members when it changed.
pub(super) async fn watch_load(state: Arc<SidecarState>) {
    let dispatcher = &state.dispatcher;
    let mut was_healthy = false;
    loop {
        let health = dispatcher.upstream().health().await;
        let load = dispatcher.upstream().load().await;
        dispatcher.load().observe(UpstreamSample { health, load });
        let is_healthy = dispatcher.load().is_healthy();
        if is_healthy != was_healthy {
            let upstream = &state.settings.upstream.name;
            let change = if is_healthy { "regained" } else { "lost" };
            log_event!(
                info,
                "upstream-health",
                upstream = upstream,
                change = change,
                seen = health
            );
            was_healthy = is_healthy;
        }
        if let Some(served) = dispatcher.load().news() {
            state.members.update_own(|own| own.serves = Some(served));
        }
        Timer::after(LOAD_PERIOD).await;
    }
}

/// Follows the changes of an engine's prompt cache.
pub(super) async fn follow_cache(state: Arc<SidecarState>) {
    let dispatcher = &state.dispatcher;
    if dispatcher.kind() != UpstreamKind::Engine {
        return;
    }
    loop {
        let after = dispatcher.cache().ask_after();
        let pause = match dispatcher.upstream().cache_events(after, CACHE_WAIT).await {
            Some(feed) => {
                dispatcher.cache().take(&feed);
                CACHE_PAUSE
            }
            None => {
                dispatcher.cache().lost_touch();
                CACHE_RETRY
            }
        };
        Timer::after(pause).await;
    }
}

/// Clears the memories of what is past its time.
pub(super) async fn expire(state: Arc<SidecarState>) {
    loop {
        Timer::after(EXPIRY_PERIOD).await;
        let now = ClockTime::now();
        state.dispatcher.keys().expire(now);
        state.dispatcher.charges().forget_idle(now);
    }
}
