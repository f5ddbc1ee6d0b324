//! Following the configuration and the registered upstreams in the store.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::future::or;
use sagespool_forward::{
    FeedObject, PlanIndex, REPLY_TIMEOUT, StoreQuery, UpstreamChange, UpstreamRecord,
};
use sagespool_log::log_event;
use sagespool_messages::{ChangedObject, FeedKind, FeedReply};
use sagespool_platform::{ObjectChange, ObjectListing, StoreError, StoredObject};
use sagespool_types::{ClockTime, StoreRevision, UpstreamName};
use serde_json::value::RawValue;
use smol::Timer;

use crate::feeds::{ChangeSource, boot_time_now};
use crate::state::GatewayState;
use crate::store_health::StoreHealth;

/// Wait time of a long poll of the store. A dead connection is noticed only after this time, and a
/// configuration must take effect within two seconds after it is stored.
pub(crate) const WATCH_WAIT: Duration = Duration::from_millis(2000);
/// Pause between two polls for upstream changes. Upstreams write all the time and each poll is a
/// call of the store, so changes are batched. Leaving upstreams still serve for two seconds.
const UPSTREAM_PAUSE: Duration = Duration::from_millis(400);
/// With more gateways than this, the pause grows with their number: all read the same changes, and
/// the store's rate limits grow more slowly than the number of gateways.
const UNSCALED_INSTANCES: usize = 8;
const MAX_UPSTREAM_PAUSE: Duration = Duration::from_millis(1100);

/// Time in which a starting gateway hears of another one.
const NEIGHBOUR_TIMEOUT: Duration = Duration::from_millis(1500);
const NEIGHBOUR_POLL: Duration = Duration::from_millis(50);
/// Time for the members to become known after the first one.
const NEIGHBOUR_SPREAD: Duration = Duration::from_millis(500);

fn upstream_pause(state: &GatewayState) -> Duration {
    let factor = state.instances() as f64 / UNSCALED_INSTANCES as f64;
    UPSTREAM_PAUSE.mul_f64(factor.max(1.0)).min(MAX_UPSTREAM_PAUSE)
}

pub(crate) type RawListing = ObjectListing<Box<RawValue>>;
pub(crate) type RawChange = ObjectChange<Box<RawValue>>;

/// A store prefix that is followed, with the functions that apply its contents.
pub(crate) struct FollowedPrefix {
    pub(crate) name: &'static str,
    pub(crate) kind: FeedKind,
    pub(crate) prefix: &'static str,
    pub(crate) pause: fn(&GatewayState) -> Duration,
    /// Wait time of a long poll of the store, if no neighbours are followed.
    pub(crate) wait: Duration,
    pub(crate) on_listing: fn(&GatewayState, RawListing),
    /// Applies a change; false if it is irrelevant to neighbours.
    pub(crate) on_change: fn(&GatewayState, RawChange) -> bool,
    /// Called with the duration of an outage when the store is reachable again.
    pub(crate) on_recovery: fn(&GatewayState, Duration),
}

/// Follows the configuration until cancelled.
pub(crate) async fn follow_plan(state: Arc<GatewayState>) {
    let followed = FollowedPrefix {
        name: "configuration",
        kind: FeedKind::Configuration,
        prefix: state.dialect.plan_prefix,
        pause: |_| Duration::ZERO,
        wait: WATCH_WAIT,
        on_listing: |state, listing| {
            for (key, object) in listing.items {
                apply_plan_object(state, &key, &object.value);
            }
        },
        on_change: |state, change| {
            if let Some(value) = change.value {
                apply_plan_object(state, &change.key, &value);
            }
            true
        },
        on_recovery: |_, _| {},
    };
    follow(&state, followed).await;
}

