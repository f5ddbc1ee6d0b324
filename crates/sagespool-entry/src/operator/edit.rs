//! Edits of the configuration: validated, written conditionally, and explained in case of a
//! conflict.

use std::sync::{Mutex, PoisonError};

use sagespool_operations::{
    COMMANDS_PREFIX, CommandItem, CommandRecord, ConfigEdit, EditError, FieldChange, ItemOutcome,
    OutcomeState,
};
use sagespool_settings::{
    FLEET_OBJECT_KEY, FleetConfiguration, ValidationErrors, branch_object_shard, check_branches,
    check_fleet,
};
use sagespool_types::{ConfigVersion, StoreRevision};
use serde_json::Value;

use super::execute::to_item_result;
use super::run::{CommandRun, ItemResult};
use super::store_change::{ChangeContext, ChangeOutcome, ChangeStep, change};
use crate::state::EntryState;

/// Executes an edit. It is accepted with the conditional update of its object: from then on it is
/// part of the configuration, and every process applies it.
pub(super) async fn edit(
    run: &CommandRun,
    edit: &ConfigEdit,
    begun: Option<StoreRevision>,
) -> ItemResult {
    let key = edit.object_key();
    let seen = seen_version(&run.record, &key);
    // If the reply to the write is lost, the object is found as requested, and only this list has
    // what was changed. Without it, a racing operator would get a conflict without its cause.
    let attempted_changes = Mutex::new(Vec::new());
    let decide = |context: ChangeContext<'_, Value>| {
        let step = decide(&run.state, edit, seen, &context);
        if let ChangeStep::Write(_, outcome) = &step {
            attempted_changes
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .clone_from(&outcome.changes);
        }
        step
    };
    match change(run, &key, begun, decide).await {
        ChangeOutcome::Written { version, result, .. } => {
            let version = Some(ConfigVersion(version.0));
            ItemResult::Ended(ItemOutcome { version, ..result })
        }
        ChangeOutcome::Stopped(outcome) if outcome.state == OutcomeState::Done => {
            let changes = attempted_changes.into_inner().unwrap_or_else(PoisonError::into_inner);
            ItemResult::Ended(ItemOutcome { changes, ..outcome })
        }
        ChangeOutcome::Stopped(outcome) if outcome.state == OutcomeState::Conflict => {
            ItemResult::Ended(explain_conflict(run, edit, seen, outcome).await)
        }
        end => to_item_result(end),
    }
}

fn decide(
    state: &EntryState,
    edit: &ConfigEdit,
    seen: Option<ConfigVersion>,
    context: &ChangeContext<'_, Value>,
) -> ChangeStep<Value, ItemOutcome> {
    let edited = match edit.apply(context.value) {
        Ok(edited) => edited,
        Err(refusal) => return ChangeStep::Stop(refused(&refusal, context.may_have_applied)),
    };
    let version = ConfigVersion(context.version.0);
    if edited.changes.is_empty() {
        return ChangeStep::Stop(unchanged(version, context.may_have_applied));
    }
    // If an earlier try made it and another operator has changed it since, a second try would undo
    // that change.
    if context.may_have_applied {
        return ChangeStep::Stop(overwritten(version));
    }
    if seen.is_some_and(|seen| version > seen) {
        return ChangeStep::Stop(conflict(&edit.object_key(), version));
    }
    match check_result(state, &edit.object_key(), context.version, &edited.value) {
        None => ChangeStep::Write(edited.value, accepted(edited.changes)),
        Some(refusal) => ChangeStep::Stop(refusal),
    }
}

/// The version that the operator saw, raised by the changes of this command's earlier items.
fn seen_version(record: &CommandRecord, key: &str) -> Option<ConfigVersion> {
    let seen = record.seen?;
    Some(record.own_version(key).map_or(seen, |own| own.max(seen)))
}

fn accepted(changes: Vec<FieldChange>) -> ItemOutcome {
    ItemOutcome::builder().state(OutcomeState::Done).message("accepted").changes(changes).build()
}

fn unchanged(version: ConfigVersion, may_have_applied: bool) -> ItemOutcome {
    let (state, message) = match may_have_applied {
        true => (
            OutcomeState::Done,
            "the configuration is as requested; an earlier try may have made the change",
        ),
        false => (OutcomeState::Already, "it was so already"),
    };
    ItemOutcome::builder().state(state).message(message).version(version).build()
}

fn refused(refusal: &EditError, may_have_applied: bool) -> ItemOutcome {
    let state = if may_have_applied { OutcomeState::Unknown } else { OutcomeState::Refused };
    ItemOutcome::builder()
        .state(state)
        .message(refusal.message.clone())
        .maybe_nearest(refusal.nearest.clone())
        .build()
}

fn overwritten(version: ConfigVersion) -> ItemOutcome {
    let message = "an earlier try may have made the change, and the object was changed since: query its state";
    ItemOutcome::builder().state(OutcomeState::Unknown).message(message).version(version).build()
}

