//! `top-up`, `release`, `lift` and `cancel`: items that change one object in the store.

use sagespool_claims::{QUARANTINE_KEY, QuarantineRecord};
use sagespool_ledger::{
    BookRecord, BranchAccount, ReleaseOutcome, TopUpOutcome, book_key, book_of,
};
use sagespool_operations::{
    CancelOutcome, CancelRecord, CommandRecord, ItemOutcome, OutcomeState, command_key, nearest_of,
};
use sagespool_settings::{BranchObject, branch_object_key, branch_shard};
use sagespool_types::{
    BranchName, ClockTime, CommandId, ContentDigest, GrantId, StoreRevision, TokenCount, WallTime,
};

use super::execute::to_item_result;
use super::is_known;
use super::run::{CommandRun, ItemResult};
use super::store_change::{ChangeContext, ChangeOutcome, ChangeStep, change, store_failure};

fn outcome(state: OutcomeState, message: impl Into<String>) -> ItemOutcome {
    ItemOutcome::new(state, message)
}

/// Adds prepaid tokens. The book records the command's id, so that repeated execution adds them
/// once.
pub(super) async fn top_up(
    run: &CommandRun,
    branch: &BranchName,
    tokens: TokenCount,
    account_mark: Option<CommandId>,
    begun: Option<StoreRevision>,
) -> ItemResult {
    if let Some(refusal) = unknown_branch(run, branch).await {
        return ItemResult::Ended(refusal);
    }
    let command = run.record.command;
    let decide = |context: ChangeContext<'_, BookRecord>| {
        let mut book = context.value.cloned().unwrap_or_default();
        if context.may_have_applied
            && !is_conclusive(book.branches.get(branch), command, account_mark)
        {
            return ChangeStep::Stop(outcome(OutcomeState::Unknown, TOP_UP_UNKNOWN));
        }
        match book.top_up(command, branch, tokens) {
            TopUpOutcome::Applied => ChangeStep::Write(book, topped_up(tokens)),
            TopUpOutcome::AlreadyApplied => ChangeStep::Stop(topped_up(tokens)),
            TopUpOutcome::OtherAmount { applied } => {
                let message = format!("this command already added {applied}, not {tokens}");
                ChangeStep::Stop(outcome(OutcomeState::Refused, message))
            }
        }
    };
    let end = change(run, &book_key(book_of(branch)), begun, decide).await;
    observe_book(run, branch, &end);
    to_item_result(end)
}

const TOP_UP_UNKNOWN: &str = "whether it was applied before is unknown: the branch has had too many later \
                              top-ups. It was not applied now; `spend` shows the prepaid total";

fn topped_up(tokens: TokenCount) -> ItemOutcome {
    ItemOutcome::builder()
        .state(OutcomeState::Done)
        .message(format!("{tokens} tokens added"))
        .tokens(tokens)
        .build()
}

/// Whether an account shows if a command was applied to it.
///
/// The account lists its newest commands only. It is conclusive if it lists the command; if it
/// still lists the command that was its newest before this one was recorded, since the list is in
/// order; or if the list is complete, which is the case if its amounts add up to the prepaid total.
fn is_conclusive(
    account: Option<&BranchAccount>,
    command: CommandId,
    account_mark: Option<CommandId>,
) -> bool {
    let Some(account) = account else { return true };
    let lists = |wanted: CommandId| account.commands.iter().any(|listed| listed.command == wanted);
    let listed: TokenCount = account.commands.iter().map(|applied| applied.amount).sum();
    lists(command) || account_mark.is_some_and(lists) || listed == account.prepaid
}

/// Applies the new book to this entry's ledger and notifies requests that wait for budget.
fn observe_book<R>(run: &CommandRun, branch: &BranchName, end: &ChangeOutcome<BookRecord, R>) {
    if let ChangeOutcome::Written { value, version, .. } = end {
        run.state.ledger.observe(book_of(branch), value, *version, ClockTime::now());
        run.state.budget_changed.notify(usize::MAX);
    }
}

/// Guards against a top-up of a misspelt branch, whose account would never be used. The
/// configuration in force here may lag, so the store decides.
async fn unknown_branch(run: &CommandRun, branch: &BranchName) -> Option<ItemOutcome> {
    let state = &run.state;
    if state.config.current().is_some() && is_known(state, branch) {
        return None;
    }
    let key = branch_object_key(branch_shard(branch));
    let object = match state.objects.get::<BranchObject>(&key).await {
        Ok(stored) => stored.map(|stored| stored.value).unwrap_or_default(),
        Err(error) => return Some(store_failure(&error, false)),
    };
    if object.branches.contains_key(branch) {
        return None;
    }
    let config = state.config.current();
    let branches = config.iter().flat_map(|config| config.branches());
    let names: Vec<&str> = branches.map(|(name, _)| name.as_str()).collect();
    let refusal = ItemOutcome::builder()
        .state(OutcomeState::Refused)
        .message(format!("there is no branch `{branch}`"))
        .maybe_nearest(nearest_of(branch.as_str(), &names));
    Some(refusal.build())
}

