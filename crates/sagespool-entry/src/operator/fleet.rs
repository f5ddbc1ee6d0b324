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

use super::basis::BasisBuilder;
use super::status_query::{known_members, query_members};
use super::{AnswerWithBasis, OperatorRefusal, is_known, unknown_branch};
use crate::state::EntryState;

/// Number of requests that one sidecar lists; its reply stays far below the frame limit of the
/// link.
const MAX_LISTED_REQUESTS: u32 = 2000;

const LOAD_NOTE: &str =
    "running, waiting and tokens/s are the upstream's last report, which lags behind";

/// Answers `running`.
pub(super) async fn running(
    state: &Arc<EntryState>,
    line: &str,
    branch: Option<BranchName>,
) -> Result<AnswerWithBasis, OperatorRefusal> {
    if let Some(branch) = branch.as_ref().filter(|branch| !is_known(state, branch)) {
        return Err(unknown_branch(state, line, branch));
    }
    let mut basis = BasisBuilder::new();
    let sidecars = known_members(state, Some(MemberRole::Sidecar));
    let query = StatusQuery { branch, running: MAX_LISTED_REQUESTS };
    let replies = query_members(state, &sidecars, &query).await;
    basis.add_replies(&replies);
    basis.note("each sidecar reports its own point in time; one that did not answer may run more");
    let cut = replies.replies.iter().filter(|reply| reply.running_cut);
    let answer = RunningAnswer {
        rows: replies.replies.iter().flat_map(running_rows).collect(),
        cut: cut.map(|reply| reply.member.info.instance.clone()).collect(),
    };
    Ok((AnswerBody::Running(answer), basis))
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
pub(super) async fn upstreams(state: &Arc<EntryState>) -> AnswerWithBasis {
    let mut basis = BasisBuilder::new();
    let sidecars = known_members(state, Some(MemberRole::Sidecar));
    let replies = query_members(state, &sidecars, &StatusQuery { branch: None, running: 0 }).await;
    basis.add_replies(&replies);
    basis.note(LOAD_NOTE);
    basis.note_store_read(state.objects.seen_revision());
    let fences = read_fences(state).await;
    if let Err(error) = &fences {
        basis.note_store_error(error);
    }
    let answered = replies.by_member();
    let rows = sidecars.iter().filter_map(|sidecar| {
        let reply = answered.get(&sidecar.incarnation).copied();
        upstream_row(sidecar, reply, fences.as_ref().ok())
    });
    (AnswerBody::Upstreams(UpstreamsAnswer { rows: rows.collect() }), basis)
}

/// The newest order to each upstream that has one; `None` if it can't be decoded.
async fn read_fences(
    state: &EntryState,
) -> Result<HashMap<String, Option<FenceRecord>>, StoreError> {
    let listing = state.objects.list::<FenceRecord>(FENCES_PREFIX).await?;
    let read = listing.items.into_iter().map(|(key, stored)| (key, Some(stored.value)));
    let unreadable = listing.unreadable.into_iter().map(|key| (key, None));
    let named = read
        .chain(unreadable)
        .filter_map(|(key, fence)| Some((key.strip_prefix(FENCES_PREFIX)?.to_owned(), fence)));
    Ok(named.collect())
}

/// An upstream as its sidecar reports it now, or as last reported if the sidecar does not reply.
fn upstream_row(
    sidecar: &MemberInfo,
    reply: Option<&StatusReply>,
    fences: Option<&HashMap<String, Option<FenceRecord>>>,
) -> Option<UpstreamRow> {
    let info = reply.map_or(sidecar, |reply| &reply.member.info);
    let served = info.serves.as_ref()?;
    let drain_ordered = fences.and_then(|fences| match fences.get(served.upstream.as_str()) {
        Some(fence) => fence.as_ref().map(|fence| fence.drained),
        None => Some(false),
    });
    Some(UpstreamRow {
        upstream: served.upstream.clone(),
        service: served.service.clone(),
        kind: served.kind,
        sidecar: MemberLabel::of(info),
        centre: info.centre.clone(),
        // The instance list may show it as leaving before its sidecar does.
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

/// A sidecar reports a drained upstream as unhealthy; the drain order is in the store.
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
pub(super) async fn members(state: &Arc<EntryState>) -> AnswerWithBasis {
    let mut basis = BasisBuilder::new();
    let members = known_members(state, None);
    let replies = query_members(state, &members, &StatusQuery { branch: None, running: 0 }).await;
    basis.add_replies(&replies);
    basis.note("these are the processes in the answering entry's view");
    let answered = replies.by_member();
    let rows = members.iter().map(|member| {
        let reply = answered.get(&member.incarnation).copied();
        member_row(reply.map_or(member, |reply| &reply.member.info), reply)
    });
    (AnswerBody::Members(MembersAnswer { rows: rows.collect() }), basis)
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

/// Answers `quarantine` from the store: a verdict is in force once it is there.
pub(super) async fn quarantine(state: &Arc<EntryState>) -> AnswerWithBasis {
    let mut basis = BasisBuilder::new();
    basis.note_store_read(state.objects.seen_revision());
    let rows = match state.objects.get::<QuarantineRecord>(QUARANTINE_KEY).await {
        Ok(stored) => {
            let record = stored.map(|stored| stored.value).unwrap_or_default();
            Some(quarantine_rows(&record))
        }
        Err(error) => {
            basis.note_store_error(&error);
            None
        }
    };
    basis.note("some entries refuse a request shortly before its verdict is in the store");
    (AnswerBody::Quarantine(QuarantineAnswer { rows }), basis)
}

fn quarantine_rows(record: &QuarantineRecord) -> Vec<QuarantineRow> {
    let row = |(content, entry): (&_, &sagespool_claims::QuarantineEntry)| QuarantineRow {
        content: *content,
        since: entry.at,
        crashes: entry.crashes.iter().cloned().collect(),
    };
    record.stopped().map(row).collect()
}
