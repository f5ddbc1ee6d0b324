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

const QUERY_TIMEOUT: Duration = Duration::from_secs(1);
const QUERY_RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Subtracted from a request's time so that a refusal reaches the caller before its deadline.
const REFUSAL_MARGIN: Duration = Duration::from_millis(50);

/// What to do with a keyed request.
pub(super) enum KeyStart {
    /// Run it.
    New,
    /// Run it again: it ran or may have run before, and its answer is not available.
    Rerun,
    /// Attach to the earlier run, or return its outcome.
    Known(KeyState),
    /// Refuse.
    Refused(RefusalNotice),
}

/// Registers a key for a request, unless it is known. Only the time since this entry became the
/// branch's home counts, not the uptime of the process: keys registered with an earlier home are
/// not known here.
fn begin(state: &EntryState, reserve_request: &ReserveRequest, key: KeyDigest) -> KeyDecision {
    let now = ClockTime::now();
    let since = state.members.home_since(&home_name(&reserve_request.branch), now).unwrap_or(now);
    state.keys.begin_since(key, reserve_request.request, reserve_request.content, since, now)
}

/// Looks a key up. A home that is younger than the retention of answers lacks what an earlier home
/// dispatched, so it queries the sidecars.
pub(super) async fn begin_key(
    state: &EntryState,
    reserve_request: &ReserveRequest,
    key: KeyDigest,
) -> KeyStart {
    match begin(state, reserve_request, key) {
        KeyDecision::New => KeyStart::New,
        KeyDecision::Unsure => query_sidecars(state, reserve_request, key).await,
        KeyDecision::Attach(KeyState::Unknown { request }) => {
            rerun(state, reserve_request, key, request).await
        }
        KeyDecision::Attach(KeyState::At { sidecar, request, content }) => {
            check_placement(state, reserve_request, key, (sidecar, request, content)).await
        }
        KeyDecision::Attach(known) => KeyStart::Known(known),
    }
}

/// Checks a key's placement with its sidecar, which decides. The run may be lost: the sidecar is
/// gone, or the run failed together with its entry.
async fn check_placement(
    state: &EntryState,
    reserve_request: &ReserveRequest,
    key: KeyDigest,
    placement: (IncarnationId, RequestId, sagespool_types::ContentDigest),
) -> KeyStart {
    let (sidecar, request, content) = placement;
    let known = KeyState::At { sidecar, request, content };
    let gone = || state.members.is_gone(sidecar, ClockTime::now());
    let Some(member) = state.members.find(sidecar) else {
        return if gone() {
            rerun(state, reserve_request, key, request).await
        } else {
            KeyStart::Known(known)
        };
    };
    let key_request = KeyRequest { service: reserve_request.service.clone(), key, fence: None };
    match query_sidecar(state, member.address, key_request).await {
        Some(reply) if reply.sidecar != sidecar => {
            rerun(state, reserve_request, key, request).await
        }
        Some(KeyReply { known: Some(KeyState::Unknown { request }), .. }) => {
            rerun(state, reserve_request, key, request).await
        }
        // Placed, but not dispatched or never to be dispatched; its entry will report the outcome.
        Some(KeyReply { known: None, .. }) => KeyStart::Known(KeyState::Pending),
        Some(_) => KeyStart::Known(known),
        None if gone() => rerun(state, reserve_request, key, request).await,
        None => KeyStart::Known(KeyState::Pending),
    }
}

/// Handles a run whose answer is no longer available: it runs again if it is idempotent.
async fn rerun(
    state: &EntryState,
    reserve_request: &ReserveRequest,
    key: KeyDigest,
    lost: RequestId,
) -> KeyStart {
    if reserve_request.non_idempotent {
        return KeyStart::Known(KeyState::Unknown { request: lost });
    }
    state.keys.forget(key, lost);
    let start = match begin(state, reserve_request, key) {
        KeyDecision::New => KeyStart::New,
        KeyDecision::Unsure => query_sidecars(state, reserve_request, key).await,
        KeyDecision::Attach(_) => KeyStart::Known(KeyState::Pending),
    };
    match start {
        KeyStart::New => KeyStart::Rerun,
        start => start,
    }
}

async fn query_sidecar(
    state: &EntryState,
    address: SocketAddr,
    key_request: KeyRequest,
) -> Option<KeyReply> {
    match state.link().request(address, &PeerRequest::FindKey(key_request), QUERY_TIMEOUT).await {
        Ok(PeerReply::Key(reply)) => Some(reply),
        _ => None,
    }
}

/// Queries the sidecars of the service. Unreachable ones are queried again until they reply or are
/// taken for gone, which is a few seconds after a sidecar's death; without the retries every new
/// key would be refused until then.
async fn query_sidecars(
    state: &EntryState,
    reserve_request: &ReserveRequest,
    key: KeyDigest,
) -> KeyStart {
    let deadline = ClockTime::now().after(reserve_request.time_left.saturating_sub(REFUSAL_MARGIN));
    loop {
        let verdict = look_up(state, reserve_request, key).await;
        if let Some(start) = resolve_lookup(state, reserve_request, key, verdict) {
            return start;
        }
        if ClockTime::now() >= deadline {
            state.keys.forget(key, reserve_request.request);
            return KeyStart::Refused(unreachable_sidecar_refusal());
        }
        smol::Timer::after(QUERY_RETRY_PAUSE).await;
    }
}

/// Queries every sidecar of the service in parallel.
async fn look_up(
    state: &EntryState,
    reserve_request: &ReserveRequest,
    key: KeyDigest,
) -> LookupOutcome {
    let sidecars = state.members.live(MemberRole::Sidecar, ClockTime::now());
    let serving = sidecars.into_iter().filter(|member| {
        member.serves.as_ref().is_some_and(|serves| serves.service == reserve_request.service)
    });
    let serving: Vec<_> = serving.collect();
    let ids: Vec<IncarnationId> = serving.iter().map(|member| member.incarnation).collect();
    let mut lookup = KeyLookup::new(ids, []);
    let mut tasks = Vec::new();
    for member in serving {
        let key_request = KeyRequest { service: reserve_request.service.clone(), key, fence: None };
        let link = state.link().clone();
        let task = smol::spawn(async move {
            let request = PeerRequest::FindKey(key_request);
            let reply = link.request(member.address, &request, QUERY_TIMEOUT).await;
            (member.incarnation, reply)
        });
        tasks.push(task);
    }
    for task in tasks {
        match task.await {
            (incarnation, Ok(PeerReply::Key(reply))) => lookup.record_reply(incarnation, &reply),
            (incarnation, _) => lookup.record_failure(incarnation),
        }
    }
    lookup.verdict()
}

fn unreachable_sidecar_refusal() -> RefusalNotice {
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
fn resolve_lookup(
    state: &EntryState,
    reserve_request: &ReserveRequest,
    key: KeyDigest,
    verdict: LookupOutcome,
) -> Option<KeyStart> {
    let now = ClockTime::now();
    let mut start = KeyStart::New;
    let silent = match verdict {
        LookupOutcome::Found(KeyState::Unknown { .. }) if !reserve_request.non_idempotent => {
            start = KeyStart::Rerun;
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
    if unsure && !reserve_request.non_idempotent {
        return None;
    }
    match state.keys.try_acquire(key, reserve_request.request, reserve_request.content, now) {
        true => Some(start),
        false => Some(KeyStart::Known(KeyState::Pending)),
    }
}
