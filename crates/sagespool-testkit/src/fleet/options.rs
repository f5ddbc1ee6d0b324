//! Options of a fleet.

use std::fmt;
use std::time::Duration;

use bon::Builder;
use sagespool_settings::{BranchObject, FleetObject};

use super::{DeploymentPlan, FleetBinaries};

/// A failed operation on a fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetError {
    /// The operation, as a gerund phrase, e.g. "reading fleet.json".
    pub doing: String,
}

impl FleetError {
    /// The failure of an operation, given as a gerund phrase.
    pub fn new(doing: impl Into<String>) -> Self {
        Self { doing: doing.into() }
    }
}

impl fmt::Display for FleetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the fleet failed while {}", self.doing)
    }
}

impl std::error::Error for FleetError {}

/// Properties of all engines of a fleet, beside those in the deployment.
#[derive(Debug, Clone, Copy, PartialEq, Builder)]
pub struct EngineTuning {
    /// Age of the reported load.
    #[builder(default = Duration::from_millis(200))]
    pub load_lag: Duration,
    /// Time to the first token of a prompt whose prefix is cached.
    #[builder(default = Duration::from_millis(20))]
    pub first_token_base: Duration,
    /// Additional prefill time per prompt token if the prefix is not cached.
    #[builder(default = Duration::from_micros(20))]
    pub prompt_token_time: Duration,
    /// Interval at which tokens are generated.
    #[builder(default = Duration::from_millis(5))]
    pub tick: Duration,
}

impl Default for EngineTuning {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// Options of a fleet.
#[derive(Debug, Clone, Builder)]
pub struct FleetOptions {
    /// Paths of the two binaries.
    pub binaries: FleetBinaries,
    /// The processes, upstreams, keys and budgets.
    pub deployment: DeploymentPlan,
    /// The fleet object of the configuration.
    pub fleet: FleetObject,
    /// The branch objects of the configuration.
    pub branches: BranchObject,
    /// Whether every second engine ignores fencing numbers.
    #[builder(default = false)]
    pub mixed_fences: bool,
    /// Whether all links pass through the fault proxy.
    #[builder(default = false)]
    pub proxied: bool,
    /// Routing policy of the entries, as named in settings.
    #[builder(into, default = "sagespool")]
    pub routing: String,
    /// Budget policy of the entries, as named in settings; `static-split` gets their number.
    #[builder(into, default = "escrow")]
    pub budget: String,
    /// Longest duration of a graceful stop.
    #[builder(default = Duration::from_secs(10))]
    pub stop_limit: Duration,
    /// Interval at which a home settles in the store.
    #[builder(default = Duration::from_secs(5))]
    pub settle_interval: Duration,
    /// Time for which grants are requested ahead of their use.
    #[builder(default = Duration::from_secs(20))]
    pub grant_ahead: Duration,
    /// Minimum level of the processes' logs.
    #[builder(into, default = "info")]
    pub log_level: String,
    /// Lag of the instance list.
    #[builder(default = Duration::from_millis(500))]
    pub list_lag: Duration,
    /// Properties of all engines.
    #[builder(default)]
    pub engine: EngineTuning,
    /// Random seed of the fakes.
    #[builder(default = 1)]
    pub seed: u64,
}

impl FleetOptions {
    /// The key of the first operator branch; empty if there is none.
    pub fn operator_token(&self) -> String {
        let operators = self.branches.branches.iter().filter(|(_, branch)| branch.operator);
        let mut tokens = operators.filter_map(|(name, _)| self.deployment.branches.get(name));
        tokens.next().map(|deposit| deposit.token.clone()).unwrap_or_default()
    }
}
