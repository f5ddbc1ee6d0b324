//! The deposits that the load tool itself made, with their times.

use std::collections::BTreeMap;

use sagespool_types::{BranchName, ClockTime, TokenCount};

/// Deposits by branch, ordered by time.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DepositLog {
    deposits: BTreeMap<BranchName, Vec<(ClockTime, TokenCount)>>,
    started: BTreeMap<BranchName, Vec<(ClockTime, TokenCount)>>,
}

impl DepositLog {
    /// Records the start of a deposit: it may take effect at any later time, or never.
    pub fn note_started(&mut self, branch: &BranchName, amount: TokenCount, at: ClockTime) {
        self.started.entry(branch.clone()).or_default().push((at, amount));
    }

    /// The upper bound of what was prepaid at a time: the sum of all deposits started by then.
    pub fn max_prepaid_at(&self, branch: &BranchName, at: ClockTime) -> TokenCount {
        let started = self.started.get(branch).into_iter().flatten();
        started.filter(|(when, _)| *when <= at).map(|(_, amount)| *amount).sum()
    }

    /// Records a deposit with the time from which it could be spent.
    pub fn note(&mut self, branch: &BranchName, amount: TokenCount, at: ClockTime) {
        self.deposits.entry(branch.clone()).or_default().push((at, amount));
    }

    /// The sum of the deposits that could be spent at a time.
    pub fn prepaid_at(&self, branch: &BranchName, at: ClockTime) -> TokenCount {
        let deposits = self.deposits.get(branch).into_iter().flatten();
        deposits.filter(|(when, _)| *when <= at).map(|(_, amount)| *amount).sum()
    }

    /// The times from which a branch's deposits could be spent.
    pub fn effective_times(&self, branch: &BranchName) -> Vec<ClockTime> {
        self.deposits.get(branch).into_iter().flatten().map(|(when, _)| *when).collect()
    }
}
