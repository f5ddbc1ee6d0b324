//! Read, change, write back if nobody else did.

use std::time::{Duration, Instant};

use sagespool_types::StoreRevision;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::Timer;

use crate::{ObjectClient, StoreError};

/// How often an update is tried at most, its limit in time aside.
const TRY_LIMIT: u32 = 12;
/// No update goes on for longer, so that a deadline never overflows.
const LONGEST_LIMIT: Duration = Duration::from_secs(3600);
/// The pause after the first try, at most; it doubles with each.
const FIRST_PAUSE: Duration = Duration::from_millis(4);
const LONGEST_PAUSE: Duration = Duration::from_millis(250);

/// What became of an object on applying a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateChoice {
    /// It changed: write it.
    Write,
    /// It is as wished already: nothing to write.
    Keep,
}

/// An object as it is in the store after an update.
#[derive(Debug, Clone, PartialEq)]
pub struct UpdatedObject<T> {
    /// Its version, 0 if it doesn't exist.
    pub version: StoreRevision,
    /// Its value.
    pub value: T,
    /// False if it was as wished already.
    pub written: bool,
}

/// Reads an object (its default if it doesn't exist), applies a change and
/// writes it if nobody else did meanwhile.
///
/// On a conflict, an outage, a rate limit or a lost answer it starts again with
/// a fresh read, after a pause with jitter (at least as long as the platform
/// asked for), until `limit` or the number of tries is used up. So `apply` is
/// called with each state that was read, and must be idempotent: after a lost
/// answer its change may be in there already.
///
/// The error is [`StoreError::Uncertain`] if any write may still have taken
/// effect, also if the last try failed otherwise.
pub async fn update_object<T: Serialize + DeserializeOwned + Default>(
    client: &ObjectClient,
    key: &str,
    limit: Duration,
    mut apply: impl FnMut(&mut T) -> UpdateChoice,
) -> Result<UpdatedObject<T>, StoreError> {
    let deadline = Instant::now() + limit.min(LONGEST_LIMIT);
    let mut doubt = WriteDoubt::default();
    let mut tries = 0;
    loop {
        let time_left = deadline.saturating_duration_since(Instant::now());
        let tried = try_update(&client.bounded(time_left), key, &mut apply, &mut doubt).await;
        let error = match tried {
            Ok(updated) => return Ok(updated),
            Err(error) => error,
        };
        tries += 1;
        let Some(pause) = pause_after(&error, tries) else {
            return Err(doubt.over(error));
        };
        let time_left = deadline.saturating_duration_since(Instant::now());
        if tries == TRY_LIMIT || pause >= time_left {
            return Err(doubt.over(error));
        }
        Timer::after(pause).await;
    }
}

/// The version that a write with a lost answer expected.
///
/// Guards against reporting "nothing was done" after a lost answer followed by
/// an outage: the first write may have taken effect, or may yet. The doubt ends
/// only when the object is seen at another version, since the write can't take
/// effect any more then, and `apply` saw whether it had.
#[derive(Debug, Default)]
struct WriteDoubt(Option<StoreRevision>);

impl WriteDoubt {
    fn seen(&mut self, version: StoreRevision) {
        if self.0.is_some_and(|expected| expected != version) {
            self.0 = None;
        }
    }

    fn over(&self, error: StoreError) -> StoreError {
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
    doubt: &mut WriteDoubt,
) -> Result<UpdatedObject<T>, StoreError> {
    let found = client.get::<T>(key).await?;
    let (version, mut value) = match found {
        Some(object) => (object.version, object.value),
        None => (StoreRevision::ZERO, T::default()),
    };
    doubt.seen(version);
    if apply(&mut value) == UpdateChoice::Keep {
        return Ok(UpdatedObject { version, value, written: false });
    }
    match client.put(key, version, &value).await {
        Ok(version) => Ok(UpdatedObject { version, value, written: true }),
        Err(error) => {
            if error.may_have_taken_effect() {
                doubt.0 = Some(version);
            }
            Err(error)
        }
    }
}

/// How long to wait before the next try, or nothing if it would fail as well.
fn pause_after(error: &StoreError, tries: u32) -> Option<Duration> {
    let longest = FIRST_PAUSE.saturating_mul(1 << tries.min(16)).min(LONGEST_PAUSE);
    let jitter = longest.mul_f64(fastrand::f64());
    match error {
        StoreError::Conflict { .. } | StoreError::Unavailable | StoreError::Uncertain => {
            Some(jitter)
        }
        StoreError::RateLimited { retry_after } => Some(*retry_after + jitter),
        StoreError::TooLarge | StoreError::HistoryGone | StoreError::Malformed(_) => None,
    }
}
