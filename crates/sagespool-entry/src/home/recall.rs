//! Recalling unspent grants: asking other holders, and giving back when asked.

use std::net::SocketAddr;
use std::time::Duration;

use sagespool_ledger::{BudgetShortfall, book_of};
use sagespool_log::log_event;
use sagespool_messages::{PeerReply, PeerRequest, RecallReply, RecallRequest};
use sagespool_types::{BranchName, ClockTime, GrantId, IncarnationId, TokenCount};

use super::books::{WriteCause, write_book};
use crate::state::EntryState;

const RECALL_LIMIT: Duration = Duration::from_secs(2);

/// What a round of recalls brought.
#[derive(Default)]
pub(super) struct RecallSum {
    /// What the others gave back to the book.
    pub(super) returned: TokenCount,
    /// What the others have reserved for running requests.
    pub(super) running: TokenCount,
    /// What those that didn't answer may hold.
    pub(super) unanswered: TokenCount,
}

/// The grants to ask for: those that aren't in doubt, and of the others those whose holder lives.
///
/// Guards against refusals for what is in doubt only by mistake: a home that was cut off was taken for
/// dead, its grants were sealed, and a sidecar that could tell what ran had restarted. After the
/// partition it can account for them at once. One that is gone isn't waited for.
pub(super) fn to_ask(
    state: &EntryState,
    short: BudgetShortfall,
) -> Vec<(GrantId, IncarnationId, TokenCount)> {
    let now = ClockTime::now();
    let lives = |holder: IncarnationId| {
        state.members.find(holder).is_some() && !state.members.is_gone(holder, now)
    };
    let doubted = short.grants_in_doubt.into_iter().filter(|(_, holder, _)| lives(*holder));
    short.other_grants.into_iter().chain(doubted).collect()
}

fn holders(others: &[(GrantId, IncarnationId, TokenCount)]) -> Vec<IncarnationId> {
    let mut holders: Vec<IncarnationId> = others.iter().map(|(_, holder, _)| *holder).collect();
    holders.sort_unstable();
    holders.dedup();
    holders
}

/// Asks every other holder of the branch's grants for what it doesn't need.
pub(super) async fn recall_others(
    state: &EntryState,
    branch: &BranchName,
    wanted: TokenCount,
    others: &[(GrantId, IncarnationId, TokenCount)],
) -> RecallSum {
    let request = PeerRequest::Recall(RecallRequest { branch: branch.clone(), wanted });
    let mut sum = RecallSum::default();
    let mut asked = Vec::new();
    for holder in holders(others) {
        let held = others.iter().filter(|(_, other, _)| *other == holder);
        let held: TokenCount = held.map(|(_, _, rest)| *rest).sum();
        let Some(member) = state.members.find(holder) else {
            sum.unanswered += held;
            continue;
        };
        let (link, request) = (state.link().clone(), request.clone());
        let task = smol::spawn(async move { ask_holder(&link, member.address, &request).await });
        asked.push((held, task));
    }
    for (held, reply) in asked {
        match reply.await {
            Some(reply) => {
                sum.returned += reply.returned;
                sum.running += reply.running;
            }
            None => sum.unanswered += held,
        }
    }
    sum
}

async fn ask_holder(
    link: &sagespool_link::LinkEndpoint,
    address: SocketAddr,
    request: &PeerRequest,
) -> Option<RecallReply> {
    match link.ask(address, request, RECALL_LIMIT).await {
        Ok(PeerReply::Recall(reply)) => Some(reply),
        _ => None,
    }
}

/// Gives back what this home holds of a branch and doesn't need, durable before it says so.
pub(crate) async fn give_back(state: &EntryState, request: &RecallRequest) -> RecallReply {
    let returned = state.ledger.return_unspent(&request.branch, request.wanted, ClockTime::now());
    let written = write_book(state, book_of(&request.branch), WriteCause::Recall).await;
    let running = state.ledger.returnable(&request.branch);
    let returned = if written.is_ok() { returned } else { TokenCount::ZERO };
    log_event!(
        info,
        "grant-recalled",
        branch = request.branch,
        wanted = request.wanted,
        returned = returned,
        running = running,
        written = written.is_ok()
    );
    RecallReply { returned, running }
}