/// Follows the registered upstreams until cancelled.
pub(crate) async fn follow_upstreams(state: Arc<GatewayState>) {
    let followed = FollowedPrefix {
        name: "upstreams",
        kind: FeedKind::Upstreams,
        prefix: state.dialect.upstream_prefix,
        pause: upstream_pause,
        wait: WATCH_WAIT,
        on_listing: |state, listing| {
            let items = listing.items.iter();
            let records =
                items.filter_map(|(key, object)| read_upstream(state, key, &object.value));
            let records: Vec<UpstreamRecord> = records.collect();
            let now = ClockTime::now();
            let is_late = |record: &UpstreamRecord| state.upstreams().is_late(record, now);
            let current = records.iter().filter(|record| !is_late(record));
            current.for_each(|record| state.note_cold(&record.name, record.cold_left, now));
            let changes = state.upstreams().replace(records, now);
            changes.into_iter().for_each(|change| note_change(state, change, listing.revision));
            state.observe_versions(now);
        },
        on_change: |state, change| {
            let now = ClockTime::now();
            let name = key_name(&change.key);
            let noted = match &change.value {
                Some(value) => read_upstream(state, &change.key, value).map(|record| {
                    if !state.upstreams().is_late(&record, now) {
                        state.note_cold(&record.name, record.cold_left, now);
                        state.note_version(&record, now);
                    }
                    state.upstreams().put(record, now)
                }),
                None => name.parse().ok().map(|name| state.upstreams().remove(&name, now)),
            };
            let is_relevant =
                noted.as_ref().is_some_and(|(_, change)| *change != UpstreamChange::Unchanged);
            if let Some(noted) = noted {
                note_change(state, noted, change.version);
            }
            is_relevant
        },
        on_recovery: |state, outage| {
            state.upstreams().store_returned(outage, ClockTime::now());
            state.feeds.replica(FeedKind::Quarantine).interrupt();
        },
    };
    follow(&state, followed).await;
}

/// The store no longer has the changes since our revision; a new listing is needed.
struct HistoryGone;

/// Follows one prefix until cancelled.
pub(crate) async fn follow(state: &GatewayState, followed: FollowedPrefix) {
    let mut health = StoreHealth::default();
    // On a fleet's first start the first listing may be old: the next watch, or a neighbour, returns
    // what has changed since. A gateway that restarts among others serves sooner without the detour.
    let mut may_be_stale = state.settings.first_start;
    loop {
        let result = match may_be_stale {
            true => state.store.list_stale::<Box<RawValue>>(followed.prefix).await,
            false => state.store.list::<Box<RawValue>>(followed.prefix).await,
        };
        let listing = match result {
            Ok(listing) => listing,
            Err(error) => {
                health.back_off(state, &followed, &error).await;
                continue;
            }
        };
        let read = (!may_be_stale).then(boot_time_now);
        health.mark_reachable(state, &followed);
        log_event!(
            info,
            "list-read",
            what = followed.name,
            entries = listing.items.len(),
            revision = listing.revision,
            complete = listing.complete,
            may_be_stale = may_be_stale,
        );
        apply_listing(state, &followed, listing, read);
        if may_be_stale {
            wait_for_neighbours(state, &followed).await;
        }
        may_be_stale = false;
        loop {
            let interrupted = async {
                state.feeds.replica(followed.kind).wait_for_interrupt().await;
                Ok(())
            };
            if or(follow_changes(state, &followed, &mut health), interrupted).await.is_err() {
                break;
            }
        }
    }
}

/// Applies a listing that was current at `read`, or at an unknown time.
///
/// An incomplete one is applied as changes of the objects that it has: the others may exist. What
/// another process writes regularly, such as the entries of upstreams, arrives by the next watches.
fn apply_listing(
    state: &GatewayState,
    followed: &FollowedPrefix,
    listing: RawListing,
    read: Option<ClockTime>,
) {
    let replica = state.feeds.replica(followed.kind);
    if listing.complete {
        let objects = listing.items.iter().map(listed_object);
        replica.apply_listing(listing.revision, objects.collect(), read);
        (followed.on_listing)(state, listing);
        return;
    }
    let change = |(key, object): (String, StoredObject<Box<RawValue>>)| {
        apply(
            state,
            followed,
            RawChange { key, version: object.version, value: Some(object.value) },
        )
    };
    let relevant = listing.items.into_iter().filter_map(change).collect();
    replica.apply_changes(relevant, listing.revision, read);
}

/// Waits until the neighbours of a starting gateway are probably known, if it may follow them.
///
/// Without it, each gateway of a fleet that starts would take itself for a follower of the store.
async fn wait_for_neighbours(state: &GatewayState, followed: &FollowedPrefix) {
    if state.feeds.timing(followed.kind).is_none() || state.settings.link.is_none() {
        return;
    }
    let end = ClockTime::now().after(NEIGHBOUR_TIMEOUT);
    while state.fleet.members.is_alone() && ClockTime::now() < end {
        Timer::after(NEIGHBOUR_POLL).await;
    }
    if ClockTime::now() < end {
        Timer::after(NEIGHBOUR_SPREAD).await;
    }
}

