//! Asking members for their state.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use async_lock::Semaphore;
use sagespool_messages::{
    MemberInfo, MemberRole, PeerReply, PeerRequest, StatusQuery, StatusReply,
};
use sagespool_operations::{MemberLabel, SilentMember};
use sagespool_types::IncarnationId;

use crate::peers;
use crate::state::EntryState;

/// How long a member may take.
const ASK_LIMIT: Duration = Duration::from_secs(1);
/// Members asked at once.
const MOST_AT_ONCE: usize = 64;

/// What members said in one round of questions.
#[derive(Debug, Default)]
pub(super) struct MemberReplies {
    pub replies: Vec<StatusReply>,
    pub silent: Vec<SilentMember>,
}

impl MemberReplies {
    /// The members that answered.
    pub fn answered(&self) -> impl Iterator<Item = MemberLabel> + '_ {
        self.replies.iter().map(|reply| MemberLabel::of(&reply.member.info))
    }

    /// The answers by who gave them.
    pub fn by_member(&self) -> HashMap<IncarnationId, &StatusReply> {
        self.replies.iter().map(|reply| (reply.from, reply)).collect()
    }
}

/// The members of a role that this entry knows; both roles if none is named.
pub(super) fn known_members(state: &EntryState, role: Option<MemberRole>) -> Vec<MemberInfo> {
    let mut members = state.members.members();
    members.retain(|member| role.is_none_or(|role| member.role == role));
    members.sort_by(|a, b| a.instance.cmp(&b.instance));
    members
}

/// Asks members, all at the same time.
pub(super) async fn ask_members(
    state: &Arc<EntryState>,
    members: &[MemberInfo],
    query: &StatusQuery,
) -> MemberReplies {
    let turns = Arc::new(Semaphore::new(MOST_AT_ONCE));
    let asked = members.iter().map(|member| {
        let (state, member, query) = (Arc::clone(state), member.clone(), query.clone());
        let turns = Arc::clone(&turns);
        smol::spawn(async move {
            let _turn = turns.acquire().await;
            ask_member(&state, &member, &query).await
        })
    });
    let asked: Vec<_> = asked.collect();
    let mut answer = MemberReplies::default();
    for asking in asked {
        match asking.await {
            Ok(reply) => answer.replies.push(reply),
            Err(silent) => answer.silent.push(silent),
        }
    }
    answer
}

/// Asks one member. The answer of another run of the process at the same address isn't its own.
async fn ask_member(
    state: &EntryState,
    member: &MemberInfo,
    query: &StatusQuery,
) -> Result<StatusReply, SilentMember> {
    let silent = |why: String| SilentMember { member: MemberLabel::of(member), why };
    if member.incarnation == state.incarnation {
        return Ok(peers::status(state, query));
    }
    let request = PeerRequest::Status(query.clone());
    match state.link().ask(member.address, &request, ASK_LIMIT).await {
        Ok(PeerReply::Status(reply)) if reply.from == member.incarnation => Ok(reply),
        Ok(PeerReply::Status(_)) => Err(silent("another run of it answers".to_owned())),
        Ok(_) => Err(silent("it answered something else".to_owned())),
        Err(error) => Err(silent(error.to_string())),
    }
}
