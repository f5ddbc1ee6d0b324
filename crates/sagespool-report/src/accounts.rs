//! Charges per client account.

use std::collections::BTreeMap;
use std::fmt;

use comfy_table::Table;
use sagespool_types::{BranchName, TokenCount};

use crate::LogLine;

/// The use of one account's prepaid total, as far as the log shows it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AccountSpend {
    /// The prepaid total, from the newest grant.
    pub total: TokenCount,
    /// Charged for requests with outcome `answered` or `failed` (a 5xx response of the upstream).
    pub answered: TokenCount,
    /// Charged for requests that failed at an upstream or were interrupted, since they may have run.
    pub failed: TokenCount,
    /// Charged for requests whose callers disconnected.
    pub caller_gone: TokenCount,
    /// Grants of ended incarnations, which count as spent.
    pub closed: TokenCount,
    /// Not granted to any instance, from the newest grant.
    pub free: TokenCount,
    /// Requests refused because the total was spent.
    pub refused_spent: u64,
    /// Requests refused because the budget was unreachable.
    pub refused_unreachable: u64,
    /// Number of grants written.
    pub grants: u64,
    /// Number of loans.
    pub loans: u64,
    /// Lent from one instance's balance to another's; it is also counted where it is charged.
    pub lent: TokenCount,
}

impl AccountSpend {
    /// Neither charged nor free: written off by ended incarnations, or unused in balances.
    pub fn stranded(&self) -> TokenCount {
        self.total.saturating_sub(self.answered + self.failed + self.caller_gone + self.free)
    }

    fn share(&self, part: TokenCount) -> String {
        format!("{:.3}", part.0 as f64 / self.total.0.max(1) as f64)
    }
}

/// The use of all accounts' prepaid totals.
#[derive(Debug, Default)]
pub struct AccountReport {
    accounts: BTreeMap<BranchName, AccountSpend>,
}

impl AccountReport {
    /// Adds a log line.
    pub fn add_line(&mut self, line: LogLine<'_>) {
        let Some(branch) = line.value::<BranchName>("branch") else {
            return;
        };
        let spend = self.accounts.entry(branch).or_default();
        match line.event() {
            "request-ended" => add_request(spend, line),
            "grant-acknowledged" => add_grant(spend, line),
            "budget-lent" => {
                spend.loans += 1;
                spend.lent += line.value("lent").unwrap_or_default();
            }
            _ => {}
        }
    }

    /// The spend of one account; `None` if no line names it.
    pub fn of(&self, branch: &BranchName) -> Option<&AccountSpend> {
        self.accounts.get(branch)
    }
}

fn add_request(spend: &mut AccountSpend, line: LogLine<'_>) {
    let charged = line.value("charged").unwrap_or_default();
    match line.field("outcome") {
        Some("answered" | "failed") => spend.answered += charged,
        Some("caller-gone") => spend.caller_gone += charged,
        _ => spend.failed += charged,
    }
    match line.field("detail") {
        Some("budget-spent") => spend.refused_spent += 1,
        Some("budget-unreachable") => spend.refused_unreachable += 1,
        _ => {}
    }
}

fn add_grant(spend: &mut AccountSpend, line: LogLine<'_>) {
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
                spend.share(spend.caller_gone),
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