/// Receives the next changes, from a neighbour that follows the store or from the store itself.
async fn follow_changes(
    state: &GatewayState,
    followed: &FollowedPrefix,
    health: &mut StoreHealth,
) -> Result<(), HistoryGone> {
    let source = state.feeds.source(&state.fleet, followed.kind, ClockTime::now());
    let Some(ChangeSource { neighbour, wait }) = source else {
        return watch_store(state, followed, health, followed.wait).await;
    };
    if let Some(neighbour) = neighbour {
        health.set_source(followed, Some(&neighbour));
        let reply = state.feeds.query(&state.fleet, &neighbour, followed.kind, wait).await;
        if let Some(reply) = reply {
            apply_reply(state, followed, health, reply);
            return Ok(());
        }
        if !state.feeds.replica(followed.kind).is_loaded() {
            // A starting gateway queries its other neighbours first.
            return Ok(());
        }
    }
    health.set_source(followed, None);
    watch_store(state, followed, health, wait).await
}

/// Applies a neighbour's reply.
fn apply_reply(
    state: &GatewayState,
    followed: &FollowedPrefix,
    health: &mut StoreHealth,
    reply: FeedReply,
) {
    match reply.store_lost {
        true => health.mark_lost(state, followed, &"unreachable from the neighbour"),
        false => {
            health.mark_reachable(state, followed);
            state.store.note_store_reachable();
        }
    }
    let replica = state.feeds.replica(followed.kind);
    let sent_at = ClockTime(boot_time_now().0.saturating_sub(REPLY_TIMEOUT.as_micros() as u64));
    let valid_at =
        ClockTime(sent_at.0.saturating_sub(reply.age.unwrap_or(Duration::MAX).as_micros() as u64));
    let changes: Vec<RawChange> = reply.objects.into_iter().filter_map(raw_change).collect();
    if !reply.whole {
        let relevant = changes.into_iter().filter_map(|change| apply(state, followed, change));
        replica.apply_changes(relevant.collect(), reply.revision, Some(valid_at));
        return;
    }
    let items = changes.into_iter().filter_map(|change| {
        Some((change.key, StoredObject { version: change.version, value: change.value? }))
    });
    let items = items.collect();
    let listing =
        ObjectListing { revision: reply.revision, items, unreadable: Vec::new(), complete: true };
    apply_listing(state, followed, listing, Some(valid_at));
}

async fn watch_store(
    state: &GatewayState,
    followed: &FollowedPrefix,
    health: &mut StoreHealth,
    wait: Duration,
) -> Result<(), HistoryGone> {
    let replica = state.feeds.replica(followed.kind);
    let pause = (followed.pause)(state);
    let query = match (replica.age(), state.feeds.timing(followed.kind)) {
        // The first watch after a stale listing only brings it up to date.
        (None, _) => StoreQuery::IMMEDIATE,
        (Some(age), Some(timing)) => timing.store_query(age, pause, wait),
        (Some(_), None) => StoreQuery { pause, wait },
    };
    if !query.pause.is_zero() {
        Timer::after(query.pause).await;
    }
    let revision = replica.revision();
    match state.store.watch(followed.prefix, revision, query.wait).await {
        Ok(changes) => {
            let read = boot_time_now();
            health.mark_reachable(state, followed);
            let latest = changes.revision;
            let relevant = changes.changes.into_iter().filter_map(|mut change| {
                // An object that another writer stored in a wrong format has no revision of its
                // own, and a removed one may have that of its last write. Neighbours that have
                // read further would miss the change.
                if change.version <= revision {
                    change.version = latest;
                }
                apply(state, followed, change)
            });
            replica.apply_changes(relevant.collect(), latest, Some(read));
            Ok(())
        }
        Err(StoreError::HistoryGone) => {
            log_event!(info, "history-gone", what = followed.name, revision = revision);
            Err(HistoryGone)
        }
        Err(error) => {
            health.back_off(state, followed, &error).await;
            Ok(())
        }
    }
}

/// Applies a change. Returns the object for neighbours, if the change is relevant to them.
fn apply(state: &GatewayState, followed: &FollowedPrefix, change: RawChange) -> Option<FeedObject> {
    let value = change.value.as_ref().map(|value| Arc::from(value.get()));
    let object = FeedObject { key: change.key.clone(), revision: change.version, value };
    (followed.on_change)(state, change).then_some(object)
}

