//! `running`, `upstreams`, `members` and `quarantine`.

use std::collections::HashMap;
use std::sync::Arc;

use sagespool_claims::{QUARANTINE_KEY, QuarantineRecord};
use sagespool_messages::{MemberInfo, MemberRole, ServedUpstream, StatusQuery, StatusReply};
use sagespool_operations::{
    AnswerBody, FENCES_PREFIX, FenceRecord, MemberLabel, MemberRow, MembersAnswer,
    QuarantineAnswer, QuarantineRow, RunningAnswer, RunningRow, UpstreamRow, UpstreamState,
    UpstreamsAnswer,
};
use sagespool_platform::StoreError;
use sagespool_types::BranchName;

use super::ask::{ask_members, known_members};
use super::basis::BasisDraft;
use super::{DraftedAnswer, OperatorRefusal, is_known, unknown_branch};
use crate::state::EntryState;

/// Requests that one sidecar lists; its answer stays far below a frame of the link.
const MOST_LISTED: u32 = 2000;

const LOAD_NOTE: &str =
    "running, waiting and tokens/s are as the upstream reported last, with a lag";

/// Answers `running`.
pub(super) async fn running(
    state: &Arc<EntryState>,
    line: &str,
    branch: Option<BranchName>,
) -> Result<DraftedAnswer, OperatorRefusal> {
    if let Some(branch) = branch.as_ref().filter(|branch| !is_known(state, branch)) {
        return Err(unknown_branch(state, line, branch));
    }
    let mut draft = BasisDraft::begin();
    let sidecars = known_members(state, Some(MemberRole::Sidecar));
    let query = StatusQuery { branch, running: MOST_LISTED };
    let replies = ask_members(state, &sidecars, &query).await;
    draft.take_replies(&replies);
    draft.note("each sidecar speaks of its own moment; one that didn't answer may run more");
    let cut = replies.replies.iter().filter(|reply| reply.running_cut);
    let answer = RunningAnswer {
        rows: replies.replies.iter().flat_map(running_rows).collect(),
        cut: cut.map(|reply| reply.member.info.instance.clone()).collect(),
    };
    Ok((AnswerBody::Running(answer), draft))
}

fn running_rows(reply: &StatusReply) -> Vec<RunningRow> {
    let info = &reply.member.info;
    let row = |running: &sagespool_messages::RunningRequest| RunningRow {
        instance: info.instance.clone(),
        upstream: info.serves.as_ref().map(|served| served.upstream.clone()),
        request: running.request,
        attempt: running.attempt,
        branch: running.branch.clone(),
        class: running.class.clone(),
        running_ms: running.running_for.as_millis() as u64,
        used: running.used,
    };
    reply.running.iter().map(row).collect()
}

/// Answers `upstreams`.
pub(super) async fn upstreams(state: &Arc<EntryState>) -> DraftedAnswer {
    let mut draft = BasisDraft::begin();
    let sidecars = known_members(state, Some(MemberRole::Sidecar));
    let replies = ask_members(state, &sidecars, &StatusQuery { branch: None, running: 0 }).await;
    draft.take_replies(&replies);
    draft.note(LOAD_NOTE);
    draft.store_stands_at(state.objects.seen_revision());
    let fences = read_fences(state).await;
    if let Err(error) = &fences {
        draft.store_silent(error);
    }
    let answered = replies.by_member();
    let rows = sidecars.iter().filter_map(|sidecar| {
        let reply = answered.get(&sidecar.incarnation).copied();
        upstream_row(sidecar, reply, fences.as_ref().ok())
    });
    (AnswerBody::Upstreams(UpstreamsAnswer { rows: rows.collect() }), draft)
}

/// The newest order to each upstream.
async fn read_fences(state: &EntryState) -> Result<HashMap<String, FenceRecord>, StoreError> {
    let listing = state.objects.list::<FenceRecord>(FENCES_PREFIX).await?;
    let named = listing.items.into_iter().filter_map(|(key, stored)| {
        Some((key.strip_prefix(FENCES_PREFIX)?.to_owned(), stored.value))
    });
    Ok(named.collect())
}

