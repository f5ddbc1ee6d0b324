//! Client of a branch's home, which is this entry or another.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sagespool_log::log_event;
use sagespool_messages::{
    AbandonNotice, ClaimReply, ClaimRequest, FinishReport, MemberInfo, PeerReply, PeerRequest,
    ReserveReply, ReserveRequest,
};
use sagespool_types::{BranchName, ClockTime};

use crate::home;
use crate::state::EntryState;

/// How often the end of a request is sent to a home that does not reply. After that the sidecar's
/// charge report, which repeats until it is durable, delivers it.
const MAX_FINISH_TRIES: u32 = 4;
/// How often an abandon notice is sent to an unresponsive home: for about half a minute. After that
/// the reservation is overdue there, and the home resolves it by itself.
const MAX_ABANDON_TRIES: u32 = 30;
const ABANDON_PAUSE: Duration = Duration::from_secs(1);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

fn other_home(state: &EntryState, branch: &BranchName) -> Option<MemberInfo> {
    let home = state.members.home_of(&home::home_name(branch), ClockTime::now())?;
    (home.incarnation != state.incarnation).then_some(home)
}

/// Reserves at the branch's home. If that is unreachable, this entry acts as the home: two homes
/// for a branch cost a second grant but are always correct, since each spends only its own grants.
pub(super) async fn reserve(
    state: &Arc<EntryState>,
    reserve_request: &ReserveRequest,
) -> (ReserveReply, Option<SocketAddr>) {
    let Some(other) = other_home(state, &reserve_request.branch) else {
        return (home::reserve(state, reserve_request).await, None);
    };
    let request = PeerRequest::Reserve(reserve_request.clone());
    match state.link().request(other.address, &request, reserve_request.time_left).await {
        Ok(PeerReply::Reserve(ReserveReply::NotHome)) => {
            (home::reserve(state, reserve_request).await, None)
        }
        Ok(PeerReply::Reserve(reply)) => (reply, Some(other.address)),
        Ok(_) => (home::reserve(state, reserve_request).await, None),
        Err(error) => {
            log_event!(
                warn,
                "home-unreachable",
                home = other.instance,
                branch = reserve_request.branch,
                error = error
            );
            if !error.definitely_not_handled() {
                smol::spawn(abandon(Arc::clone(state), other, reserve_request.clone())).detach();
            }
            (home::reserve(state, reserve_request).await, None)
        }
    }
}

/// Notifies a home that did not reply that its reservation, if it made one, is not used.
async fn abandon(state: Arc<EntryState>, other: MemberInfo, reserve_request: ReserveRequest) {
    let (request, branch, key) =
        (reserve_request.request, reserve_request.branch, reserve_request.key);
    let notice = PeerRequest::Abandon(AbandonNotice { request, branch, key });
    for _ in 0..MAX_ABANDON_TRIES {
        if state.members.is_gone(other.incarnation, ClockTime::now()) {
            return;
        }
        if state.link().request(other.address, &notice, CALL_TIMEOUT).await.is_ok() {
            return;
        }
        smol::Timer::after(ABANDON_PAUSE).await;
    }
}

/// Places the claim at the home that made the reservation.
pub(super) async fn claim(
    state: &Arc<EntryState>,
    reserved_at: Option<SocketAddr>,
    claim: &ClaimRequest,
) -> ClaimReply {
    let Some(address) = reserved_at else {
        return home::claim(state, claim).await;
    };
    let request = PeerRequest::Claim(claim.clone());
    match state.link().request(address, &request, claim.time_left).await {
        Ok(PeerReply::Claim(reply)) => reply,
        Ok(_) | Err(_) => home::claim(state, claim).await,
    }
}

/// Reports the end of the request to the home that made the reservation.
pub(super) async fn finish(
    state: &EntryState,
    reserved_at: Option<SocketAddr>,
    report: &FinishReport,
) {
    let Some(address) = reserved_at else {
        home::finish(state, report);
        return;
    };
    let request = PeerRequest::Finish(report.clone());
    for _ in 0..MAX_FINISH_TRIES {
        let sent = state.link().request(address, &request, CALL_TIMEOUT).await;
        if sent.is_ok() {
            return;
        }
        smol::Timer::after(Duration::from_millis(200)).await;
    }
    log_event!(warn, "finish-report-failed", request = report.request, charge = report.charge);
}
