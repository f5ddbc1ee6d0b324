//! Orders to upstreams: numbered in the store, carried out by the sidecar.

use sagespool_messages::{EngineOrder, OrderRequest};
use sagespool_operations::{
    CommandRecord, FenceHolder, FenceRecord, ItemOutcome, NextItem, OutcomeState, fence_key,
};
use sagespool_types::{FenceNumber, UpstreamName};

use super::load_turn::{give_turn_back, take_turn};
use super::order_send::send;
use super::order_target::{OrderTarget, find_target, unfit_order};
use super::run::{CommandRun, ItemEnd};
use super::store::{ChangeEnd, ChangeMoment, ChangeStep, change, failed};

/// Orders about other things that may overtake one.
const MOST_RENEWALS: u32 = 20;

/// Gives an order to the upstream of that name, or to the one beside the instance of that name.
pub(super) async fn order(
    run: &CommandRun,
    next: &NextItem,
    name: &str,
    order: &EngineOrder,
) -> ItemEnd {
    let target = match find_target(&run.state, name, order) {
        Ok(target) => target,
        Err(outcome) => return ItemEnd::Ended(*outcome),
    };
    if let Some(refusal) = unfit_order(&run.state, &target, order) {
        return ItemEnd::Ended(refusal);
    }
    let is_load = matches!(order, EngineOrder::LoadModel(_) | EngineOrder::LoadAdapter { .. });
    if !is_load {
        return give(run, next, &target, order).await;
    }
    let holder = holder_of(run, next, 0);
    if let Err(end) = take_turn(run, holder).await {
        return end;
    }
    let end = give(run, next, &target, order).await;
    give_turn_back(run, holder).await;
    end
}

/// Gives an order, and again with a new number while only orders about other things overtake it.
async fn give(
    run: &CommandRun,
    next: &NextItem,
    target: &OrderTarget,
    order: &EngineOrder,
) -> ItemEnd {
    for renewal in 0..=MOST_RENEWALS {
        let fence = match take_fence(run, next, renewal, &target.upstream, order).await {
            Ok(fence) => fence,
            Err(end) => return end,
        };
        let request = OrderRequest { command: run.record.command, fence, order: order.clone() };
        let outcome = send(&run.state, target, request).await;
        if outcome.state != OutcomeState::Conflict || !stands(run, target, order, fence).await {
            return ItemEnd::Ended(ItemOutcome { fence: Some(fence), ..outcome });
        }
    }
    let message = "not done: other orders to the upstream overtook it again and again";
    ItemEnd::Ended(ItemOutcome::new(OutcomeState::Failed, message))
}

fn holder_of(run: &CommandRun, next: &NextItem, renewal: u32) -> FenceHolder {
    let CommandRecord { command, executor, .. } = run.record;
    FenceHolder { command, item: next.index, turn: executor.turn, renewal }
}

/// Whether an order that the sidecar refused, since it has seen a higher number, still is the newest about
/// its thing. Then nothing stands against giving it again, with a number of its own.
async fn stands(
    run: &CommandRun,
    target: &OrderTarget,
    order: &EngineOrder,
    fence: FenceNumber,
) -> bool {
    let stored = run.state.objects.get::<FenceRecord>(&fence_key(&target.upstream)).await;
    matches!(stored, Ok(Some(stored)) if stored.value.is_newest(order, fence))
}

/// Takes the next number of an upstream's orders. The number is taken while the command is this
/// executor's; an executor that was relieved has a lower one than its successor, so whatever it still
/// sends is refused.
async fn take_fence(
    run: &CommandRun,
    next: &NextItem,
    renewal: u32,
    upstream: &UpstreamName,
    order: &EngineOrder,
) -> Result<FenceNumber, ItemEnd> {
    let holder = holder_of(run, next, renewal);
    let decide = |moment: ChangeMoment<'_, FenceRecord>| {
        // Carried out by an earlier executor and answered by another operator's order since, it would
        // undo that.
        let is_others = |record: &FenceRecord| !record.holder.is_same_item(&holder);
        if moment.may_be_made && renewal == 0 && moment.value.is_some_and(is_others) {
            return ChangeStep::Stop(Err(ItemOutcome::new(OutcomeState::Unknown, OVERTAKEN)));
        }
        match FenceRecord::next(moment.value, holder, order) {
            Some(record) => ChangeStep::Write(record.clone(), Ok(record.number)),
            None => ChangeStep::Stop(Ok(moment.value.map_or(FenceNumber(0), |held| held.number))),
        }
    };
    match change(run, &fence_key(upstream), next.begun_after, decide).await {
        ChangeEnd::Written { result, .. } | ChangeEnd::Stopped(result) => {
            result.map_err(ItemEnd::Ended)
        }
        ChangeEnd::Relieved => Err(ItemEnd::Relieved),
        ChangeEnd::Failed { error, .. } => {
            let outcome = failed(&error, next.begun_after.is_some());
            let message = format!("no number for the order: {}", outcome.message);
            Err(ItemEnd::Ended(ItemOutcome { message, ..outcome }))
        }
    }
}

const OVERTAKEN: &str = "an earlier try may have been carried out, and another order came since; not \
                         given again";
