//! Status queries to members.

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

/// Timeout of one member's reply.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of concurrent queries.
const MAX_CONCURRENT_QUERIES: usize = 64;

/// Members' replies to one round of queries.
#[derive(Debug, Default)]
pub(super) struct MemberReplies {
    pub replies: Vec<StatusReply>,
    pub silent: Vec<SilentMember>,
}

impl MemberReplies {
    /// The members that replied.
    pub fn answered(&self) -> impl Iterator<Item = MemberLabel> + '_ {
        self.replies.iter().map(|reply| MemberLabel::of(&reply.member.info))
    }

    /// The replies by member.
    pub fn by_member(&self) -> HashMap<IncarnationId, &StatusReply> {
        self.replies.iter().map(|reply| (reply.from, reply)).collect()
    }
}

/// The members of a role in this entry's view; of both roles if it is None.
pub(super) fn known_members(state: &EntryState, role: Option<MemberRole>) -> Vec<MemberInfo> {
    let mut members = state.members.members();
    members.retain(|member| role.is_none_or(|role| member.role == role));
    members.sort_by(|a, b| a.instance.cmp(&b.instance));
    members
}

/// Queries members in parallel.
pub(super) async fn query_members(
    state: &Arc<EntryState>,
    members: &[MemberInfo],
    query: &StatusQuery,
) -> MemberReplies {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_QUERIES));
    let tasks = members.iter().map(|member| {
        let (state, member, query) = (Arc::clone(state), member.clone(), query.clone());
        let permits = Arc::clone(&permits);
        smol::spawn(async move {
            let _permit = permits.acquire().await;
            query_member(&state, &member, &query).await
        })
    });
    let tasks: Vec<_> = tasks.collect();
    let mut result = MemberReplies::default();
    for task in tasks {
        match task.await {
            Ok(reply) => result.replies.push(reply),
            Err(silent) => result.silent.push(silent),
        }
    }
    result
}

/// Queries one member. A reply of another incarnation at the same address does not count.
async fn query_member(
    state: &EntryState,
    member: &MemberInfo,
    query: &StatusQuery,
) -> Result<StatusReply, SilentMember> {
    let silent = |why: String| SilentMember { member: MemberLabel::of(member), why };
    if member.incarnation == state.incarnation {
        return Ok(peers::status(state, query));
    }
    let request = PeerRequest::Status(query.clone());
    match state.link().request(member.address, &request, QUERY_TIMEOUT).await {
        Ok(PeerReply::Status(reply)) if reply.from == member.incarnation => Ok(reply),
        Ok(PeerReply::Status(_)) => Err(silent("another incarnation replied".to_owned())),
        Ok(_) => Err(silent("it sent a reply of another type".to_owned())),
        Err(error) => Err(silent(error.to_string())),
    }
}
