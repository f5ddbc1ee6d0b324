//! The example fleet: real processes and fake upstreams and platform services on loopback.
//!
//! ```text
//! cargo run --release --locked -p sagespool-testkit --example fleet
//! cargo run --release --locked -p sagespool-testkit --example fleet -- --deployment majan
//! cargo run --release --locked -p sagespool-testkit --example fleet -- --once
//! ```

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use async_signal::{Signal, Signals};
use error_stack::{Report, ResultExt};
use futures_lite::StreamExt;
use gumdrop::Options;
use sagespool_testkit::fleet::{
    FleetError, FleetOptions, RunningFleet, find_binaries, read_deployment,
};
use sagespool_testkit::load::{
    LoadReport, PlanBuilder, first_deposits, run_calls, stop_and_judge, traffic_of,
};

const ONCE_REQUESTS: usize = 500;
const ONCE_RATE: f64 = 100.0;
/// Calls that are sent a second time, in thousandths of those with an idempotency key.
const ONCE_REPEATED: u32 = 400;

/// Runs a sagespool fleet on loopback.
#[derive(Debug, Options)]
struct ExampleOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(meta = "NAME", help = "local (default), majan or cedarline", default = "local")]
    deployment: String,
    #[options(help = "send 500 mixed requests, check the outcome and exit")]
    once: bool,
    #[options(meta = "N", help = "seed of the requests", default = "1")]
    seed: u64,
}

fn main() -> ExitCode {
    let options = ExampleOptions::parse_args_default_or_exit();
    match smol::block_on(run(&options)) {
        Ok(code) => code,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

async fn run(options: &ExampleOptions) -> Result<ExitCode, Report<FleetError>> {
    let directory =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(&options.deployment);
    let (deployment, fleet, branches) = read_deployment(&directory)?;
    let plan = FleetOptions::builder()
        .binaries(find_binaries()?)
        .deployment(deployment)
        .fleet(fleet)
        .branches(branches)
        .seed(options.seed)
        .build();
    let signals = Signals::new([Signal::Int, Signal::Term]);
    let mut signals =
        signals.change_context_lazy(|| FleetError::new("registering signal handlers"))?;
    let mut fleet = RunningFleet::start(plan).await?;
    if options.once {
        return Ok(run_once(&mut fleet, options.seed).await);
    }
    print_usage(&fleet);
    signals.next().await;
    println!("stopping");
    let unclean = fleet.stop();
    for instance in &unclean {
        println!("unclean stop: {instance}");
    }
    Ok(if unclean.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn print_usage(fleet: &RunningFleet) {
    let deployment = &fleet.options.deployment;
    println!("fleet is running; logs are in {}", fleet.directory().display());
    for member in fleet.members.iter().filter(|member| member.is_entry()) {
        println!("entry {} in {}: http://{}", member.instance, member.centre, member.http);
    }
    let Some(entry) = fleet.members.first() else {
        return;
    };
    let model = fleet.options.fleet.services.iter().flat_map(|service| &service.models).next();
    if let (Some(model), Some((branch, deposit))) = (model, deployment.branches.iter().next()) {
        println!("\ntry, as branch {branch}:");
        println!(
            "  curl -N http://{}/v1/chat/completions -H 'Authorization: Bearer {}' -d '{{\"model\":\"{}\",\"stream\":true,\"max_tokens\":20,\"messages\":[{{\"role\":\"user\",\"content\":\"When does the tender close? len:12\"}}]}}'",
            entry.http, deposit.token, model.name
        );
    }
    let operator = fleet.options.branches.branches.iter().find(|(_, entry)| entry.operator);
    if let Some((deposit, (branch, _))) =
        operator.and_then(|found| Some((deployment.branches.get(found.0)?, found)))
    {
        println!("\ntry, as operator {branch}:");
        for line in ["members", "spend", "running"] {
            println!(
                "  {} --entry {} --token {} '{line}'",
                fleet.options.binaries.command.display(),
                entry.http,
                deposit.token
            );
        }
    }
    println!("\npress Ctrl-C to stop");
}

async fn run_once(fleet: &mut RunningFleet, seed: u64) -> ExitCode {
    let mut mix = traffic_of(&fleet.options);
    mix.repeated_share = ONCE_REPEATED;
    let mut builder = PlanBuilder::new(seed);
    let mut at = Duration::ZERO;
    let mut calls = Vec::with_capacity(ONCE_REQUESTS);
    for _ in 0..ONCE_REQUESTS {
        at += builder.gap(ONCE_RATE);
        calls.push(builder.call(&mix, at));
    }
    let records = run_calls(calls, fleet.entry_addresses()).await;
    let deposits = first_deposits(&fleet.options);
    let mut report = LoadReport { scenario: "once".into(), seed, ..LoadReport::default() };
    stop_and_judge(&mut report, fleet, &records, &deposits);
    for finding in &report.findings {
        println!("{finding}");
    }
    println!("refused: {:?} broken: {} invalid: {}", report.refused, report.broken, report.invalid);
    println!("{}", report.closing_line());
    let wrong = !report.findings.is_empty() || report.broken > 0 || report.invalid > 0;
    if wrong { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}
