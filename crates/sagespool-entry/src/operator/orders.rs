//! Orders to upstreams: numbered in the store, carried out by the sidecar.

use std::sync::Arc;
use std::time::Duration;

use sagespool_link::LinkError;
use sagespool_messages::{
    EngineOrder, MemberInfo, MemberRole, OrderReply, OrderRequest, PeerReply, PeerRequest,
    StatusQuery,
};
use sagespool_operations::{
    FenceHolder, FenceRecord, ItemOutcome, NextItem, OutcomeState, fence_key, nearest_of,
};
use sagespool_types::{ClockTime, FenceNumber, ModelName, UpstreamName};

use super::ask::{ask_members, known_members};
use super::run::{CommandRun, ItemEnd};
use super::store::{ChangeEnd, ChangeMoment, ChangeStep, change, failed};
use crate::state::EntryState;

/// For all tries at an order together; loading a model takes its time.
const ORDER_LIMIT: Duration = Duration::from_secs(60);
/// A drain needs no engine.
const DRAIN_LIMIT: Duration = Duration::from_secs(5);
const TRY_PAUSE: Duration = Duration::from_millis(200);

/// The upstream that an order is for, and the sidecar beside it.
struct OrderTarget {
    upstream: UpstreamName,
    sidecar: MemberInfo,
}

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
    if let Some(refusal) = unknown_model(&run.state, &target, order) {
        return ItemEnd::Ended(refusal);
    }
    let fence = match take_fence(run, next, &target.upstream, order).await {
        Ok(fence) => fence,
        Err(end) => return end,
    };
    let command = run.record.command;
    let request = OrderRequest { command, fence, order: order.clone() };
    let outcome = send(&run.state, &target, request).await;
    ItemEnd::Ended(ItemOutcome { fence: Some(fence), ..outcome })
}

