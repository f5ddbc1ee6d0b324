//! Carrying one item out.

use sagespool_messages::EngineOrder;
use sagespool_operations::{CommandItem, ItemOutcome, NextItem};

use super::run::{CommandRun, ItemEnd};
use super::{edit, leave, orders, store, tokens};
use store::ChangeEnd;

/// Carries an item out; how it went.
pub(super) async fn perform(run: &CommandRun, next: &NextItem) -> ItemEnd {
    let begun = next.begun_after;
    match &next.item {
        CommandItem::TopUp { branch, tokens } => {
            let mark = run.record.items[next.index].account_mark;
            tokens::top_up(run, branch, *tokens, mark, begun).await
        }
        CommandItem::Release { branch, grant } => tokens::release(run, branch, grant, begun).await,
        CommandItem::Lift { content } => tokens::lift(run, *content, begun).await,
        CommandItem::Edit(edit) => edit::edit(run, edit, begun).await,
        CommandItem::Drain { name, on } => {
            orders::order(run, next, name.as_str(), &EngineOrder::Drain(*on)).await
        }
        CommandItem::Order { upstream, order } => {
            orders::order(run, next, upstream.as_str(), order).await
        }
        CommandItem::Stop { instance } => {
            ItemEnd::Ended(leave::stop(&run.state, run.record.command, instance).await)
        }
        CommandItem::Cancel { command } => tokens::cancel(run, *command).await,
    }
}

/// The end of an item that was one change of the store.
pub(super) fn end_of<T>(end: ChangeEnd<T, ItemOutcome>) -> ItemEnd {
    match end {
        ChangeEnd::Written { result, .. } | ChangeEnd::Stopped(result) => ItemEnd::Ended(result),
        ChangeEnd::Relieved => ItemEnd::Relieved,
        ChangeEnd::Failed { error, may_be_made } => {
            ItemEnd::Ended(store::failed(&error, may_be_made))
        }
    }
}
