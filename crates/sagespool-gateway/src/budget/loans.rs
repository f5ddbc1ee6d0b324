//! Borrowing from other gateways' grants of an account.

use std::sync::Arc;
use std::time::Duration;

use async_channel::bounded;
use futures_util::future::join_all;
use sagespool_link::within;
use sagespool_messages::{LendReply, LendRequest, MemberInfo, MemberRole, PeerReply, PeerRequest};
use sagespool_types::{ClockTime, IncarnationId, TokenCount};

use super::BudgetRequest;
use super::account::{AccountState, lock};
use crate::fleet::FleetClient;

/// Timeout of a loan from a gateway; the round trip takes 1 to 2 ms.
const LOAN_TIMEOUT: Duration = Duration::from_millis(60);
/// Timeout of a loan from the home, which may have to call the store first (some milliseconds).
const HOME_LOAN_TIMEOUT: Duration = Duration::from_millis(150);
/// A loan that arrives after its request's timeout is still accepted within this time.
const LATE_LOAN_TIMEOUT: Duration = Duration::from_millis(1500);
/// Gateways queried concurrently. Each may lend the full amount, and the excess stays unused here.
const CONCURRENT_QUERIES: usize = 8;

/// The result of querying other gateways for loans.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct LoanOutcome {
    pub(super) lent: TokenCount,
    /// True if every run that may have free tokens replied.
    pub(super) complete: bool,
}

/// The amount of a requested loan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct LoanAmount {
    /// What the current request lacks.
    pub(super) missing: TokenCount,
    /// For future requests; the home may lend less.
    pub(super) ahead: TokenCount,
}

/// Borrows from other runs until the wanted amount is reached.
pub(super) async fn borrow(
    fleet: &Arc<FleetClient>,
    account: &Arc<AccountState>,
    budget: &BudgetRequest,
    wanted: TokenCount,
    lenders: &[IncarnationId],
) -> LoanOutcome {
    let now = ClockTime::now();
    let mut others = fleet.others(MemberRole::Entry, now);
    others.retain(|other| lenders.contains(&other.incarnation));
    // A suspected or unreachable run isn't queried but may have free tokens. An ended run has none.
    let is_away = |run: &&IncarnationId| {
        **run != fleet.run
            && fleet.members.find(**run).is_some()
            && !fleet.members.is_gone(**run, now)
            && !others.iter().any(|other| other.incarnation == **run)
    };
    let mut complete = !lenders.iter().any(|run| is_away(&run));
    let mut lent = TokenCount::ZERO;
    for batch in others.chunks(CONCURRENT_QUERIES) {
        let missing = LoanAmount { missing: wanted.saturating_sub(lent), ahead: TokenCount::ZERO };
        let request = lend_request(fleet, budget, missing, false);
        let request_grant =
            |other| request_loan(fleet, account, other, request.clone(), LOAN_TIMEOUT);
        for answer in join_all(batch.iter().map(request_grant)).await {
            match answer {
                Some(reply) => lent += reply.lent,
                None => complete = false,
            }
        }
        if lent >= wanted {
            break;
        }
    }
    LoanOutcome { lent, complete }
}

/// Borrows from the account's home. `None` if this gateway is the home or the home doesn't reply.
///
/// Without a home, every gateway takes small grants from the same record and their writes conflict:
/// in a small deployment a request cost 1.5 writes. The home's grants serve all gateways, and a
/// shortage that it reports saves the others from reading the record: with 31 gateways these reads
/// were a third of all calls of the store.
pub(super) async fn borrow_at_home(
    fleet: &Arc<FleetClient>,
    account: &Arc<AccountState>,
    budget: &BudgetRequest,
    size: LoanAmount,
) -> Option<LendReply> {
    let home = fleet.members.home_of(&budget.branch, ClockTime::now())?;
    if home.incarnation == fleet.run {
        return None;
    }
    let request = lend_request(fleet, budget, size, true);
    request_loan(fleet, account, &home, request, HOME_LOAN_TIMEOUT).await
}

fn lend_request(
    fleet: &FleetClient,
    budget: &BudgetRequest,
    size: LoanAmount,
    as_home: bool,
) -> PeerRequest {
    PeerRequest::Lend(LendRequest {
        branch: budget.branch.clone(),
        wanted: size.missing + size.ahead,
        ahead: size.ahead,
        version: budget.version,
        borrower: fleet.run,
        as_home,
    })
}

/// A loan on its way to the request that it was requested for. If that request no longer waits, the
/// loan is added to the account's free tokens.
///
/// Guards against lost loans: the lender counts the amount as spent, and a busy borrower may see
/// the reply only after its request has timed out or its caller has disconnected. Such losses add
/// up, and requests that the total would cover are refused.
struct PendingLoan {
    account: Arc<AccountState>,
    reply: LendReply,
    taken: bool,
}

impl PendingLoan {
    fn take(mut self) -> LendReply {
        self.taken = true;
        self.reply
    }
}

impl Drop for PendingLoan {
    fn drop(&mut self) {
        if !self.taken {
            lock(&self.account.balance).borrow(self.reply.lent);
        }
    }
}

/// Requests a loan from one gateway.
async fn request_loan(
    fleet: &Arc<FleetClient>,
    account: &Arc<AccountState>,
    lender: &MemberInfo,
    request: PeerRequest,
    limit: Duration,
) -> Option<LendReply> {
    let (sender, arrived) = bounded(1);
    let (fleet, account, address) = (fleet.clone(), account.clone(), lender.address);
    smol::spawn(async move {
        if let Ok(PeerReply::Lend(reply)) = fleet.call(address, &request, LATE_LOAN_TIMEOUT).await {
            // Dropped with the channel if the request no longer waits.
            let _ = sender.try_send(PendingLoan { account, reply, taken: false });
        }
    })
    .detach();
    let loan = within(limit, arrived.recv()).await?.ok()?;
    Some(loan.take())
}
