//! Borrowing parts of an account's budget from other gateways.

use std::sync::Arc;
use std::time::Duration;

use async_channel::bounded;
use futures_util::future::join_all;
use sagespool_link::within;
use sagespool_messages::{LendReply, LendRequest, MemberInfo, MemberRole, PeerReply, PeerRequest};
use sagespool_types::{ClockTime, IncarnationId, TokenCount};

use super::BudgetOrder;
use super::account::{AccountDesk, lock};
use crate::fleet::FleetBoard;

/// A loan is a round trip of a millisecond or two.
const LEND_LIMIT: Duration = Duration::from_millis(60);
/// A home may have to ask the store first, which takes some milliseconds.
const HOME_LIMIT: Duration = Duration::from_millis(150);
/// A loan that comes later than its request waited is still taken for so long.
const LATE_LIMIT: Duration = Duration::from_millis(1500);
/// Gateways that are asked beside each other. Each may lend all that is wanted, and what is too
/// much lies idle here.
const ASKED_AT_ONCE: usize = 8;

/// What became of asking others for a loan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct LoanRound {
    /// What they lent.
    pub(super) lent: TokenCount,
    /// True if everyone who is known answered.
    pub(super) complete: bool,
}

/// How much is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct LoanSize {
    /// What a request misses.
    pub(super) missing: TokenCount,
    /// For the requests of the time ahead; a home may lend less.
    pub(super) ahead: TokenCount,
}

/// Who is asked for a loan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Lenders {
    /// Every gateway: only then is it known that nobody has enough.
    All,
    /// The runs that the account's book named.
    Only(Vec<IncarnationId>),
}

/// Asks other gateways for a loan, until there is enough.
///
/// While the store is away only those are asked that the book named: with each request asking each
/// of seventy gateways in turn, a busy one spent its processor on questions, and its callers waited
/// for seconds.
pub(super) async fn borrow(
    fleet: &Arc<FleetBoard>,
    account: &Arc<AccountDesk>,
    order: &BudgetOrder,
    wanted: TokenCount,
    lenders: Lenders,
) -> LoanRound {
    let mut others = fleet.others(MemberRole::Entry, ClockTime::now());
    // Whoever isn't fit to be asked may hold something.
    let mut complete = others.len() + 1 >= fleet.count(MemberRole::Entry);
    if let Lenders::Only(runs) = lenders {
        complete = false;
        others.retain(|other| runs.contains(&other.incarnation));
    }
    let mut lent = TokenCount::ZERO;
    for some in others.chunks(ASKED_AT_ONCE) {
        let missing = LoanSize { missing: wanted.less(lent), ahead: TokenCount::ZERO };
        let request = lend_request(fleet, order, missing, false);
        let ask = |other| ask_for_loan(fleet, account, other, request.clone(), LEND_LIMIT);
        for answer in join_all(some.iter().map(ask)).await {
            match answer {
                Some(reply) => lent += reply.lent,
                None => complete = false,
            }
        }
        if lent >= wanted {
            break;
        }
    }
    LoanRound { lent, complete }
}

/// Asks an account's home for a part of what it holds. Nothing if this gateway is the home, or the
/// home doesn't answer.
///
/// Without a home, each of many gateways takes its own small grants out of one book, and their
/// writes cross: on the users' small site a request cost one write and a half. The home's grants
/// serve all, and its word that the book is spent saves the others from reading it: with 31
/// gateways such readings were a third of all calls of the store.
pub(super) async fn borrow_at_home(
    fleet: &Arc<FleetBoard>,
    account: &Arc<AccountDesk>,
    order: &BudgetOrder,
    size: LoanSize,
) -> Option<LendReply> {
    let home = fleet.members.home_of(&order.branch, ClockTime::now())?;
    if home.incarnation == fleet.run {
        return None;
    }
    let request = lend_request(fleet, order, size, true);
    ask_for_loan(fleet, account, &home, request, HOME_LIMIT).await
}

fn lend_request(
    fleet: &FleetBoard,
    order: &BudgetOrder,
    size: LoanSize,
    as_home: bool,
) -> PeerRequest {
    PeerRequest::Lend(LendRequest {
        branch: order.branch.clone(),
        wanted: size.missing + size.ahead,
        ahead: size.ahead,
        version: order.version,
        borrower: fleet.run,
        as_home,
    })
}

/// A loan on its way to the request that asked for it. If nobody takes it, it goes to the account's
/// balance.
///
/// Guards against loans that are lost: what a lender gave counts as spent there, and a busy instance
/// sees the answer only after its request has given up, or its caller has gone. Such losses add up to
/// refusals of what a total would cover.
struct ArrivedLoan {
    account: Arc<AccountDesk>,
    reply: LendReply,
    taken: bool,
}

impl ArrivedLoan {
    fn take(mut self) -> LendReply {
        self.taken = true;
        self.reply
    }
}

impl Drop for ArrivedLoan {
    fn drop(&mut self) {
        if !self.taken {
            lock(&self.account.balance).borrow(self.reply.lent);
        }
    }
}

/// Asks one gateway. Whoever waits for the answer takes what is lent.
async fn ask_for_loan(
    fleet: &Arc<FleetBoard>,
    account: &Arc<AccountDesk>,
    lender: &MemberInfo,
    request: PeerRequest,
    limit: Duration,
) -> Option<LendReply> {
    let (sender, arrived) = bounded(1);
    let (fleet, account, address) = (fleet.clone(), account.clone(), lender.address);
    smol::spawn(async move {
        if let Ok(PeerReply::Lend(reply)) = fleet.ask(address, &request, LATE_LIMIT).await {
            // Dropped with its channel if nobody waits any more.
            let _ = sender.try_send(ArrivedLoan { account, reply, taken: false });
        }
    })
    .detach();
    let loan = within(limit, arrived.recv()).await?.ok()?;
    Some(loan.take())
}
