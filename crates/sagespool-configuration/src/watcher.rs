//! Watching the store, while this process is one of those that do.

use std::time::Duration;

use sagespool_log::log_event;
use sagespool_membership::{WatchRank, watch_order};
use sagespool_messages::ConfigObject;
use sagespool_platform::StoreError;
use sagespool_types::{ClockTime, StoreRevision};
use serde_json::Value;
use smol::Timer;

use crate::{ConfigFollower, FollowerContext};

/// How long a watch waits for a change. Each answer is a word of the store to the others.
const LONG_POLL_WAIT: Duration = Duration::from_secs(5);
/// Between two tries while the store doesn't answer, for the first in order.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// How long a process that starts is left to its neighbours before it reads all objects itself.
const NEIGHBOUR_GRACE: Duration = Duration::from_secs(3);
/// How often a process looks whether it is to watch.
const RANK_CHECK_INTERVAL: Duration = Duration::from_millis(250);

impl ConfigFollower {
    /// Watches the store whenever this process is to.
    pub(crate) async fn watch(&self, context: FollowerContext<'_>) {
        loop {
            let Some(place) = self.watch_rank(context, ClockTime::now()) else {
                Timer::after(RANK_CHECK_INTERVAL).await;
                continue;
            };
            if let Err(error) = self.watch_once(context).await {
                log_event!(debug, "configuration-unread", cause = error);
                let pause = place.retry_delay(RETRY_DELAY);
                Timer::after(pause.mul_f64(0.5 + fastrand::f64())).await;
            }
        }
    }

    /// This process's place among the watchers, if it is to watch now.
    fn watch_rank(&self, context: FollowerContext<'_>, now: ClockTime) -> Option<WatchRank> {
        let own = context.members.own();
        let live = context.live(now);
        let is_new = now.since(self.started) < self.policy.start_grace;
        if live.is_empty() && is_new {
            return None;
        }
        let order = watch_order(&own, &live);
        let place = WatchRank::of(&own, &order, &self.policy)?;
        let is_wanted =
            self.must_check_store(now) || place.should_watch(self.store_silence(now), &self.policy);
        is_wanted.then_some(place)
    }

    /// Whether this process has to ask the store before it begins.
    ///
    /// Guards against a start that lasts as long as the fleet is in motion: what a neighbour told may
    /// be old, and who else could know is settled only once members stop coming and going. One
    /// call to the store says whether there is anything newer; while it is away, the members decide.
    fn must_check_store(&self, now: ClockTime) -> bool {
        let state = self.state();
        let has_waited = now.since(self.started) > NEIGHBOUR_GRACE;
        !state.in_force && (state.replica.is_filled() || has_waited)
    }

    async fn watch_once(&self, context: FollowerContext<'_>) -> Result<(), StoreError> {
        let (is_filled, after, wait) = {
            let state = self.state();
            let wait = if state.in_force { LONG_POLL_WAIT } else { Duration::ZERO };
            (state.replica.is_filled(), state.replica.complete(), wait)
        };
        if !is_filled {
            return self.list(context).await;
        }
        let prefix = self.scope.prefix();
        match context.objects.watch::<Value>(prefix, after, wait).await {
            Ok(watched) => {
                let changes = watched.changes.into_iter();
                let changes =
                    changes.map(|change| object_of(change.key, change.version, change.value));
                let changes: Vec<_> = changes.collect();
                self.apply(context, |state| {
                    state.record_store_contact(ClockTime::now());
                    state.replica.apply_changes(after, watched.revision, changes)
                });
                Ok(())
            }
            Err(StoreError::HistoryGone) => self.list(context).await,
            Err(error) => Err(error),
        }
    }

    async fn list(&self, context: FollowerContext<'_>) -> Result<(), StoreError> {
        let listing = context.objects.list::<Value>(self.scope.prefix()).await?;
        let items = listing.items.into_iter();
        let items = items.map(|(key, stored)| object_of(key, stored.version, Some(stored.value)));
        let items: Vec<_> = items.collect();
        self.apply(context, |state| {
            state.record_store_contact(ClockTime::now());
            state.replica.apply_listing(listing.revision, items)
        });
        Ok(())
    }
}

fn object_of(key: String, version: StoreRevision, value: Option<Value>) -> ConfigObject {
    ConfigObject { key, version, value: value.map(|value| value.to_string()) }
}
