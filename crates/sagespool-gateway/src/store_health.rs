//! Reachability of the store as seen by the tasks that follow it.

use std::fmt::Display;
use std::time::Duration;

use sagespool_log::log_event;
use sagespool_messages::MemberInfo;
use sagespool_platform::StoreError;
use sagespool_types::{ClockTime, IncarnationId};
use smol::Timer;

use crate::follow::FollowedPrefix;
use crate::state::GatewayState;

/// Initial backoff after a failed call, so that a store that recovers isn't flooded. Each further
/// failure doubles it.
const INITIAL_BACKOFF: Duration = Duration::from_millis(120);
const MAX_BACKOFF: Duration = Duration::from_millis(900);
const MAX_DOUBLINGS: u32 = 8;

/// Reachability of the store for one followed prefix.
#[derive(Default)]
pub(crate) struct StoreHealth {
    /// Since when the store is unreachable.
    lost: Option<ClockTime>,
    /// Number of consecutive failed calls.
    failures: u32,
    /// The neighbour that changes come from, `None` for the store.
    neighbour: Option<IncarnationId>,
}

impl StoreHealth {
    /// Records the source of changes: a neighbour, or the store if `None`.
    pub(crate) fn set_source(&mut self, followed: &FollowedPrefix, neighbour: Option<&MemberInfo>) {
        let id = neighbour.map(|member| member.incarnation);
        if std::mem::replace(&mut self.neighbour, id) == id {
            return;
        }
        let from =
            neighbour.map_or_else(|| "store".to_owned(), |member| member.instance.to_string());
        log_event!(info, "follow-source", what = followed.name, from = from);
    }

    /// Records that the store is unreachable.
    pub(crate) fn mark_lost(
        &mut self,
        state: &GatewayState,
        followed: &FollowedPrefix,
        error: &dyn Display,
    ) {
        state.feeds.replica(followed.kind).note_store_error(Some(error.to_string()));
        if self.lost.is_none() {
            self.lost = Some(ClockTime::now());
            log_event!(warn, "store-lost", what = followed.name, error = error);
        }
    }

    /// Records that the store is reachable.
    pub(crate) fn mark_reachable(&mut self, state: &GatewayState, followed: &FollowedPrefix) {
        self.failures = 0;
        state.feeds.replica(followed.kind).note_store_error(None);
        if let Some(since) = self.lost.take() {
            let outage = ClockTime::now().since(since);
            let away_ms = outage.as_millis();
            log_event!(info, "store-regained", what = followed.name, away_ms = away_ms);
            (followed.on_recovery)(state, outage);
        }
    }

    /// Records a failed call and waits for an exponential backoff with jitter.
    ///
    /// Without it, all instances would retry many times a second while the store is down or rejects
    /// calls, and would overload it when it recovers.
    pub(crate) async fn back_off(
        &mut self,
        state: &GatewayState,
        followed: &FollowedPrefix,
        error: &StoreError,
    ) {
        self.mark_lost(state, followed, error);
        let pause = INITIAL_BACKOFF * 2u32.saturating_pow(self.failures.min(MAX_DOUBLINGS));
        self.failures += 1;
        Timer::after(pause.min(MAX_BACKOFF).mul_f64(0.5 + fastrand::f64())).await;
    }
}
