//! What client accounts were charged for.

use std::collections::BTreeMap;
use std::fmt;

use comfy_table::Table;
use sagespool_types::{BranchName, TokenCount};

use crate::LogLine;

/// What one account's total went to, as far as the log tells.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AccountSpend {
    /// The total, by the newest grant.
    pub total: TokenCount,
    /// Charged for requests that were answered whole.
    pub answered: TokenCount,
    /// Charged for requests that failed at an upstream or broke off: they may have run.
    pub failed: TokenCount,
    /// Charged for requests whose callers left.
    pub left: TokenCount,
    /// Grants of runs that have ended, which count as spent.
    pub closed: TokenCount,
    /// What nobody was granted, by the newest grant.
    pub free: TokenCount,
    /// Requests refused because the total was spent.
    pub refused_spent: u64,
    /// Requests refused because the budget couldn't be asked for.
    pub refused_unreachable: u64,
    /// Grants written.
    pub grants: u64,
    /// Loans given.
    pub loans: u64,
    /// What was lent, from balance to balance; it is counted again where it is spent.
    pub lent: TokenCount,
}

impl AccountSpend {
    /// What is neither charged nor free: given up by runs that ended, or idle in balances.
    pub fn stranded(&self) -> TokenCount {
        self.total.saturating_sub(self.answered + self.failed + self.left + self.free)
    }

    fn share(&self, part: TokenCount) -> String {
        format!("{:.3}", part.0 as f64 / self.total.0.max(1) as f64)
    }
}

/// All accounts' spending.
#[derive(Debug, Default)]
pub struct AccountReport {
    accounts: BTreeMap<BranchName, AccountSpend>,
}

impl AccountReport {
    /// Takes a line into account.
    pub fn note(&mut self, line: LogLine<'_>) {
        let Some(branch) = line.value::<BranchName>("branch") else {
            return;
        };
        let spend = self.accounts.entry(branch).or_default();
        match line.event() {
            "request-ended" => note_end(spend, line),
            "grant-acknowledged" => note_grant(spend, line),
            "budget-lent" => {
                spend.loans += 1;
                spend.lent += line.value("lent").unwrap_or_default();
            }
            _ => {}
        }
    }

    /// One account's.
    pub fn of(&self, branch: &BranchName) -> Option<&AccountSpend> {
        self.accounts.get(branch)
    }
}

fn note_end(spend: &mut AccountSpend, line: LogLine<'_>) {
    let charged = line.value("charged").unwrap_or_default();
    match line.field("outcome") {
        Some("answered" | "failed") => spend.answered += charged,
        Some("caller-gone") => spend.left += charged,
        _ => spend.failed += charged,
    }
    match line.field("detail") {
        Some("budget-spent") => spend.refused_spent += 1,
        Some("budget-unreachable") => spend.refused_unreachable += 1,
        _ => {}
    }
}

fn note_grant(spend: &mut AccountSpend, line: LogLine<'_>) {
    spend.grants += 1;
    spend.total = line.value("prepaid").unwrap_or(spend.total);
    spend.closed = line.value("closed").unwrap_or(spend.closed);
    spend.free = line.value("book_free").unwrap_or(spend.free);
}

impl fmt::Display for AccountReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut table = Table::new();
        table.set_header([
            "account", "total", "answered", "failed", "left", "stranded", "free", "closed", "402",
            "503", "grants", "loans", "lent",
        ]);
        for (branch, spend) in &self.accounts {
            table.add_row([
                branch.to_string(),
                spend.total.to_string(),
                spend.share(spend.answered),
                spend.share(spend.failed),
                spend.share(spend.left),
                spend.share(spend.stranded()),
                spend.share(spend.free),
                spend.share(spend.closed),
                spend.refused_spent.to_string(),
                spend.refused_unreachable.to_string(),
                spend.grants.to_string(),
                spend.loans.to_string(),
                spend.share(spend.lent),
            ]);
        }
        write!(f, "{table}")
    }
}
