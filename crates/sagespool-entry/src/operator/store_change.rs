//! Conditional changes of an object in the store on behalf of a command.

use std::time::Duration;

use sagespool_operations::{ItemOutcome, OutcomeState};
use sagespool_platform::StoreError;
use sagespool_types::{ClockTime, StoreRevision};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::run::{CommandRun, ExecutorState};

const CHANGE_TIMEOUT: Duration = Duration::from_secs(8);
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// What to do with an object that was read.
pub(super) enum ChangeStep<T, R> {
    /// Write this value; the result if that takes effect.
    Write(T, R),
    /// Leave it unchanged.
    Stop(R),
}

/// The input of the decision on a change.
pub(super) struct ChangeContext<'a, T> {
    /// The object; None if it does not exist.
    pub value: Option<&'a T>,
    /// Its version.
    pub version: StoreRevision,
    /// True if an earlier write of the same change may have taken effect: its reply was lost, or an
    /// earlier executor made it, and the object has changed since.
    pub may_have_applied: bool,
}

/// The outcome of a change.
pub(super) enum ChangeOutcome<T, R> {
    /// Written.
    Written {
        /// The object as it is now.
        value: T,
        /// Its version.
        version: StoreRevision,
        /// The result.
        result: R,
    },
    /// Left unchanged.
    Stopped(R),
    /// Another executor has taken the command over.
    Superseded,
    /// The store failed.
    Failed {
        /// The store's last error.
        error: StoreError,
        /// True if a write may have taken effect or may still do so.
        may_have_applied: bool,
    },
}

/// Reads an object, decides, checks that the command still belongs to this executor, and writes on
/// condition of the version that was read.
///
/// This order guards against an executor that is paused before its write, while another finishes
/// the command and a third operator then changes the object: the write would undo that later
/// change. A change by anyone between the read and the write makes the write fail. If another
/// executor changed the object before the read, it had taken the command over before, and the check
/// of the record, which follows the read, finds that.
///
/// `begun` is set if the change may have been made before: it is the store's revision before that.
pub(super) async fn change<T: Clone + Serialize + DeserializeOwned, R>(
    run: &CommandRun,
    key: &str,
    begun: Option<StoreRevision>,
    decide: impl Fn(ChangeContext<'_, T>) -> ChangeStep<T, R>,
) -> ChangeOutcome<T, R> {
    let deadline = ClockTime::now().after(CHANGE_TIMEOUT);
    let mut begun = begun;
    loop {
        let error = match try_change(run, key, &mut begun, &decide).await {
            Ok(end) => return end,
            Err(error) => error,
        };
        let is_final = matches!(error, StoreError::TooLarge | StoreError::Malformed(_));
        if is_final || ClockTime::now() >= deadline {
            return ChangeOutcome::Failed { error, may_have_applied: begun.is_some() };
        }
        smol::Timer::after(RETRY_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
    }
}

async fn try_change<T: Clone + Serialize + DeserializeOwned, R>(
    run: &CommandRun,
    key: &str,
    begun: &mut Option<StoreRevision>,
    decide: &impl Fn(ChangeContext<'_, T>) -> ChangeStep<T, R>,
) -> Result<ChangeOutcome<T, R>, StoreError> {
    let objects = &run.state.objects;
    let stored = objects.get::<T>(key).await.map_err(read_error)?;
    let version = stored.as_ref().map_or(StoreRevision::ZERO, |stored| stored.version);
    let value = stored.as_ref().map(|stored| &stored.value);
    let may_have_applied = begun.is_some_and(|after| version > after);
    let (value, result) = match decide(ChangeContext { value, version, may_have_applied }) {
        ChangeStep::Write(value, result) => (value, result),
        ChangeStep::Stop(result) => return Ok(ChangeOutcome::Stopped(result)),
    };
    if run.read_state().await.map_err(read_error)? == ExecutorState::Superseded {
        return Ok(ChangeOutcome::Superseded);
    }
    let written = objects.put(key, version, &value).await;
    if written == Err(StoreError::Uncertain) {
        *begun = Some(begun.map_or(version, |after| after.min(version)));
    }
    Ok(ChangeOutcome::Written { value, version: written?, result })
}

/// A read whose reply was lost had no effect.
fn read_error(error: StoreError) -> StoreError {
    match error {
        StoreError::Uncertain => StoreError::Unavailable,
        other => other,
    }
}

/// The outcome of a change that the store did not accept.
pub(super) fn store_failure(error: &StoreError, may_have_applied: bool) -> ItemOutcome {
    if may_have_applied {
        let message = format!("it may have taken effect: {error}; query its state");
        return ItemOutcome::new(OutcomeState::Unknown, message);
    }
    ItemOutcome::new(OutcomeState::Failed, format!("nothing was done: {error}"))
}
