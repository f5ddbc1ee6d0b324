//! Runs a scenario: a deployment, its traffic, and concurrent faults.

mod table;
mod traffic;

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_lock::Mutex;
use bon::Builder;
use error_stack::Report;
use sagespool_types::ClockTime;

use super::config_oracle::{judge_config, wait_config_applied};
use super::direct::{DirectTimes, run_direct};
use super::faults::{FAULT_NAMES, FaultContext, run_fault};
use super::scrape::ControlReading;
use super::session::{
    AnswerInput, StoreTraffic, first_deposits, judge_operator_answers, stop_and_judge, traffic_of,
};
use super::stats::{PhaseInput, add_phase_stats, machine_load};
use super::{
    AnswerSample, CallRecord, ConfigLog, DepositLog, EntryBalancer, FaultLog, HomeKill,
    LatencyStats, LoadReport, PlannedCall, TrafficMix, judge_leaving, judge_orders, run_balanced,
    sample_answers,
};
use crate::FakeEngine;
use crate::fleet::{
    DeploymentPlan, EngineTuning, FleetBinaries, FleetError, FleetOptions, RunningFleet,
    read_deployment,
};

pub use table::{
    EngineSpec, FleetSize, GREEDY_BRANCH, LoadPhase, SCENARIO_NAMES, ScenarioPlan, TimedPhase,
    TrafficProfile, scenario_plan, schedule_phases,
};
pub use traffic::phase_calls;

const SETTLE_LIMIT: Duration = Duration::from_secs(30);
const SETTLE_POLL_PERIOD: Duration = Duration::from_millis(250);

/// Options of a run of the load tool.
#[derive(Debug, Clone, Builder)]
pub struct ScenarioOptions {
    /// The scenario's name.
    pub scenario: String,
    /// The seed of all random choices.
    pub seed: u64,
    /// Names of faults besides the scenario's own.
    #[builder(default)]
    pub faults: Vec<String>,
    /// Duration of the traffic; none for the scenario's own.
    pub duration: Option<Duration>,
    /// Requests per second; none for the scenario's own.
    pub rate: Option<f64>,
    /// The entries' budget policy.
    #[builder(into, default = "escrow")]
    pub budget: String,
    /// The entries' routing policy.
    #[builder(into, default = "sagespool")]
    pub routing: String,
    /// Name of the deployment's directory under `examples/`.
    #[builder(into, default = "local")]
    pub deployment: String,
    /// Paths of the binaries.
    pub binaries: FleetBinaries,
    /// Log level of the processes.
    #[builder(into, default = "info")]
    pub log_level: String,
    /// Directory to which the processes' logs are copied after their exit; none discards them.
    pub logs: Option<PathBuf>,
}

impl ScenarioOptions {
    /// Whether the run has faults and all of them are graceful.
    fn is_graceful(&self) -> bool {
        let faults = self.all_faults();
        !faults.is_empty() && faults.iter().all(|fault| GRACEFUL_FAULTS.contains(&fault.as_str()))
    }

    /// All faults of the run: the scenario's own and the additional ones.
    fn all_faults(&self) -> Vec<String> {
        let own = FAULT_NAMES.contains(&self.scenario.as_str());
        let mut faults: Vec<String> = own.then(|| self.scenario.clone()).into_iter().collect();
        for fault in &self.faults {
            if !faults.contains(fault) {
                faults.push(fault.clone());
            }
        }
        faults
    }
}

/// Checks the names of the scenario and the faults.
///
/// # Errors
/// A message with the unknown name and the known ones.
pub fn check_names(options: &ScenarioOptions) -> Result<(), String> {
    if scenario_plan(&options.scenario).is_none() {
        return Err(format!(
            "unknown scenario `{}`, expected one of: {}, {}",
            options.scenario,
            SCENARIO_NAMES.join(", "),
            FAULT_NAMES.join(", ")
        ));
    }
    match options.faults.iter().find(|fault| !FAULT_NAMES.contains(&fault.as_str())) {
        Some(fault) => {
            Err(format!("unknown fault `{fault}`, expected one of: {}", FAULT_NAMES.join(", ")))
        }
        None => Ok(()),
    }
}

/// A scenario's plan with the overrides of the options.
fn plan_of(options: &ScenarioOptions) -> Result<ScenarioPlan, Report<FleetError>> {
    let unknown = || FleetError::new(format!("looking up scenario {}", options.scenario));
    let mut plan = scenario_plan(&options.scenario).ok_or_else(|| Report::new(unknown()))?;
    plan.rate = options.rate.unwrap_or(plan.rate);
    plan.duration = options.duration.unwrap_or(plan.duration);
    Ok(plan)
}

