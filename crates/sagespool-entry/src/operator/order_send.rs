//! Sending an order, and what its answer means.

use std::sync::Arc;
use std::time::Duration;

use sagespool_link::LinkError;
use sagespool_messages::{
    EngineOrder, OrderReply, OrderRequest, PeerReply, PeerRequest, StatusQuery, StatusReply,
};
use sagespool_operations::{ItemOutcome, OutcomeState};
use sagespool_types::{ClockTime, ModelName};

use super::ask::ask_members;
use super::order_target::OrderTarget;
use crate::state::EntryState;

/// For all tries at an order together.
const ORDER_LIMIT: Duration = Duration::from_secs(60);
/// A drain needs no engine.
const DRAIN_LIMIT: Duration = Duration::from_secs(5);
const NOT_READY: &str =
    "not done: the sidecar has just started and can't read the newest order's number in the store";
const TRY_PAUSE: Duration = Duration::from_millis(200);
/// How long an engine is given to show that a model is loaded.
const LOAD_LIMIT: Duration = Duration::from_secs(60);

/// Sends an order until it is answered or the time is up. Sending it again is safe: it has the same
/// number, and doing it twice is as doing it once.
pub(super) async fn send(
    state: &Arc<EntryState>,
    target: &OrderTarget,
    request: OrderRequest,
) -> ItemOutcome {
    let is_drain = matches!(request.order, EngineOrder::Drain(_));
    let limit = if is_drain { DRAIN_LIMIT } else { ORDER_LIMIT };
    let deadline = ClockTime::now().after(limit);
    let peer_request = PeerRequest::Order(request.clone());
    let mut may_have_got_it = false;
    loop {
        let left = deadline.since(ClockTime::now());
        let error = match state.link().ask(target.sidecar.address, &peer_request, left).await {
            Ok(PeerReply::Order(OrderReply::NotReady)) if ClockTime::now() < deadline => {
                smol::Timer::after(TRY_PAUSE).await;
                continue;
            }
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
        OrderReply::NotReady if sent_before => ItemOutcome::new(
            OutcomeState::Unknown,
            format!("{NOT_READY}; an earlier run of it may have carried it out"),
        ),
        OrderReply::NotReady => ItemOutcome::new(OutcomeState::Failed, NOT_READY),
        // The word covers an engine that refused and one that didn't answer the sidecar in time.
        OrderReply::Failed(detail) => {
            let message = format!("not confirmed: {detail}; `upstreams` shows what it has loaded");
            ItemOutcome::new(OutcomeState::Unknown, message)
        }
    }
}

/// The sidecar took the order. A drain is in force with that; an engine loads after it has answered, so
/// what it then shows is waited for.
async fn done(state: &Arc<EntryState>, target: &OrderTarget, order: &EngineOrder) -> ItemOutcome {
    let upstream = &target.upstream;
    match order {
        EngineOrder::Drain(true) => {
            let running = running_at(state, target).await;
            let running =
                running.map_or("an unknown number of".to_owned(), |count| count.to_string());
            let message =
                format!("{upstream} takes nothing new; {running} requests ran there just after");
            ItemOutcome::new(OutcomeState::Done, message)
        }
        EngineOrder::Drain(false) => {
            ItemOutcome::new(OutcomeState::Done, format!("{upstream} takes work again"))
        }
        EngineOrder::LoadModel(model) => models_become(state, target, model, true).await,
        EngineOrder::UnloadModel(model) => models_become(state, target, model, false).await,
        EngineOrder::LoadAdapter { model, adapter } => {
            let message = format!("{upstream} took the order to load {adapter} onto {model}");
            ItemOutcome::new(OutcomeState::Done, message)
        }
    }
}

/// Waits until an engine shows that it has a model, or has it no more.
async fn models_become(
    state: &Arc<EntryState>,
    target: &OrderTarget,
    model: &ModelName,
    wanted: bool,
) -> ItemOutcome {
    let upstream = &target.upstream;
    let deadline = ClockTime::now().after(LOAD_LIMIT);
    loop {
        let shown = status_of(state, target).await.and_then(|status| status.member.info.serves);
        if shown.is_some_and(|served| served.models.contains(model) == wanted) {
            let does = if wanted { "shows" } else { "shows no more" };
            return ItemOutcome::new(OutcomeState::Done, format!("{upstream} {does} {model}"));
        }
        if ClockTime::now() >= deadline {
            let message = format!(
                "{upstream} took the order and hasn't shown the change yet; see `upstreams`"
            );
            return ItemOutcome::new(OutcomeState::Unknown, message);
        }
        smol::Timer::after(TRY_PAUSE).await;
    }
}

async fn status_of(state: &Arc<EntryState>, target: &OrderTarget) -> Option<StatusReply> {
    let query = StatusQuery { branch: None, running: 0 };
    let replies = ask_members(state, std::slice::from_ref(&target.sidecar), &query).await;
    replies.replies.into_iter().next()
}

async fn running_at(state: &Arc<EntryState>, target: &OrderTarget) -> Option<u32> {
    status_of(state, target).await.map(|status| status.member.in_flight)
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
