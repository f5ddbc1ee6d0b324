//! Returning the unspent part of loans when an instance stops.

use std::sync::Arc;
use std::time::Duration;

use sagespool_log::log_event;
use sagespool_messages::{BudgetRest, MemberInfo, MemberRole, PeerReply, PeerRequest};
use sagespool_types::{BranchName, ClockTime, TokenCount};
use smol::Task;

use super::BudgetPool;
use super::account::{AccountState, lock};
use crate::fleet::FleetClient;

impl BudgetPool {
    /// Returns the unspent part of loans to the accounts' homes. For a graceful stop: loans aren't
    /// recorded in the books, so what isn't returned is lost to the accounts.
    pub(crate) async fn return_loans(self: &Arc<Self>, fleet: &Arc<FleetClient>, limit: Duration) {
        let accounts: Vec<Arc<AccountState>> = lock(&self.accounts).values().cloned().collect();
        let returning = accounts.into_iter().filter_map(|account| {
            let amount = lock(&account.balance).take_surplus();
            if amount == TokenCount::ZERO {
                return None;
            }
            let rest = BudgetRest { branch: account.branch.clone(), amount };
            let fleet = fleet.clone();
            Some(smol::spawn(async move { return_loan(&fleet, rest, limit).await }))
        });
        let returning: Vec<Task<()>> = returning.collect();
        for task in returning {
            task.await;
        }
    }

    /// Accepts the unspent part of a loan from an instance that stops.
    pub(crate) fn accept_returned_loan(&self, rest: &BudgetRest) {
        let account = self.account(&rest.branch);
        lock(&account.balance).borrow(rest.amount);
        log_event!(info, "rest-taken", branch = rest.branch, amount = rest.amount);
    }
}

async fn return_loan(fleet: &FleetClient, rest: BudgetRest, limit: Duration) {
    let (branch, amount) = (rest.branch.clone(), rest.amount);
    let Some(recipient) = loan_recipient(fleet, &branch, ClockTime::now()) else {
        log_event!(warn, "rest-lost", branch = branch, amount = amount, cause = "no other gateway");
        return;
    };
    // Sent once: after a lost reply, a retry could credit the amount twice.
    match fleet.call(recipient.address, &PeerRequest::ReturnRest(rest), limit).await {
        Ok(PeerReply::Done) => {
            log_event!(
                info,
                "rest-returned",
                branch = branch,
                amount = amount,
                to = recipient.instance
            );
        }
        _ => {
            log_event!(warn, "rest-lost", branch = branch, amount = amount, to = recipient.instance)
        }
    }
}

/// The recipient of an account's unspent loans: its home, or else any gateway that isn't leaving.
fn loan_recipient(fleet: &FleetClient, branch: &BranchName, now: ClockTime) -> Option<MemberInfo> {
    let stays = |member: &MemberInfo| member.incarnation != fleet.run && !member.leaving;
    let home = fleet.members.home_of(branch, now).filter(stays);
    home.or_else(|| fleet.others(MemberRole::Entry, now).into_iter().find(stays))
}