fn conflict(key: &str, version: ConfigVersion) -> ItemOutcome {
    let message = format!("not done: {key} was changed since and is at version {version} now");
    ItemOutcome::builder().state(OutcomeState::Conflict).message(message).version(version).build()
}

/// Checks the result against the other objects in force here: references between objects, keys that
/// two branches share, and the removal of the last operator key.
fn check_result(
    state: &EntryState,
    key: &str,
    version: StoreRevision,
    value: &Value,
) -> Option<ItemOutcome> {
    let Some(config) = state.config.current() else {
        let message = "this entry has no configuration to validate the edit against";
        return Some(ItemOutcome::new(OutcomeState::Failed, message));
    };
    let changed = match with_object(&config, key, ConfigVersion(version.0), value) {
        Ok(changed) => changed,
        Err(faults) => return Some(invalid_result(&faults)),
    };
    if let Err(faults) = config.check_change(&changed) {
        return Some(invalid_result(&faults));
    }
    if has_operator_key(&config) && !has_operator_key(&changed) {
        let message = "this would lock all operators out: it is the last key of an operator";
        return Some(ItemOutcome::new(OutcomeState::Refused, message));
    }
    None
}

fn with_object(
    config: &FleetConfiguration,
    key: &str,
    version: ConfigVersion,
    value: &Value,
) -> Result<FleetConfiguration, ValidationErrors> {
    if key == FLEET_OBJECT_KEY {
        return Ok(config.with_fleet(version, check_fleet(value)?));
    }
    let shard = branch_object_shard(key).expect("an edit's key is one of the configuration's");
    Ok(config.with_branches(version, shard, check_branches(value)?))
}

fn has_operator_key(config: &FleetConfiguration) -> bool {
    config.branches().any(|(_, entry)| entry.operator && !entry.key_hashes.is_empty())
}

fn invalid_result(faults: &ValidationErrors) -> ItemOutcome {
    ItemOutcome::new(OutcomeState::Refused, format!("the result would not be valid: {faults}"))
}

/// An earlier change of an object.
struct EarlierChange {
    /// None while the command that makes it is running.
    version: Option<ConfigVersion>,
    by: String,
    changes: Vec<FieldChange>,
}

/// Adds to a conflict the changes since the version that the operator saw, and the recorded
/// commands that made them. A change made without the operators' language is in no record.
async fn explain_conflict(
    run: &CommandRun,
    edit: &ConfigEdit,
    seen: Option<ConfigVersion>,
    conflict: ItemOutcome,
) -> ItemOutcome {
    let seen = seen.unwrap_or(ConfigVersion::ZERO);
    let Ok(listing) = run.state.objects.list::<CommandRecord>(COMMANDS_PREFIX).await else {
        let message =
            format!("{}; the author is unknown because the store did not answer", conflict.message);
        return ItemOutcome { message, ..conflict };
    };
    let others = listing.items.iter().map(|(_, stored)| &stored.value);
    let others = others.filter(|record| record.command != run.record.command);
    let mut since: Vec<EarlierChange> =
        others.flat_map(|record| edits_since(record, &edit.object_key(), seen)).collect();
    since.sort_by_key(|earlier| earlier.version.unwrap_or(ConfigVersion(u64::MAX)));
    let by: Vec<&str> = since.iter().map(|earlier| earlier.by.as_str()).collect();
    let changes: Vec<FieldChange> =
        since.iter().flat_map(|earlier| earlier.changes.clone()).collect();
    let message = match by.is_empty() {
        true => format!("{}, by no recorded command", conflict.message),
        false => format!("{}, by {}", conflict.message, by.join(", ")),
    };
    ItemOutcome { message, changes, ..conflict }
}

/// The edits of an object that a command made after a version, or may be making.
fn edits_since(record: &CommandRecord, key: &str, seen: ConfigVersion) -> Vec<EarlierChange> {
    let by = format!("{} with command {}", record.by, record.command);
    let edits = record.items.iter().filter(|item| match &item.item {
        CommandItem::Edit(edit) => edit.object_key() == key,
        _ => false,
    });
    let earlier = edits.filter_map(|item| {
        let Some(outcome) = &item.outcome else {
            let by = format!("{by}, which is still running");
            return Some(EarlierChange { version: None, by, changes: Vec::new() });
        };
        let is_newer = outcome.version.is_some_and(|version| version > seen);
        // The changes of an earlier executor may be unknown to the one that took the command over.
        let is_change = is_newer
            && (outcome.state == OutcomeState::Done
                || outcome.state.is_success() && !outcome.changes.is_empty());
        is_change.then(|| EarlierChange {
            version: outcome.version,
            by: by.clone(),
            changes: outcome.changes.clone(),
        })
    });
    earlier.collect()
}