/// An upstream as its sidecar says now; as it said last where it doesn't answer.
fn upstream_row(
    sidecar: &MemberInfo,
    reply: Option<&StatusReply>,
    fences: Option<&HashMap<String, FenceRecord>>,
) -> Option<UpstreamRow> {
    let info = reply.map_or(sidecar, |reply| &reply.member.info);
    let served = info.serves.as_ref()?;
    let drain_ordered = fences
        .map(|fences| fences.get(served.upstream.as_str()).is_some_and(|record| record.drained));
    Some(UpstreamRow {
        upstream: served.upstream.clone(),
        service: served.service.clone(),
        kind: served.kind,
        sidecar: MemberLabel::of(info),
        centre: info.centre.clone(),
        // The instance list may know that it leaves before its sidecar does.
        state: upstream_state(info, served, reply.is_some(), drain_ordered, sidecar.leaving),
        in_flight: reply.map(|reply| reply.member.in_flight),
        running: served.load.running,
        waiting: served.load.waiting,
        capacity: served.capacity,
        tokens_per_second: served.load.tokens_per_second,
        models: served.models.clone(),
        drain_ordered,
    })
}

/// A sidecar shows a drained upstream as not healthy; that it was ordered to is in the store.
fn upstream_state(
    info: &MemberInfo,
    served: &ServedUpstream,
    answered: bool,
    drain_ordered: Option<bool>,
    is_known_leaving: bool,
) -> UpstreamState {
    match (answered, info.leaving || is_known_leaving, served.healthy, drain_ordered) {
        (false, ..) => UpstreamState::Silent,
        (true, true, ..) => UpstreamState::Leaving,
        (true, false, true, _) => UpstreamState::Serving,
        (true, false, false, Some(true)) => UpstreamState::Drained,
        (true, false, false, _) => UpstreamState::Unhealthy,
    }
}

/// Answers `members`.
pub(super) async fn members(state: &Arc<EntryState>) -> DraftedAnswer {
    let mut draft = BasisDraft::begin();
    let members = known_members(state, None);
    let replies = ask_members(state, &members, &StatusQuery { branch: None, running: 0 }).await;
    draft.take_replies(&replies);
    draft.note("these are the processes that the answering entry knows");
    let answered = replies.by_member();
    let rows = members.iter().map(|member| {
        let reply = answered.get(&member.incarnation).copied();
        member_row(reply.map_or(member, |reply| &reply.member.info), reply)
    });
    (AnswerBody::Members(MembersAnswer { rows: rows.collect() }), draft)
}

fn member_row(info: &MemberInfo, reply: Option<&StatusReply>) -> MemberRow {
    MemberRow {
        member: MemberLabel::of(info),
        centre: info.centre.clone(),
        address: info.address,
        leaving: info.leaving,
        config: info.config,
        up_ms: reply.map(|reply| reply.member.up_for.as_millis() as u64),
        in_flight: reply.map(|reply| reply.member.in_flight),
    }
}

/// Answers `quarantine`, from the store: a verdict holds once it is there.
pub(super) async fn quarantine(state: &Arc<EntryState>) -> DraftedAnswer {
    let mut draft = BasisDraft::begin();
    draft.store_stands_at(state.objects.seen_revision());
    let rows = match state.objects.get::<QuarantineRecord>(QUARANTINE_KEY).await {
        Ok(stored) => {
            let record = stored.map(|stored| stored.value).unwrap_or_default();
            Some(quarantine_rows(&record))
        }
        Err(error) => {
            draft.store_silent(&error);
            None
        }
    };
    draft.note("a request is stopped at some entries a moment before its verdict is in the store");
    (AnswerBody::Quarantine(QuarantineAnswer { rows }), draft)
}

fn quarantine_rows(record: &QuarantineRecord) -> Vec<QuarantineRow> {
    let row = |(content, entry): (&_, &sagespool_claims::QuarantineEntry)| QuarantineRow {
        content: *content,
        since: entry.at,
        crashes: entry.crashes.iter().cloned().collect(),
    };
    record.stopped().map(row).collect()
}
