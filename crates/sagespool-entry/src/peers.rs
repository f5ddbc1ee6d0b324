//! Serves the requests of other processes.

use std::sync::Arc;

use sagespool_link::{PeerCall, PeerHandler, PeerResponder};
use sagespool_messages::{
    MemberRole, MemberStatus, PeerReply, PeerRequest, ReserveRequest, StatusQuery, StatusReply,
};
use sagespool_types::{ClockTime, WallTime};

use crate::home;
use crate::state::EntryState;

/// The handler that the link calls for every peer request.
pub(crate) fn peer_handler(state: Arc<EntryState>) -> PeerHandler {
    Arc::new(move |call: PeerCall| {
        let state = Arc::clone(&state);
        Box::pin(async move {
            if let PeerRequest::Reserve(reserve_request) = call.request {
                reserve(&state, &reserve_request, call.responder).await;
                return;
            }
            let reply = answer(&state, call.request).await;
            call.responder.reply(reply).await;
        })
    })
}

/// Reserves for another entry's request.
///
/// A home that was paused finds reserve requests in its socket whose entries have long gone to
/// another home. Such a request would hold its key for as long as a request may wait, and a caller
/// that retries with the key would wait for a run that never starts. So if the reply does not reach
/// the entry, its key is released; the reservation itself stays until its outcome is known.
async fn reserve(
    state: &Arc<EntryState>,
    reserve_request: &ReserveRequest,
    responder: PeerResponder,
) {
    let reply = home::reserve(state, reserve_request).await;
    let delivered = responder.reply_acknowledged(PeerReply::Reserve(reply)).await;
    if let (false, Some(key)) = (delivered, reserve_request.key) {
        state.keys.release(key, reserve_request.request);
    }
}

async fn answer(state: &Arc<EntryState>, request: PeerRequest) -> PeerReply {
    match request {
        PeerRequest::Heartbeat(beat) => {
            let reply = state.members.handle_heartbeat(&beat, ClockTime::now());
            state.follower.observe_member(&beat.from);
            if beat.from.role == MemberRole::Sidecar {
                crate::heartbeats::refresh_upstreams(state);
            }
            PeerReply::Heartbeat(reply)
        }
        PeerRequest::Reserve(reserve_request) => {
            PeerReply::Reserve(home::reserve(state, &reserve_request).await)
        }
        PeerRequest::Claim(claim) => PeerReply::Claim(home::claim(state, &claim).await),
        PeerRequest::Finish(report) => {
            home::finish(state, &report);
            PeerReply::Done
        }
        PeerRequest::ReportCharges(report) => {
            PeerReply::ChargesDurable(home::record_charges(state, &report))
        }
        PeerRequest::Recall(request) => {
            PeerReply::Recall(home::handle_recall(state, &request).await)
        }
        PeerRequest::ReportCrash(report) => {
            home::record_crash(state, &report);
            PeerReply::Done
        }
        PeerRequest::Abandon(notice) => {
            home::abandon(state, &notice);
            PeerReply::Done
        }
        PeerRequest::Status(query) => PeerReply::Status(status(state, &query)),
        PeerRequest::Leave(request) => crate::operator::leave(state, &request),
        PeerRequest::AskConfiguration(query) => {
            state.follower.handle_query(&query, ClockTime::now())
        }
        PeerRequest::NoticeConfiguration(notice) => {
            state.follower.handle_notice(&notice);
            PeerReply::Done
        }
        PeerRequest::Dispatch(_)
        | PeerRequest::Attach(_)
        | PeerRequest::Cancel(_)
        | PeerRequest::Seal(_)
        | PeerRequest::FindKey(_)
        | PeerRequest::Order(_)
        | PeerRequest::Lend(_)
        | PeerRequest::ReturnRest(_)
        | PeerRequest::AskPlan(_)
        | PeerRequest::CallStore(_)
        | PeerRequest::Follow(_)
        | PeerRequest::AskLimits(_)
        | PeerRequest::Quarantine(_)
        | PeerRequest::ReportCrashes(_)
        | PeerRequest::WithdrawCrashes(_)
        | PeerRequest::NoteStreams(_)
        | PeerRequest::FindStream(_)
        | PeerRequest::FindSuccess(_)
        | PeerRequest::AskCover(_)
        | PeerRequest::ReleaseCover(_) => PeerReply::Unsupported("this process is an entry".into()),
    }
}

/// This entry's status, from its own view of the fleet.
pub(crate) fn status(state: &EntryState, query: &StatusQuery) -> StatusReply {
    StatusReply {
        at: WallTime::now(),
        from: state.incarnation,
        revision: state.objects.seen_revision(),
        member: MemberStatus {
            info: state.members.own(),
            up_for: ClockTime::now().since(state.started),
            in_flight: state.in_flight(),
        },
        spend: state.ledger.spend(query.branch.as_ref()),
        running: Vec::new(),
        running_cut: false,
        members: state.members.members(),
    }
}
