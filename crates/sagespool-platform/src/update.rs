//! Read-modify-write of an object, with optimistic concurrency control.

use std::time::{Duration, Instant};

use sagespool_types::StoreRevision;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::Timer;

use crate::{ObjectClient, StoreError};

/// The most attempts of an update, besides its time limit.
const MAX_ATTEMPTS: u32 = 12;
/// The longest time limit, so that the deadline never overflows.
const MAX_TIME_LIMIT: Duration = Duration::from_secs(3600);
/// Doubled once for each attempt, this is the longest random backoff after it.
const BASE_BACKOFF: Duration = Duration::from_millis(4);
const MAX_BACKOFF: Duration = Duration::from_millis(250);

/// Whether an object has to be written after a change was applied to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateChoice {
    /// The object changed and has to be written.
    Write,
    /// The object has the wanted state already.
    Keep,
}

/// The state of an object in the store after an update.
#[derive(Debug, Clone, PartialEq)]
pub struct UpdatedObject<T> {
    /// The version, 0 if the object doesn't exist.
    pub version: StoreRevision,
    /// The value after the change.
    pub value: T,
    /// False if the object had the wanted state already.
    pub written: bool,
}

/// Reads an object (its default if it doesn't exist), applies a change, and writes it back unless it
/// was written in between.
///
/// On a conflict, an outage, a rate limit or a lost response it retries from the read, after a
/// backoff with jitter (at least the platform's `retry-after`), until `time_limit` or the number of
/// attempts is exhausted. `apply` is called with each value read, and must be idempotent: after a
/// lost response the value may contain its change already.
///
/// # Errors
///
/// [`StoreError::Uncertain`] if any write may have taken effect, even if the last attempt failed with
/// another error.
pub async fn update_object<T: Serialize + DeserializeOwned + Default>(
    client: &ObjectClient,
    key: &str,
    time_limit: Duration,
    mut apply: impl FnMut(&mut T) -> UpdateChoice,
) -> Result<UpdatedObject<T>, StoreError> {
    let deadline = Instant::now() + time_limit.min(MAX_TIME_LIMIT);
    let mut uncertain = UncertainWrite::default();
    let mut attempts = 0;
    loop {
        let time_left = deadline.saturating_duration_since(Instant::now());
        let attempt =
            try_update(&client.with_max_timeout(time_left), key, &mut apply, &mut uncertain).await;
        let error = match attempt {
            Ok(updated) => return Ok(updated),
            Err(error) => error,
        };
        attempts += 1;
        let Some(backoff) = backoff_after(&error, attempts) else {
            return Err(uncertain.resolve(error));
        };
        let time_left = deadline.saturating_duration_since(Instant::now());
        if attempts == MAX_ATTEMPTS || backoff >= time_left {
            return Err(uncertain.resolve(error));
        }
        Timer::after(backoff).await;
    }
}

/// The version that a write expected whose response was lost.
///
/// Guards against reporting that an update had no effect after a lost response followed by an outage:
/// the write may have taken effect, or may still do so. This is settled only when the object is read
/// at another version, since the write can't take effect any more then, and `apply` saw whether it
/// had.
#[derive(Debug, Default)]
struct UncertainWrite(Option<StoreRevision>);

impl UncertainWrite {
    fn observe(&mut self, version: StoreRevision) {
        if self.0.is_some_and(|expected| expected != version) {
            self.0 = None;
        }
    }

    /// The error of the update whose last attempt failed with `error`.
    fn resolve(&self, error: StoreError) -> StoreError {
        match self.0 {
            Some(_) => StoreError::Uncertain,
            None => error,
        }
    }
}

async fn try_update<T: Serialize + DeserializeOwned + Default>(
    client: &ObjectClient,
    key: &str,
    apply: &mut impl FnMut(&mut T) -> UpdateChoice,
    uncertain: &mut UncertainWrite,
) -> Result<UpdatedObject<T>, StoreError> {
    let found = client.get::<T>(key).await?;
    let (version, mut value) = match found {
        Some(object) => (object.version, object.value),
        None => (StoreRevision::ZERO, T::default()),
    };
    uncertain.observe(version);
    if apply(&mut value) == UpdateChoice::Keep {
        return Ok(UpdatedObject { version, value, written: false });
    }
    match client.put(key, version, &value).await {
        Ok(version) => Ok(UpdatedObject { version, value, written: true }),
        Err(error) => {
            if error.may_have_taken_effect() {
                uncertain.0 = Some(version);
            }
            Err(error)
        }
    }
}

/// The backoff before the next attempt; `None` if a retry would fail with the same error.
fn backoff_after(error: &StoreError, attempts: u32) -> Option<Duration> {
    let longest = BASE_BACKOFF.saturating_mul(1 << attempts.min(16)).min(MAX_BACKOFF);
    let jitter = longest.mul_f64(fastrand::f64());
    match error {
        StoreError::Conflict { .. } | StoreError::Unavailable | StoreError::Uncertain => {
            Some(jitter)
        }
        StoreError::RateLimited { retry_after } => Some(*retry_after + jitter),
        StoreError::TooLarge | StoreError::HistoryGone | StoreError::Malformed(_) => None,
    }
}