fn listed_object((key, object): &(String, StoredObject<Box<RawValue>>)) -> FeedObject {
    let value = Some(Arc::from(object.value.get()));
    FeedObject { key: key.clone(), revision: object.version, value }
}

/// Converts a neighbour's object to the store client's type. `None` for invalid JSON, which
/// neighbours of this version don't send.
fn raw_change(object: ChangedObject) -> Option<RawChange> {
    let value = object.value.map(RawValue::from_string).transpose().ok()?;
    Some(RawChange { key: object.key, version: object.revision, value })
}

fn apply_plan_object(state: &GatewayState, key: &str, value: &RawValue) {
    if key != state.dialect.plan_key {
        return;
    }
    match (state.dialect.read_plan)(value) {
        Ok(plan) => {
            let (version, routes) = (plan.version, plan.routes.len());
            let branches = plan.branches.len();
            let taken = state.apply_plan(PlanIndex::new(plan), value.get());
            log_event!(
                info,
                "configuration-read",
                version = version,
                routes = routes,
                branches = branches,
                in_force = taken,
            );
        }
        Err(detail) => log_event!(error, "configuration-unreadable", detail = detail),
    }
}

/// Reads an upstream's entry. Entries come from other writers and may be malformed: a malformed one
/// affects only its own upstream.
fn read_upstream(state: &GatewayState, key: &str, value: &RawValue) -> Option<UpstreamRecord> {
    match (state.dialect.read_upstream)(key_name(key), value) {
        Ok(record) => Some(record),
        Err(detail) => {
            let name: Option<UpstreamName> = key_name(key).parse().ok();
            let fallback = name.and_then(|name| state.upstreams().record_for_unreadable(&name));
            let known = fallback.is_some();
            log_event!(warn, "upstream-unreadable", key = key, known = known, detail = detail);
            fallback
        }
    }
}

/// The name in a key, which follows its kind. Other writers' names may hold slashes.
pub(crate) fn key_name(key: &str) -> &str {
    key.split_once('/').map_or(key, |(_, name)| name)
}

/// Logs a change of the list of upstreams that the store had at `revision`, and drops what no longer
/// applies.
fn note_change(
    state: &GatewayState,
    (name, change): (UpstreamName, UpstreamChange),
    revision: StoreRevision,
) {
    let label = match change {
        UpstreamChange::Unchanged => return,
        UpstreamChange::Joined => "joined",
        UpstreamChange::Restarted => "restarted",
        UpstreamChange::Leaving => "leaving",
        UpstreamChange::Missing => "missing",
        UpstreamChange::Late => "late-write",
        UpstreamChange::Restored => "restored",
        UpstreamChange::Gone => "gone",
    };
    // After a late write this is the sequence of the entry that holds.
    let sequence = state.upstreams().get(&name).map(|record| record.sequence);
    log_event!(
        info,
        "upstream-changed",
        upstream = name,
        change = label,
        sequence = sequence.map_or_else(|| "-".to_owned(), |sequence| sequence.to_string()),
        revision = revision,
    );
    if matches!(change, UpstreamChange::Gone | UpstreamChange::Restarted) {
        state.balancer().forget(&name);
    }
    // An entry may expire and return: the limits and backoffs that its upstream requested hold
    // until its next run.
    if change == UpstreamChange::Restarted {
        state.throttle().forget(&name);
    }
}

const SWEEP_PERIOD: Duration = Duration::from_millis(500);

/// Removes idle connections and expired entries periodically until cancelled.
pub(crate) async fn sweep(state: Arc<GatewayState>) {
    loop {
        Timer::after(SWEEP_PERIOD).await;
        let now = ClockTime::now();
        let expired = state.upstreams().expire(now);
        let revision = state.feeds.replica(FeedKind::Upstreams).revision();
        for name in expired {
            note_change(&state, (name, UpstreamChange::Gone), revision);
        }
        let restarted = state.upstreams().take_restarted(now);
        for record in restarted {
            state.note_cold(&record.name, record.cold_left, now);
            state.note_version(&record, now);
            let change = state.upstreams().restart(record, now);
            note_change(&state, change, revision);
        }
        let is_listed = |name: &UpstreamName| state.upstreams().get(name).is_some();
        state.pool.sweep(is_listed, now);
        state.throttle().sweep(is_listed, now);
        state.observe_senders(now);
        state.observe_versions(now);
        state.budgets.return_idle_loans(&state.fleet, now);
        state.budgets.note_homes(state.fleet.members.home_count());
    }
}
