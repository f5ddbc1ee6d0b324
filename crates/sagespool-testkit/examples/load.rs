//! The load tool: scenarios with real processes, judged from what the stand-ins saw.
//!
//! ```text
//! cargo run --release --locked -p sagespool-testkit --example load -- --scenario steady --seed 1
//! ```

use std::process::ExitCode;
use std::time::Duration;

use gumdrop::Options;
use sagespool_testkit::fleet::find_binaries;
use sagespool_testkit::load::{LoadReport, ScenarioOptions, check_names, run_scenario};

const USAGE_FAULT: u8 = 2;

/// Loads a sagespool fleet and judges what came of it.
#[derive(Debug, Options)]
struct LoadOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(meta = "NAME", help = "the scenario", default = "steady")]
    scenario: String,
    #[options(meta = "N", help = "the seed", default = "1")]
    seed: u64,
    #[options(no_short, meta = "A,B", help = "faults beside the scenario's own")]
    faults: Option<String>,
    #[options(no_short, meta = "S", help = "how long the traffic lasts", default = "20")]
    seconds: u64,
    #[options(meta = "R", help = "requests a second")]
    rate: Option<f64>,
    #[options(
        meta = "POLICY",
        help = "escrow, store-each-request, static-split, or a way to route: sagespool, round-robin, least-reported-load, two-choices",
        default = "escrow"
    )]
    policy: String,
    #[options(no_short, meta = "NAME", help = "the deployment", default = "local")]
    deployment: String,
    #[options(no_short, meta = "LEVEL", help = "level of the processes' logs", default = "info")]
    log_level: String,
    #[options(help = "print the report on one line only")]
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
    let is_routing = ROUTING_POLICIES.contains(&options.policy.as_str());
    let (routing, budget) = match is_routing {
        true => (options.policy.as_str(), "escrow"),
        false => ("sagespool", options.policy.as_str()),
    };
    let faults = options.faults.as_deref().unwrap_or_default();
    let faults = faults.split(',').filter(|fault| !fault.is_empty()).map(str::to_owned);
    let scenario = ScenarioOptions::builder()
        .scenario(options.scenario.clone())
        .seed(options.seed)
        .faults(faults.collect())
        .lasting(Duration::from_secs(options.seconds.max(1)))
        .maybe_rate(options.rate)
        .routing(routing)
        .budget(budget)
        .deployment(options.deployment.clone())
        .log_level(options.log_level.clone())
        .binaries(binaries)
        .build();
    if let Err(message) = check_names(&scenario) {
        eprintln!("{message}");
        return ExitCode::from(USAGE_FAULT);
    }
    match smol::block_on(run_scenario(&scenario)) {
        Ok(report) => conclude(&report, options.json),
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

fn conclude(report: &LoadReport, terse: bool) -> ExitCode {
    if !terse {
        for finding in &report.findings {
            println!("{finding}");
        }
        println!("{}", report.closing_line());
    }
    match serde_json::to_string(report) {
        Ok(line) => println!("{line}"),
        Err(error) => eprintln!("the report can't be written: {error}"),
    }
    if report.is_clean() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
