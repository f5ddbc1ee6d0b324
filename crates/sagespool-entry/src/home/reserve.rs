//! Reserving a request's maximum cost, and refusing it if the fleet's budget does not cover it.

use std::sync::Arc;
use std::time::Duration;

use sagespool_ledger::{BudgetShortfall, ReserveDecision};
use sagespool_messages::{RefusalNotice, ReserveReply, ReserveRequest};
use sagespool_types::{ClockTime, RefusalReason, RunState, TokenCount};

use super::claims::may_be_claimed;
use super::keys::{KeyStart, begin_key};
use super::rounds::{RoundResult, round_since};
use crate::state::EntryState;

/// Subtracted from a request's time so that a refusal reaches the caller before its deadline.
const ANSWER_MARGIN: Duration = Duration::from_millis(50);
/// How often a waiting request checks again whether other holders have returned budget.
const WAIT_STEP: Duration = Duration::from_millis(150);
/// A store that has been unreachable for longer is not expected back within a request's deadline.
const STORE_PATIENCE: Duration = Duration::from_secs(10);
/// The retry-after of a refusal caused by an unreachable store.
const STORE_RETRY: Duration = Duration::from_secs(5);

/// Reserves a request's maximum cost for an entry, returns the known state of its key, or refuses
/// it.
pub async fn reserve(state: &Arc<EntryState>, order: &ReserveRequest) -> ReserveReply {
    if state.is_leaving() && order.entry != state.incarnation {
        return ReserveReply::NotHome;
    }
    if state.crashes.is_stopped(order.content) {
        return ReserveReply::Refused(quarantined());
    }
    let mut ran_before = false;
    if let Some(key) = order.key {
        match begin_key(state, order, key).await {
            KeyStart::New => {}
            KeyStart::Again => ran_before = true,
            KeyStart::Known(known) => return ReserveReply::Known(known),
            KeyStart::Refused(notice) => return ReserveReply::Refused(notice),
        }
    }
    let mut reply = wait_for_budget(state, order).await;
    if state.abandoned().contains_key(&order.request) {
        state.ledger.abandon(&order.branch, order.request);
        return ReserveReply::NotHome;
    }
    if let (ReserveReply::Refused(notice), Some(key)) = (&mut reply, order.key) {
        state.keys.forget(key, order.request);
        if ran_before || (order.non_idempotent && may_be_claimed(state, key).await) {
            notice.run_state = RunState::Unknown;
        }
    }
    reply
}

fn quarantined() -> RefusalNotice {
    RefusalNotice {
        reason: RefusalReason::Quarantined,
        run_state: RunState::NotRun,
        message: "this request crashed its upstream more than once and is quarantined".into(),
        retry_after: None,
    }
}

async fn wait_for_budget(state: &EntryState, order: &ReserveRequest) -> ReserveReply {
    let arrived = ClockTime::now();
    let deadline = arrived.after(order.time_left.saturating_sub(ANSWER_MARGIN));
    let mut since = arrived;
    if let ReserveDecision::Reserved(reserved) = state.ledger.reserve(order, arrived) {
        return ReserveReply::Reserved(reserved);
    }
    loop {
        let changed = state.budget_changed.listen();
        let round = round_since(state, order, since, deadline).await;
        let now = ClockTime::now();
        let short = match state.ledger.reserve(order, now) {
            ReserveDecision::Reserved(reserved) => return ReserveReply::Reserved(reserved),
            ReserveDecision::Insufficient(short) => short,
        };
        let Some(round) = round else {
            return ReserveReply::Refused(refusal(state, order, &short, now));
        };
        if now >= deadline || is_hopeless(state, &short, &round, now) {
            return ReserveReply::Refused(refusal(state, order, &short, now));
        }
        wait_step(changed, deadline).await;
        let own_only = round.others_running + round.unanswered == TokenCount::ZERO;
        let needs_store = short.missing == TokenCount::ZERO || round.store_away || !own_only;
        if needs_store {
            since = ClockTime::now();
        }
    }
}

/// True if waiting can't help: what running requests could still return is too little, and every
/// holder has replied. A store that became unreachable only recently may be back within the
/// deadline, so it is waited for; a longer outage is not.
fn is_hopeless(
    state: &EntryState,
    short: &BudgetShortfall,
    round: &RoundResult,
    now: ClockTime,
) -> bool {
    let may_come = short.returnable + round.others_running + round.unanswered;
    if round.store_away {
        return short.returnable < short.missing && state.store_away_for(now) >= STORE_PATIENCE;
    }
    short.missing > may_come
}

async fn wait_step(changed: event_listener::EventListener, deadline: ClockTime) {
    let left = deadline.since(ClockTime::now()).min(WAIT_STEP);
    futures_lite::future::or(changed, async {
        smol::Timer::after(left).await;
    })
    .await;
}

/// The refusal for a budget shortfall. If the store is unreachable, the refusal names that instead
/// of an exhausted budget.
fn refusal(
    state: &EntryState,
    order: &ReserveRequest,
    short: &BudgetShortfall,
    now: ClockTime,
) -> RefusalNotice {
    if state.store_away_for(now) > Duration::ZERO {
        return RefusalNotice {
            reason: RefusalReason::BudgetUnreachable,
            run_state: RunState::NotRun,
            message: format!(
                "the reachable instances hold too little of branch {}'s budget, and the platform's store is unreachable",
                order.branch
            ),
            retry_after: Some(STORE_RETRY),
        };
    }
    RefusalNotice {
        reason: RefusalReason::BudgetExhausted,
        run_state: RunState::NotRun,
        message: format!(
            "the request may cost {} tokens, {} more than branch {} has left",
            order.amount, short.missing, order.branch
        ),
        retry_after: None,
    }
}