/// Releases the amount in doubt under a grant.
pub(super) async fn release(
    run: &CommandRun,
    branch: &BranchName,
    grant: &GrantId,
    begun: Option<StoreRevision>,
) -> ItemResult {
    let decide = |context: ChangeContext<'_, BookRecord>| {
        let mut book = context.value.cloned().unwrap_or_default();
        match book.release(branch, grant) {
            ReleaseOutcome::Released(tokens) => ChangeStep::Write(book, released(tokens)),
            ReleaseOutcome::NotInDoubt => {
                let message =
                    "the grant is not in doubt: its holder or its recovery still accounts for it";
                ChangeStep::Stop(outcome(OutcomeState::Refused, message))
            }
            ReleaseOutcome::NoSuchGrant if context.may_have_applied => {
                let message = "the grant is no longer outstanding: it was released or settled";
                ChangeStep::Stop(outcome(OutcomeState::Already, message))
            }
            ReleaseOutcome::NoSuchGrant => {
                let message = format!("`{branch}` has no outstanding grant {grant}");
                ChangeStep::Stop(outcome(OutcomeState::Refused, message))
            }
        }
    };
    let end = change(run, &book_key(book_of(branch)), begun, decide).await;
    observe_book(run, branch, &end);
    to_item_result(end)
}

fn released(tokens: TokenCount) -> ItemOutcome {
    ItemOutcome::builder()
        .state(OutcomeState::Done)
        .message(format!("{tokens} tokens released"))
        .tokens(tokens)
        .build()
}

/// Releases a quarantined content.
pub(super) async fn lift(
    run: &CommandRun,
    content: ContentDigest,
    begun: Option<StoreRevision>,
) -> ItemResult {
    let decide = |context: ChangeContext<'_, QuarantineRecord>| {
        let mut record = context.value.cloned().unwrap_or_default();
        let Some(entry) = record.contents.get(&content) else {
            let message = format!("{content} is not quarantined");
            return ChangeStep::Stop(outcome(OutcomeState::Refused, message));
        };
        if entry.lifted {
            return ChangeStep::Stop(outcome(
                OutcomeState::Already,
                "the quarantine was lifted before",
            ));
        }
        // If an earlier try lifted it, it may have been quarantined again for new crashes.
        if context.may_have_applied {
            let message =
                "it may have been lifted and quarantined again; `quarantine` shows since when";
            return ChangeStep::Stop(outcome(OutcomeState::Unknown, message));
        }
        record.lift(content, WallTime::now());
        let message = "it may run again; other entries apply this within a second or two";
        ChangeStep::Write(record, outcome(OutcomeState::Done, message))
    };
    let end = change(run, QUARANTINE_KEY, begun, decide).await;
    if let ChangeOutcome::Written { value, .. } = &end {
        run.state.crashes.apply_record(value, ClockTime::now());
    }
    to_item_result(end)
}

/// Marks a command as cancelled, so that it starts no further item.
pub(super) async fn cancel(run: &CommandRun, command: CommandId) -> ItemResult {
    let note = CancelRecord { command: run.record.command, at: WallTime::now() };
    let decide = |context: ChangeContext<'_, CommandRecord>| {
        let Some(record) = context.value else {
            let message = "no such command is recorded: it was never sent or was pruned";
            return ChangeStep::Stop(outcome(OutcomeState::Refused, message));
        };
        let mut record = record.clone();
        match record.request_cancel(note.clone()) {
            CancelOutcome::Noted => {
                let message = end_if_abandoned(run, &mut record, context.version);
                ChangeStep::Write(record, outcome(OutcomeState::Done, message))
            }
            CancelOutcome::Already => {
                ChangeStep::Stop(outcome(OutcomeState::Already, "it was cancelled before"))
            }
            CancelOutcome::Ended => {
                let message = "all its items have ended; `command ID` shows their outcomes";
                ChangeStep::Stop(outcome(OutcomeState::Refused, message))
            }
        }
    };
    to_item_result(change(run, &command_key(command), None, decide).await)
}

/// An executor that is gone starts no items but does not record that either, so its command is
/// taken over and ended in the same write.
fn end_if_abandoned(
    run: &CommandRun,
    record: &mut CommandRecord,
    version: StoreRevision,
) -> &'static str {
    let executor = record.executor.incarnation;
    if !run.state.members.is_gone(executor, ClockTime::now()) {
        return "no further item starts; the running one completes, and `command ID` shows its outcome";
    }
    record.take_over(run.state.incarnation, version);
    record.cancel_remaining();
    "the entry that executed it is gone; no further item starts"
}
