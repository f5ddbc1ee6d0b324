//! Handling of requests from other processes, and fetching newer configurations from gateways.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::future::poll_once;
use sagespool_forward::PlanIndex;
use sagespool_link::{PeerCall, PeerHandler, PeerResponder};
use sagespool_log::log_event;
use sagespool_messages::{
    FeedKind, LendReply, LendRequest, MemberInfo, PeerReply, PeerRequest, PlanQuery, PlanReply,
};
use sagespool_types::{ClockTime, TokenCount};
use serde_json::value::RawValue;
use smol::Timer;

use crate::budget::BudgetRequest;
use crate::crashes::record_reports;
use crate::fleet::handle_store_call;
use crate::limits::limits_reply;
use crate::resumption::{record_notes, stream_reply};
use crate::rotation::{cover_reply, release_cover};
use crate::state::GatewayState;

const PLAN_TIMEOUT: Duration = Duration::from_millis(500);

/// Serves other processes and sends heartbeats until cancelled.
pub(crate) async fn run_peers(state: Arc<GatewayState>) {
    let on_reply = {
        let state = state.clone();
        move |from: &MemberInfo| fetch_newer_plan(&state, from)
    };
    let (fleet, store) = (state.fleet.clone(), state.store.clone());
    fleet.run(store, handler(state), on_reply).await;
}

fn handler(state: Arc<GatewayState>) -> PeerHandler {
    Arc::new(move |call: PeerCall| {
        let state = state.clone();
        Box::pin(async move {
            if let PeerRequest::Lend(request) = call.request {
                lend(&state, &request, call.responder).await;
                return;
            }
            let reply = handle_request(&state, call.request).await;
            call.responder.reply(reply).await;
        })
    })
}

async fn handle_request(state: &Arc<GatewayState>, request: PeerRequest) -> PeerReply {
    match request {
        PeerRequest::Heartbeat(beat) => {
            fetch_newer_plan(state, &beat.from);
            state.fleet.handle_heartbeat(&beat)
        }
        PeerRequest::AskPlan(query) => {
            let document = (state.plan_version() > query.have).then(|| state.plan_document());
            PeerReply::Plan(PlanReply { document: document.flatten() })
        }
        PeerRequest::ReportCrashes(known) => {
            PeerReply::Crashes(record_reports(state, &known, ClockTime::now()))
        }
        PeerRequest::WithdrawCrashes(withdrawn) => {
            state.crashes.withdraw(&withdrawn);
            PeerReply::Done
        }
        PeerRequest::Quarantine(notice) => {
            let agreed = state.crashes.apply_quarantine(&notice, ClockTime::now());
            log_event!(info, "quarantine-announced", content = notice.content, agreed = agreed);
            PeerReply::Done
        }
        PeerRequest::ReturnRest(unspent) => {
            state.budgets.accept_returned_loan(&unspent);
            PeerReply::Done
        }
        PeerRequest::Follow(query) => PeerReply::Follow(state.feeds.handle_query(query).await),
        PeerRequest::AskLimits(query) => {
            PeerReply::Limits(limits_reply(state, &query, ClockTime::now()))
        }
        PeerRequest::NoteStreams(notes) => {
            record_notes(&state.origins, notes, ClockTime::now());
            PeerReply::Done
        }
        PeerRequest::FindStream(query) => {
            PeerReply::Stream(stream_reply(state, &query, ClockTime::now()))
        }
        PeerRequest::FindSuccess(content) => {
            PeerReply::Success(state.crashes.success_age(content, ClockTime::now()))
        }
        PeerRequest::AskCover(request) => PeerReply::Cover(cover_reply(state, request)),
        PeerRequest::ReleaseCover(release) => {
            release_cover(state, release);
            PeerReply::Done
        }
        PeerRequest::CallStore(call) => handle_store_call(&state.store, call).await,
        _ => PeerReply::Unsupported("this process is a gateway".to_owned()),
    }
}

