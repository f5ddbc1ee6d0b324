//! Keys of callers: new, running, kept or unsure.

use std::net::SocketAddr;
use std::time::Duration;

use sagespool_claims::{KeyDecision, KeyLookup, LookupOutcome};
use sagespool_messages::{
    KeyReply, KeyRequest, KeyState, MemberRole, PeerReply, PeerRequest, RefusalNotice,
    ReserveRequest,
};
use sagespool_types::{ClockTime, IncarnationId, KeyDigest, RefusalReason, RequestId, RunState};

use super::place::home_name;
use crate::state::EntryState;

const FIND_LIMIT: Duration = Duration::from_secs(1);
const ASK_AGAIN: Duration = Duration::from_millis(250);
/// Kept back from a request's time, so that a refusal reaches the caller before its deadline.
const ANSWER_MARGIN: Duration = Duration::from_millis(50);

/// What is to be done with a keyed request.
pub(super) enum KeyStart {
    /// Run it.
    New,
    /// Run it again: it ran before, or may have, and that answer can't be had.
    Again,
    /// Attach, or tell the caller what became of it.
    Known(KeyState),
    /// Refuse.
    Refused(RefusalNotice),
}

/// Takes a key for a request, unless it is known. What an earlier home of the branch was told isn't
/// known here, however long this process has run, so only the time as the branch's home counts.
fn begin(state: &EntryState, order: &ReserveRequest, key: KeyDigest) -> KeyDecision {
    let now = ClockTime::now();
    let since = state.members.home_since(&home_name(&order.branch), now).unwrap_or(now);
    state.keys.begin_since(key, order.request, order.content, since, now)
}

/// Looks a key up. A home younger than the retention of answers can't know what an earlier home
/// dispatched, so it asks the sidecars, which do.
pub(super) async fn begin_key(
    state: &EntryState,
    order: &ReserveRequest,
    key: KeyDigest,
) -> KeyStart {
    match begin(state, order, key) {
        KeyDecision::New => KeyStart::New,
        KeyDecision::Unsure => ask_sidecars(state, order, key).await,
        KeyDecision::Attach(KeyState::Unknown { request }) => {
            run_again(state, order, key, request).await
        }
        KeyDecision::Attach(KeyState::At { sidecar, request, content }) => {
            check_place(state, order, key, (sidecar, request, content)).await
        }
        KeyDecision::Attach(known) => KeyStart::Known(known),
    }
}

/// A key placed at a sidecar may have lost its run since: the sidecar is gone, or the run broke and
/// its entry with it. The sidecar's own word decides.
async fn check_place(
    state: &EntryState,
    order: &ReserveRequest,
    key: KeyDigest,
    place: (IncarnationId, RequestId, sagespool_types::ContentDigest),
) -> KeyStart {
    let (sidecar, request, content) = place;
    let known = KeyState::At { sidecar, request, content };
    let gone = || state.members.is_gone(sidecar, ClockTime::now());
    let Some(member) = state.members.find(sidecar) else {
        return if gone() {
            run_again(state, order, key, request).await
        } else {
            KeyStart::Known(known)
        };
    };
    let question = KeyRequest { service: order.service.clone(), key, fence: None };
    match ask_sidecar(state, member.address, question).await {
        Some(reply) if reply.sidecar != sidecar => run_again(state, order, key, request).await,
        Some(KeyReply { known: Some(KeyState::Unknown { request }), .. }) => {
            run_again(state, order, key, request).await
        }
        // Placed, and not dispatched yet or never: its entry is about to tell.
        Some(KeyReply { known: None, .. }) => KeyStart::Known(KeyState::Pending),
        Some(_) => KeyStart::Known(known),
        None if gone() => run_again(state, order, key, request).await,
        None => KeyStart::Known(KeyState::Pending),
    }
}

/// A run whose answer can't be had any more: it is run again if it may run twice.
async fn run_again(
    state: &EntryState,
    order: &ReserveRequest,
    key: KeyDigest,
    lost: RequestId,
) -> KeyStart {
    if order.non_idempotent {
        return KeyStart::Known(KeyState::Unknown { request: lost });
    }
    state.keys.forget(key, lost);
    let start = match begin(state, order, key) {
        KeyDecision::New => KeyStart::New,
        KeyDecision::Unsure => ask_sidecars(state, order, key).await,
        KeyDecision::Attach(_) => KeyStart::Known(KeyState::Pending),
    };
    match start {
        KeyStart::New => KeyStart::Again,
        start => start,
    }
}

