//! Sending an order to a sidecar, and handling its reply.

use std::sync::Arc;
use std::time::Duration;

use sagespool_link::LinkError;
use sagespool_messages::{
    EngineOrder, OrderReply, OrderRequest, PeerReply, PeerRequest, StatusQuery, StatusReply,
};
use sagespool_operations::{ItemOutcome, OutcomeState};
use sagespool_types::{ClockTime, ModelName};

use super::order_target::OrderTarget;
use super::status_query::query_members;
use crate::state::EntryState;

/// Total time for all tries of an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(60);
/// Total time for all tries of a drain, which involves no engine.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);
const NOT_READY: &str = "not done: the sidecar has just started and could not read the newest order number in the store";
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// How long an engine may take to report that a model is loaded.
const LOAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Sends an order until the sidecar replies or the time is up. Repeating it is safe: it has the
/// same fence number, and orders are idempotent.
pub(super) async fn send(
    state: &Arc<EntryState>,
    target: &OrderTarget,
    request: OrderRequest,
) -> ItemOutcome {
    let is_drain = matches!(request.order, EngineOrder::Drain(_));
    let limit = if is_drain { DRAIN_TIMEOUT } else { ORDER_TIMEOUT };
    let deadline = ClockTime::now().after(limit);
    let peer_request = PeerRequest::Order(request.clone());
    let mut may_have_arrived = false;
    loop {
        let left = deadline.since(ClockTime::now());
        let error = match state.link().request(target.sidecar.address, &peer_request, left).await {
            Ok(PeerReply::Order(OrderReply::NotReady)) if ClockTime::now() < deadline => {
                smol::Timer::after(RETRY_PAUSE).await;
                continue;
            }
            Ok(PeerReply::Order(reply)) => {
                return handle_reply(state, target, &request, &reply, may_have_arrived).await;
            }
            Ok(_) => {
                let message = "the process at the sidecar's address does not accept orders";
                return ItemOutcome::new(OutcomeState::Failed, message);
            }
            Err(error) => error,
        };
        may_have_arrived |= !error.definitely_not_handled();
        if ClockTime::now() >= deadline {
            return send_failure(&request.order, &error, may_have_arrived);
        }
        smol::Timer::after(RETRY_PAUSE).await;
    }
}

async fn handle_reply(
    state: &Arc<EntryState>,
    target: &OrderTarget,
    request: &OrderRequest,
    reply: &OrderReply,
    may_have_arrived: bool,
) -> ItemOutcome {
    match reply {
        OrderReply::Done => handle_accepted(state, target, &request.order).await,
        OrderReply::Stale { newest } if may_have_arrived => {
            let message = format!(
                "superseded by order {newest}; whether this one was executed before is unknown"
            );
            ItemOutcome::new(OutcomeState::Unknown, message)
        }
        OrderReply::Stale { newest } => {
            let message = format!("not done: superseded by order {newest}");
            ItemOutcome::new(OutcomeState::Conflict, message)
        }
        OrderReply::NotReady if may_have_arrived => ItemOutcome::new(
            OutcomeState::Unknown,
            format!("{NOT_READY}; an earlier incarnation may have executed the order"),
        ),
        OrderReply::NotReady => ItemOutcome::new(OutcomeState::Failed, NOT_READY),
        // This reply covers an engine that refused and one that did not answer the sidecar in time.
        OrderReply::Failed(detail) => {
            let message = format!("not confirmed: {detail}; `upstreams` shows what it has loaded");
            ItemOutcome::new(OutcomeState::Unknown, message)
        }
    }
}

/// Handles an accepted order. A drain is in force at once; an engine loads after it has replied, so
/// its reported models are polled.
async fn handle_accepted(
    state: &Arc<EntryState>,
    target: &OrderTarget,
    order: &EngineOrder,
) -> ItemOutcome {
    let upstream = &target.upstream;
    match order {
        EngineOrder::Drain(true) => {
            let running = running_at(state, target).await;
            let running =
                running.map_or("an unknown number of".to_owned(), |count| count.to_string());
            let message = format!(
                "{upstream} accepts nothing new; {running} requests were running just after the drain"
            );
            ItemOutcome::new(OutcomeState::Done, message)
        }
        EngineOrder::Drain(false) => {
            ItemOutcome::new(OutcomeState::Done, format!("{upstream} accepts requests again"))
        }
        EngineOrder::LoadModel(model) => wait_for_model(state, target, model, true).await,
        EngineOrder::UnloadModel(model) => wait_for_model(state, target, model, false).await,
        EngineOrder::LoadAdapter { model, adapter } => {
            let message = format!("{upstream} accepted the order to load {adapter} onto {model}");
            ItemOutcome::new(OutcomeState::Done, message)
        }
    }
}

/// Waits until an engine reports that it has a model, or no longer has it.
async fn wait_for_model(
    state: &Arc<EntryState>,
    target: &OrderTarget,
    model: &ModelName,
    wanted: bool,
) -> ItemOutcome {
    let upstream = &target.upstream;
    let deadline = ClockTime::now().after(LOAD_TIMEOUT);
    loop {
        let shown = status_of(state, target).await.and_then(|status| status.member.info.serves);
        if shown.is_some_and(|served| served.models.contains(model) == wanted) {
            let does = if wanted { "reports" } else { "no longer reports" };
            return ItemOutcome::new(OutcomeState::Done, format!("{upstream} {does} {model}"));
        }
        if ClockTime::now() >= deadline {
            let message = format!(
                "{upstream} accepted the order but has not reported the change yet; see `upstreams`"
            );
            return ItemOutcome::new(OutcomeState::Unknown, message);
        }
        smol::Timer::after(RETRY_PAUSE).await;
    }
}

async fn status_of(state: &Arc<EntryState>, target: &OrderTarget) -> Option<StatusReply> {
    let query = StatusQuery { branch: None, running: 0 };
    let replies = query_members(state, std::slice::from_ref(&target.sidecar), &query).await;
    replies.replies.into_iter().next()
}

async fn running_at(state: &Arc<EntryState>, target: &OrderTarget) -> Option<u32> {
    status_of(state, target).await.map(|status| status.member.in_flight)
}

fn send_failure(order: &EngineOrder, error: &LinkError, may_have_arrived: bool) -> ItemOutcome {
    // The fence object in the store records that the upstream is to be drained.
    let kept = match order {
        EngineOrder::Drain(_) => "; the order is recorded in the store and shown by `upstreams`",
        _ => "",
    };
    if may_have_arrived {
        let message = format!("the sidecar may have executed the order: {error}{kept}");
        return ItemOutcome::new(OutcomeState::Unknown, message);
    }
    ItemOutcome::new(OutcomeState::Failed, format!("the sidecar was not reached: {error}{kept}"))
}
