//! Handles requests of other processes.

use std::pin::pin;
use std::sync::Arc;

use futures_lite::FutureExt;
use sagespool_link::{EventSender, PeerCall, PeerHandler};
use sagespool_messages::{
    DispatchEvent, LeaveRequest, MemberStatus, PeerReply, PeerRequest, StatusQuery, StatusReply,
};
use sagespool_metrics::DropCause;
use sagespool_types::{ClockTime, WallTime};

use super::state::SidecarState;
use crate::{AnswerReader, Dispatcher};

/// The handler that the link calls for every request of a peer.
pub(super) fn peer_handler(state: Arc<SidecarState>) -> PeerHandler {
    Arc::new(move |call: PeerCall| {
        let state = Arc::clone(&state);
        Box::pin(async move { handle_call(&state, call).await })
    })
}

async fn handle_call(state: &SidecarState, call: PeerCall) {
    let PeerCall { from, request, responder } = call;
    let now = ClockTime::now();
    let dispatcher = &state.dispatcher;
    let reply = match request {
        PeerRequest::Dispatch(dispatch) => {
            let _delivery = state.deliveries.start();
            let (id, attempt) = (dispatch.request, dispatch.attempt);
            let reader = dispatcher.dispatch(dispatch, now).await;
            let changes = dispatcher.cache().changes_for(from).map(DispatchEvent::CacheNews);
            let others = || DispatchEvent::Beside(dispatcher.count_others(id, attempt));
            return forward_dispatch(
                dispatcher,
                reader,
                changes,
                others,
                responder.into_event_sender(),
            )
            .await;
        }
        PeerRequest::Attach(request) => {
            let _delivery = state.deliveries.start();
            let reader = dispatcher.attach(&request);
            return forward_events(dispatcher, reader, || None, responder.into_event_sender())
                .await;
        }
        PeerRequest::Cancel(request) => {
            dispatcher.cancel(&request);
            PeerReply::Done
        }
        PeerRequest::Seal(request) => PeerReply::Seal(dispatcher.charges().seal(&request, now)),
        PeerRequest::FindKey(request) => PeerReply::Key(dispatcher.find_key(&request, now)),
        PeerRequest::Order(request) => PeerReply::Order(dispatcher.execute_order(&request).await),
        PeerRequest::Status(query) => PeerReply::Status(status(state, &query, now)),
        PeerRequest::Leave(request) => leave(state, &request),
        PeerRequest::Heartbeat(heartbeat) => {
            let reply = state.members.handle_heartbeat(&heartbeat, now);
            state.follower.observe_member(&heartbeat.from);
            PeerReply::Heartbeat(reply)
        }
        PeerRequest::AskConfiguration(query) => state.follower.handle_query(&query, now),
        PeerRequest::NoticeConfiguration(notice) => {
            state.follower.handle_notice(&notice);
            PeerReply::Done
        }
        PeerRequest::Reserve(_)
        | PeerRequest::Claim(_)
        | PeerRequest::Finish(_)
        | PeerRequest::ReportCharges(_)
        | PeerRequest::Recall(_)
        | PeerRequest::ReportCrash(_)
        | PeerRequest::Abandon(_)
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
        | PeerRequest::ReleaseCover(_) => {
            PeerReply::Unsupported("this process is a sidecar".to_owned())
        }
    };
    responder.reply(reply).await;
}

/// Forwards an answer's events after the changes of the prompt cache. The number of other running
/// attempts is sent at the start and before the end.
async fn forward_dispatch(
    dispatcher: &Dispatcher,
    reader: AnswerReader,
    changes: Option<DispatchEvent>,
    others: impl Fn() -> DispatchEvent,
    mut sender: EventSender,
) {
    for event in [Some(others()), changes].into_iter().flatten() {
        if sender.send(&event).await.is_err() {
            return;
        }
    }
    forward_events(dispatcher, reader, || Some(others()), sender).await;
}

/// Forwards an answer's events as they arrive, with an optional event before the end. If the
/// requester disconnects, the reader is dropped, which the attempt observes, and the remainder of
/// the answer is discarded.
async fn forward_events(
    dispatcher: &Dispatcher,
    mut reader: AnswerReader,
    before_end: impl Fn() -> Option<DispatchEvent>,
    mut sender: EventSender,
) {
    let mut gone = pin!(sender.requester_gone());
    let mut delivery = AnswerDelivery { dispatcher, delivered: false };
    let mut ended = false;
    loop {
        let requester_gone = async {
            gone.as_mut().await;
            None
        };
        let Some(event) = requester_gone.or(reader.next()).await else { break };
        let is_end = matches!(*event, DispatchEvent::End(_));
        if let Some(extra_event) = is_end.then(&before_end).flatten()
            && sender.send(&extra_event).await.is_err()
        {
            break;
        }
        if sender.send(&event).await.is_err() {
            break;
        }
        ended |= is_end;
    }
    delivery.delivered = ended && sender.wait_acknowledged().await;
}

/// Delivery of an answer to its requester. If the requester disconnects before it has the end, the
/// answer counts as dropped. The count shows late answers of a sidecar that was paused or
/// partitioned from the network.
struct AnswerDelivery<'a> {
    dispatcher: &'a Dispatcher,
    delivered: bool,
}

impl Drop for AnswerDelivery<'_> {
    fn drop(&mut self) {
        if !self.delivered {
            let detail = "the requester disconnected before the end of the answer";
            self.dispatcher.record_dropped(DropCause::CallerGone, detail);
        }
    }
}

/// Executes an operator's stop: refuses new requests, and the daemon starts the graceful stop.
fn leave(state: &SidecarState, request: &LeaveRequest) -> PeerReply {
    if request.incarnation != state.incarnation {
        return PeerReply::Unsupported(
            "the request is addressed to another incarnation of this process".to_owned(),
        );
    }
    state.leave();
    PeerReply::Done
}

fn status(state: &SidecarState, query: &StatusQuery, now: ClockTime) -> StatusReply {
    let (running, is_all) = state.dispatcher.list_running(query, now);
    StatusReply {
        at: WallTime::now(),
        from: state.incarnation,
        revision: state.objects.seen_revision(),
        member: MemberStatus {
            info: state.members.own(),
            up_for: now.since(state.started),
            in_flight: state.dispatcher.running_count() as u32,
        },
        spend: Vec::new(),
        running,
        running_cut: !is_all,
        members: state.members.members(),
    }
}
