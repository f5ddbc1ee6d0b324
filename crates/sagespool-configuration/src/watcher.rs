//! Watching the store, while this process is one of the watchers.

use std::time::Duration;

use sagespool_log::log_event;
use sagespool_membership::{WatchRank, watch_order};
use sagespool_messages::ConfigObject;
use sagespool_platform::StoreError;
use sagespool_types::{ClockTime, StoreRevision};
use serde_json::value::RawValue;
use smol::Timer;

use crate::{ConfigFollower, FollowerContext};

/// Wait of a long poll. Each reply also counts as a contact with the store for the neighbours.
const LONG_POLL_WAIT: Duration = Duration::from_secs(5);
/// Time between two tries of the first tier while the store doesn't answer.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time after the start in which objects are expected from neighbours before all are read here.
const NEIGHBOUR_GRACE: Duration = Duration::from_secs(3);
/// Interval in which a process checks whether it has to watch.
const RANK_CHECK_INTERVAL: Duration = Duration::from_millis(250);

impl ConfigFollower {
    /// Watches the store whenever this process has to.
    pub(crate) async fn watch(&self, context: FollowerContext<'_>) {
        loop {
            let Some(rank) = self.watch_rank(context, ClockTime::now()) else {
                Timer::after(RANK_CHECK_INTERVAL).await;
                continue;
            };
            if let Err(error) = self.watch_once(context).await {
                log_event!(debug, "configuration-unread", cause = error);
                let pause = rank.retry_delay(RETRY_DELAY);
                Timer::after(pause.mul_f64(0.5 + fastrand::f64())).await;
            }
        }
    }

    /// This process's rank in the watch order; `None` if it doesn't have to watch now.
    fn watch_rank(&self, context: FollowerContext<'_>, now: ClockTime) -> Option<WatchRank> {
        let own = context.members.own();
        let live = context.live(now);
        let is_new = now.since(self.started) < self.policy.start_grace;
        if live.is_empty() && is_new {
            return None;
        }
        let order = watch_order(&own, &live);
        let rank = WatchRank::of(&own, &order, &self.policy)?;
        let is_wanted =
            self.must_check_store(now) || rank.should_watch(self.store_silence(now), &self.policy);
        is_wanted.then_some(rank)
    }

    /// Whether this process has to contact the store before it applies its first configuration.
    ///
    /// Guards against a start that takes as long as members keep joining and leaving: a neighbour's
    /// objects may be outdated, and the view settles only once the members do. One call to the
    /// store shows whether there is anything newer; while it is unavailable, the members decide.
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
        match context.objects.watch::<Box<RawValue>>(prefix, after, wait).await {
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
        let listing = context.objects.list::<Box<RawValue>>(self.scope.prefix()).await?;
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

fn object_of(key: String, version: StoreRevision, value: Option<Box<RawValue>>) -> ConfigObject {
    ConfigObject { key, version, value: value.map(|value| value.get().to_owned()) }
}
