//! The files under `examples/` fit the schema and each other.

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
    centres: Vec<CentreShape>,
    services: BTreeMap<ServiceName, ServiceShape>,
    branches: BTreeMap<BranchName, BranchShape>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(dead_code)] // as above
struct CentreShape {
    name: CentreName,
    entries: u32,
    upstreams: BTreeMap<ServiceName, u32>,
}

#[derive(Deserialize)]
#[serde(untagged, deny_unknown_fields)]
#[allow(dead_code)] // as above
enum ServiceShape {
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
struct BranchShape {
    token: String,
    prepaid: TokenCount,
}

fn text_of(file: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(file);
    fs::read_to_string(path).unwrap()
}

fn fleet_of(user: &str) -> FleetObject {
    parse_fleet(&text_of(&format!("{user}/fleet.json"))).unwrap()
}

fn branches_of(user: &str) -> BranchObject {
    parse_branches(&text_of(&format!("{user}/branches.json"))).unwrap()
}

fn deployment_of(user: &str) -> DeploymentFile {
    serde_json::from_str(&text_of(&format!("{user}/deployment.json"))).unwrap()
}

fn configuration_of(user: &str) -> FleetConfiguration {
    FleetConfiguration::build(ConfigVersion(1), fleet_of(user), [&branches_of(user)])
}

#[test]
fn process_files() {
    let entry = parse_process_settings(&text_of("entry.json")).unwrap();
    assert!(matches!(entry.role, RoleSettings::Entry(_)));
    let sidecar = parse_process_settings(&text_of("sidecar.json")).unwrap();
    assert!(matches!(sidecar.role, RoleSettings::Sidecar(_)));
}

#[test]
fn fitting_objects() {
    for user in FLEETS {
        assert_eq!(configuration_of(user).validation_errors(), [], "{user}");
    }
}

#[test]
fn development_keys() {
    for user in FLEETS {
        let configuration = configuration_of(user);
        let deployment = deployment_of(user);
        assert_eq!(deployment.branches.len(), configuration.branches().count(), "{user}");
        for (name, branch) in &deployment.branches {
            assert_eq!(configuration.branch_by_token(&branch.token), Some(name), "{user}");
            let held_back = &configuration.branch(name).unwrap().held_back;
            let held_back: TokenCount = held_back.iter().map(|held| held.tokens).sum();
            assert!(held_back < branch.prepaid, "{user}: {name}");
        }
    }
}

#[test]
fn deployed_services() {
    for user in FLEETS {
        let configuration = configuration_of(user);
        let deployment = deployment_of(user);
        assert_eq!(deployment.services.len(), configuration.services().count(), "{user}");
        for (name, shape) in &deployment.services {
            let service = configuration.service(name).unwrap();
            match shape {
                ServiceShape::Engine { models, .. } => {
                    assert_eq!(service.kind, UpstreamKind::Engine);
                    assert!(models.iter().all(|model| configuration.model(model).is_some()));
                }
                ServiceShape::Service { .. } => assert_eq!(service.kind, UpstreamKind::Service),
            }
        }
        for service in deployment.centres.iter().flat_map(|centre| centre.upstreams.keys()) {
            assert!(deployment.services.contains_key(service), "{user}: {service}");
        }
    }
}

#[test]
fn sizes_of_today() {
    // The users' own figures: data centres, engines, plain services, accounts.
    let rows = [
        ("majan", 9, "sage-core", 4, "portal-api"),
        ("cedarline", 12, "sage-drafting", 4, "summons-api"),
    ];
    for (user, engines, core, services, plain) in rows {
        let deployment = deployment_of(user);
        let count = |service: &str| -> u32 {
            let service: ServiceName = service.parse().unwrap();
            deployment.centres.iter().filter_map(|centre| centre.upstreams.get(&service)).sum()
        };
        assert_eq!(deployment.centres.len(), 4, "{user}");
        assert_eq!(count(core), engines, "{user}");
        assert_eq!(count(plain), services, "{user}");
        assert_eq!(deployment.branches.len(), 10, "{user}");
    }
}

#[test]
fn declared_calls() {
    let rows = [("majan", "portal-api", "/letters"), ("cedarline", "summons-api", "/deferrals")];
    for (user, service, path) in rows {
        let configuration = configuration_of(user);
        let service = service.parse().unwrap();
        for (branch, _) in configuration.branches() {
            assert!(configuration.is_non_idempotent(branch, &service, "POST", path), "{branch}");
            assert!(!configuration.is_non_idempotent(branch, &service, "GET", path), "{branch}");
        }
    }
}
