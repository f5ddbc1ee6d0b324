//! Execution of one item of a command.

use sagespool_messages::EngineOrder;
use sagespool_operations::{CommandItem, ItemOutcome, NextItem};

use super::run::{CommandRun, ItemResult};
use super::{edit, leave, orders, store_change, store_items};
use store_change::ChangeOutcome;

/// Executes an item and returns its result.
pub(super) async fn execute_item(run: &CommandRun, next: &NextItem) -> ItemResult {
    let begun = next.begun_after;
    match &next.item {
        CommandItem::TopUp { branch, tokens } => {
            let mark = run.record.items[next.index].account_mark;
            store_items::top_up(run, branch, *tokens, mark, begun).await
        }
        CommandItem::Release { branch, grant } => {
            store_items::release(run, branch, grant, begun).await
        }
        CommandItem::Lift { content } => store_items::lift(run, *content, begun).await,
        CommandItem::Edit(edit) => edit::edit(run, edit, begun).await,
        CommandItem::Drain { name, on } => {
            orders::order(run, next, name.as_str(), &EngineOrder::Drain(*on)).await
        }
        CommandItem::Order { upstream, order } => {
            orders::order(run, next, upstream.as_str(), order).await
        }
        CommandItem::Stop { instance } => {
            ItemResult::Ended(leave::stop(&run.state, run.record.command, instance).await)
        }
        CommandItem::Cancel { command } => store_items::cancel(run, *command).await,
    }
}

/// The result of an item that consists of one change in the store.
pub(super) fn to_item_result<T>(end: ChangeOutcome<T, ItemOutcome>) -> ItemResult {
    match end {
        ChangeOutcome::Written { result, .. } | ChangeOutcome::Stopped(result) => {
            ItemResult::Ended(result)
        }
        ChangeOutcome::Superseded => ItemResult::Superseded,
        ChangeOutcome::Failed { error, may_have_applied } => {
            ItemResult::Ended(store_change::store_failure(&error, may_have_applied))
        }
    }
}
