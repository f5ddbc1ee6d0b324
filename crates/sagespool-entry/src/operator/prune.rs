//! Pruning of old command records.

use sagespool_log::log_event;
use sagespool_operations::{
    COMMAND_FLOOR_KEY, COMMANDS_PREFIX, CommandFloor, CommandRecord, command_key, plan_pruning,
};
use sagespool_platform::{StoreError, UpdateChoice, update_object};
use sagespool_types::CommandId;

use crate::state::EntryState;

/// Number of command records that are kept.
const COMMANDS_KEPT: usize = 256;
/// One command in this many triggers a check of the number of records.
const COMMANDS_PER_PRUNE: u128 = 16;
const UPDATE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);

/// Deletes the oldest command records, after one command in [`COMMANDS_PER_PRUNE`].
pub(super) async fn prune_if_due(state: &EntryState, command: CommandId) {
    if !command.0.is_multiple_of(COMMANDS_PER_PRUNE) {
        return;
    }
    if let Err(error) = prune(state).await {
        log_event!(warn, "command-pruning-failed", cause = error);
    }
}

/// Raises the floor before it deletes records, see [`CommandFloor`].
async fn prune(state: &EntryState) -> Result<(), StoreError> {
    let listing = state.objects.list::<CommandRecord>(COMMANDS_PREFIX).await?;
    let present = listing.items.iter().map(|(_, stored)| stored.value.command).collect();
    let Some(plan) = plan_pruning(present, COMMANDS_KEPT) else {
        return Ok(());
    };
    let raise = |floor: &mut CommandFloor| match floor.raise(plan.floor) {
        true => UpdateChoice::Write,
        false => UpdateChoice::Keep,
    };
    update_object(&state.objects, COMMAND_FLOOR_KEY, UPDATE_TIMEOUT, raise).await?;
    for (_, stored) in &listing.items {
        if plan.commands.contains(&stored.value.command) {
            let _ = state.objects.delete(&command_key(stored.value.command), stored.version).await;
        }
    }
    Ok(())
}
