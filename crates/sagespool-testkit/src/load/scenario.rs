//! Scenarios: a deployment, its traffic, and the faults beside it.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use async_lock::Mutex;
use bon::Builder;
use error_stack::Report;
use sagespool_types::{ClockTime, TokenCount};

use super::faults::{FaultStage, run_fault};
use super::session::{StoreTraffic, conclude, first_deposits, traffic_of};
use super::{
    CallKind, LatencyFigures, LoadReport, PlanBuilder, PlannedCall, TrafficMix, plan_calls,
    run_calls,
};
use crate::fleet::{FleetBinaries, FleetFault, FleetOptions, RunningFleet, read_deployment};
use crate::load::direct::run_direct;

/// Scenarios beside those that are named like a fault.
pub const SCENARIO_NAMES: [&str; 2] = ["steady", "dry"];

const STEADY_RATE: f64 = 200.0;
const FAULT_RATE: f64 = 60.0;
const DRY_RATE: f64 = 80.0;
/// What each branch has in `dry`: enough for some ten requests.
const DRY_BUDGET: TokenCount = TokenCount(1_500);
const PLENTY: TokenCount = TokenCount(50_000_000);
/// In scenarios with faults, budgets run out towards the end.
const FAULT_BUDGET: TokenCount = TokenCount(40_000);
const SETTLE_LIMIT: Duration = Duration::from_secs(30);
const SETTLE_STEP: Duration = Duration::from_millis(250);
const POISON_CALLS: u64 = 3;

/// What the load tool is asked to run.
#[derive(Debug, Clone, Builder)]
pub struct ScenarioOptions {
    /// The scenario's name.
    pub scenario: String,
    /// The seed of everything random.
    pub seed: u64,
    /// Faults beside the scenario's own.
    #[builder(default)]
    pub faults: Vec<String>,
    /// How long the traffic lasts.
    #[builder(default = Duration::from_secs(20))]
    pub lasting: Duration,
    /// Requests a second; the scenario's own if none is given.
    pub rate: Option<f64>,
    /// How entries pay.
    #[builder(into, default = "escrow")]
    pub budget: String,
    /// How entries choose upstreams.
    #[builder(into, default = "sagespool")]
    pub routing: String,
    /// The deployment under `examples/`.
    #[builder(into, default = "local")]
    pub deployment: String,
    /// The binaries.
    pub binaries: FleetBinaries,
    /// The least important level of the processes' logs.
    #[builder(into, default = "info")]
    pub log_level: String,
}

impl ScenarioOptions {
    /// Every fault of the run: the scenario's own and those beside it.
    fn all_faults(&self) -> Vec<String> {
        let own = super::faults::FAULT_NAMES.contains(&self.scenario.as_str());
        let mut faults: Vec<String> = own.then(|| self.scenario.clone()).into_iter().collect();
        for fault in &self.faults {
            if !faults.contains(fault) {
                faults.push(fault.clone());
            }
        }
        faults
    }

    fn default_rate(&self) -> f64 {
        match self.scenario.as_str() {
            "steady" => STEADY_RATE,
            "dry" => DRY_RATE,
            _ => FAULT_RATE,
        }
    }

    fn budget_of_branch(&self) -> TokenCount {
        match self.scenario.as_str() {
            "steady" => PLENTY,
            "dry" => DRY_BUDGET,
            _ => FAULT_BUDGET,
        }
    }
}

/// Checks the names of a run.
///
/// # Errors
/// The known names.
pub fn check_names(options: &ScenarioOptions) -> Result<(), String> {
    let faults = super::faults::FAULT_NAMES;
    let known = |name: &str| SCENARIO_NAMES.contains(&name) || faults.contains(&name);
    if !known(&options.scenario) {
        return Err(format!(
            "no scenario is called `{}`: {}, {}",
            options.scenario,
            SCENARIO_NAMES.join(", "),
            faults.join(", ")
        ));
    }
    match options.faults.iter().find(|fault| !faults.contains(&fault.as_str())) {
        Some(fault) => Err(format!("no fault is called `{fault}`: {}", faults.join(", "))),
        None => Ok(()),
    }
}

fn fleet_options(options: &ScenarioOptions) -> Result<FleetOptions, Report<FleetFault>> {
    let directory =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(&options.deployment);
    let (mut deployment, fleet, branches) = read_deployment(&directory)?;
    for deposit in deployment.branches.values_mut() {
        deposit.prepaid = options.budget_of_branch();
    }
    for service in
        deployment.services.values_mut().filter(|service| service.tokens_per_second.is_some())
    {
        service.capacity = service.capacity.max(64);
        service.tokens_per_second = Some(500);
    }
    Ok(FleetOptions::builder()
        .binaries(options.binaries.clone())
        .deployment(deployment)
        .fleet(fleet)
        .branches(branches)
        .proxied(!options.all_faults().is_empty())
        .routing(options.routing.clone())
        .budget(options.budget.clone())
        .log_level(options.log_level.clone())
        .seed(options.seed)
        .build())
}

