//! Waiting for the turn to load a model.

use std::time::Duration;

use sagespool_operations::{FenceHolder, ItemOutcome, LOAD_TURN_KEY, LoadTurn, OutcomeState};
use sagespool_platform::{UpdateChoice, update_object};
use sagespool_types::{ClockTime, WallTime};

use super::run::{CommandRun, ItemEnd, RunState};
use super::store::{ChangeEnd, ChangeMoment, ChangeStep, change, failed};

const TURN_LIMIT: Duration = Duration::from_secs(600);
const POLL_PAUSE: Duration = Duration::from_millis(300);
const RELEASE_LIMIT: Duration = Duration::from_secs(3);

/// Waits until nobody else loads. The item is cancelled with its command while it waits.
pub(super) async fn take_turn(run: &CommandRun, holder: FenceHolder) -> Result<(), ItemEnd> {
    let deadline = ClockTime::now().after(TURN_LIMIT);
    loop {
        let decide = |moment: ChangeMoment<'_, LoadTurn>| {
            let mut turn = moment.value.cloned().unwrap_or_default();
            match turn.take(holder, WallTime::now()) {
                true => ChangeStep::Write(turn, true),
                false => ChangeStep::Stop(false),
            }
        };
        match change(run, LOAD_TURN_KEY, None, decide).await {
            ChangeEnd::Written { .. } | ChangeEnd::Stopped(true) => return Ok(()),
            ChangeEnd::Stopped(false) => {}
            ChangeEnd::Relieved => return Err(ItemEnd::Relieved),
            ChangeEnd::Failed { error, .. } => return Err(ItemEnd::Ended(failed(&error, false))),
        }
        match run.state_in_store().await {
            Ok(RunState::Cancelled) => {
                let message = "the command was cancelled while this waited for its turn to load";
                return Err(ItemEnd::Ended(ItemOutcome::new(OutcomeState::Cancelled, message)));
            }
            Ok(RunState::Others) => return Err(ItemEnd::Relieved),
            Ok(RunState::Mine) | Err(_) => {}
        }
        if ClockTime::now() >= deadline {
            let message = "not done: other loads had the turn all the time";
            return Err(ItemEnd::Ended(ItemOutcome::new(OutcomeState::Failed, message)));
        }
        smol::Timer::after(POLL_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
    }
}

/// Gives the turn back. A turn that can't be given back is over after a while.
pub(super) async fn give_turn_back(run: &CommandRun, holder: FenceHolder) {
    let release = |turn: &mut LoadTurn| match turn.release(holder) {
        true => UpdateChoice::Write,
        false => UpdateChoice::Keep,
    };
    let _ = update_object(&run.state.objects, LOAD_TURN_KEY, RELEASE_LIMIT, release).await;
}