/// Sets a scenario's engines, size and budgets in a deployment.
fn apply_plan(deployment: &mut DeploymentPlan, plan: &ScenarioPlan) {
    for deposit in deployment.branches.values_mut() {
        deposit.prepaid = plan.budget;
    }
    let services = deployment.services.iter_mut();
    let engines = services.filter(|(_, service)| service.tokens_per_second.is_some());
    let mut names = Vec::new();
    for (name, service) in engines {
        service.capacity = plan.engine.capacity;
        service.tokens_per_second = Some(plan.engine.token_rate);
        names.push(name.clone());
    }
    let Some(size) = plan.size else { return };
    let centres = deployment.centres.len() as u32;
    for (index, centre) in deployment.centres.iter_mut().enumerate() {
        let part = |all: u32| all / centres + u32::from((index as u32) < all % centres);
        centre.entries = part(size.entries);
        for name in &names {
            centre.upstreams.insert(name.clone(), part(size.engines));
        }
    }
}

fn fleet_options(
    options: &ScenarioOptions,
    plan: &ScenarioPlan,
) -> Result<FleetOptions, Report<FleetError>> {
    let directory =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(&options.deployment);
    let (mut deployment, fleet, branches) = read_deployment(&directory)?;
    apply_plan(&mut deployment, plan);
    let tuning = EngineTuning::builder()
        .load_lag(plan.engine.load_lag)
        .first_token_base(plan.engine.first_token)
        .prompt_token_time(plan.engine.prompt_token)
        .tick(plan.engine.tick);
    Ok(FleetOptions::builder()
        .binaries(options.binaries.clone())
        .deployment(deployment)
        .fleet(fleet)
        .branches(branches)
        .mixed_fences(options.all_faults().iter().any(|fault| fault == "stale-order"))
        .proxied(!options.all_faults().is_empty())
        .routing(options.routing.clone())
        .budget(options.budget.clone())
        .log_level(options.log_level.clone())
        .engine(tuning.build())
        .seed(options.seed)
        .build())
}

/// Data collected while a scenario's traffic ran.
struct TrafficOutcome {
    records: Vec<CallRecord>,
    direct: Vec<DirectTimes>,
    phases: Vec<TimedPhase>,
    start: ClockTime,
    fault_log: FaultLog,
    answers: Vec<AnswerSample>,
    config_log: ConfigLog,
    home_kill: Option<HomeKill>,
}

/// Faults in which processes and upstreams leave gracefully and nothing fails.
const GRACEFUL_FAULTS: [&str; 2] = ["rolling-restart", "drain"];

/// Runs a scenario: starts the fleet, runs traffic and faults, heals and stops the fleet, and
/// checks the outcome.
///
/// # Errors
/// If the scenario is unknown, the fleet cannot be started, or logs cannot be copied.
pub async fn run_scenario(options: &ScenarioOptions) -> Result<LoadReport, Report<FleetError>> {
    let plan = plan_of(options)?;
    let fleet_options = fleet_options(options, &plan)?;
    let mix = traffic::scenario_mix(&traffic_of(&fleet_options), &plan);
    let mut report = LoadReport {
        scenario: options.scenario.clone(),
        seed: options.seed,
        policy: format!("{}/{}", options.routing, options.budget),
        faults: options.all_faults(),
        ..LoadReport::default()
    };
    let fleet = RunningFleet::start(fleet_options).await?;
    let before = StoreTraffic::of(&fleet);
    let control = ControlReading::of(&fleet).await;
    let deposits = Arc::new(Mutex::new(first_deposits(&fleet.options)));
    let fleet = Arc::new(Mutex::new(fleet));
    report.machine_load.extend(machine_load());
    let outcome = run_traffic(options, &plan, &mix, &fleet, &deposits).await;
    report.machine_load.extend(machine_load());
    let mut fleet = fleet.lock().await;
    let traffic = StoreTraffic::of(&fleet);
    heal(&mut fleet);
    report.control_bytes_per_second = ControlReading::of(&fleet).await.rates_since(&control);
    report.control_bytes_per_second_per_node = report.control_bytes_per_second.node;
    wait_settled(&fleet).await;
    if outcome.config_log != ConfigLog::default() {
        wait_config_applied(&fleet, &outcome.config_log).await;
        report.config = Some(judge_config(&fleet, &outcome.config_log));
    }
    let sent = outcome.records.len().max(1) as f64;
    report.store_writes_per_request = (traffic.writes - before.writes) as f64 / sent;
    report.store_reads_per_request = (traffic.reads - before.reads) as f64 / sent;
    add_latencies(&mut report, &outcome, &fleet);
    if let Some(kill) = &outcome.home_kill {
        report.add_home_kill(kill, &outcome.records);
    }
    let deposits = deposits.lock().await.clone();
    stop_and_judge(&mut report, &mut fleet, &outcome.records, &deposits);
    if let Some(logs) = &options.logs {
        fleet.copy_logs(logs)?;
    }
    let judged = AnswerInput {
        records: &outcome.records,
        samples: &outcome.answers,
        deposits: &deposits,
        fault_log: &outcome.fault_log,
    };
    judge_operator_answers(&mut report, &fleet, &judged);
    report.add_order_verdict(&judge_orders(&fleet));
    report.add_races(&outcome.fault_log);
    if options.is_graceful() {
        report.add_leaving_verdict(&judge_leaving(
            &outcome.records,
            &fleet.run_log,
            &outcome.fault_log,
        ));
    }
    Ok(report)
}