/// Takes the next number of an upstream's orders. The number is taken while the command is this
/// executor's; an executor that was relieved has a lower one than its successor, so whatever it still
/// sends is refused.
async fn take_fence(
    run: &CommandRun,
    next: &NextItem,
    upstream: &UpstreamName,
    order: &EngineOrder,
) -> Result<FenceNumber, ItemEnd> {
    let holder = FenceHolder {
        command: run.record.command,
        item: next.index,
        turn: run.record.executor.turn,
    };
    let decide = |moment: ChangeMoment<'_, FenceRecord>| {
        // Carried out by an earlier executor and answered by another operator's order since, it would
        // undo that.
        if moment.may_be_made && moment.value.is_some_and(|record| is_others(record, holder)) {
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

fn is_others(record: &FenceRecord, holder: FenceHolder) -> bool {
    (record.holder.command, record.holder.item) != (holder.command, holder.item)
}

fn find_target(
    state: &EntryState,
    name: &str,
    order: &EngineOrder,
) -> Result<OrderTarget, Box<ItemOutcome>> {
    let members = known_members(state, None);
    let sidecars = members.iter().filter(|member| member.role == MemberRole::Sidecar);
    let named = sidecars.filter_map(|sidecar| {
        let served = sidecar.serves.as_ref()?;
        let is_drain = matches!(order, EngineOrder::Drain(_));
        let is_meant =
            served.upstream.as_str() == name || (is_drain && sidecar.instance.as_str() == name);
        let upstream = served.upstream.clone();
        is_meant.then_some(OrderTarget { upstream, sidecar: sidecar.clone() })
    });
    // Of several runs of a sidecar the newest is the one that is there.
    if let Some(target) = named.max_by_key(|target| target.sidecar.number) {
        return Ok(target);
    }
    if members.iter().any(|member| member.instance.as_str() == name) {
        let message =
            format!("`{name}` has no upstream to give orders to; an entry can be stopped");
        return Err(Box::new(ItemOutcome::new(OutcomeState::Refused, message)));
    }
    Err(Box::new(unknown_target(&members, name)))
}

fn unknown_target(members: &[MemberInfo], name: &str) -> ItemOutcome {
    let upstreams = members.iter().filter_map(|member| member.serves.as_ref());
    let names: Vec<&str> = upstreams.map(|served| served.upstream.as_str()).collect();
    ItemOutcome::builder()
        .state(OutcomeState::Refused)
        .message(format!("this entry knows no upstream `{name}`"))
        .maybe_nearest(nearest_of(name, &names))
        .build()
}

/// A model that the configuration doesn't have for the upstream's service would be served to nobody.
fn unknown_model(
    state: &EntryState,
    target: &OrderTarget,
    order: &EngineOrder,
) -> Option<ItemOutcome> {
    let model: &ModelName = match order {
        EngineOrder::LoadModel(model) | EngineOrder::LoadAdapter { model, .. } => model,
        EngineOrder::UnloadModel(_) | EngineOrder::Drain(_) => return None,
    };
    let config = state.config.current()?;
    let service = &target.sidecar.serves.as_ref()?.service;
    if config.service_of_model(model).is_some_and(|entry| entry.name == *service) {
        return None;
    }
    let models = config.service(service).into_iter().flat_map(|entry| &entry.models);
    let names: Vec<&str> = models.map(|model| model.name.as_str()).collect();
    let message = format!("service `{service}` of `{}` has no model `{model}`", target.upstream);
    let refusal = ItemOutcome::builder()
        .state(OutcomeState::Refused)
        .message(message)
        .maybe_nearest(nearest_of(model.as_str(), &names));
    Some(refusal.build())
}

/// Sends an order until it is answered or the time is up. Sending it again is safe: it has the same
/// number, and doing it twice is as doing it once.
async fn send(state: &Arc<EntryState>, target: &OrderTarget, request: OrderRequest) -> ItemOutcome {
    let is_drain = matches!(request.order, EngineOrder::Drain(_));
    let limit = if is_drain { DRAIN_LIMIT } else { ORDER_LIMIT };
    let deadline = ClockTime::now().after(limit);
    let peer_request = PeerRequest::Order(request.clone());
    let mut may_have_got_it = false;
    loop {
        let left = deadline.since(ClockTime::now());
        let error = match state.link().ask(target.sidecar.address, &peer_request, left).await {
            Ok(PeerReply::Order(reply)) => {
                return answered(state, target, &request, &reply, may_have_got_it).await;
            }
            Ok(_) => {
                let message = "what answers at the sidecar's address takes no orders";
                return ItemOutcome::new(OutcomeState::Failed, message);
            }
            Err(error) => error,
        };
        may_have_got_it |= !error.surely_not_sent();
        if ClockTime::now() >= deadline {
            return unanswered(&request.order, &error, may_have_got_it);
        }
        smol::Timer::after(TRY_PAUSE).await;
    }
}

async fn answered(
    state: &Arc<EntryState>,
    target: &OrderTarget,
    request: &OrderRequest,
    reply: &OrderReply,
    sent_before: bool,
) -> ItemOutcome {
    match reply {
        OrderReply::Done => done(state, target, &request.order).await,
        OrderReply::Stale { newest } if sent_before => {
            let message = format!(
                "overtaken by order {newest}; whether this one was carried out before isn't known"
            );
            ItemOutcome::new(OutcomeState::Unknown, message)
        }
        OrderReply::Stale { newest } => {
            let message = format!("not done: overtaken by order {newest}");
            ItemOutcome::new(OutcomeState::Conflict, message)
        }
        OrderReply::Failed(detail) => {
            ItemOutcome::new(OutcomeState::Failed, format!("the upstream refused: {detail}"))
        }
    }
}

async fn done(state: &Arc<EntryState>, target: &OrderTarget, order: &EngineOrder) -> ItemOutcome {
    let upstream = &target.upstream;
    let message = match order {
        EngineOrder::Drain(true) => {
            let running = running_at(state, target).await;
            let running =
                running.map_or("an unknown number of".to_owned(), |count| count.to_string());
            format!("{upstream} takes nothing new; {running} requests ran there just after")
        }
        EngineOrder::Drain(false) => format!("{upstream} takes work again"),
        EngineOrder::LoadModel(model) => format!("{upstream} has loaded {model}"),
        EngineOrder::UnloadModel(model) => format!("{upstream} has unloaded {model}"),
        EngineOrder::LoadAdapter { model, adapter } => {
            format!("{upstream} has loaded {adapter} onto {model}")
        }
    };
    ItemOutcome::new(OutcomeState::Done, message)
}

async fn running_at(state: &Arc<EntryState>, target: &OrderTarget) -> Option<u32> {
    let query = StatusQuery { branch: None, running: 0 };
    let replies = ask_members(state, std::slice::from_ref(&target.sidecar), &query).await;
    replies.replies.first().map(|reply| reply.member.in_flight)
}

fn unanswered(order: &EngineOrder, error: &LinkError, may_have_got_it: bool) -> ItemOutcome {
    // The number's object keeps that the upstream is to be drained, whoever asks for it later.
    let kept = match order {
        EngineOrder::Drain(_) => "; the order is kept in the store and shown by `upstreams`",
        _ => "",
    };
    if may_have_got_it {
        let message = format!("the sidecar may have carried it out: {error}{kept}");
        return ItemOutcome::new(OutcomeState::Unknown, message);
    }
    ItemOutcome::new(OutcomeState::Failed, format!("the sidecar was not reached: {error}{kept}"))
}