async fn ask_sidecar(
    state: &EntryState,
    address: SocketAddr,
    question: KeyRequest,
) -> Option<KeyReply> {
    match state.link().ask(address, &PeerRequest::FindKey(question), FIND_LIMIT).await {
        Ok(PeerReply::Key(reply)) => Some(reply),
        _ => None,
    }
}

/// Asks the sidecars of the service, and again those that can't be asked until they answer or are
/// believed gone: at a sidecar's death that is a few seconds, against refusing every new key until
/// then.
async fn ask_sidecars(state: &EntryState, order: &ReserveRequest, key: KeyDigest) -> KeyStart {
    let deadline = ClockTime::now().after(order.time_left.saturating_sub(ANSWER_MARGIN));
    loop {
        let verdict = inquire(state, order, key).await;
        if let Some(start) = judge_inquiry(state, order, key, verdict) {
            return start;
        }
        if ClockTime::now() >= deadline {
            state.keys.forget(key, order.request);
            return KeyStart::Refused(unasked_notice());
        }
        smol::Timer::after(ASK_AGAIN).await;
    }
}

/// Asks every sidecar of the service at the same time.
async fn inquire(state: &EntryState, order: &ReserveRequest, key: KeyDigest) -> LookupOutcome {
    let sidecars = state.members.live(MemberRole::Sidecar, ClockTime::now());
    let serving = sidecars.into_iter().filter(|member| {
        member.serves.as_ref().is_some_and(|serves| serves.service == order.service)
    });
    let serving: Vec<_> = serving.collect();
    let ids: Vec<IncarnationId> = serving.iter().map(|member| member.incarnation).collect();
    let mut lookup = KeyLookup::new(ids, []);
    let mut asked = Vec::new();
    for member in serving {
        let question = KeyRequest { service: order.service.clone(), key, fence: None };
        let link = state.link().clone();
        let task = smol::spawn(async move {
            let request = PeerRequest::FindKey(question);
            let reply = link.ask(member.address, &request, FIND_LIMIT).await;
            (member.incarnation, reply)
        });
        asked.push(task);
    }
    for task in asked {
        match task.await {
            (incarnation, Ok(PeerReply::Key(reply))) => lookup.record_reply(incarnation, &reply),
            (incarnation, _) => lookup.record_failure(incarnation),
        }
    }
    lookup.verdict()
}

fn unasked_notice() -> RefusalNotice {
    RefusalNotice {
        reason: RefusalReason::OutcomeUnknown,
        run_state: RunState::Unknown,
        message: "an upstream that may be running a request with this key can't be asked".into(),
        retry_after: Some(Duration::from_secs(2)),
    }
}

/// What the sidecars' answers mean; nothing if some have to be asked again.
///
/// One that can't be asked and isn't known to be gone may be running the request. For a request that
/// may run twice a second run would be a second bill; for one that may not, the store's claim
/// decides.
fn judge_inquiry(
    state: &EntryState,
    order: &ReserveRequest,
    key: KeyDigest,
    verdict: LookupOutcome,
) -> Option<KeyStart> {
    let now = ClockTime::now();
    let mut start = KeyStart::New;
    let silent = match verdict {
        LookupOutcome::Found(KeyState::Unknown { .. }) if !order.non_idempotent => {
            start = KeyStart::Again;
            Vec::new()
        }
        LookupOutcome::Found(known) => {
            if let KeyState::At { sidecar, request, content } = known {
                state.keys.record_found(key, request, content, sidecar, now);
            }
            return Some(KeyStart::Known(known));
        }
        LookupOutcome::NeverSeen | LookupOutcome::Open => Vec::new(),
        LookupOutcome::Incomplete(silent) => silent,
    };
    let unsure = silent.iter().any(|incarnation| !state.members.is_gone(*incarnation, now));
    if unsure && !order.non_idempotent {
        return None;
    }
    match state.keys.try_acquire(key, order.request, order.content, now) {
        true => Some(start),
        false => Some(KeyStart::Known(KeyState::Pending)),
    }
}
