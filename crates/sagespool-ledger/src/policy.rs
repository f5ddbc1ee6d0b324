//! Settings of the ledger.

use std::time::Duration;

use bon::Builder;

/// How a home pays for requests. All but the first are baselines to measure against.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetMode {
    /// From grants taken ahead of need.
    Escrow,
    /// By a conditional update for each request.
    EachRequest,
    /// From a fixed share of the budget, the same for each of so many entries.
    StaticSplit {
        /// Between how many entries.
        entries: u32,
    },
}

/// Settings of [`crate::HomeLedger`].
#[derive(Debug, Clone, Builder)]
pub struct LedgerPolicy {
    /// How a home pays.
    #[builder(default = BudgetMode::Escrow)]
    pub mode: BudgetMode,
    /// Charges are settled, and grants taken ahead, at most this often for each book.
    #[builder(default = Duration::from_secs(5))]
    pub settle_interval: Duration,
    /// A grant lasts for so long at the present demand.
    #[builder(default = Duration::from_secs(20))]
    pub grant_ahead: Duration,
    /// A grant that is asked for a waiting request covers so many like it.
    #[builder(default = 8)]
    pub grant_requests: u64,
    /// Demand counts half after this time.
    #[builder(default = Duration::from_secs(5))]
    pub demand_half_life: Duration,
    /// An unused grant goes back after this time.
    #[builder(default = Duration::from_secs(60))]
    pub idle_after: Duration,
    /// A charge not ended so long after its deadline is looked into.
    #[builder(default = Duration::from_secs(10))]
    pub overdue_after: Duration,
}

impl Default for LedgerPolicy {
    fn default() -> Self {
        Self::builder().build()
    }
}
