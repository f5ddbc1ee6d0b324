//! Reserving a request's maximum cost, and refusing it if the fleet's budget does not cover it.

use std::sync::Arc;
use std::time::Duration;

use sagespool_ledger::{BudgetShortfall, ReserveDecision};
use sagespool_messages::{RefusalNotice, ReserveReply, ReserveRequest};
use sagespool_types::{ClockTime, RefusalReason, RunState, TokenCount};

use super::acquisition::{AcquisitionResult, acquisition_since};
use super::claims::may_be_claimed;
use super::keys::{KeyStart, begin_key};
use crate::state::EntryState;

/// Subtracted from a request's time so that a refusal reaches the caller before its deadline.
const REFUSAL_MARGIN: Duration = Duration::from_millis(50);
/// How often a waiting request checks again whether other holders have returned budget.
const WAIT_STEP: Duration = Duration::from_millis(150);
/// A store that has been unreachable for longer is not expected back within a request's deadline.
const STORE_OUTAGE_LIMIT: Duration = Duration::from_secs(10);
/// The retry-after of a refusal caused by an unreachable store.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Reserves a request's maximum cost for an entry, returns the known state of its key, or refuses
/// it.
pub async fn reserve(state: &Arc<EntryState>, reserve_request: &ReserveRequest) -> ReserveReply {
    if state.is_leaving() && reserve_request.entry != state.incarnation {
        return ReserveReply::NotHome;
    }
    if state.crashes.is_stopped(reserve_request.content) {
        return ReserveReply::Refused(quarantined());
    }
    let mut ran_before = false;
    if let Some(key) = reserve_request.key {
        match begin_key(state, reserve_request, key).await {
            KeyStart::New => {}
            KeyStart::Rerun => ran_before = true,
            KeyStart::Known(known) => return ReserveReply::Known(known),
            KeyStart::Refused(notice) => return ReserveReply::Refused(notice),
        }
    }
    let mut reply = wait_for_budget(state, reserve_request).await;
    if state.abandoned().contains_key(&reserve_request.request) {
        state.ledger.abandon(&reserve_request.branch, reserve_request.request);
        return ReserveReply::NotHome;
    }
    if let (ReserveReply::Refused(notice), Some(key)) = (&mut reply, reserve_request.key) {
        state.keys.forget(key, reserve_request.request);
        if ran_before || (reserve_request.non_idempotent && may_be_claimed(state, key).await) {
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

async fn wait_for_budget(state: &EntryState, reserve_request: &ReserveRequest) -> ReserveReply {
    let arrived = ClockTime::now();
    let deadline = arrived.after(reserve_request.time_left.saturating_sub(REFUSAL_MARGIN));
    let mut since = arrived;
    if let ReserveDecision::Reserved(reserved) = state.ledger.reserve(reserve_request, arrived) {
        return ReserveReply::Reserved(reserved);
    }
    loop {
        let changed = state.budget_changed.listen();
        let acquisition = acquisition_since(state, reserve_request, since, deadline).await;
        let now = ClockTime::now();
        let shortfall = match state.ledger.reserve(reserve_request, now) {
            ReserveDecision::Reserved(reserved) => return ReserveReply::Reserved(reserved),
            ReserveDecision::Insufficient(shortfall) => shortfall,
        };
        let Some(acquisition) = acquisition else {
            return ReserveReply::Refused(refusal(state, reserve_request, &shortfall, now));
        };
        if now >= deadline || cannot_succeed(state, &shortfall, &acquisition, now) {
            return ReserveReply::Refused(refusal(state, reserve_request, &shortfall, now));
        }
        wait_step(changed, deadline).await;
        let own_only = acquisition.others_running + acquisition.unanswered == TokenCount::ZERO;
        let needs_store =
            shortfall.missing == TokenCount::ZERO || acquisition.store_unreachable || !own_only;
        if needs_store {
            since = ClockTime::now();
        }
    }
}

/// True if waiting can't help: what running requests could still return is too little, and every
/// holder has replied. A store that became unreachable only recently may be back within the
/// deadline, so it is waited for; a longer outage is not.
fn cannot_succeed(
    state: &EntryState,
    shortfall: &BudgetShortfall,
    acquisition: &AcquisitionResult,
    now: ClockTime,
) -> bool {
    let expected = shortfall.returnable + acquisition.others_running + acquisition.unanswered;
    if acquisition.store_unreachable {
        return shortfall.returnable < shortfall.missing
            && state.store_outage(now) >= STORE_OUTAGE_LIMIT;
    }
    shortfall.missing > expected
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
    reserve_request: &ReserveRequest,
    shortfall: &BudgetShortfall,
    now: ClockTime,
) -> RefusalNotice {
    if state.store_outage(now) > Duration::ZERO {
        return RefusalNotice {
            reason: RefusalReason::BudgetUnreachable,
            run_state: RunState::NotRun,
            message: format!(
                "the reachable instances hold too little of branch {}'s budget, and the platform's store is unreachable",
                reserve_request.branch
            ),
            retry_after: Some(STORE_RETRY_AFTER),
        };
    }
    RefusalNotice {
        reason: RefusalReason::BudgetExhausted,
        run_state: RunState::NotRun,
        message: format!(
            "the request may cost {} tokens, {} more than branch {} has left",
            reserve_request.amount, shortfall.missing, reserve_request.branch
        ),
        retry_after: None,
    }
}
