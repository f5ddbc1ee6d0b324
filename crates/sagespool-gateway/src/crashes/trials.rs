//! Trials of quarantined contents: a request that runs in spite of their quarantine.
//!
//! A content that was in flight at other requests' crashes is harmless, but refused it can't succeed and
//! show it. A trial that succeeds lifts the quarantine. All gateways count the trials of a content in its
//! object, so that one which does crash upstreams gets no more of them.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sagespool_claims::QuarantineEntry;
use sagespool_log::log_event;
use sagespool_platform::StoreError;
use sagespool_types::{ClockTime, ContentDigest, WallTime};

use super::name_part;
use super::stored::{home_rank, quarantine_key};
use crate::state::GatewayState;

/// Time from the quarantine of a content to its trials, each by one request of all gateways.
const TRIAL_DELAYS: [Duration; 2] = [Duration::from_secs(3), Duration::from_secs(600)];
/// Additional delay of each further gateway in a content's order of homes, so that few of them write its
/// object at the same time.
const HOME_DELAY: Duration = Duration::from_millis(250);

/// The trials that this gateway may let run.
#[derive(Debug, Default)]
pub(super) struct QuarantineTrials {
    /// Sets of contents; one request whose quarantined digests are among a set may run.
    granted: Mutex<Vec<BTreeSet<ContentDigest>>>,
    /// True while a trial is being counted in the store.
    claiming: AtomicBool,
}

impl QuarantineTrials {
    fn granted(&self) -> MutexGuard<'_, Vec<BTreeSet<ContentDigest>>> {
        self.granted.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a request may run in spite of these quarantined digests.
    pub(super) fn covers(&self, stopped: &BTreeSet<ContentDigest>) -> bool {
        self.granted().iter().any(|contents| stopped.is_subset(contents))
    }

    /// Uses a trial for a request with these quarantined digests. False if there is none.
    pub(super) fn take(&self, stopped: &BTreeSet<ContentDigest>) -> bool {
        let mut granted = self.granted();
        let found = granted.iter().position(|contents| stopped.is_subset(contents));
        found.map(|index| granted.swap_remove(index)).is_some()
    }

    /// Drops the trials of a content whose quarantine was lifted.
    pub(super) fn forget(&self, content: ContentDigest) {
        self.granted().retain(|contents| !contents.contains(&content));
    }
}

/// Whether the next trial of a quarantined content is due at a gateway of this rank in its order of homes.
/// False if it had all.
pub(super) fn has_due_trial(entry: &QuarantineEntry, rank: usize, now: WallTime) -> bool {
    let Some(delay) = TRIAL_DELAYS.get(entry.trials) else {
        return false;
    };
    let delay = *delay + HOME_DELAY.saturating_mul(rank as u32);
    now.0 >= entry.at.0.saturating_add(delay.as_millis() as u64)
}

/// Prepares a trial for a later request with these quarantined digests, if the trial of each is due. To be
/// called for each request that is refused because of them.
pub(crate) fn consider_trial(state: &Arc<GatewayState>, stopped: BTreeSet<ContentDigest>) {
    let now = WallTime::now();
    let is_due = |content: &ContentDigest| state.crashes.stored.is_trial_due(state, *content, now);
    let claiming = &state.crashes.trials.claiming;
    if !stopped.iter().all(is_due) || claiming.swap(true, Ordering::AcqRel) {
        return;
    }
    let state = state.clone();
    smol::spawn(async move {
        claim_trial(&state, stopped).await;
        state.crashes.trials.claiming.store(false, Ordering::Release);
    })
    .detach();
}

/// Counts a trial of each content in the store, and grants it if no other gateway has.
async fn claim_trial(state: &GatewayState, contents: BTreeSet<ContentDigest>) {
    for content in &contents {
        let counted = count_trial(state, *content).await;
        let (claimed, error) = match &counted {
            Ok(claimed) => (*claimed, String::new()),
            Err(error) => (false, error.to_string()),
        };
        log_event!(
            info,
            "trial-counted",
            content = content,
            part = name_part(*content),
            claimed = claimed,
            error = error
        );
        if !claimed {
            return;
        }
    }
    state.crashes.trials.granted().push(contents);
}

/// Counts a trial in a content's object. False if none is due there, or another gateway changed it.
async fn count_trial(state: &GatewayState, content: ContentDigest) -> Result<bool, StoreError> {
    let key = quarantine_key(state, content);
    let Some(stored) = state.store.get::<QuarantineEntry>(&key).await? else {
        return Ok(false);
    };
    let rank = home_rank(state, content, ClockTime::now());
    if !has_due_trial(&stored.value, rank, WallTime::now()) {
        return Ok(false);
    }
    let entry = QuarantineEntry { trials: stored.value.trials + 1, ..stored.value };
    match state.store.put(&key, stored.version, &entry).await {
        Ok(_) => Ok(true),
        Err(StoreError::Conflict { .. }) => Ok(false),
        Err(error) => Err(error),
    }
}
