//! Returning the unspent part of loans when an instance stops.

use std::sync::Arc;
use std::time::Duration;

use sagespool_log::log_event;
use sagespool_messages::{MemberInfo, MemberRole, PeerReply, PeerRequest, UnspentBudget};
use sagespool_types::{BranchName, ClockTime, TokenCount};
use smol::Task;

use super::BudgetPool;
use super::account::{AccountState, lock};
use crate::fleet::FleetClient;

impl BudgetPool {
    /// Returns the unspent part of loans to the accounts' homes. For a graceful stop: loans aren't
    /// part of the accounts' records, so what isn't returned is lost.
    pub(crate) async fn return_loans(self: &Arc<Self>, fleet: &Arc<FleetClient>, limit: Duration) {
        let accounts: Vec<Arc<AccountState>> = lock(&self.accounts).values().cloned().collect();
        let returning = accounts.into_iter().filter_map(|account| {
            let amount = lock(&account.balance).take_surplus();
            if amount == TokenCount::ZERO {
                return None;
            }
            let unspent = UnspentBudget { branch: account.branch.clone(), amount };
            let fleet = fleet.clone();
            Some(smol::spawn(async move { return_loan(&fleet, unspent, limit).await }))
        });
        let returning: Vec<Task<()>> = returning.collect();
        for task in returning {
            task.await;
        }
    }

    /// Accepts the unspent part of a loan from an instance that stops.
    pub(crate) fn accept_returned_loan(&self, unspent: &UnspentBudget) {
        let account = self.account(&unspent.branch);
        lock(&account.balance).borrow(unspent.amount);
        log_event!(
            info,
            "unspent-budget-accepted",
            branch = unspent.branch,
            amount = unspent.amount
        );
    }
}

async fn return_loan(fleet: &FleetClient, unspent: UnspentBudget, limit: Duration) {
    let (branch, amount) = (unspent.branch.clone(), unspent.amount);
    let Some(recipient) = loan_recipient(fleet, &branch, ClockTime::now()) else {
        log_event!(
            warn,
            "unspent-budget-lost",
            branch = branch,
            amount = amount,
            cause = "no other gateway"
        );
        return;
    };
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
