//! What was prepaid when, as the load tool itself commanded it.

use std::collections::BTreeMap;

use sagespool_types::{BranchName, ClockTime, TokenCount};

/// Deposits by branch, in order of time.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DepositLog {
    deposits: BTreeMap<BranchName, Vec<(ClockTime, TokenCount)>>,
    begun: BTreeMap<BranchName, Vec<(ClockTime, TokenCount)>>,
}

impl DepositLog {
    /// Notes that a deposit is about to be made: it may take effect from this moment on, or never.
    pub fn begin(&mut self, branch: &BranchName, amount: TokenCount, at: ClockTime) {
        self.begun.entry(branch.clone()).or_default().push((at, amount));
    }

    /// The most that can have been prepaid by a moment.
    pub fn begun_at(&self, branch: &BranchName, at: ClockTime) -> TokenCount {
        let begun = self.begun.get(branch).into_iter().flatten();
        begun.filter(|(when, _)| *when <= at).map(|(_, amount)| *amount).sum()
    }

    /// Notes a deposit at the moment from which it could be spent.
    pub fn note(&mut self, branch: &BranchName, amount: TokenCount, at: ClockTime) {
        self.deposits.entry(branch.clone()).or_default().push((at, amount));
    }

    /// What was prepaid by a moment.
    pub fn prepaid_at(&self, branch: &BranchName, at: ClockTime) -> TokenCount {
        let deposits = self.deposits.get(branch).into_iter().flatten();
        deposits.filter(|(when, _)| *when <= at).map(|(_, amount)| *amount).sum()
    }

    /// The moments of a branch's deposits.
    pub fn moments(&self, branch: &BranchName) -> Vec<ClockTime> {
        self.deposits.get(branch).into_iter().flatten().map(|(when, _)| *when).collect()
    }
}
