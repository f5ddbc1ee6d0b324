//! Settings of the ledger.

use std::time::Duration;

use bon::Builder;

/// How a home pays for requests. All modes but the first are baselines for measurements.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetMode {
    /// From grants that are taken ahead of need.
    Escrow,
    /// By one conditional update for each request.
    EachRequest,
    /// From a fixed, equal share of the budget for each of several entries.
    StaticSplit {
        /// Number of entries that share the budget.
        entries: u32,
    },
}

/// Settings of [`crate::HomeLedger`].
#[derive(Debug, Clone, Builder)]
pub struct LedgerPolicy {
    /// The source of payment for requests.
    #[builder(default = BudgetMode::Escrow)]
    pub mode: BudgetMode,
    /// Minimum time between two writes of a book that settle charges.
    #[builder(default = Duration::from_secs(5))]
    pub settle_interval: Duration,
    /// Time for which a grant lasts at the present demand.
    #[builder(default = Duration::from_secs(20))]
    pub grant_ahead: Duration,
    /// A grant that is requested for a waiting request covers this many requests of that size.
    #[builder(default = 8)]
    pub grant_requests: u64,
    /// Half-life of the demand estimate.
    #[builder(default = Duration::from_secs(5))]
    pub demand_half_life: Duration,
    /// An unused grant is returned after this time.
    #[builder(default = Duration::from_secs(60))]
    pub idle_after: Duration,
    /// Sidecars are queried about a charge that hasn't ended this long after its deadline.
    #[builder(default = Duration::from_secs(10))]
    pub overdue_after: Duration,
}

impl Default for LedgerPolicy {
    fn default() -> Self {
        Self::builder().build()
    }
}
