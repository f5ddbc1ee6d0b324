//! The fleet-wide lock for loading models: one load runs at a time.

use std::time::Duration;

use sagespool_operations::{FenceHolder, ItemOutcome, LOAD_LEASE_KEY, LoadLease, OutcomeState};
use sagespool_platform::{UpdateChoice, update_object};
use sagespool_types::{ClockTime, WallTime};

use super::run::{CommandRun, ExecutorState, ItemResult};
use super::store_change::{ChangeContext, ChangeOutcome, ChangeStep, change, store_failure};

const TURN_TIMEOUT: Duration = Duration::from_secs(600);
const POLL_INTERVAL: Duration = Duration::from_millis(300);
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);

/// Waits until no other load runs. Cancelling the command ends the wait and the item.
pub(super) async fn acquire_turn(run: &CommandRun, holder: FenceHolder) -> Result<(), ItemResult> {
    let deadline = ClockTime::now().after(TURN_TIMEOUT);
    loop {
        let decide = |context: ChangeContext<'_, LoadLease>| {
            let mut lease = context.value.cloned().unwrap_or_default();
            match lease.try_acquire(holder, WallTime::now()) {
                true => ChangeStep::Write(lease, true),
                false => ChangeStep::Stop(false),
            }
        };
        match change(run, LOAD_LEASE_KEY, None, decide).await {
            ChangeOutcome::Written { .. } | ChangeOutcome::Stopped(true) => return Ok(()),
            ChangeOutcome::Stopped(false) => {}
            ChangeOutcome::Superseded => return Err(ItemResult::Superseded),
            ChangeOutcome::Failed { error, .. } => {
                return Err(ItemResult::Ended(store_failure(&error, false)));
            }
        }
        match run.read_state().await {
            Ok(ExecutorState::Cancelled) => {
                let message =
                    "the command was cancelled while this item waited for its turn to load";
                return Err(ItemResult::Ended(ItemOutcome::new(OutcomeState::Cancelled, message)));
            }
            Ok(ExecutorState::Superseded) => return Err(ItemResult::Superseded),
            Ok(ExecutorState::Current) | Err(_) => {}
        }
        if ClockTime::now() >= deadline {
            let message = "not done: timed out waiting for other loads";
            return Err(ItemResult::Ended(ItemOutcome::new(OutcomeState::Failed, message)));
        }
        smol::Timer::after(POLL_INTERVAL.mul_f64(0.5 + fastrand::f64())).await;
    }
}

/// Releases the lease. A lease that can't be released expires.
pub(super) async fn release_turn(run: &CommandRun, holder: FenceHolder) {
    let release = |lease: &mut LoadLease| match lease.release(holder) {
        true => UpdateChoice::Write,
        false => UpdateChoice::Keep,
    };
    let _ = update_object(&run.state.objects, LOAD_LEASE_KEY, RELEASE_TIMEOUT, release).await;
}
