//! Benchmark of the configuration: `cargo run --release -p sagespool-settings --example
//! configuration_cost -- 57000` (the number of branches). Prints one JSON object; each member's
//! name ends with its unit.

use std::hint::black_box;
use std::time::Instant;

use sagespool_settings::{
    BranchConfig, BranchObject, FleetConfiguration, branch_shard, check_branches, parse_fleet,
    split_branches,
};
use sagespool_types::{BranchName, ConfigVersion, SecretHash};
use serde_json::json;

const DEFAULT_BRANCHES: usize = 57_000;
const LOOKUPS: usize = 200_000;
const CHANGES: usize = 200;

fn main() {
    let count = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let count = count.unwrap_or(DEFAULT_BRANCHES);
    let fleet = parse_fleet(include_str!("../../../examples/majan/fleet.json"))
        .expect("the example file is valid");
    let shards = split_branches(branches(count));
    let values: Vec<_> = shards
        .values()
        .map(|shard| serde_json::to_value(shard).expect("plain data serializes"))
        .collect();
    let largest = values.iter().map(|value| value.to_string().len()).max().unwrap_or_default();

    let before = resident_kilobytes();
    let started = Instant::now();
    let objects: Vec<BranchObject> = values
        .iter()
        .map(|value| check_branches(value).expect("serialized from valid objects"))
        .collect();
    let checked = started.elapsed();
    let started = Instant::now();
    let configuration = FleetConfiguration::build(ConfigVersion(1), fleet, &objects);
    let built = started.elapsed();
    drop(objects);
    let resident = resident_kilobytes().saturating_sub(before);

    let report = json!({
        "branches": count,
        "largest_object_bytes": largest,
        "check_all_us": checked.as_micros() as u64,
        "build_us": built.as_micros() as u64,
        "change_us": change_cost(&configuration),
        "faults_us": cross_check_cost(&configuration),
        "known_token_ns": lookup_cost(&configuration, |at| token(at % count)),
        "unknown_token_ns": lookup_cost(&configuration, |at| format!("unknown-{at}")),
        "resident_kb": resident,
    });
    println!("{report}");
}

fn name(number: usize) -> BranchName {
    format!("client-account-{number}").parse().expect("a valid branch name")
}

fn token(number: usize) -> String {
    format!("key-of-{number}")
}

fn branches(count: usize) -> BranchObject {
    let config =
        |number| BranchConfig::builder().key_hashes(vec![SecretHash::of(&token(number))]).build();
    BranchObject { branches: (0..count).map(|number| (name(number), config(number))).collect() }
}

/// Mean time in microseconds to validate and apply a changed object of one shard.
fn change_cost(configuration: &FleetConfiguration) -> u64 {
    let shard = branch_shard(&name(0));
    let object = configuration.shard(shard).expect("the shard of a branch").clone();
    let value = serde_json::to_value(&object).expect("plain data serializes");
    let started = Instant::now();
    for version in 0..CHANGES {
        let mut object = check_branches(&value).expect("serialized from valid objects");
        let config = object.branches.get_mut(&name(0)).expect("the branch is in its shard");
        config.key_hashes = vec![SecretHash::of(&token(version))];
        let version = ConfigVersion(version as u64);
        black_box(configuration.with_branches(version, shard, object));
    }
    (started.elapsed() / CHANGES as u32).as_micros() as u64
}

fn cross_check_cost(configuration: &FleetConfiguration) -> u64 {
    let started = Instant::now();
    black_box(configuration.validation_errors());
    started.elapsed().as_micros() as u64
}

fn lookup_cost(configuration: &FleetConfiguration, token: impl Fn(usize) -> String) -> u64 {
    let tokens: Vec<String> = (0..LOOKUPS).map(token).collect();
    let started = Instant::now();
    for token in &tokens {
        black_box(configuration.branch_by_token(token));
    }
    (started.elapsed() / LOOKUPS as u32).as_nanos() as u64
}

/// The process's `VmRSS` from `/proc`; 0 if it isn't available.
fn resident_kilobytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
    line.trim().trim_end_matches(" kB").parse().unwrap_or_default()
}