/// Replies to a loan request. A home may have to call the store first. If the borrower has
/// cancelled in the meantime, nothing is lent, since the amount in a lost reply can't be spent by
/// anyone: during an outage of the store such replies took 8% of a small account's total.
async fn lend(state: &GatewayState, request: &LendRequest, responder: PeerResponder) {
    let mut shortage = None;
    let mut wanted = request.wanted;
    if request.as_home {
        let gone = responder.requester_gone();
        if let Some(budget) = budget_for_loan(state, request) {
            wanted = budget.amount;
            shortage = state.budgets.ensure_covered(&budget, &state.fleet).await;
            shortage = shortage.filter(|_| budget.version >= request.version);
        }
        if poll_once(gone).await.is_some() {
            return;
        }
    }
    let lent = state.budgets.lend(request, wanted);
    let room = shortage.map(|room| room.saturating_sub(lent));
    if lent > TokenCount::ZERO {
        log_event!(
            info,
            "budget-lent",
            branch = request.branch,
            to = request.borrower,
            wanted = request.wanted,
            ahead = request.ahead,
            lent = lent,
        );
    }
    responder.reply(PeerReply::Lend(LendReply { lent, room })).await;
}

/// What the home needs for a loan: the amount that the borrower lacks, plus its part for future
/// requests. `None` if the account has no budget in the current configuration.
fn budget_for_loan(state: &GatewayState, request: &LendRequest) -> Option<BudgetRequest> {
    let index = state.plan()?;
    let branch = index.plan().branches.iter().find(|branch| branch.name == request.branch);
    let prepaid = branch.and_then(|branch| branch.prepaid)?;
    let missing = request.wanted.saturating_sub(request.ahead);
    let ahead =
        state.budgets.allowed_loan_ahead(&request.branch, prepaid, request.ahead, ClockTime::now());
    Some(BudgetRequest {
        branch: request.branch.clone(),
        version: index.plan().version,
        prepaid,
        amount: missing + ahead,
        request_id: String::new(),
    })
}

/// Fetches a newer configuration from a gateway that has one. The store may reject this gateway
/// while it serves others, and operators' changes must still take effect here.
///
/// Where neighbours replicate the store, the configuration is usually on its way already: it is
/// fetched only if it hasn't arrived in the time of one query. Each change crossed the links between
/// data centres once for a quarter of the gateways.
fn fetch_newer_plan(state: &Arc<GatewayState>, from: &MemberInfo) {
    if from.config <= state.plan_version() {
        return;
    }
    let (state, from) = (state.clone(), from.clone());
    let Some(timing) = state.feeds.timing(FeedKind::Configuration) else {
        smol::spawn(async move { fetch_plan(&state, &from).await }).detach();
        return;
    };
    if state.is_plan_awaited(from.config) {
        return;
    }
    smol::spawn(async move {
        Timer::after(timing.poll_wait).await;
        if from.config > state.plan_version() {
            fetch_plan(&state, &from).await;
        }
        state.end_plan_wait(from.config);
    })
    .detach();
}

async fn fetch_plan(state: &GatewayState, from: &MemberInfo) {
    let request = PeerRequest::AskPlan(PlanQuery { have: state.plan_version() });
    let reply = state.fleet.call(from.address, &request, PLAN_TIMEOUT).await;
    let Ok(PeerReply::Plan(PlanReply { document: Some(document) })) = reply else {
        return;
    };
    let Ok(value) = RawValue::from_string(document) else {
        log_event!(error, "configuration-unreadable", from = from.instance);
        return;
    };
    match (state.dialect.read_plan)(&value) {
        Ok(plan) => {
            let version = plan.version;
            let taken = state.apply_plan(PlanIndex::new(plan), value.get());
            log_event!(
                info,
                "configuration-relayed",
                version = version,
                from = from.instance,
                in_force = taken,
            );
        }
        Err(detail) => log_event!(error, "configuration-unreadable", detail = detail),
    }
}
