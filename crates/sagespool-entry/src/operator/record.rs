//! Reading command records from the store; `commands` and `command`.

use std::sync::Arc;

use sagespool_operations::{
    AnswerBody, COMMANDS_PREFIX, CommandAnswer, CommandRecord, CommandSummary, CommandsAnswer,
    LineError, command_key,
};
use sagespool_platform::{StoreError, StoredObject};
use sagespool_types::CommandId;
use trillium::Status;

use super::basis::BasisBuilder;
use super::{AnswerWithBasis, OperatorRefusal};
use crate::state::EntryState;

/// Maximum number of rows of `commands`.
const MAX_ROWS: usize = 50;

/// A command's record.
pub(super) async fn read(
    state: &EntryState,
    command: CommandId,
) -> Result<Option<StoredObject<CommandRecord>>, StoreError> {
    state.objects.get(&command_key(command)).await
}

/// Answers `commands`.
pub(super) async fn list(state: &Arc<EntryState>) -> AnswerWithBasis {
    let mut basis = BasisBuilder::new();
    basis.note_store_read(state.objects.seen_revision());
    let rows = match state.objects.list::<CommandRecord>(COMMANDS_PREFIX).await {
        Ok(listing) => {
            if !listing.unreadable.is_empty() {
                basis.note(format!("{} records can't be decoded", listing.unreadable.len()));
            }
            let records = listing.items.iter().rev().take(MAX_ROWS);
            Some(records.map(|(_, stored)| CommandSummary::of(&stored.value)).collect())
        }
        Err(error) => {
            basis.note_store_error(&error);
            None
        }
    };
    basis.note("the newest ids; older commands may have been pruned");
    (AnswerBody::Commands(CommandsAnswer { rows }), basis)
}

/// Answers `command`.
pub(super) async fn show(
    state: &Arc<EntryState>,
    line: &str,
    command: CommandId,
) -> Result<AnswerWithBasis, OperatorRefusal> {
    let mut basis = BasisBuilder::new();
    basis.note_store_read(state.objects.seen_revision());
    let stored = read(state, command).await.map_err(|error| unreachable(&error))?;
    let Some(stored) = stored else {
        let message = format!("no command {command} is recorded: it was never sent or was pruned");
        return Err(LineError::at_word(line, &command.to_string(), message, &[]).into());
    };
    let answer = CommandAnswer::of(&stored.value, true);
    Ok((AnswerBody::Command(answer), basis))
}

/// The refusal if the store is unreachable.
pub(super) fn unreachable(error: &StoreError) -> OperatorRefusal {
    let message = format!("the store is unreachable from this entry: {error}");
    let help = "try another entry, or retry later";
    OperatorRefusal::new(Status::ServiceUnavailable, "store-unreachable", message, help)
}
