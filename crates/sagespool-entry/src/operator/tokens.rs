//! `top-up`, `release`, `lift` and `cancel`: one change of one object each.

use sagespool_claims::{QUARANTINE_KEY, QuarantineRecord};
use sagespool_ledger::{
    BookRecord, BranchAccount, ReleaseOutcome, TopUpOutcome, book_key, book_of,
};
use sagespool_operations::{
    CancelNote, CancelOutcome, CommandRecord, ItemOutcome, OutcomeState, command_key, nearest_of,
};
use sagespool_settings::{BranchObject, branch_object_key, branch_shard};
use sagespool_types::{
    BranchName, ClockTime, CommandId, ContentDigest, GrantId, StoreRevision, TokenCount, WallTime,
};

use super::is_known;
use super::perform::end_of;
use super::run::{CommandRun, ItemEnd};
use super::store::{ChangeEnd, ChangeMoment, ChangeStep, change, failed};

fn outcome(state: OutcomeState, message: impl Into<String>) -> ItemOutcome {
    ItemOutcome::new(state, message)
}

/// Adds prepaid tokens. The book knows the command by its id, so that it adds them once however often
/// the item is carried out.
pub(super) async fn top_up(
    run: &CommandRun,
    branch: &BranchName,
    tokens: TokenCount,
    mark: Option<CommandId>,
    begun: Option<StoreRevision>,
) -> ItemEnd {
    if let Some(refusal) = unknown_branch(run, branch).await {
        return ItemEnd::Ended(refusal);
    }
    let command = run.record.command;
    let decide = |moment: ChangeMoment<'_, BookRecord>| {
        let mut book = moment.value.cloned().unwrap_or_default();
        if moment.may_be_made && !tells_of(book.branches.get(branch), command, mark) {
            return ChangeStep::Stop(outcome(OutcomeState::Unknown, TOO_MANY_SINCE));
        }
        match book.top_up(command, branch, tokens) {
            TopUpOutcome::Applied => ChangeStep::Write(book, topped_up(tokens)),
            TopUpOutcome::AlreadyApplied => ChangeStep::Stop(topped_up(tokens)),
            TopUpOutcome::OtherAmount { applied } => {
                let message = format!("this command added {applied} before, not {tokens}");
                ChangeStep::Stop(outcome(OutcomeState::Refused, message))
            }
        }
    };
    let end = change(run, &book_key(book_of(branch)), begun, decide).await;
    observe_book(run, branch, &end);
    end_of(end)
}

const TOO_MANY_SINCE: &str = "whether it was applied before can't be told: too many later top-ups of the \
                              branch have been. It was not applied now; `spend` shows what is prepaid";

fn topped_up(tokens: TokenCount) -> ItemOutcome {
    ItemOutcome::builder()
        .state(OutcomeState::Done)
        .message(format!("{tokens} tokens added"))
        .tokens(tokens)
        .build()
}

/// Whether an account can tell if a command was applied to it.
///
/// It lists its newest commands only. It can tell if it lists the command; if it still lists the one
/// that was its newest before the command was recorded, since the list is in order; and if its list is
/// whole, which it is if it adds up to all that was prepaid.
fn tells_of(account: Option<&BranchAccount>, command: CommandId, mark: Option<CommandId>) -> bool {
    let Some(account) = account else { return true };
    let lists = |wanted: CommandId| account.commands.iter().any(|listed| listed.command == wanted);
    let listed: TokenCount = account.commands.iter().map(|applied| applied.amount).sum();
    lists(command) || mark.is_some_and(lists) || listed == account.prepaid
}

/// Lets this entry's own ledger see the book at once, and who waits for budget with it.
fn observe_book<R>(run: &CommandRun, branch: &BranchName, end: &ChangeEnd<BookRecord, R>) {
    if let ChangeEnd::Written { value, version, .. } = end {
        run.state.ledger.observe(book_of(branch), value, *version, ClockTime::now());
        run.state.budget_changed.notify(usize::MAX);
    }
}

