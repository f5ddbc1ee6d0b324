//! `request` and `key`: what the claims in the store and the sidecars hold on them.

use std::sync::Arc;
use std::time::Duration;

use sagespool_claims::{CLAIM_SHARDS, ClaimsRecord, claim_key, claim_shard};
use sagespool_messages::{
    KeyRequest, KeyState, MemberInfo, MemberRole, PeerReply, PeerRequest, StatusQuery,
};
use sagespool_operations::{
    AnswerBody, HistoryAnswer, HistoryFact, HistoryNote, HistorySource, MemberLabel, SilentMember,
};
use sagespool_platform::StoreError;
use sagespool_types::{BranchName, KeyDigest, RequestId};

use super::AnswerWithBasis;
use super::basis::BasisBuilder;
use super::status_query::{MemberReplies, known_members, query_members};
use crate::state::EntryState;

const MAX_LISTED_REQUESTS: u32 = 5000;
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Answers `request`.
pub(super) async fn of_request(state: &Arc<EntryState>, request: RequestId) -> AnswerWithBasis {
    let mut basis = BasisBuilder::new();
    let sidecars = known_members(state, Some(MemberRole::Sidecar));
    let query = StatusQuery { branch: None, running: MAX_LISTED_REQUESTS };
    let replies = query_members(state, &sidecars, &query).await;
    basis.add_replies(&replies);
    let mut notes = running_notes(&replies, request);
    basis.note_store_read(state.objects.seen_revision());
    let claims = claims_of(state, request).await;
    let mut key = None;
    match &claims {
        Ok(found) => {
            key = found.first().map(|(key, _)| *key);
            notes.extend(found.iter().map(|(_, note)| note.clone()));
        }
        Err(error) => basis.note_store_error(error),
    }
    let is_cut = replies.replies.iter().any(|reply| reply.running_cut);
    let complete = replies.silent.is_empty() && claims.is_ok() && !is_cut;
    let answer = HistoryAnswer {
        about: format!("request {request}"),
        key,
        conclusion: conclude_request(&notes, complete),
        notes,
    };
    (AnswerBody::History(answer), basis)
}

fn running_notes(replies: &MemberReplies, request: RequestId) -> Vec<HistoryNote> {
    let mut notes = Vec::new();
    for reply in &replies.replies {
        for running in reply.running.iter().filter(|running| running.request == request) {
            let fact = HistoryFact::Running {
                request,
                attempt: running.attempt,
                branch: running.branch.clone(),
                class: running.class.clone(),
                running_ms: running.running_for.as_millis() as u64,
                used: running.used,
            };
            let source = HistorySource::Sidecar(reply.member.info.instance.clone());
            notes.push(HistoryNote { source, fact });
        }
    }
    notes
}

async fn claims_of(
    state: &EntryState,
    request: RequestId,
) -> Result<Vec<(KeyDigest, HistoryNote)>, StoreError> {
    let mut found = Vec::new();
    for shard in 0..CLAIM_SHARDS {
        let Some(stored) = state.objects.get::<ClaimsRecord>(&claim_key(shard)).await? else {
            continue;
        };
        let claims = stored.value.claims.iter().filter(|(_, claim)| claim.request == request);
        found.extend(claims.map(|(key, claim)| (*key, claim_note(*key, claim))));
    }
    Ok(found)
}

fn claim_note(key: KeyDigest, claim: &sagespool_claims::ClaimEntry) -> HistoryNote {
    let fact = HistoryFact::Claimed {
        key,
        request: claim.request,
        content: claim.content,
        sidecar: claim.sidecar,
        attempt: claim.attempt,
        at: claim.at,
    };
    HistoryNote { source: HistorySource::Store, fact }
}

fn conclude_request(notes: &[HistoryNote], complete: bool) -> String {
    let runs = notes.iter().any(|note| matches!(note.fact, HistoryFact::Running { .. }));
    let text = match (runs, notes.is_empty(), complete) {
        (true, ..) => "it runs now",
        (false, false, true) => {
            "it runs at no sidecar that this entry knows; `key` and the processes' logs (request=ID) may show \
             whether it ran to its end"
        }
        (false, true, true) => {
            "it runs at no sidecar that this entry knows, and no claim of the last half hour names it; \
             only the processes' logs (request=ID) show whether it ran before"
        }
        (false, _, false) => "it may run at a sidecar that did not answer or listed only a part",
    };
    text.to_owned()
}

