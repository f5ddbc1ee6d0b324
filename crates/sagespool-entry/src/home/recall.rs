//! Recalling unspent grants of other holders, and returning grants that another home recalls.

use std::net::SocketAddr;
use std::time::Duration;

use sagespool_ledger::{BudgetShortfall, book_of};
use sagespool_log::log_event;
use sagespool_messages::{PeerReply, PeerRequest, RecallReply, RecallRequest};
use sagespool_types::{BranchName, ClockTime, GrantId, IncarnationId, TokenCount};

use super::books::{WriteCause, write_book};
use crate::state::EntryState;

const RECALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The sum of the replies to a recall.
#[derive(Default)]
pub(super) struct RecallSum {
    /// Amount that other holders returned to the book.
    pub(super) returned: TokenCount,
    /// Amount that other holders have reserved for running requests.
    pub(super) running: TokenCount,
    /// Amount that holders which did not reply may have.
    pub(super) unanswered: TokenCount,
}

/// The grants to recall: other holders' grants that are not in doubt, and those in doubt whose
/// holder is live.
///
/// Guards against a false refusal: a home behind a partition is taken for dead and its grants are
/// sealed, while a sidecar that has the charges has restarted. After the partition the holder can
/// account for them at once. A holder that is gone is not waited for.
pub(super) fn grants_to_recall(
    state: &EntryState,
    shortfall: BudgetShortfall,
) -> Vec<(GrantId, IncarnationId, TokenCount)> {
    let now = ClockTime::now();
    let lives = |holder: IncarnationId| {
        state.members.find(holder).is_some() && !state.members.is_gone(holder, now)
    };
    let in_doubt = shortfall.grants_in_doubt.into_iter().filter(|(_, holder, _)| lives(*holder));
    shortfall.other_grants.into_iter().chain(in_doubt).collect()
}

fn holders(others: &[(GrantId, IncarnationId, TokenCount)]) -> Vec<IncarnationId> {
    let mut holders: Vec<IncarnationId> = others.iter().map(|(_, holder, _)| *holder).collect();
    holders.sort_unstable();
    holders.dedup();
    holders
}

/// Sends a recall to every other holder of the branch's grants.
pub(super) async fn recall_others(
    state: &EntryState,
    branch: &BranchName,
    wanted: TokenCount,
    others: &[(GrantId, IncarnationId, TokenCount)],
) -> RecallSum {
    let request = PeerRequest::Recall(RecallRequest { branch: branch.clone(), wanted });
    let mut sum = RecallSum::default();
    let mut tasks = Vec::new();
    for holder in holders(others) {
        let held = others.iter().filter(|(_, other, _)| *other == holder);
        let held: TokenCount = held.map(|(_, _, rest)| *rest).sum();
        let Some(member) = state.members.find(holder) else {
            sum.unanswered += held;
            continue;
        };
        let (link, request) = (state.link().clone(), request.clone());
        let task = smol::spawn(async move { recall_from(&link, member.address, &request).await });
        tasks.push((held, task));
    }
    for (held, reply) in tasks {
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

async fn recall_from(
    link: &sagespool_link::LinkEndpoint,
    address: SocketAddr,
    request: &PeerRequest,
) -> Option<RecallReply> {
    match link.request(address, request, RECALL_TIMEOUT).await {
        Ok(PeerReply::Recall(reply)) => Some(reply),
        _ => None,
    }
}

/// Returns what this home holds of a branch and does not need. The return is durable before the
/// reply is sent.
pub(crate) async fn handle_recall(state: &EntryState, request: &RecallRequest) -> RecallReply {
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
