//! Changing an object of the store on behalf of a command.

use std::time::Duration;

use sagespool_operations::{ItemOutcome, OutcomeState};
use sagespool_platform::StoreError;
use sagespool_types::{ClockTime, StoreRevision};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::run::{CommandRun, RunState};

const CHANGE_LIMIT: Duration = Duration::from_secs(8);
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// What to do with an object as it was read.
pub(super) enum ChangeStep<T, R> {
    /// Write it so; the result if that takes effect.
    Write(T, R),
    /// Leave it.
    Stop(R),
}

/// What is known when a change is decided on.
pub(super) struct ChangeMoment<'a, T> {
    /// The object; nothing if it isn't there.
    pub value: Option<&'a T>,
    /// Its version.
    pub version: StoreRevision,
    /// True if an earlier write of the same change may have taken effect: its answer was lost, or an
    /// earlier executor made it, and the object has changed since.
    pub may_be_made: bool,
}

/// How a change went.
pub(super) enum ChangeEnd<T, R> {
    /// Written.
    Written {
        /// The object as it is now.
        value: T,
        /// Its version.
        version: StoreRevision,
        /// The result.
        result: R,
    },
    /// Left as it was.
    Stopped(R),
    /// Another executor has taken the command up.
    Relieved,
    /// The store can't be used.
    Failed {
        /// What it said last.
        error: StoreError,
        /// True if a write may have taken effect, or may yet.
        may_be_made: bool,
    },
}

/// Reads an object, decides, makes sure that the command is still this executor's, and writes on
/// condition of the version that was read.
///
/// The order guards against an executor that is paused before its write while another finishes the
/// command and a third operator changes the object after it: the write would undo that later change.
/// Between the read and the write nobody else can have changed the object, or the write fails. If another
/// executor changed it before the read, it had taken the command up before, and the look at the record,
/// which comes after the read, shows that.
///
/// `begun` is set if the change may have been made before: after that revision of the store.
pub(super) async fn change<T: Clone + Serialize + DeserializeOwned, R>(
    run: &CommandRun,
    key: &str,
    begun: Option<StoreRevision>,
    decide: impl Fn(ChangeMoment<'_, T>) -> ChangeStep<T, R>,
) -> ChangeEnd<T, R> {
    let deadline = ClockTime::now().after(CHANGE_LIMIT);
    let mut begun = begun;
    loop {
        let error = match try_change(run, key, &mut begun, &decide).await {
            Ok(end) => return end,
            Err(error) => error,
        };
        let is_final = matches!(error, StoreError::TooLarge | StoreError::Malformed(_));
        if is_final || ClockTime::now() >= deadline {
            return ChangeEnd::Failed { error, may_be_made: begun.is_some() };
        }
        smol::Timer::after(RETRY_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
    }
}

async fn try_change<T: Clone + Serialize + DeserializeOwned, R>(
    run: &CommandRun,
    key: &str,
    begun: &mut Option<StoreRevision>,
    decide: &impl Fn(ChangeMoment<'_, T>) -> ChangeStep<T, R>,
) -> Result<ChangeEnd<T, R>, StoreError> {
    let objects = &run.state.objects;
    let stored = objects.get::<T>(key).await.map_err(unread)?;
    let version = stored.as_ref().map_or(StoreRevision::ZERO, |stored| stored.version);
    let value = stored.as_ref().map(|stored| &stored.value);
    let may_be_made = begun.is_some_and(|after| version > after);
    let (value, result) = match decide(ChangeMoment { value, version, may_be_made }) {
        ChangeStep::Write(value, result) => (value, result),
        ChangeStep::Stop(result) => return Ok(ChangeEnd::Stopped(result)),
    };
    if run.state_in_store().await.map_err(unread)? == RunState::Others {
        return Ok(ChangeEnd::Relieved);
    }
    let written = objects.put(key, version, &value).await;
    if written == Err(StoreError::Uncertain) {
        *begun = Some(begun.map_or(version, |after| after.min(version)));
    }
    Ok(ChangeEnd::Written { value, version: written?, result })
}

/// A read whose answer was lost did nothing.
fn unread(error: StoreError) -> StoreError {
    match error {
        StoreError::Uncertain => StoreError::Unavailable,
        other => other,
    }
}

/// The outcome of a change that the store didn't take.
pub(super) fn failed(error: &StoreError, may_be_made: bool) -> ItemOutcome {
    if may_be_made {
        let message = format!("it may have taken effect: {error}; ask for its state");
        return ItemOutcome::new(OutcomeState::Unknown, message);
    }
    ItemOutcome::new(OutcomeState::Failed, format!("nothing was done: {error}"))
}