/// Guards against a misspelt branch that gets an account nobody spends from. The configuration in force
/// here may lag, so the store decides.
async fn unknown_branch(run: &CommandRun, branch: &BranchName) -> Option<ItemOutcome> {
    let state = &run.state;
    if state.config.current().is_some() && is_known(state, branch) {
        return None;
    }
    let key = branch_object_key(branch_shard(branch));
    let object = match state.objects.get::<BranchObject>(&key).await {
        Ok(stored) => stored.map(|stored| stored.value).unwrap_or_default(),
        Err(error) => return Some(failed(&error, false)),
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

/// Frees what is in doubt under a grant.
pub(super) async fn release(
    run: &CommandRun,
    branch: &BranchName,
    grant: &GrantId,
    begun: Option<StoreRevision>,
) -> ItemEnd {
    let decide = |moment: ChangeMoment<'_, BookRecord>| {
        let mut book = moment.value.cloned().unwrap_or_default();
        match book.release(branch, grant) {
            ReleaseOutcome::Released(tokens) => ChangeStep::Write(book, released(tokens)),
            ReleaseOutcome::NotInDoubt => {
                let message = "its holder, or its recovery, still accounts for the grant";
                ChangeStep::Stop(outcome(OutcomeState::Refused, message))
            }
            ReleaseOutcome::NoSuchGrant if moment.may_be_made => {
                let message = "the grant is outstanding no more: released, or settled";
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
    end_of(end)
}

fn released(tokens: TokenCount) -> ItemOutcome {
    ItemOutcome::builder()
        .state(OutcomeState::Done)
        .message(format!("{tokens} tokens are free again"))
        .tokens(tokens)
        .build()
}

/// Lets a stopped content run again.
pub(super) async fn lift(
    run: &CommandRun,
    content: ContentDigest,
    begun: Option<StoreRevision>,
) -> ItemEnd {
    let decide = |moment: ChangeMoment<'_, QuarantineRecord>| {
        let mut record = moment.value.cloned().unwrap_or_default();
        let Some(entry) = record.contents.get(&content) else {
            let message = format!("{content} is not stopped");
            return ChangeStep::Stop(outcome(OutcomeState::Refused, message));
        };
        if entry.lifted {
            return ChangeStep::Stop(outcome(OutcomeState::Already, "it was let go before"));
        }
        // Lifted by an earlier try, it may have been stopped anew, for crashes that nobody forgave.
        if moment.may_be_made {
            let message =
                "it may have been let go and stopped again; `quarantine` shows since when";
            return ChangeStep::Stop(outcome(OutcomeState::Unknown, message));
        }
        record.lift(content, WallTime::now());
        let message = "it may run again; other entries hear of it within a second or two";
        ChangeStep::Write(record, outcome(OutcomeState::Done, message))
    };
    let end = change(run, QUARANTINE_KEY, begun, decide).await;
    if let ChangeEnd::Written { value, .. } = &end {
        run.state.crashes.apply_record(value, ClockTime::now());
    }
    end_of(end)
}

/// Notes that a command is to begin no further item.
pub(super) async fn cancel(run: &CommandRun, command: CommandId) -> ItemEnd {
    let note = CancelNote { command: run.record.command, at: WallTime::now() };
    let decide = |moment: ChangeMoment<'_, CommandRecord>| {
        let Some(record) = moment.value else {
            let message = "no such command is recorded: it was never given, or is forgotten";
            return ChangeStep::Stop(outcome(OutcomeState::Refused, message));
        };
        let mut record = record.clone();
        match record.ask_cancel(note.clone()) {
            CancelOutcome::Noted => {
                let message = end_if_left(run, &mut record, moment.version);
                ChangeStep::Write(record, outcome(OutcomeState::Done, message))
            }
            CancelOutcome::Already => {
                ChangeStep::Stop(outcome(OutcomeState::Already, "it was cancelled before"))
            }
            CancelOutcome::Ended => {
                let message = "every item of it has ended; `command ID` shows how";
                ChangeStep::Stop(outcome(OutcomeState::Refused, message))
            }
        }
    };
    end_of(change(run, &command_key(command), None, decide).await)
}

/// An executor that is gone begins no item, but doesn't say so either: its command is taken up and ended
/// in the same write.
fn end_if_left(
    run: &CommandRun,
    record: &mut CommandRecord,
    version: StoreRevision,
) -> &'static str {
    let executor = record.executor.incarnation;
    if !run.state.members.is_gone(executor, ClockTime::now()) {
        return "no further item is begun; the one under way ends, and `command ID` shows how";
    }
    record.take_over(run.state.incarnation, version);
    record.cancel_rest();
    "the entry that carried it out is gone; no further item is begun"
}