/// Answers `key`.
pub(super) async fn of_key(
    state: &Arc<EntryState>,
    branch: &BranchName,
    key: &str,
) -> AnswerWithBasis {
    let mut basis = BasisBuilder::new();
    let digest = KeyDigest::of(branch, key);
    basis.note_store_read(state.objects.seen_revision());
    let stored = state.objects.get::<ClaimsRecord>(&claim_key(claim_shard(digest))).await;
    let mut notes = Vec::new();
    match &stored {
        Ok(stored) => {
            notes.extend(stored.iter().filter_map(|stored| claimed(&stored.value, digest)))
        }
        Err(error) => basis.note_store_error(error),
    }
    let sidecars = known_members(state, Some(MemberRole::Sidecar));
    let replies = query_key(state, &sidecars, digest).await;
    notes.extend(replies.notes);
    let complete = replies.silent.is_empty() && stored.is_ok();
    basis.add_round(replies.answered.into_iter(), &replies.silent);
    let answer = HistoryAnswer {
        about: format!("key {key} of {branch}"),
        key: Some(digest),
        conclusion: conclude_key(&notes, complete),
        notes,
    };
    (AnswerBody::History(answer), basis)
}

fn claimed(record: &ClaimsRecord, key: KeyDigest) -> Option<HistoryNote> {
    if let Some(claim) = record.find(key) {
        return Some(claim_note(key, claim));
    }
    let fact = HistoryFact::ClaimedLongAgo { key };
    record.is_claimed(key).then_some(HistoryNote { source: HistorySource::Store, fact })
}

/// Sidecars' replies on a key.
#[derive(Default)]
struct KeyReplies {
    notes: Vec<HistoryNote>,
    answered: Vec<MemberLabel>,
    silent: Vec<SilentMember>,
}

/// Queries every sidecar, without a fence: a query must not block a request.
async fn query_key(state: &Arc<EntryState>, sidecars: &[MemberInfo], key: KeyDigest) -> KeyReplies {
    let tasks = sidecars.iter().cloned().map(|sidecar| {
        let state = Arc::clone(state);
        smol::spawn(async move { (query_sidecar(&state, &sidecar, key).await, sidecar) })
    });
    let tasks: Vec<_> = tasks.collect();
    let mut replies = KeyReplies::default();
    for task in tasks {
        let (answer, sidecar) = task.await;
        let member = MemberLabel::of(&sidecar);
        match answer {
            Ok(known) => {
                let source = HistorySource::Sidecar(sidecar.instance.clone());
                let fact = known.and_then(key_fact);
                replies.notes.extend(fact.map(|fact| HistoryNote { source, fact }));
                replies.answered.push(member);
            }
            Err(why) => replies.silent.push(SilentMember { member, why }),
        }
    }
    replies
}

async fn query_sidecar(
    state: &EntryState,
    sidecar: &MemberInfo,
    key: KeyDigest,
) -> Result<Option<KeyState>, String> {
    let Some(served) = &sidecar.serves else {
        return Err("it has not reported yet what it serves".to_owned());
    };
    let key_request = KeyRequest { service: served.service.clone(), key, fence: None };
    let reply = state
        .link()
        .request(sidecar.address, &PeerRequest::FindKey(key_request), QUERY_TIMEOUT)
        .await;
    match reply {
        Ok(PeerReply::Key(reply)) if reply.sidecar == sidecar.incarnation => Ok(reply.known),
        Ok(_) => Err("another incarnation replied".to_owned()),
        Err(error) => Err(error.to_string()),
    }
}

fn key_fact(known: KeyState) -> Option<HistoryFact> {
    match known {
        KeyState::At { request, .. } => Some(HistoryFact::AnswerHere { request }),
        KeyState::Unknown { request } => Some(HistoryFact::AnswerLost { request }),
        KeyState::Pending => Some(HistoryFact::Pending),
        KeyState::OtherContent => None,
    }
}

fn conclude_key(notes: &[HistoryNote], complete: bool) -> String {
    let has_answer = notes.iter().any(|note| matches!(note.fact, HistoryFact::AnswerHere { .. }));
    let text = match (has_answer, notes.is_empty(), complete) {
        (true, ..) => "a caller that sends the key again receives that request's answer",
        (false, false, _) => {
            "the key was used, and no sidecar that answered has its answer: a caller that sends it again \
             is refused with an unknown outcome, unless a sidecar that did not answer has it"
        }
        (false, true, true) => {
            "when they were queried, the store had no claim and no sidecar that this entry knows had the \
             key: no non-idempotent request had run under it within the retention of keys; an idempotent \
             one may have run and been dropped"
        }
        (false, true, false) => "nothing was found; a process that did not answer may have it",
    };
    text.to_owned()
}
