//! Keys of callers: new, running, kept or unsure.

use std::time::Duration;

use sagespool_claims::KeyDecision;
use sagespool_messages::{
    KeyReply, KeyRequest, KeyState, MemberRole, PeerReply, PeerRequest, RefusalNotice,
    ReserveRequest,
};
use sagespool_types::{ClockTime, KeyDigest, RefusalReason, RunState};

use crate::state::EntryState;

const FIND_LIMIT: Duration = Duration::from_secs(1);

/// What is to be done with a keyed request.
pub(super) enum KeyStart {
    /// Run it.
    New,
    /// Attach, or tell the caller what became of it.
    Known(KeyState),
    /// Refuse.
    Refused(RefusalNotice),
}

/// Looks a key up. A home younger than the retention of answers can't know what an earlier home
/// dispatched, so it asks the sidecars, which do.
pub(super) async fn begin_key(state: &EntryState, order: &ReserveRequest, key: KeyDigest) -> KeyStart {
    match state.keys.begin(key, order.request, order.content, ClockTime::now()) {
        KeyDecision::New => KeyStart::New,
        KeyDecision::Attach(KeyState::At { sidecar, request, content }) => {
            check_place(state, order, key, KeyState::At { sidecar, request, content }).await
        }
        KeyDecision::Attach(known) => KeyStart::Known(known),
        KeyDecision::Unsure => ask_sidecars(state, order, key).await,
    }
}

/// A key placed at a sidecar that knows nothing of it any more, or whose run broke with nobody left
/// to try again, is free for a new run if it may run twice.
async fn check_place(
    state: &EntryState,
    order: &ReserveRequest,
    key: KeyDigest,
    known: KeyState,
) -> KeyStart {
    let KeyState::At { sidecar, request, .. } = known else {
        return KeyStart::Known(known);
    };
    let Some(member) = state.members.find(sidecar) else {
        return lost_place(state, order, key, request);
    };
    let question = KeyRequest { service: order.service.clone(), key, fence: None };
    match ask_sidecar(state, member.address, question).await {
        Some(reply) if reply.sidecar == sidecar => match reply.known {
            Some(KeyState::Unknown { request }) => lost_place(state, order, key, request),
            Some(_) => KeyStart::Known(known),
            None => KeyStart::Known(KeyState::Pending),
        },
        _ if state.members.is_gone(sidecar, ClockTime::now()) => lost_place(state, order, key, request),
        _ => KeyStart::Known(KeyState::Pending),
    }
}

fn lost_place(
    state: &EntryState,
    order: &ReserveRequest,
    key: KeyDigest,
    request: sagespool_types::RequestId,
) -> KeyStart {
    if order.non_idempotent {
        return KeyStart::Known(KeyState::Unknown { request });
    }
    if !state.keys.run_ended(key) {
        return KeyStart::Known(KeyState::Pending);
    }
    state.keys.forget(key, request);
    match state.keys.restart(key, order.request, order.content, ClockTime::now()) {
        true => KeyStart::New,
        false => KeyStart::Known(KeyState::Pending),
    }
}

async fn ask_sidecar(state: &EntryState, address: std::net::SocketAddr, question: KeyRequest) -> Option<KeyReply> {
    match state.link().ask(address, &PeerRequest::FindKey(question), FIND_LIMIT).await {
        Ok(PeerReply::Key(reply)) => Some(reply),
        _ => None,
    }
}

/// Asks every sidecar of the service. One that can't be asked and isn't known to be gone may be
/// running the request, so the honest answer is that the outcome isn't known.
async fn ask_sidecars(state: &EntryState, order: &ReserveRequest, key: KeyDigest) -> KeyStart {
    let sidecars = state.members.live(MemberRole::Sidecar, ClockTime::now());
    let serving = sidecars.into_iter().filter(|member| {
        member.serves.as_ref().is_some_and(|serves| serves.service == order.service)
    });
    let mut asked = Vec::new();
    for member in serving {
        let question = KeyRequest { service: order.service.clone(), key, fence: None };
        let link = state.link().clone();
        let task = smol::spawn(async move {
            let request = PeerRequest::FindKey(question);
            match link.ask(member.address, &request, FIND_LIMIT).await {
                Ok(PeerReply::Key(reply)) => Ok(reply),
                _ => Err(member.incarnation),
            }
        });
        asked.push(task);
    }
    let mut found = None;
    let mut silent = Vec::new();
    for task in asked {
        match task.await {
            Ok(reply) => found = better_state(found, reply.known),
            Err(incarnation) => silent.push(incarnation),
        }
    }
    let now = ClockTime::now();
    if let Some(known) = found {
        if let KeyState::At { sidecar, request, content } = &known {
            state.keys.learn(key, *request, *content, *sidecar, now);
            return KeyStart::Known(known);
        }
        if order.non_idempotent || known == KeyState::OtherContent {
            return KeyStart::Known(known);
        }
    }
    if silent.iter().any(|incarnation| !state.members.is_gone(*incarnation, now)) {
        state.keys.forget(key, order.request);
        return KeyStart::Refused(RefusalNotice {
            reason: RefusalReason::OutcomeUnknown,
            run_state: RunState::Unknown,
            message: "an upstream that may be running a request with this key can't be asked".into(),
            retry_after: Some(Duration::from_secs(2)),
        });
    }
    match state.keys.restart(key, order.request, order.content, now) {
        true => KeyStart::New,
        false => KeyStart::Known(KeyState::Pending),
    }
}

/// A place to attach to is worth more than a note that something ran.
fn better_state(old: Option<KeyState>, new: Option<KeyState>) -> Option<KeyState> {
    match (&old, &new) {
        (Some(KeyState::At { .. }), _) | (_, None) => old,
        _ => new,
    }
}
