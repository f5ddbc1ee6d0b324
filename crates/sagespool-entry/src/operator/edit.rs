//! Edits of the configuration: checked, conditional, and told what stands in their way.

use std::sync::{Mutex, PoisonError};

use sagespool_operations::{
    COMMANDS_PREFIX, CommandItem, CommandRecord, ConfigEdit, EditRefusal, FieldChange, ItemOutcome,
    OutcomeState,
};
use sagespool_settings::{
    FLEET_OBJECT_KEY, FleetConfiguration, SettingsFaults, branch_object_shard, check_branches,
    check_fleet,
};
use sagespool_types::{ConfigVersion, StoreRevision};
use serde_json::Value;

use super::perform::end_of;
use super::run::{CommandRun, ItemEnd};
use super::store::{ChangeEnd, ChangeMoment, ChangeStep, change};
use crate::state::EntryState;

/// Makes an edit. It is accepted with the conditional update of its object: from then on the
/// configuration has it, and every process puts it in force.
pub(super) async fn edit(
    run: &CommandRun,
    edit: &ConfigEdit,
    begun: Option<StoreRevision>,
) -> ItemEnd {
    let key = edit.object_key();
    let seen = seen_version(&run.record, &key);
    // Where the answer to the write is lost, the object is found as wished, and only this tells what
    // was changed: without it, a racing operator would be told of a conflict with nobody's change.
    let tried = Mutex::new(Vec::new());
    let decide = |moment: ChangeMoment<'_, Value>| {
        let step = decide(&run.state, edit, seen, &moment);
        if let ChangeStep::Write(_, outcome) = &step {
            tried.lock().unwrap_or_else(PoisonError::into_inner).clone_from(&outcome.changes);
        }
        step
    };
    match change(run, &key, begun, decide).await {
        ChangeEnd::Written { version, result, .. } => {
            let version = Some(ConfigVersion(version.0));
            ItemEnd::Ended(ItemOutcome { version, ..result })
        }
        ChangeEnd::Stopped(outcome) if outcome.state == OutcomeState::Done => {
            let changes = tried.into_inner().unwrap_or_else(PoisonError::into_inner);
            ItemEnd::Ended(ItemOutcome { changes, ..outcome })
        }
        ChangeEnd::Stopped(outcome) if outcome.state == OutcomeState::Conflict => {
            ItemEnd::Ended(explain(run, edit, seen, outcome).await)
        }
        end => end_of(end),
    }
}

fn decide(
    state: &EntryState,
    edit: &ConfigEdit,
    seen: Option<ConfigVersion>,
    moment: &ChangeMoment<'_, Value>,
) -> ChangeStep<Value, ItemOutcome> {
    let edited = match edit.apply(moment.value) {
        Ok(edited) => edited,
        Err(refusal) => return ChangeStep::Stop(refused(&refusal, moment.may_be_made)),
    };
    let version = ConfigVersion(moment.version.0);
    if edited.changes.is_empty() {
        return ChangeStep::Stop(as_wished(version, moment.may_be_made));
    }
    // Made by an earlier try and changed by another operator since, a second try would undo that.
    if moment.may_be_made {
        return ChangeStep::Stop(overwritten(version));
    }
    if seen.is_some_and(|seen| version > seen) {
        return ChangeStep::Stop(conflict(&edit.object_key(), version));
    }
    match check_whole(state, &edit.object_key(), moment.version, &edited.value) {
        None => ChangeStep::Write(edited.value, accepted(edited.changes)),
        Some(refusal) => ChangeStep::Stop(refusal),
    }
}

/// The version that the operator saw, raised by what this command's own earlier items changed.
fn seen_version(record: &CommandRecord, key: &str) -> Option<ConfigVersion> {
    let seen = record.seen?;
    Some(record.own_version(key).map_or(seen, |own| own.max(seen)))
}

fn accepted(changes: Vec<FieldChange>) -> ItemOutcome {
    ItemOutcome::builder().state(OutcomeState::Done).message("accepted").changes(changes).build()
}

fn as_wished(version: ConfigVersion, may_be_made: bool) -> ItemOutcome {
    let (state, message) = match may_be_made {
        true => (OutcomeState::Done, "it is so; an earlier try may have made it so"),
        false => (OutcomeState::Already, "it was so already"),
    };
    ItemOutcome::builder().state(state).message(message).version(version).build()
}

fn refused(refusal: &EditRefusal, may_be_made: bool) -> ItemOutcome {
    let state = if may_be_made { OutcomeState::Unknown } else { OutcomeState::Refused };
    ItemOutcome::builder()
        .state(state)
        .message(refusal.message.clone())
        .maybe_nearest(refusal.nearest.clone())
        .build()
}

