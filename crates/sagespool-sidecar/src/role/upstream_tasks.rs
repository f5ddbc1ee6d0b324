//! Periodic tasks for the upstream, and expiry of state.

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

/// How often the upstream is probed.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// How long the engine may hold a poll for changes of its prompt cache.
const CACHE_POLL_WAIT: Duration = Duration::from_secs(10);

/// Delay between two polls, so that one answer carries several changes.
const CACHE_POLL_DELAY: Duration = Duration::from_millis(200);

/// Delay after a failed poll.
const CACHE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// How often expired state is removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Delay between two attempts to reach the store; doubles up to the maximum.
const MIN_STORE_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_STORE_RETRY_DELAY: Duration = Duration::from_secs(2);

/// A prefix without objects in the store; listing it returns only the revision.
const EMPTY_PREFIX: &str = "sidecar-start/";

/// Reads the upstream's newest order and the store's revision after the start of
/// this incarnation, and retries until the store can be reached. Before that, no
/// order or grant can be shown to be newer than the start.
pub(super) async fn wait_for_store(state: Arc<SidecarState>) {
    let mut delay = MIN_STORE_RETRY_DELAY;
    loop {
        match read_start(&state).await {
            Ok(revision) => {
                log_event!(info, "sidecar-ready", started_at = revision);
                return;
            }
            Err(error) => log_event!(warn, "store-unreached", cause = error),
        }
        Timer::after(delay.mul_f64(0.5 + fastrand::f64())).await;
        delay = (delay * 2).min(MAX_STORE_RETRY_DELAY);
    }
}

/// Orders are read before the revision. A drained upstream must not run requests
/// on a grant that the revision makes valid.
async fn read_start(state: &SidecarState) -> Result<StoreRevision, StoreError> {
    let key = fence_key(&state.settings.upstream.name);
    let fence = state.objects.get::<FenceRecord>(&key).await?.map(|stored| stored.value);
    let newest = fence.as_ref().map_or(FenceNumber(0), |fence| fence.number);
    let is_drained = fence.is_some_and(|fence| fence.drained);
    state.dispatcher.start_orders(newest, is_drained);
    let revision = state.objects.list::<IgnoredAny>(EMPTY_PREFIX).await?.revision;
    state.dispatcher.charges().set_started_at(revision);
    state.members.update_own(|own| own.started_at = Some(revision));
    Ok(revision)
}

/// Probes the upstream and publishes changes to the members.
pub(super) async fn probe_upstream(state: Arc<SidecarState>) {
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
        if let Some(served) = dispatcher.load().take_update() {
            state.members.update_own(|own| own.serves = Some(served));
        }
        Timer::after(PROBE_INTERVAL).await;
    }
}

/// Follows the changes of an engine's prompt cache.
pub(super) async fn follow_cache(state: Arc<SidecarState>) {
    let dispatcher = &state.dispatcher;
    if dispatcher.kind() != UpstreamKind::Engine {
        return;
    }
    loop {
        let after = dispatcher.cache().poll_after();
        let delay = match dispatcher.upstream().cache_events(after, CACHE_POLL_WAIT).await {
            Some(events) => {
                dispatcher.cache().apply(&events);
                CACHE_POLL_DELAY
            }
            None => {
                dispatcher.cache().mark_unreachable();
                CACHE_RETRY_DELAY
            }
        };
        Timer::after(delay).await;
    }
}

/// Removes expired state.
pub(super) async fn expire(state: Arc<SidecarState>) {
    loop {
        Timer::after(EXPIRY_INTERVAL).await;
        let now = ClockTime::now();
        state.dispatcher.keys().expire(now);
        state.dispatcher.charges().evict_idle(now);
    }
}
