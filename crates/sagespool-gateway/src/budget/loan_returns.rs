//! Returning the unspent part of loans.

use std::sync::Arc;
use std::time::Duration;

use sagespool_log::log_event;
use sagespool_messages::{MemberInfo, MemberRole, PeerReply, PeerRequest, UnspentBudget};
use sagespool_types::{BranchName, ClockTime, TokenCount};
use smol::Task;

use super::BudgetPool;
use super::account::{AccountState, lock};
use crate::fleet::FleetClient;

/// Timeout of the confirmation of loans returned in the background.
const IDLE_RETURN_TIMEOUT: Duration = Duration::from_secs(2);

impl BudgetPool {
    /// Returns the unspent part of loans to the accounts' homes. For a graceful stop: loans aren't
    /// part of the accounts' records, so what isn't returned is lost.
    pub(crate) async fn return_loans(self: &Arc<Self>, fleet: &Arc<FleetClient>, limit: Duration) {
        let take = |account: &AccountState| lock(&account.balance).take_surplus();
        for task in self.return_each(fleet, limit, take) {
            task.await;
        }
    }

    /// Returns the unspent part of loans for accounts that are idle here, in the background.
    ///
    /// Guards against an account whose last tokens lie at hundreds of instances: each request borrows
    /// its maximum cost and uses less, and an instance may see the account's next request after
    /// minutes.
    pub(crate) fn return_idle_loans(self: &Arc<Self>, fleet: &Arc<FleetClient>, now: ClockTime) {
        let take = |account: &AccountState| match account.has_idle_surplus(now) {
            true if !fleet.is_home(&account.branch, now) => lock(&account.balance).take_surplus(),
            _ => TokenCount::ZERO,
        };
        self.return_each(fleet, IDLE_RETURN_TIMEOUT, take).into_iter().for_each(Task::detach);
    }

    fn return_each(
        self: &Arc<Self>,
        fleet: &Arc<FleetClient>,
        limit: Duration,
        take: impl Fn(&AccountState) -> TokenCount,
    ) -> Vec<Task<()>> {
        let accounts: Vec<Arc<AccountState>> = lock(&self.accounts).values().cloned().collect();
        let returning = accounts.into_iter().filter_map(|account| {
            let amount = take(&account);
            if amount == TokenCount::ZERO {
                return None;
            }
            let fleet = fleet.clone();
            Some(smol::spawn(async move { return_loan(&fleet, &account, amount, limit).await }))
        });
        returning.collect()
    }

    /// Accepts the unspent part of a loan.
    pub(crate) fn accept_returned_loan(&self, unspent: &UnspentBudget) {
        self.account(&unspent.branch).accept_returned(unspent.amount);
        log_event!(
            info,
            "unspent-budget-accepted",
            branch = unspent.branch,
            amount = unspent.amount
        );
    }
}

async fn return_loan(
    fleet: &FleetClient,
    account: &AccountState,
    amount: TokenCount,
    limit: Duration,
) {
    let branch = account.branch.clone();
    let Some(recipient) = loan_recipient(fleet, &branch, ClockTime::now()) else {
        account.keep_unreturned(amount, ClockTime::now());
        log_event!(
            warn,
            "unspent-budget-lost",
            branch = branch,
            amount = amount,
            cause = "no other gateway"
        );
        return;
    };
    let unspent = UnspentBudget { branch: branch.clone(), amount };
    // Sent once: after a lost reply, a retry could credit the amount twice.
    match fleet.call(recipient.address, &PeerRequest::ReturnRest(unspent), limit).await {
        Ok(PeerReply::Done) => {
            log_event!(
                info,
                "unspent-budget-returned",
                branch = branch,
                amount = amount,
                to = recipient.instance
            );
        }
        Err(error) if error.definitely_not_handled() => {
            account.keep_unreturned(amount, ClockTime::now());
        }
        _ => {
            log_event!(
                warn,
                "unspent-budget-lost",
                branch = branch,
                amount = amount,
                to = recipient.instance
            )
        }
    }
}

/// The recipient of an account's unspent loans: its home, or else any gateway that isn't leaving.
fn loan_recipient(fleet: &FleetClient, branch: &BranchName, now: ClockTime) -> Option<MemberInfo> {
    let stays = |member: &MemberInfo| member.incarnation != fleet.run && !member.leaving;
    let home = fleet.members.home_of(branch, now).filter(stays);
    home.or_else(|| fleet.others(MemberRole::Entry, now).into_iter().find(stays))
}