fn overwritten(version: ConfigVersion) -> ItemOutcome {
    let message =
        "an earlier try may have made it, and the object was changed since: ask for its state";
    ItemOutcome::builder().state(OutcomeState::Unknown).message(message).version(version).build()
}

fn conflict(key: &str, version: ConfigVersion) -> ItemOutcome {
    let message = format!("not done: {key} was changed since and is at version {version} now");
    ItemOutcome::builder().state(OutcomeState::Conflict).message(message).version(version).build()
}

/// What one object alone doesn't show: references between objects, keys that two branches share, and
/// operators who would lock themselves out. Judged with the other objects as they are in force here.
fn check_whole(
    state: &EntryState,
    key: &str,
    version: StoreRevision,
    value: &Value,
) -> Option<ItemOutcome> {
    let Some(config) = state.config.current() else {
        let message = "this entry has no configuration to check the edit with";
        return Some(ItemOutcome::new(OutcomeState::Failed, message));
    };
    let changed = match with_object(&config, key, ConfigVersion(version.0), value) {
        Ok(changed) => changed,
        Err(faults) => return Some(faulty(&faults)),
    };
    if let Err(faults) = config.check_change(&changed) {
        return Some(faulty(&faults));
    }
    if has_operator_key(&config) && !has_operator_key(&changed) {
        let message = "nobody could command the fleet any more: it is the last key of an operator";
        return Some(ItemOutcome::new(OutcomeState::Refused, message));
    }
    None
}

fn with_object(
    config: &FleetConfiguration,
    key: &str,
    version: ConfigVersion,
    value: &Value,
) -> Result<FleetConfiguration, SettingsFaults> {
    if key == FLEET_OBJECT_KEY {
        return Ok(config.with_fleet(version, check_fleet(value)?));
    }
    let shard = branch_object_shard(key).expect("an edit's key is one of the configuration's");
    Ok(config.with_branches(version, shard, check_branches(value)?))
}

fn has_operator_key(config: &FleetConfiguration) -> bool {
    config.branches().any(|(_, entry)| entry.operator && !entry.key_hashes.is_empty())
}

fn faulty(faults: &SettingsFaults) -> ItemOutcome {
    ItemOutcome::new(OutcomeState::Refused, format!("the result would not be valid: {faults}"))
}

/// One change of an object since the version that the operator saw.
struct EarlierEdit {
    /// Nothing while the command that makes it is under way.
    version: Option<ConfigVersion>,
    by: String,
    changes: Vec<FieldChange>,
}

/// Adds to a conflict what is known of the changes since the version that the operator saw: the recorded
/// commands say who made which. A change made past the operators' language is in no record.
async fn explain(
    run: &CommandRun,
    edit: &ConfigEdit,
    seen: Option<ConfigVersion>,
    conflict: ItemOutcome,
) -> ItemOutcome {
    let seen = seen.unwrap_or(ConfigVersion::ZERO);
    let Ok(listing) = run.state.objects.list::<CommandRecord>(COMMANDS_PREFIX).await else {
        let message = format!("{}; by whom can't be told now", conflict.message);
        return ItemOutcome { message, ..conflict };
    };
    let others = listing.items.iter().map(|(_, stored)| &stored.value);
    let others = others.filter(|record| record.command != run.record.command);
    let mut since: Vec<EarlierEdit> =
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

/// The edits of an object that a command has made after a version, or may be making.
fn edits_since(record: &CommandRecord, key: &str, seen: ConfigVersion) -> Vec<EarlierEdit> {
    let by = format!("{} with command {}", record.by, record.command);
    let edits = record.items.iter().filter(|item| match &item.item {
        CommandItem::Edit(edit) => edit.object_key() == key,
        _ => false,
    });
    let earlier = edits.filter_map(|item| {
        let Some(outcome) = &item.outcome else {
            let by = format!("{by}, which is under way");
            return Some(EarlierEdit { version: None, by, changes: Vec::new() });
        };
        let is_newer = outcome.version.is_some_and(|version| version > seen);
        // What an earlier executor changed may not be known to the one that took the command up.
        let is_change = is_newer
            && (outcome.state == OutcomeState::Done
                || outcome.state.is_good() && !outcome.changes.is_empty());
        is_change.then(|| EarlierEdit {
            version: outcome.version,
            by: by.clone(),
            changes: outcome.changes.clone(),
        })
    });
    earlier.collect()
}
