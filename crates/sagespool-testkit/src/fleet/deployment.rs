//! Deployments: the processes and upstreams of a fleet, as the files under `examples/` list them.

use std::collections::BTreeMap;
use std::path::Path;

use error_stack::{Report, ResultExt};
use sagespool_settings::{BranchObject, FleetObject, parse_branches, parse_fleet};
use sagespool_types::{BranchName, CentreName, ModelName, RegionName, ServiceName, TokenCount};
use serde::Deserialize;

use super::FleetError;

/// A data centre of a deployment.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CentrePlan {
    /// Name of the data centre.
    pub name: CentreName,
    /// Number of entries.
    pub entries: u32,
    /// Number of upstreams of each service, each with its sidecar.
    pub upstreams: BTreeMap<ServiceName, u32>,
}

/// Properties of the fake upstreams of a service.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePlan {
    /// Concurrent requests per upstream.
    pub capacity: u32,
    /// Engines: tokens per second of each request; none for a plain service.
    pub tokens_per_second: Option<u64>,
    /// Engines: whether orders with an outdated fencing number are refused.
    #[serde(default)]
    pub honours_fence: bool,
    /// Engines: models served from the start.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// Plain services: latency of a call, in milliseconds.
    pub answer_ms: Option<u64>,
}

/// The development key and the budget of a branch.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BranchDeposit {
    /// The key in plain text.
    pub token: String,
    /// Initial prepaid tokens.
    pub prepaid: TokenCount,
}

/// The content of `deployment.json`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentPlan {
    /// Region of all data centres.
    pub region: RegionName,
    /// The data centres of the region.
    pub centres: Vec<CentrePlan>,
    /// Properties of the fake upstreams by service.
    pub services: BTreeMap<ServiceName, ServicePlan>,
    /// Keys and budgets by branch.
    pub branches: BTreeMap<BranchName, BranchDeposit>,
}

impl DeploymentPlan {
    /// Number of entries in all data centres.
    pub fn entry_count(&self) -> u32 {
        self.centres.iter().map(|centre| centre.entries).sum()
    }
}

/// Reads the three files of a deployment from a directory under `examples/`.
///
/// # Errors
/// If a file can't be read or is invalid.
pub fn read_deployment(
    directory: &Path,
) -> Result<(DeploymentPlan, FleetObject, BranchObject), Report<FleetError>> {
    let read = |name: &str| {
        let path = directory.join(name);
        let fault = || FleetError::new(format!("reading {}", path.display()));
        std::fs::read_to_string(&path).change_context_lazy(fault)
    };
    let fault = |name: &str| FleetError::new(format!("checking {name}"));
    let deployment = serde_json::from_str(&read("deployment.json")?)
        .change_context_lazy(|| fault("deployment.json"))?;
    let fleet = parse_fleet(&read("fleet.json")?).change_context_lazy(|| fault("fleet.json"))?;
    let branches =
        parse_branches(&read("branches.json")?).change_context_lazy(|| fault("branches.json"))?;
    Ok((deployment, fleet, branches))
}
