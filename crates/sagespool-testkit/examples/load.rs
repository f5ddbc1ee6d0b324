//! The load tool: runs scenarios with real processes, checked from the fake servers' records.
//!
//! ```text
//! cargo run --release --locked -p sagespool-testkit --example load -- --scenario steady --seed 1
//! cargo run --release --locked -p sagespool-testkit --example load -- --scenario lagging-load \
//!     --policy sagespool --against round-robin,least-reported-load,two-choices
//! ```

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use gumdrop::Options;
use sagespool_testkit::fleet::{FleetBinaries, find_binaries};
use sagespool_testkit::load::{
    LoadReport, ScenarioOptions, check_names, comparison_table, run_scenario,
};

const USAGE_FAULT: u8 = 2;

/// Runs a load scenario against a sagespool fleet and checks the outcome.
#[derive(Debug, Options)]
struct LoadOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(meta = "NAME", help = "the scenario", default = "steady")]
    scenario: String,
    #[options(meta = "N", help = "the seed", default = "1")]
    seed: u64,
    #[options(no_short, meta = "A,B", help = "faults besides the scenario's own")]
    faults: Option<String>,
    #[options(no_short, meta = "S", help = "duration of the traffic in seconds")]
    seconds: Option<u64>,
    #[options(meta = "R", help = "requests per second")]
    rate: Option<f64>,
    #[options(
        meta = "POLICY",
        help = "budget policy: escrow, store-each-request, static-split; or routing policy: sagespool, round-robin, least-reported-load, two-choices",
        default = "escrow"
    )]
    policy: String,
    #[options(no_short, meta = "A,B", help = "run again with these policies and compare")]
    against: Option<String>,
    #[options(no_short, meta = "NAME", help = "the deployment", default = "local")]
    deployment: String,
    #[options(no_short, meta = "LEVEL", help = "log level of the processes", default = "info")]
    log_level: String,
    #[options(no_short, meta = "DIR", help = "directory to copy the processes' logs to")]
    logs: Option<PathBuf>,
    #[options(help = "print only the report, as one line of JSON")]
    json: bool,
}

const ROUTING_POLICIES: [&str; 4] =
    ["sagespool", "round-robin", "least-reported-load", "two-choices"];

fn main() -> ExitCode {
    let options = LoadOptions::parse_args_default_or_exit();
    let binaries = match find_binaries() {
        Ok(binaries) => binaries,
        Err(report) => {
            eprintln!("{report:?}");
            return ExitCode::FAILURE;
        }
    };
    let against = list_items(options.against.as_deref());
    let policies = [options.policy.clone()].into_iter().chain(against);
    let scenarios: Vec<_> =
        policies.map(|policy| scenario_options(&options, &policy, &binaries)).collect();
    if let Some(message) = scenarios.iter().find_map(|scenario| check_names(scenario).err()) {
        eprintln!("{message}");
        return ExitCode::from(USAGE_FAULT);
    }
    let mut reports = Vec::new();
    for scenario in &scenarios {
        match smol::block_on(run_scenario(scenario)) {
            Ok(report) => {
                print_report(&report, options.json);
                reports.push(report);
            }
            Err(report) => {
                eprintln!("{report:?}");
                return ExitCode::FAILURE;
            }
        }
    }
    if reports.len() > 1 && !options.json {
        print!("{}", comparison_table(&reports));
    }
    let is_clean = reports.iter().all(LoadReport::is_clean);
    if is_clean { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn list_items(list: Option<&str>) -> Vec<String> {
    let list_items = list.unwrap_or_default().split(',').filter(|word| !word.is_empty());
    list_items.map(str::to_owned).collect()
}

fn scenario_options(
    options: &LoadOptions,
    policy: &str,
    binaries: &FleetBinaries,
) -> ScenarioOptions {
    let is_routing = ROUTING_POLICIES.contains(&policy);
    let (routing, budget) = if is_routing { (policy, "escrow") } else { ("sagespool", policy) };
    ScenarioOptions::builder()
        .scenario(options.scenario.clone())
        .seed(options.seed)
        .faults(list_items(options.faults.as_deref()))
        .maybe_duration(options.seconds.map(|seconds| Duration::from_secs(seconds.max(1))))
        .maybe_rate(options.rate)
        .routing(routing)
        .budget(budget)
        .deployment(options.deployment.clone())
        .log_level(options.log_level.clone())
        .maybe_logs(options.logs.clone())
        .binaries(binaries.clone())
        .build()
}

fn print_report(report: &LoadReport, json_only: bool) {
    if !json_only {
        for finding in &report.findings {
            println!("{finding}");
        }
        println!("{}", report.closing_line());
    }
    match serde_json::to_string(report) {
        Ok(line) => println!("{line}"),
        Err(error) => eprintln!("report is not serializable: {error}"),
    }
}
