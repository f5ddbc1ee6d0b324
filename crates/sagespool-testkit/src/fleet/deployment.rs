//! Deployments: what runs where, as the files under `examples/` describe it.

use std::collections::BTreeMap;
use std::path::Path;

use error_stack::{Report, ResultExt};
use sagespool_settings::{BranchObject, FleetObject, parse_branches, parse_fleet};
use sagespool_types::{BranchName, CentreName, ModelName, RegionName, ServiceName, TokenCount};
use serde::Deserialize;

use super::FleetError;

/// One data centre.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CentrePlan {
    /// Its name.
    pub name: CentreName,
    /// How many entries run there.
    pub entries: u32,
    /// How many upstreams of each service run there, each with its sidecar.
    pub upstreams: BTreeMap<ServiceName, u32>,
}

/// What the stand-ins of a service are like.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePlan {
    /// Requests at once.
    pub capacity: u32,
    /// Engines: tokens a second of each request.
    pub tokens_per_second: Option<u64>,
    /// Engines: whether orders' fencing numbers are honoured.
    #[serde(default)]
    pub honours_fence: bool,
    /// Engines: the models.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// Plain services: how long a call takes, in milliseconds.
    pub answer_ms: Option<u64>,
}

/// A branch's development key and budget.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BranchPlan {
    /// The key in clear text.
    pub token: String,
    /// Prepaid tokens.
    pub prepaid: TokenCount,
}

/// What runs where.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentPlan {
    /// The region.
    pub region: RegionName,
    /// The data centres.
    pub centres: Vec<CentrePlan>,
    /// The services' stand-ins.
    pub services: BTreeMap<ServiceName, ServicePlan>,
    /// The branches' keys and budgets.
    pub branches: BTreeMap<BranchName, BranchPlan>,
}

impl DeploymentPlan {
    /// How many entries run in all.
    pub fn entry_count(&self) -> u32 {
        self.centres.iter().map(|centre| centre.entries).sum()
    }
}

/// Reads a deployment's three files from a directory of `examples/`.
///
/// # Errors
/// If a file can't be read or says what it can't.
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