/// Sends a scenario's calls while its faults run, and waits for all of them.
async fn run_traffic(
    options: &ScenarioOptions,
    plan: &ScenarioPlan,
    mix: &TrafficMix,
    fleet: &Arc<Mutex<RunningFleet>>,
    deposits: &Arc<Mutex<DepositLog>>,
) -> TrafficOutcome {
    let phases = schedule_phases(plan.phases, plan.duration);
    let calls = traffic::planned_calls(options, mix, plan.rate, &phases);
    let (entries, engines) = {
        let fleet = fleet.lock().await;
        (fleet.entry_addresses(), fleet.engines.values().cloned().collect::<Vec<_>>())
    };
    let context =
        FaultContext::new(Arc::clone(fleet), Arc::clone(deposits), plan.duration, options.seed);
    let start = context.start;
    let scripts = options.all_faults().into_iter().map(|fault| {
        let context = context.clone();
        smol::spawn(async move { run_fault(&fault, context).await })
    });
    let scripts: Vec<_> = scripts.collect();
    let slowdown = smol::spawn(apply_slowness(engines.first().cloned(), phases.clone(), start));
    let direct = plan.direct.then(|| {
        let calls: Vec<PlannedCall> = traffic::direct_calls(options, mix, plan.rate, plan.duration);
        let engines = engines.iter().map(FakeEngine::address).collect();
        smol::spawn(run_direct(calls, engines))
    });
    let balancer = EntryBalancer::new(entries);
    let probes = options.is_graceful().then(|| {
        let balancer = balancer.clone();
        smol::spawn(async move { balancer.probe().await })
    });
    let ended = Arc::new(AtomicBool::new(false));
    let sampler = smol::spawn({
        let ended = Arc::clone(&ended);
        let (operator, branches) = (context.operator().await, mix.branches.iter());
        let branches = branches.map(|branch| branch.branch.clone()).collect();
        let addresses = fleet.lock().await.entry_addresses();
        sample_answers(operator, addresses, branches, move || ended.load(Ordering::Relaxed))
    });
    let records = run_balanced(calls, balancer).await;
    slowdown.await;
    for script in scripts {
        script.await;
    }
    drop(probes);
    ended.store(true, Ordering::Relaxed);
    let answers = sampler.await;
    let direct = match direct {
        Some(direct) => direct.await,
        None => Vec::new(),
    };
    let config_log = context.config_log().await.clone();
    let home_kill = context.home_kill.lock().await.take();
    let fault_log = context.fault_log;
    TrafficOutcome { records, direct, phases, start, fault_log, answers, config_log, home_kill }
}

/// Slows down one engine by each phase's factor.
async fn apply_slowness(engine: Option<FakeEngine>, phases: Vec<TimedPhase>, start: ClockTime) {
    let Some(engine) = engine else { return };
    for timed in phases {
        let wait = start.after(timed.from).since(ClockTime::now());
        smol::Timer::after(wait).await;
        engine.set_slow_factor(timed.phase.slowness);
    }
}

fn add_latencies(report: &mut LoadReport, outcome: &TrafficOutcome, fleet: &RunningFleet) {
    let input =
        PhaseInput { records: &outcome.records, phases: &outcome.phases, start: outcome.start };
    add_phase_stats(report, &input, fleet);
    let direct = &outcome.direct;
    let firsts = direct.iter().filter_map(|answer| answer.first_token);
    report.first_token_ms.direct = LatencyStats::of(firsts);
    report.whole_ms.direct = LatencyStats::of(direct.iter().map(|answer| answer.whole));
}

/// Undoes every fault and starts stopped processes, so that open grants can be settled.
fn heal(fleet: &mut RunningFleet) {
    if let Some(proxy) = &fleet.proxy {
        proxy.heal_all();
    }
    fleet.store.set_faults(Default::default());
    for index in 0..fleet.members.len() {
        if fleet.members[index].process.is_none()
            && let Err(report) = fleet.start_member(index)
        {
            eprintln!("{report:?}");
        }
    }
}

/// Waits until the books have no grants of ended processes, or until the time limit.
async fn wait_settled(fleet: &RunningFleet) {
    let started = ClockTime::now();
    while ClockTime::now().since(started) < SETTLE_LIMIT {
        if super::scrape::orphaned_grants(fleet).await == 0 {
            return;
        }
        smol::Timer::after(SETTLE_POLL_PERIOD).await;
    }
}
