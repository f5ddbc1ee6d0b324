//! Callers' idempotency keys: new, running, answered or of unknown state.

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
/// Subtracted from a request's time so that a refusal reaches the caller before its deadline.
const ANSWER_MARGIN: Duration = Duration::from_millis(50);

/// What to do with a keyed request.
pub(super) enum KeyStart {
    /// Run it.
    New,
    /// Run it again: it ran or may have run before, and its answer is not available.
    Again,
    /// Attach to the earlier run, or return its outcome.
    Known(KeyState),
    /// Refuse.
    Refused(RefusalNotice),
}

/// Registers a key for a request, unless it is known. Only the time since this entry became the
/// branch's home counts, not the uptime of the process: keys registered with an earlier home are
/// not known here.
fn begin(state: &EntryState, order: &ReserveRequest, key: KeyDigest) -> KeyDecision {
    let now = ClockTime::now();
    let since = state.members.home_since(&home_name(&order.branch), now).unwrap_or(now);
    state.keys.begin_since(key, order.request, order.content, since, now)
}

/// Looks a key up. A home that is younger than the retention of answers lacks what an earlier home
/// dispatched, so it queries the sidecars.
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

/// Checks a key's placement with its sidecar, which decides. The run may be lost: the sidecar is
/// gone, or the run failed together with its entry.
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
        // Placed, but not dispatched or never to be dispatched; its entry will report the outcome.
        Some(KeyReply { known: None, .. }) => KeyStart::Known(KeyState::Pending),
        Some(_) => KeyStart::Known(known),
        None if gone() => run_again(state, order, key, request).await,
        None => KeyStart::Known(KeyState::Pending),
    }
}

/// Handles a run whose answer is no longer available: it runs again if it is idempotent.
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

/// Queries the sidecars of the service. Unreachable ones are queried again until they reply or are
/// taken for gone, which is a few seconds after a sidecar's death; without the retries every new
/// key would be refused until then.
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

/// Queries every sidecar of the service in parallel.
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
        message: "an upstream that may be running a request with this key is unreachable".into(),
        retry_after: Some(Duration::from_secs(2)),
    }
}

/// Decides on the sidecars' replies. None if some sidecars must be queried again.
///
/// A sidecar that is unreachable and not known to be gone may be running the request. For an
/// idempotent request a second run would be billed twice; for a non-idempotent one the claim in the
/// store decides.
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
