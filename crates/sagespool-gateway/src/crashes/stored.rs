//! Quarantined contents in the store, from which all gateways learn them, also after a restart.
//!
//! The gateway that quarantines a content creates an object for it. Deleting the object, by an
//! operator or after a run that succeeded, lifts the quarantine.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use event_listener::Event;
use sagespool_claims::{CrashNote, QuarantineEntry};
use sagespool_link::within;
use sagespool_log::log_event;
use sagespool_messages::{ContentCrashes, FeedKind};
use sagespool_platform::StoreError;
use sagespool_types::{ClockTime, ContentDigest, CrashWeight, StoreRevision, WallTime};
use serde_json::value::RawValue;

use super::trials::has_due_trial;
use super::{announce, clear_harmless_part, clear_relay};
use crate::follow::{FollowedPrefix, follow, key_name};
use crate::state::GatewayState;

/// Wait time of a long poll of the store. Changes end it at once; a lost connection shows earlier at
/// the feed of upstreams, which then interrupts this one.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Time between two tries to write to the store.
const SAVE_PERIOD: Duration = Duration::from_secs(1);
/// Time after which a quarantine ends. Its content is then quarantined again by its next crashes.
const QUARANTINE_DURATION: Duration = Duration::from_secs(3600);
/// The same if upstreams still accepted connections after nearly all of its crashes: the responses may
/// have been lost, and no gateway has seen a run succeed yet.
const UNCONFIRMED_DURATION: Duration = Duration::from_secs(30);
/// Upstreams that have ended by which a quarantine is confirmed. One may have ended by chance while
/// the content was there.
const CONFIRMING_CRASHES: usize = 2;
/// Tries to write an entry that other gateways change too.
const MAX_WRITE_TRIES: usize = 3;
/// Maximum number of objects in the store; the first to end is deleted.
const MAX_STORED: usize = 500;

/// Quarantined contents in the store, and changes of them that wait to be written.
#[derive(Debug, Default)]
pub(super) struct StoredQuarantine {
    state: Mutex<StoredState>,
    changed: Event,
}

#[derive(Debug, Default)]
struct StoredState {
    /// The objects in the store.
    stored: BTreeMap<ContentDigest, QuarantineEntry>,
    /// Contents to be removed from the store.
    lifted: BTreeSet<ContentDigest>,
    /// Contents that other gateways have been sent, because the store wasn't reachable.
    announced: BTreeSet<ContentDigest>,
    /// The reports of contents whose quarantine was lifted, which relays don't know yet.
    cleared: Vec<ContentCrashes>,
}

