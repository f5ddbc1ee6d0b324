//! Following the configuration and the list of upstreams in the store.

use std::sync::Arc;
use std::time::Duration;

use sagespool_forward::{PlanIndex, RosterChange, UpstreamRecord};
use sagespool_log::log_event;
use sagespool_platform::{ObjectChange, ObjectListing, StoreError};
use sagespool_types::{ClockTime, UpstreamName};
use serde_json::value::RawValue;
use smol::Timer;

use crate::state::GatewayState;

/// How long the store may hold a watch. A connection that has fallen silent shows only when this
/// time is over, and a configuration must be in force two seconds after the store has it.
const WATCH_WAIT: Duration = Duration::from_millis(2000);
/// Between the answer of a watch of upstreams and the next one. They write all the time, and each
/// answer is a call: a few changes are taken together. Leaving upstreams go on for two seconds.
const UPSTREAM_PAUSE: Duration = Duration::from_millis(400);
/// Between a failed call and the next: enough that a store that comes back isn't flooded.
const FAILURE_PAUSE: Duration = Duration::from_millis(120);

/// With more gateways than this, the pause grows with their number: all read the same changes, and
/// the store's rates grow more slowly than fleets do.
const PAUSE_INSTANCES: usize = 8;
const LONGEST_UPSTREAM_PAUSE: Duration = Duration::from_millis(1100);

fn upstream_pause(state: &GatewayState) -> Duration {
    let factor = state.instances() as f64 / PAUSE_INSTANCES as f64;
    UPSTREAM_PAUSE.mul_f64(factor.max(1.0)).min(LONGEST_UPSTREAM_PAUSE)
}

type RawListing = ObjectListing<Box<RawValue>>;
type RawChange = ObjectChange<Box<RawValue>>;

/// One thing that is followed.
struct Followed {
    what: &'static str,
    prefix: &'static str,
    pause: fn(&GatewayState) -> Duration,
    on_listing: fn(&GatewayState, RawListing),
    on_change: fn(&GatewayState, RawChange),
    on_return: fn(&GatewayState, Duration),
}

/// Follows the configuration for ever.
pub(crate) async fn follow_plan(state: Arc<GatewayState>) {
    let followed = Followed {
        what: "configuration",
        prefix: state.dialect.plan_prefix,
        pause: |_| Duration::ZERO,
        on_listing: |state, listing| {
            for (key, object) in listing.items {
                take_plan(state, &key, &object.value);
            }
        },
        on_change: |state, change| {
            if let Some(value) = change.value {
                take_plan(state, &change.key, &value);
            }
        },
        on_return: |_, _| {},
    };
    follow(&state, followed).await;
}

/// Follows the list of upstreams for ever.
pub(crate) async fn follow_upstreams(state: Arc<GatewayState>) {
    let followed = Followed {
        what: "upstreams",
        prefix: state.dialect.upstream_prefix,
        pause: upstream_pause,
        on_listing: |state, listing| {
            let items = listing.items.iter();
            let records =
                items.filter_map(|(key, object)| read_upstream(state, key, &object.value));
            let records = records.collect();
            let changes = state.roster().replace(records, ClockTime::now());
            changes.into_iter().for_each(|change| note_change(state, change));
        },
        on_change: |state, change| {
            let now = ClockTime::now();
            let name = key_name(&change.key);
            let noted = match &change.value {
                Some(value) => read_upstream(state, &change.key, value)
                    .map(|record| state.roster().put(record)),
                None => name.parse().ok().map(|name| state.roster().remove(&name, now)),
            };
            if let Some(noted) = noted {
                note_change(state, noted);
            }
        },
        on_return: |state, outage| state.roster().store_returned(outage, ClockTime::now()),
    };
    follow(&state, followed).await;
}

