//! `request` and `key`: what the store's claims and the sidecars know.

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

use super::DraftedAnswer;
use super::ask::{MemberReplies, ask_members, known_members};
use super::basis::BasisDraft;
use crate::state::EntryState;

const MOST_LISTED: u32 = 5000;
const ASK_LIMIT: Duration = Duration::from_secs(1);

/// Answers `request`.
pub(super) async fn of_request(state: &Arc<EntryState>, request: RequestId) -> DraftedAnswer {
    let mut draft = BasisDraft::begin();
    let sidecars = known_members(state, Some(MemberRole::Sidecar));
    let query = StatusQuery { branch: None, running: MOST_LISTED };
    let replies = ask_members(state, &sidecars, &query).await;
    draft.take_replies(&replies);
    let mut notes = running_notes(&replies, request);
    draft.store_stands_at(state.objects.seen_revision());
    let claims = claims_of(state, request).await;
    let mut key = None;
    match &claims {
        Ok(found) => {
            key = found.first().map(|(key, _)| *key);
            notes.extend(found.iter().map(|(_, note)| note.clone()));
        }
        Err(error) => draft.store_silent(error),
    }
    let is_cut = replies.replies.iter().any(|reply| reply.running_cut);
    let complete = replies.silent.is_empty() && claims.is_ok() && !is_cut;
    let answer = HistoryAnswer {
        about: format!("request {request}"),
        key,
        conclusion: conclude_request(&notes, complete),
        notes,
    };
    (AnswerBody::History(answer), draft)
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
            "it runs at no sidecar that this entry knows; whether it ran to its end, `key` may tell, and \
             the processes' logs (request=ID)"
        }
        (false, true, true) => {
            "it runs at no sidecar that this entry knows, and no claim of the last half hour names it; \
             whether it ran before isn't kept beside the processes' logs (request=ID)"
        }
        (false, _, false) => "it may run at a sidecar that didn't answer or listed only a part",
    };
    text.to_owned()
}

/// Answers `key`.
pub(super) async fn of_key(
    state: &Arc<EntryState>,
    branch: &BranchName,
    key: &str,
) -> DraftedAnswer {
    let mut draft = BasisDraft::begin();
    let digest = KeyDigest::of(branch, key);
    draft.store_stands_at(state.objects.seen_revision());
    let stored = state.objects.get::<ClaimsRecord>(&claim_key(claim_shard(digest))).await;
    let mut notes = Vec::new();
    match &stored {
        Ok(stored) => {
            notes.extend(stored.iter().filter_map(|stored| claimed(&stored.value, digest)))
        }
        Err(error) => draft.store_silent(error),
    }
    let sidecars = known_members(state, Some(MemberRole::Sidecar));
    let words = ask_key(state, &sidecars, digest).await;
    notes.extend(words.notes);
    let complete = words.silent.is_empty() && stored.is_ok();
    draft.take_round(words.answered.into_iter(), &words.silent);
    let answer = HistoryAnswer {
        about: format!("key {key} of {branch}"),
        key: Some(digest),
        conclusion: conclude_key(&notes, complete),
        notes,
    };
    (AnswerBody::History(answer), draft)
}

fn claimed(record: &ClaimsRecord, key: KeyDigest) -> Option<HistoryNote> {
    if let Some(claim) = record.find(key) {
        return Some(claim_note(key, claim));
    }
    let fact = HistoryFact::ClaimedLongAgo { key };
    record.is_claimed(key).then_some(HistoryNote { source: HistorySource::Store, fact })
}

/// What sidecars said of a key.
#[derive(Default)]
struct KeyWords {
    notes: Vec<HistoryNote>,
    answered: Vec<MemberLabel>,
    silent: Vec<SilentMember>,
}

/// Asks every sidecar, without a fence: a question must not bar a request.
async fn ask_key(state: &Arc<EntryState>, sidecars: &[MemberInfo], key: KeyDigest) -> KeyWords {
    let asked = sidecars.iter().cloned().map(|sidecar| {
        let state = Arc::clone(state);
        smol::spawn(async move { (ask_sidecar(&state, &sidecar, key).await, sidecar) })
    });
    let asked: Vec<_> = asked.collect();
    let mut words = KeyWords::default();
    for asking in asked {
        let (answer, sidecar) = asking.await;
        let member = MemberLabel::of(&sidecar);
        match answer {
            Ok(known) => {
                let source = HistorySource::Sidecar(sidecar.instance.clone());
                let fact = known.and_then(key_fact);
                words.notes.extend(fact.map(|fact| HistoryNote { source, fact }));
                words.answered.push(member);
            }
            Err(why) => words.silent.push(SilentMember { member, why }),
        }
    }
    words
}

async fn ask_sidecar(
    state: &EntryState,
    sidecar: &MemberInfo,
    key: KeyDigest,
) -> Result<Option<KeyState>, String> {
    let Some(served) = &sidecar.serves else {
        return Err("it hasn't told yet what it serves".to_owned());
    };
    let question = KeyRequest { service: served.service.clone(), key, fence: None };
    let reply = state.link().ask(sidecar.address, &PeerRequest::FindKey(question), ASK_LIMIT).await;
    match reply {
        Ok(PeerReply::Key(reply)) if reply.sidecar == sidecar.incarnation => Ok(reply.known),
        Ok(_) => Err("another run of it answers".to_owned()),
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
        (true, ..) => "a caller who sends the key again is given that request's answer",
        (false, false, _) => {
            "the key was used, and no sidecar that answered has its answer: a caller who sends it again \
             is told that the outcome is unknown, unless one that didn't answer has it"
        }
        (false, true, true) => {
            "when they were asked, no claim was in the store and no sidecar that this entry knows \
             remembered the key: a request that may never run twice had not run under it within the \
             retention of keys; another may have run where it is forgotten"
        }
        (false, true, false) => "nothing is known of it here; who didn't answer may know it",
    };
    text.to_owned()
}