/// Runs a scenario whole: the fleet is started, loaded, faulted, healed, stopped and judged.
///
/// # Errors
/// If the fleet can't be started.
pub async fn run_scenario(options: &ScenarioOptions) -> Result<LoadReport, Report<FleetFault>> {
    let fleet_options = fleet_options(options)?;
    let mix = traffic_of(&fleet_options);
    let fleet = RunningFleet::start(fleet_options).await?;
    let entries = fleet.entry_addresses();
    let before = StoreTraffic::of(&fleet);
    let deposits = Arc::new(Mutex::new(first_deposits(&fleet.options)));
    let fleet = Arc::new(Mutex::new(fleet));
    let faults = options.all_faults();
    let calls = plan(options, &mix, &faults);
    let direct = match options.scenario == "steady" {
        true => Some(direct_calls(options, &mix)),
        false => None,
    };
    let stage =
        FaultStage::new(Arc::clone(&fleet), Arc::clone(&deposits), options.lasting, options.seed);
    let scripts: Vec<_> = faults
        .iter()
        .map(|fault| {
            let (fault, stage) = (fault.clone(), stage.clone());
            smol::spawn(async move { run_fault(&fault, stage).await })
        })
        .collect();
    let direct = match direct {
        Some(calls) => {
            let engines: Vec<_> =
                fleet.lock().await.engines.values().map(|engine| engine.address()).collect();
            Some(smol::spawn(run_direct(calls, engines)))
        }
        None => None,
    };
    let records = run_calls(calls, entries).await;
    for script in scripts {
        script.await;
    }
    let mut fleet = fleet.lock().await;
    let traffic = StoreTraffic::of(&fleet);
    let mut report = LoadReport {
        scenario: options.scenario.clone(),
        seed: options.seed,
        policy: format!("{}/{}", options.routing, options.budget),
        faults,
        ..LoadReport::default()
    };
    heal(&mut fleet);
    wait_settled(&fleet).await;
    let sent = records.len().max(1) as f64;
    report.store_writes_per_request = (traffic.writes - before.writes) as f64 / sent;
    report.store_reads_per_request = (traffic.reads - before.reads) as f64 / sent;
    report.control_bytes_per_second_per_node =
        super::scrape::control_bytes_per_second(&fleet).await;
    let sends = || {
        records.iter().filter(|record| record.is_answered()).flat_map(|record| record.sends.first())
    };
    report.first_token_ms.routed = LatencyFigures::of(sends().filter_map(|send| send.first_token));
    report.whole_ms.routed = LatencyFigures::of(sends().map(|send| send.ended.since(send.sent)));
    if let Some(direct) = direct {
        let direct = direct.await;
        let firsts = direct.iter().filter_map(|answer| answer.first_token);
        report.first_token_ms.direct = LatencyFigures::of(firsts);
        report.whole_ms.direct = LatencyFigures::of(direct.iter().map(|answer| answer.whole));
    }
    let deposits = deposits.lock().await.clone();
    conclude(&mut report, &mut fleet, &records, &deposits);
    Ok(report)
}

fn plan(options: &ScenarioOptions, mix: &TrafficMix, faults: &[String]) -> Vec<PlannedCall> {
    let mut builder = PlanBuilder::new(options.seed);
    let rate = options.rate.unwrap_or(options.default_rate());
    let mut mix = mix.clone();
    if options.scenario != "steady" {
        mix.keyed_share = 600;
    }
    let mut calls = plan_calls(&mut builder, &mix, rate, Duration::ZERO, options.lasting);
    if faults.iter().any(|fault| fault == "poison") {
        let at = options.lasting.mul_f64(0.3);
        for number in 0..POISON_CALLS {
            calls.push(poison_call(&mut builder, &mix, at + Duration::from_millis(700 * number)));
        }
        calls.sort_by_key(|call| call.at);
    }
    calls
}

/// A request that takes down every engine that runs it; each time under another key and through
/// another entry, with the same content.
fn poison_call(builder: &mut PlanBuilder, mix: &TrafficMix, at: Duration) -> PlannedCall {
    let mut call = builder.call(mix, at);
    let model = mix.models[0].clone();
    call.kind = CallKind::Completion {
        model,
        prompt: "poison: a dossier that no engine survives. len:5".into(),
        max_tokens: 20,
        length: 5,
        stream: true,
    };
    call.non_idempotent = false;
    call.key = Some(format!("poison-{}", call.marker.number));
    call
}

/// Calls of the same kind for the stand-ins themselves, at a quarter of the rate.
fn direct_calls(options: &ScenarioOptions, mix: &TrafficMix) -> Vec<PlannedCall> {
    let mut builder = PlanBuilder::new(options.seed ^ 0xD1EC7);
    let mut mix = mix.clone();
    mix.service_share = 0;
    mix.stream_share = 1000;
    for branch in &mut mix.branches {
        branch.branch = "direct".parse().expect("the name is valid");
    }
    let rate = options.rate.unwrap_or(options.default_rate()) / 4.0;
    plan_calls(&mut builder, &mix, rate, Duration::ZERO, options.lasting)
}

/// Undoes every fault, and starts what doesn't run, so that what remains can settle.
fn heal(fleet: &mut RunningFleet) {
    if let Some(proxy) = &fleet.proxy {
        proxy.heal_all();
    }
    fleet.store.set_faults(Default::default());
    for place in 0..fleet.members.len() {
        if fleet.members[place].process.is_none()
            && let Err(report) = fleet.start_member(place)
        {
            eprintln!("{report:?}");
        }
    }
}

/// Waits until the books hold no grant of a process that is gone, or the limit.
async fn wait_settled(fleet: &RunningFleet) {
    let started = ClockTime::now();
    while ClockTime::now().since(started) < SETTLE_LIMIT {
        if super::scrape::orphaned_grants(fleet).await == 0 {
            return;
        }
        smol::Timer::after(SETTLE_STEP).await;
    }
}