async fn follow(state: &GatewayState, followed: Followed) {
    let mut lost = None;
    loop {
        let listing = match state.store.list::<Box<RawValue>>(followed.prefix).await {
            Ok(listing) => listing,
            Err(error) => {
                note_lost(&mut lost, &followed, &error);
                pause_after_failure().await;
                continue;
            }
        };
        note_found(state, &mut lost, &followed);
        let mut revision = listing.revision;
        log_event!(
            info,
            "list-read",
            what = followed.what,
            entries = listing.items.len(),
            revision = revision,
        );
        (followed.on_listing)(state, listing);
        loop {
            Timer::after((followed.pause)(state)).await;
            let watched = state.store.watch(followed.prefix, revision, WATCH_WAIT).await;
            match watched {
                Ok(changes) => {
                    note_found(state, &mut lost, &followed);
                    revision = revision.max(changes.revision);
                    for change in changes.changes {
                        (followed.on_change)(state, change);
                    }
                }
                Err(StoreError::HistoryGone) => {
                    log_event!(info, "history-gone", what = followed.what, revision = revision);
                    break;
                }
                Err(error) => {
                    note_lost(&mut lost, &followed, &error);
                    pause_after_failure().await;
                }
            }
        }
    }
}

async fn pause_after_failure() {
    Timer::after(FAILURE_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
}

fn note_lost(lost: &mut Option<ClockTime>, followed: &Followed, error: &StoreError) {
    if lost.is_none() {
        *lost = Some(ClockTime::now());
        log_event!(warn, "store-lost", what = followed.what, error = error);
    }
}

fn note_found(state: &GatewayState, lost: &mut Option<ClockTime>, followed: &Followed) {
    if let Some(since) = lost.take() {
        let outage = ClockTime::now().since(since);
        let away_ms = outage.as_millis();
        log_event!(info, "store-regained", what = followed.what, away_ms = away_ms);
        (followed.on_return)(state, outage);
    }
}

fn take_plan(state: &GatewayState, key: &str, value: &RawValue) {
    if key != state.dialect.plan_key {
        return;
    }
    match (state.dialect.read_plan)(value) {
        Ok(plan) => {
            let (version, routes) = (plan.version, plan.routes.len());
            let branches = plan.branches.len();
            let taken = state.take_plan(PlanIndex::new(plan), value.get());
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

/// Reads an upstream's entry. Other writers may spoil entries: one that can't be read takes its
/// upstream out of use, and no other.
fn read_upstream(state: &GatewayState, key: &str, value: &RawValue) -> Option<UpstreamRecord> {
    match (state.dialect.read_upstream)(key_name(key), value) {
        Ok(record) => Some(record),
        Err(detail) => {
            let name: Option<UpstreamName> = key_name(key).parse().ok();
            let stands_for = name.and_then(|name| state.roster().unreadable(&name));
            let known = stands_for.is_some();
            log_event!(warn, "upstream-unreadable", key = key, known = known, detail = detail);
            stands_for
        }
    }
}

fn key_name(key: &str) -> &str {
    key.rsplit_once('/').map_or(key, |(_, name)| name)
}

fn note_change(state: &GatewayState, (name, change): (UpstreamName, RosterChange)) {
    let word = match change {
        RosterChange::Unchanged => return,
        RosterChange::Joined => "joined",
        RosterChange::Restarted => "restarted",
        RosterChange::Leaving => "leaving",
        RosterChange::Missing => "missing",
        RosterChange::Gone => "gone",
    };
    log_event!(info, "upstream-changed", upstream = name, change = word);
    if matches!(change, RosterChange::Gone | RosterChange::Restarted) {
        state.board().forget(&name);
    }
}

/// How often idle connections and lapsed entries are looked at.
const SWEEP_PERIOD: Duration = Duration::from_millis(500);

/// Drops what is no longer of use, for ever.
pub(crate) async fn sweep(state: Arc<GatewayState>) {
    loop {
        Timer::after(SWEEP_PERIOD).await;
        let now = ClockTime::now();
        let expired = state.roster().expire(now);
        for name in expired {
            note_change(&state, (name, RosterChange::Gone));
        }
        let is_listed = |name: &UpstreamName| state.roster().get(name).is_some();
        state.pool.sweep(is_listed, now);
    }
}
