//! What a fleet is started with.

use std::fmt;
use std::time::Duration;

use bon::Builder;
use sagespool_settings::{BranchObject, FleetObject};

use super::{DeploymentPlan, FleetBinaries};

/// A fleet that couldn't be started, or didn't do what it was told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetError {
    /// What was being done.
    pub doing: String,
}

impl FleetError {
    /// A fault in doing something.
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

/// What all engines of a fleet are like, beside what their deployment says.
#[derive(Debug, Clone, Copy, PartialEq, Builder)]
pub struct EngineTuning {
    /// How old the load is that they report.
    #[builder(default = Duration::from_millis(200))]
    pub load_lag: Duration,
    /// Time to the first token of a prompt whose prefix is cached.
    #[builder(default = Duration::from_millis(20))]
    pub first_token_base: Duration,
    /// Time that each token of a prompt adds where its prefix isn't cached.
    #[builder(default = Duration::from_micros(20))]
    pub prompt_token_time: Duration,
    /// How often they make tokens.
    #[builder(default = Duration::from_millis(5))]
    pub tick: Duration,
}

impl Default for EngineTuning {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// What a fleet is started with.
#[derive(Debug, Clone, Builder)]
pub struct FleetOptions {
    /// The two binaries.
    pub binaries: FleetBinaries,
    /// What runs where.
    pub deployment: DeploymentPlan,
    /// The fleet's object of the configuration.
    pub fleet: FleetObject,
    /// The branches.
    pub branches: BranchObject,
    /// Whether every second engine ignores fencing numbers.
    #[builder(default = false)]
    pub mixed_fences: bool,
    /// Whether every link passes through the fault proxy.
    #[builder(default = false)]
    pub proxied: bool,
    /// How an entry chooses upstreams, as settings name it.
    #[builder(into, default = "sagespool")]
    pub routing: String,
    /// How an entry pays, as settings name it; `static-split` is completed by the entries' number.
    #[builder(into, default = "escrow")]
    pub budget: String,
    /// How long a graceful stop waits.
    #[builder(default = Duration::from_secs(10))]
    pub stop_limit: Duration,
    /// How often a home settles in the store.
    #[builder(default = Duration::from_secs(5))]
    pub settle_interval: Duration,
    /// How far ahead grants are taken.
    #[builder(default = Duration::from_secs(20))]
    pub grant_ahead: Duration,
    /// The least important level of the processes' logs.
    #[builder(into, default = "info")]
    pub log_level: String,
    /// How late the instance list is.
    #[builder(default = Duration::from_millis(500))]
    pub list_lag: Duration,
    /// What the engines are like.
    #[builder(default)]
    pub engine: EngineTuning,
    /// Seed of the stand-ins' random choices.
    #[builder(default = 1)]
    pub seed: u64,
}

impl FleetOptions {
    /// The key of the first branch that is an operator's; an empty one if none is.
    pub fn operator_token(&self) -> String {
        let operators = self.branches.branches.iter().filter(|(_, branch)| branch.operator);
        let mut tokens = operators.filter_map(|(name, _)| self.deployment.branches.get(name));
        tokens.next().map(|deposit| deposit.token.clone()).unwrap_or_default()
    }
}