impl StoredQuarantine {
    fn state(&self) -> MutexGuard<'_, StoredState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes new quarantines as soon as possible.
    pub(super) fn request_save(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Removes a content from the store as soon as possible.
    pub(super) fn request_lift(&self, content: ContentDigest) {
        self.state().lifted.insert(content);
        self.changed.notify(usize::MAX);
    }

    /// Whether the trial of a content is due at this gateway.
    pub(super) fn is_trial_due(
        &self,
        gateway: &GatewayState,
        content: ContentDigest,
        now: WallTime,
    ) -> bool {
        let is_due = |rank| {
            self.state().stored.get(&content).is_some_and(|entry| has_due_trial(entry, rank, now))
        };
        // The order of homes is determined only once it can matter.
        is_due(0) && is_due(home_rank(gateway, content, ClockTime::now()))
    }

    /// The contents to remove: those that were lifted, those whose time is over, and the first to end
    /// of too many.
    fn due_lifts(
        &self,
        is_own: impl Fn(ContentDigest) -> bool,
        now: WallTime,
    ) -> Vec<ContentDigest> {
        let state = self.state();
        let expired = state.stored.iter().filter(|(_, entry)| now >= end_of(entry));
        let expired = expired.map(|(content, _)| *content);
        let mut due: BTreeSet<ContentDigest> = expired.filter(|content| is_own(*content)).collect();
        due.extend(&state.lifted);
        if state.stored.len() > MAX_STORED {
            let first = state.stored.iter().min_by_key(|(_, entry)| end_of(entry));
            due.extend(first.map(|(content, _)| *content));
        }
        due.into_iter().collect()
    }
}

/// Follows the quarantined contents in the store until cancelled.
pub(crate) async fn follow_quarantine(state: Arc<GatewayState>) {
    let followed = FollowedPrefix {
        name: "quarantine",
        kind: FeedKind::Quarantine,
        prefix: state.dialect.quarantine_prefix,
        pause: |_| Duration::ZERO,
        wait: WATCH_WAIT,
        on_listing: |state, listing| {
            let items = listing.items.iter();
            let listed: BTreeMap<ContentDigest, QuarantineEntry> =
                items.filter_map(|(key, object)| read_entry(key, &object.value)).collect();
            let previous: Vec<_> = state.crashes.stored.state().stored.keys().copied().collect();
            let removed = previous.into_iter().filter(|content| !listed.contains_key(content));
            removed.for_each(|content| apply_removed(state, content));
            let now = ClockTime::now();
            listed
                .into_iter()
                .for_each(|(content, entry)| apply_stored(state, content, &entry, now));
        },
        on_change: |state, change| {
            match &change.value {
                Some(value) => {
                    if let Some((content, entry)) = read_entry(&change.key, value) {
                        apply_stored(state, content, &entry, ClockTime::now());
                    }
                }
                None => {
                    if let Ok(content) = key_name(&change.key).parse() {
                        apply_removed(state, content);
                    }
                }
            }
            true
        },
        on_recovery: |_, _| {},
    };
    follow(&state, followed).await;
}

/// Reads an object; `None` and a log line if it is malformed.
fn read_entry(key: &str, value: &RawValue) -> Option<(ContentDigest, QuarantineEntry)> {
    let content = key_name(key).parse().ok();
    let entry = serde_json::from_str(value.get()).ok();
    let read = content.zip(entry);
    if read.is_none() {
        log_event!(warn, "quarantine-unreadable", key = key);
    }
    read
}

/// When the quarantine of an entry ends.
fn end_of(entry: &QuarantineEntry) -> WallTime {
    let ended = entry.crashes.iter().filter(|note| note.weight == CrashWeight::FULL).count();
    let duration = match ended >= CONFIRMING_CRASHES {
        true => QUARANTINE_DURATION,
        false => UNCONFIRMED_DURATION,
    };
    WallTime(entry.at.0.saturating_add(duration.as_millis() as u64))
}

fn apply_stored(
    state: &GatewayState,
    content: ContentDigest,
    entry: &QuarantineEntry,
    now: ClockTime,
) {
    let reports =
        entry.crashes.iter().map(|note| note.to_report(content, Duration::ZERO)).collect();
    let is_new = state.crashes.stored.state().stored.insert(content, entry.clone()).is_none();
    let agreed = state.crashes.apply_quarantine(&ContentCrashes { content, reports }, now);
    state.crashes.tracker.mark_stored_with(content, &entry.crashes);
    if is_new {
        log_event!(info, "quarantine-read", content = content, agreed = agreed);
    }
}

fn apply_removed(state: &GatewayState, content: ContentDigest) {
    let known = state.crashes.tracker.crashes_of(content, ClockTime::now());
    let mut stored = state.crashes.stored.state();
    stored.cleared.push(known);
    stored.stored.remove(&content);
    stored.lifted.remove(&content);
    stored.announced.remove(&content);
    drop(stored);
    state.crashes.trials.forget(content);
    let lifted = state.crashes.tracker.lift(content);
    state.crashes.apply_tracker_change();
    log_event!(info, "quarantine-lifted", content = content, stopped = lifted);
}

/// Writes changes of the quarantine to the store until cancelled.
pub(crate) async fn save_quarantine(state: Arc<GatewayState>) {
    loop {
        let changed = state.crashes.stored.changed.listen();
        for (content, crashes) in state.crashes.tracker.unsaved() {
            if content.part_id().is_some() {
                clear_harmless_part(&state, content).await;
            }
            // Its reports may have been withdrawn meanwhile.
            if !state.crashes.tracker.confirm(content) {
                continue;
            }
            save(&state, content, crashes).await;
        }
        let is_own = |content| is_first_collector(&state, content);
        let cleared = std::mem::take(&mut state.crashes.stored.state().cleared);
        for lifted in cleared.into_iter().filter(|lifted| is_own(lifted.content)) {
            clear_relay(&state, lifted).await;
        }
        for content in state.crashes.stored.due_lifts(is_own, WallTime::now()) {
            remove(&state, content).await;
        }
        let _ = within(SAVE_PERIOD, changed).await;
    }
}

fn is_first_collector(state: &GatewayState, content: ContentDigest) -> bool {
    let subject = content.to_string();
    let homes = state.fleet.members.homes_of_subject(&subject, 1, ClockTime::now());
    homes.first().is_none_or(|home| home.incarnation == state.fleet.run)
}

/// This gateway's place in a content's order of homes.
pub(super) fn home_rank(state: &GatewayState, content: ContentDigest, now: ClockTime) -> usize {
    let homes = state.fleet.members.homes_of_subject(&content.to_string(), usize::MAX, now);
    let place = homes.iter().position(|home| home.incarnation == state.fleet.run);
    place.unwrap_or(homes.len())
}

/// Creates the object of a quarantined content, or adds the crashes that are known here to it. Other
/// gateways are told directly if it fails.
async fn save(state: &Arc<GatewayState>, content: ContentDigest, crashes: BTreeSet<CrashNote>) {
    let key = quarantine_key(state, content);
    match put_entry(state, &key, crashes).await {
        Ok(entry) => {
            state.crashes.tracker.mark_stored_with(content, &entry.crashes);
            log_event!(info, "quarantine-stored", content = content);
        }
        Err(error) => {
            log_event!(warn, "quarantine-not-stored", content = content, error = error);
            if state.crashes.stored.state().announced.insert(content) {
                smol::spawn(announce(state.clone(), content)).detach();
            }
        }
    }
}

/// Writes an entry with these crashes and those that it has in the store. Returns what is stored.
async fn put_entry(
    state: &GatewayState,
    key: &str,
    crashes: BTreeSet<CrashNote>,
) -> Result<QuarantineEntry, StoreError> {
    let mut entry = QuarantineEntry { crashes, ..QuarantineEntry::at(WallTime::now()) };
    let mut revision = StoreRevision::ZERO;
    for _ in 0..MAX_WRITE_TRIES {
        match state.store.put(key, revision, &entry).await {
            Err(StoreError::Conflict { .. }) => {}
            result => return result.map(|_| entry),
        }
        let Some(stored) = state.store.get::<QuarantineEntry>(key).await? else {
            revision = StoreRevision::ZERO;
            continue;
        };
        if entry.crashes.is_subset(&stored.value.crashes) {
            return Ok(stored.value);
        }
        entry.crashes.extend(stored.value.crashes);
        entry.trials = stored.value.trials;
        revision = stored.version;
    }
    Err(StoreError::Conflict { present: revision })
}

/// Deletes the object of a content, if it exists. Its removal is applied as for all gateways.
async fn remove(state: &GatewayState, content: ContentDigest) {
    let key = quarantine_key(state, content);
    let result = match state.store.get::<QuarantineEntry>(&key).await {
        Ok(Some(object)) => state.store.delete(&key, object.version).await,
        Ok(None) => Ok(()),
        Err(error) => Err(error),
    };
    match result {
        Ok(()) => {
            state.crashes.stored.state().lifted.remove(&content);
        }
        Err(error) => {
            log_event!(warn, "quarantine-not-removed", content = content, error = error);
        }
    }
}

pub(super) fn quarantine_key(state: &GatewayState, content: ContentDigest) -> String {
    format!("{}{content}", state.dialect.quarantine_prefix)
}
