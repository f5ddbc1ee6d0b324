//! The files under `examples/` are valid and consistent with each other.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;

use sagespool_messages::UpstreamKind;
use sagespool_settings::{
    BranchObject, FleetConfiguration, FleetObject, RoleSettings, parse_branches, parse_fleet,
    parse_process_settings,
};
use sagespool_types::{
    BranchName, CentreName, ConfigVersion, ModelName, RegionName, ServiceName, TokenCount,
    TokenRate,
};
use serde::Deserialize;

const FLEETS: [&str; 3] = ["local", "majan", "cedarline"];

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(dead_code)] // some fields are read by their type only
struct DeploymentFile {
    region: RegionName,
    centres: Vec<CentreSpec>,
    services: BTreeMap<ServiceName, ServiceSpec>,
    branches: BTreeMap<BranchName, BranchSpec>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(dead_code)] // as above
struct CentreSpec {
    name: CentreName,
    entries: u32,
    upstreams: BTreeMap<ServiceName, u32>,
}

#[derive(Deserialize)]
#[serde(untagged, deny_unknown_fields)]
#[allow(dead_code)] // as above
enum ServiceSpec {
    Engine {
        capacity: u32,
        tokens_per_second: TokenRate,
        honours_fence: bool,
        models: Vec<ModelName>,
    },
    Service {
        capacity: u32,
        answer_ms: u64,
    },
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct BranchSpec {
    token: String,
    prepaid: TokenCount,
}

fn text_of(file: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(file);
    fs::read_to_string(path).unwrap()
}

fn fleet_of(fleet: &str) -> FleetObject {
    parse_fleet(&text_of(&format!("{fleet}/fleet.json"))).unwrap()
}

fn branches_of(fleet: &str) -> BranchObject {
    parse_branches(&text_of(&format!("{fleet}/branches.json"))).unwrap()
}

fn deployment_of(fleet: &str) -> DeploymentFile {
    serde_json::from_str(&text_of(&format!("{fleet}/deployment.json"))).unwrap()
}

fn configuration_of(fleet: &str) -> FleetConfiguration {
    FleetConfiguration::build(ConfigVersion(1), fleet_of(fleet), [&branches_of(fleet)])
}

#[test]
fn valid_process_settings() {
    let entry = parse_process_settings(&text_of("entry.json")).unwrap();
    assert!(matches!(entry.role, RoleSettings::Entry(_)));
    let sidecar = parse_process_settings(&text_of("sidecar.json")).unwrap();
    assert!(matches!(sidecar.role, RoleSettings::Sidecar(_)));
}

#[test]
fn valid_fleet_objects() {
    for fleet in FLEETS {
        assert_eq!(configuration_of(fleet).validation_errors(), [], "{fleet}");
    }
}

#[test]
fn deployed_branches() {
    for fleet in FLEETS {
        let configuration = configuration_of(fleet);
        let deployment = deployment_of(fleet);
        assert_eq!(deployment.branches.len(), configuration.branches().count(), "{fleet}");
        for (name, branch) in &deployment.branches {
            assert_eq!(configuration.branch_by_token(&branch.token), Some(name), "{fleet}");
            let held_back = &configuration.branch(name).unwrap().held_back;
            let held_back: TokenCount = held_back.iter().map(|held| held.tokens).sum();
            assert!(held_back < branch.prepaid, "{fleet}: {name}");
        }
    }
}

#[test]
fn deployed_services() {
    for fleet in FLEETS {
        let configuration = configuration_of(fleet);
        let deployment = deployment_of(fleet);
        assert_eq!(deployment.services.len(), configuration.services().count(), "{fleet}");
        for (name, shape) in &deployment.services {
            let service = configuration.service(name).unwrap();
            match shape {
                ServiceSpec::Engine { models, .. } => {
                    assert_eq!(service.kind, UpstreamKind::Engine);
                    assert!(models.iter().all(|model| configuration.model(model).is_some()));
                }
                ServiceSpec::Service { .. } => assert_eq!(service.kind, UpstreamKind::Service),
            }
        }
        for service in deployment.centres.iter().flat_map(|centre| centre.upstreams.keys()) {
            assert!(deployment.services.contains_key(service), "{fleet}: {service}");
        }
    }
}

#[test]
fn deployment_sizes() {
    // Numbers of the two deployments: engines and plain services; each has 4 data centres and 10
    // accounts.
    let rows = [
        ("majan", 9, "sage-core", 4, "portal-api"),
        ("cedarline", 12, "sage-drafting", 4, "summons-api"),
    ];
    for (fleet, engines, core, services, plain) in rows {
        let deployment = deployment_of(fleet);
        let count = |service: &str| -> u32 {
            let service: ServiceName = service.parse().unwrap();
            deployment.centres.iter().filter_map(|centre| centre.upstreams.get(&service)).sum()
        };
        assert_eq!(deployment.centres.len(), 4, "{fleet}");
        assert_eq!(count(core), engines, "{fleet}");
        assert_eq!(count(plain), services, "{fleet}");
        assert_eq!(deployment.branches.len(), 10, "{fleet}");
    }
}

#[test]
fn non_idempotent_calls() {
    let rows = [("majan", "portal-api", "/letters"), ("cedarline", "summons-api", "/deferrals")];
    for (fleet, service, path) in rows {
        let configuration = configuration_of(fleet);
        let service = service.parse().unwrap();
        for (branch, _) in configuration.branches() {
            assert!(configuration.is_non_idempotent(branch, &service, "POST", path), "{branch}");
            assert!(!configuration.is_non_idempotent(branch, &service, "GET", path), "{branch}");
        }
    }
}
