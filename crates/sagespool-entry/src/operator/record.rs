//! The store's records of commands: reading them, and `commands` and `command`.

use std::sync::Arc;

use sagespool_operations::{
    AnswerBody, COMMANDS_PREFIX, CommandAnswer, CommandRecord, CommandSummary, CommandsAnswer,
    LineFault, command_key,
};
use sagespool_platform::{StoreError, StoredObject};
use sagespool_types::CommandId;
use trillium::Status;

use super::basis::BasisDraft;
use super::{DraftedAnswer, OperatorRefusal};
use crate::state::EntryState;

/// Rows of `commands`.
const MOST_ROWS: usize = 50;

/// A command's record.
pub(super) async fn read(
    state: &EntryState,
    command: CommandId,
) -> Result<Option<StoredObject<CommandRecord>>, StoreError> {
    state.objects.get(&command_key(command)).await
}

/// Answers `commands`.
pub(super) async fn list(state: &Arc<EntryState>) -> DraftedAnswer {
    let mut draft = BasisDraft::begin();
    draft.store_stands_at(state.objects.seen_revision());
    let rows = match state.objects.list::<CommandRecord>(COMMANDS_PREFIX).await {
        Ok(listing) => {
            let records = listing.items.iter().rev().take(MOST_ROWS);
            Some(records.map(|(_, stored)| CommandSummary::of(&stored.value)).collect())
        }
        Err(error) => {
            draft.store_silent(&error);
            None
        }
    };
    draft.note("the newest ids; older commands may be forgotten");
    (AnswerBody::Commands(CommandsAnswer { rows }), draft)
}

/// Answers `command`.
pub(super) async fn show(
    state: &Arc<EntryState>,
    line: &str,
    command: CommandId,
) -> Result<DraftedAnswer, OperatorRefusal> {
    let mut draft = BasisDraft::begin();
    draft.store_stands_at(state.objects.seen_revision());
    let stored = read(state, command).await.map_err(|error| unreachable(&error))?;
    let Some(stored) = stored else {
        let message =
            format!("no command {command} is recorded: it was never given, or is forgotten");
        return Err(LineFault::at_word(line, &command.to_string(), message, &[]).into());
    };
    let answer = CommandAnswer::of(&stored.value, true);
    Ok((AnswerBody::Command(answer), draft))
}

/// Nothing can be said without the store.
pub(super) fn unreachable(error: &StoreError) -> OperatorRefusal {
    let message = format!("the store doesn't answer this entry: {error}");
    let help = "ask another entry, or come back later";
    OperatorRefusal::new(Status::ServiceUnavailable, "store-unreachable", message, help)
}
