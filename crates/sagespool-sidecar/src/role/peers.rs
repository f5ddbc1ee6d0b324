//! Answering what other processes ask of a sidecar.

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
        Box::pin(async move { answer(&state, call).await })
    })
}

async fn answer(state: &SidecarState, call: PeerCall) {
    let PeerCall { from, request, responder } = call;
    let now = ClockTime::now();
    let dispatcher = &state.dispatcher;
    let reply = match request {
        PeerRequest::Dispatch(dispatch) => {
            let _forward = state.forwards.enter();
            let (id, attempt) = (dispatch.request, dispatch.attempt);
            let reader = dispatcher.dispatch(dispatch, now).await;
            let news = dispatcher.cache().news_for(from).map(DispatchEvent::CacheNews);
            let beside = || DispatchEvent::Beside(dispatcher.count_beside(id, attempt));
            return pass_on_told(dispatcher, reader, news, beside, responder.events()).await;
        }
        PeerRequest::Attach(request) => {
            let _forward = state.forwards.enter();
            let reader = dispatcher.attach(&request);
            return pass_on(dispatcher, reader, || None, responder.events()).await;
        }
        PeerRequest::Cancel(request) => {
            dispatcher.cancel(&request);
            PeerReply::Done
        }
        PeerRequest::Seal(request) => PeerReply::Seal(dispatcher.charges().seal(&request, now)),
        PeerRequest::FindKey(request) => PeerReply::Key(dispatcher.find_key(&request, now)),
        PeerRequest::Order(request) => PeerReply::Order(dispatcher.carry_out(&request).await),
        PeerRequest::Status(query) => PeerReply::Status(status(state, &query, now)),
        PeerRequest::Leave(request) => leave(state, &request),
        PeerRequest::Heartbeat(beat) => {
            let reply = state.members.handle_heartbeat(&beat, now);
            state.follower.observe_member(&beat.from);
            PeerReply::Heartbeat(reply)
        }
        PeerRequest::AskConfiguration(ask) => state.follower.handle_query(&ask, now),
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
        | PeerRequest::AskLimits(_) => {
            PeerReply::Unsupported("this process is a sidecar".to_owned())
        }
    };
    responder.reply(reply).await;
}

/// Sends an answer's events as they come, after what is new of the cache, and with what else the
/// upstream has when it starts and when it ends.
async fn pass_on_told(
    dispatcher: &Dispatcher,
    reader: AnswerReader,
    news: Option<DispatchEvent>,
    beside: impl Fn() -> DispatchEvent,
    mut sender: EventSender,
) {
    for event in [Some(beside()), news].into_iter().flatten() {
        if sender.send(&event).await.is_err() {
            return;
        }
    }
    pass_on(dispatcher, reader, || Some(beside()), sender).await;
}

/// Sends an answer's events as they come, and something before the last. When the asker is gone the
/// reader is dropped, which tells the attempt; what is left of the answer goes nowhere.
async fn pass_on(
    dispatcher: &Dispatcher,
    mut reader: AnswerReader,
    before_end: impl Fn() -> Option<DispatchEvent>,
    mut sender: EventSender,
) {
    let mut gone = pin!(sender.asker_gone());
    let mut passage = AnswerPassage { dispatcher, heard: false };
    let mut ended = false;
    loop {
        let asker_gone = async {
            gone.as_mut().await;
            None
        };
        let Some(event) = asker_gone.or(reader.next()).await else { break };
        let is_end = matches!(*event, DispatchEvent::End(_));
        if let Some(last_word) = is_end.then(&before_end).flatten()
            && sender.send(&last_word).await.is_err()
        {
            break;
        }
        if sender.send(&event).await.is_err() {
            break;
        }
        ended |= is_end;
    }
    passage.heard = ended && sender.heard().await;
}

/// An answer on its way to its asker. Where the asker is gone before it has the end, what is left
/// goes nowhere, which is counted: so late answers show of a sidecar that was paused or cut off.
struct AnswerPassage<'a> {
    dispatcher: &'a Dispatcher,
    heard: bool,
}

impl Drop for AnswerPassage<'_> {
    fn drop(&mut self) {
        if !self.heard {
            let detail = "the asker left before it had the answer's end";
            self.dispatcher.note_dropped(DropCause::CallerGone, detail);
        }
    }
}

/// An operator stops this process: nothing new from now on, and the daemon begins the graceful stop.
fn leave(state: &SidecarState, request: &LeaveRequest) -> PeerReply {
    if request.incarnation != state.incarnation {
        return PeerReply::Unsupported("another run of this process is meant".to_owned());
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
