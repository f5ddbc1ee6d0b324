//! Orders to upstreams: numbered in the store, executed by the sidecar.

use sagespool_messages::{EngineOrder, OrderRequest};
use sagespool_operations::{
    CommandRecord, FenceHolder, FenceRecord, ItemOutcome, NextItem, OutcomeState, fence_key,
};
use sagespool_types::{FenceNumber, UpstreamName};

use super::load_turn::{acquire_turn, release_turn};
use super::order_send::send;
use super::order_target::{OrderTarget, check_order, find_target};
use super::run::{CommandRun, ItemResult};
use super::store_change::{ChangeContext, ChangeOutcome, ChangeStep, change, store_failure};

/// How many orders on other subjects may supersede one.
const MAX_RENEWALS: u32 = 20;

/// Sends an order to the upstream of that name, or to the one beside the instance of that name.
pub(super) async fn order(
    run: &CommandRun,
    next: &NextItem,
    name: &str,
    order: &EngineOrder,
) -> ItemResult {
    let target = match find_target(&run.state, name, order) {
        Ok(target) => target,
        Err(outcome) => return ItemResult::Ended(*outcome),
    };
    if let Some(refusal) = check_order(&run.state, &target, order) {
        return ItemResult::Ended(refusal);
    }
    let is_load = matches!(order, EngineOrder::LoadModel(_) | EngineOrder::LoadAdapter { .. });
    if !is_load {
        return send_numbered(run, next, &target, order).await;
    }
    let holder = holder_of(run, next, 0);
    if let Err(end) = acquire_turn(run, holder).await {
        return end;
    }
    let end = send_numbered(run, next, &target, order).await;
    release_turn(run, holder).await;
    end
}

/// Sends an order, and repeats it with a new number while only orders on other subjects supersede
/// it.
async fn send_numbered(
    run: &CommandRun,
    next: &NextItem,
    target: &OrderTarget,
    order: &EngineOrder,
) -> ItemResult {
    for renewal in 0..=MAX_RENEWALS {
        let fence = match acquire_fence(run, next, renewal, &target.upstream, order).await {
            Ok(fence) => fence,
            Err(end) => return end,
        };
        let request = OrderRequest { command: run.record.command, fence, order: order.clone() };
        let outcome = send(&run.state, target, request).await;
        if outcome.state != OutcomeState::Conflict
            || !is_still_newest(run, target, order, fence).await
        {
            return ItemResult::Ended(ItemOutcome { fence: Some(fence), ..outcome });
        }
    }
    let message = "not done: other orders to the upstream superseded it repeatedly";
    ItemResult::Ended(ItemOutcome::new(OutcomeState::Failed, message))
}

fn holder_of(run: &CommandRun, next: &NextItem, renewal: u32) -> FenceHolder {
    let CommandRecord { command, executor, .. } = run.record;
    FenceHolder { command, item: next.index, turn: executor.turn, renewal }
}

/// Whether an order that the sidecar refused for a higher number is still the newest on its
/// subject. Then it can be repeated with a new number.
async fn is_still_newest(
    run: &CommandRun,
    target: &OrderTarget,
    order: &EngineOrder,
    fence: FenceNumber,
) -> bool {
    let stored = run.state.objects.get::<FenceRecord>(&fence_key(&target.upstream)).await;
    matches!(stored, Ok(Some(stored)) if stored.value.is_newest(order, fence))
}

/// Takes the next fence number for an upstream's orders while the command belongs to this executor.
/// A superseded executor has a lower number than its successor, so whatever it still sends is
/// refused.
async fn acquire_fence(
    run: &CommandRun,
    next: &NextItem,
    renewal: u32,
    upstream: &UpstreamName,
    order: &EngineOrder,
) -> Result<FenceNumber, ItemResult> {
    let holder = holder_of(run, next, renewal);
    let decide = |context: ChangeContext<'_, FenceRecord>| {
        // If an earlier executor sent it and another operator has sent an order since, it would
        // undo that order.
        let is_other_item = |record: &FenceRecord| !record.holder.is_same_item(&holder);
        if context.may_have_applied && renewal == 0 && context.value.is_some_and(is_other_item) {
            return ChangeStep::Stop(Err(ItemOutcome::new(OutcomeState::Unknown, ORDER_UNKNOWN)));
        }
        match FenceRecord::with_order(context.value, holder, order) {
            Some(record) => ChangeStep::Write(record.clone(), Ok(record.number)),
            None => ChangeStep::Stop(Ok(context.value.map_or(FenceNumber(0), |held| held.number))),
        }
    };
    match change(run, &fence_key(upstream), next.begun_after, decide).await {
        ChangeOutcome::Written { result, .. } | ChangeOutcome::Stopped(result) => {
            result.map_err(ItemResult::Ended)
        }
        ChangeOutcome::Superseded => Err(ItemResult::Superseded),
        ChangeOutcome::Failed { error, .. } => {
            let outcome = store_failure(&error, next.begun_after.is_some());
            let message = format!("could not assign a number to the order: {}", outcome.message);
            Err(ItemResult::Ended(ItemOutcome { message, ..outcome }))
        }
    }
}

const ORDER_UNKNOWN: &str = "an earlier try may have been executed, and another order was sent since; not \
                         repeated";
