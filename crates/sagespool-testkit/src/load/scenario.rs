//! Scenarios: a deployment, its traffic, and the faults beside it.

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

use super::config_oracle::{judge_config, wait_spread};
use super::direct::{DirectTimes, run_direct};
use super::faults::{FAULT_NAMES, FaultStage, run_fault};
use super::figures::{CourseInput, machine_load, note_course};
use super::scrape::ControlReading;
use super::session::{
    AnswerInput, StoreTraffic, conclude, first_deposits, note_answers, traffic_of,
};
use super::{
    AnswerSample, CallRecord, ConfigLog, DepositLog, EntryBalancer, FleetNotes, HomeKill,
    LatencyFigures, LoadReport, PlannedCall, TrafficMix, ask_around, judge_leaving, judge_orders,
    run_balanced,
};
use crate::FakeEngine;
use crate::fleet::{
    DeploymentPlan, EngineTuning, FleetBinaries, FleetError, FleetOptions, RunningFleet,
    read_deployment,
};

pub use table::{
    EngineTraits, FleetSize, GREEDY_BRANCH, LoadPhase, SCENARIO_NAMES, ScenarioPlan, TimedPhase,
    TrafficTraits, lay_out, scenario_plan,
};
pub use traffic::course_calls;

const SETTLE_LIMIT: Duration = Duration::from_secs(30);
const SETTLE_STEP: Duration = Duration::from_millis(250);

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
    /// How long the traffic lasts; the scenario's own time if none is given.
    pub lasting: Option<Duration>,
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
    /// Where the processes' logs are kept once they have ended; nowhere if none is given.
    pub logs: Option<PathBuf>,
}

impl ScenarioOptions {
    /// Whether processes leave, and nothing fails.
    fn is_graceful(&self) -> bool {
        let faults = self.all_faults();
        !faults.is_empty() && faults.iter().all(|fault| GRACEFUL_FAULTS.contains(&fault.as_str()))
    }

    /// Every fault of the run: the scenario's own and those beside it.
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

/// Checks the names of a run.
///
/// # Errors
/// The known names.
pub fn check_names(options: &ScenarioOptions) -> Result<(), String> {
    if scenario_plan(&options.scenario).is_none() {
        return Err(format!(
            "no scenario is called `{}`: {}, {}",
            options.scenario,
            SCENARIO_NAMES.join(", "),
            FAULT_NAMES.join(", ")
        ));
    }
    match options.faults.iter().find(|fault| !FAULT_NAMES.contains(&fault.as_str())) {
        Some(fault) => Err(format!("no fault is called `{fault}`: {}", FAULT_NAMES.join(", "))),
        None => Ok(()),
    }
}

/// A scenario's plan, with what the options say instead.
fn plan_of(options: &ScenarioOptions) -> Result<ScenarioPlan, Report<FleetError>> {
    let unknown = || FleetError::new(format!("looking for scenario {}", options.scenario));
    let mut plan = scenario_plan(&options.scenario).ok_or_else(|| Report::new(unknown()))?;
    plan.rate = options.rate.unwrap_or(plan.rate);
    plan.lasting = options.lasting.unwrap_or(plan.lasting);
    Ok(plan)
}

/// Gives a deployment a scenario's engines, size and budgets.
fn shape(deployment: &mut DeploymentPlan, plan: &ScenarioPlan) {
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
    for (place, centre) in deployment.centres.iter_mut().enumerate() {
        let part = |all: u32| all / centres + u32::from((place as u32) < all % centres);
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
    shape(&mut deployment, plan);
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

/// What a scenario's traffic came to, before the fleet is stopped.
struct CourseOutcome {
    records: Vec<CallRecord>,
    direct: Vec<DirectTimes>,
    phases: Vec<TimedPhase>,
    start: ClockTime,
    notes: FleetNotes,
    answers: Vec<AnswerSample>,
    config_log: ConfigLog,
    home_kill: Option<HomeKill>,
}

/// Faults in which nothing but processes that are stopped gracefully leaves.
const GRACEFUL_FAULTS: [&str; 2] = ["rolling-restart", "drain"];

/// Runs a scenario whole: the fleet is started, loaded, faulted, healed, stopped and judged.
///
/// # Errors
/// If the fleet can't be started.
pub async fn run_scenario(options: &ScenarioOptions) -> Result<LoadReport, Report<FleetError>> {
    let plan = plan_of(options)?;
    let fleet_options = fleet_options(options, &plan)?;
    let mix = traffic::shaped(&traffic_of(&fleet_options), &plan);
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
    let outcome = drive(options, &plan, &mix, &fleet, &deposits).await;
    report.machine_load.extend(machine_load());
    let mut fleet = fleet.lock().await;
    let traffic = StoreTraffic::of(&fleet);
    heal(&mut fleet);
    report.control_bytes_per_second = ControlReading::of(&fleet).await.rates_since(&control);
    report.control_bytes_per_second_per_node = report.control_bytes_per_second.node;
    wait_settled(&fleet).await;
    if outcome.config_log != ConfigLog::default() {
        wait_spread(&fleet, &outcome.config_log).await;
        report.config = Some(judge_config(&fleet, &outcome.config_log));
    }
    let sent = outcome.records.len().max(1) as f64;
    report.store_writes_per_request = (traffic.writes - before.writes) as f64 / sent;
    report.store_reads_per_request = (traffic.reads - before.reads) as f64 / sent;
    note_latencies(&mut report, &outcome, &fleet);
    if let Some(kill) = &outcome.home_kill {
        report.note_home_kill(kill, &outcome.records);
    }
    let deposits = deposits.lock().await.clone();
    conclude(&mut report, &mut fleet, &outcome.records, &deposits);
    if let Some(logs) = &options.logs {
        fleet.copy_logs(logs)?;
    }
    let judged = AnswerInput {
        records: &outcome.records,
        samples: &outcome.answers,
        deposits: &deposits,
        notes: &outcome.notes,
    };
    note_answers(&mut report, &fleet, &judged);
    report.take_orders(&judge_orders(&fleet));
    report.take_races(&outcome.notes);
    if options.is_graceful() {
        report.take_leaving(&judge_leaving(&outcome.records, &fleet.run_log, &outcome.notes));
    }
    Ok(report)
}

/// Sends a scenario's calls, with its faults beside them, and waits for their ends.
async fn drive(
    options: &ScenarioOptions,
    plan: &ScenarioPlan,
    mix: &TrafficMix,
    fleet: &Arc<Mutex<RunningFleet>>,
    deposits: &Arc<Mutex<DepositLog>>,
) -> CourseOutcome {
    let phases = lay_out(plan.course, plan.lasting);
    let calls = traffic::planned_calls(options, mix, plan.rate, &phases);
    let (entries, engines) = {
        let fleet = fleet.lock().await;
        (fleet.entry_addresses(), fleet.engines.values().cloned().collect::<Vec<_>>())
    };
    let stage =
        FaultStage::new(Arc::clone(fleet), Arc::clone(deposits), plan.lasting, options.seed);
    let start = stage.start;
    let scripts = options.all_faults().into_iter().map(|fault| {
        let stage = stage.clone();
        smol::spawn(async move { run_fault(&fault, stage).await })
    });
    let scripts: Vec<_> = scripts.collect();
    let slowing = smol::spawn(slow_one(engines.first().cloned(), phases.clone(), start));
    let direct = plan.direct.then(|| {
        let calls: Vec<PlannedCall> = traffic::direct_calls(options, mix, plan.rate, plan.lasting);
        let engines = engines.iter().map(FakeEngine::address).collect();
        smol::spawn(run_direct(calls, engines))
    });
    let balancer = EntryBalancer::new(entries);
    let probes = options.is_graceful().then(|| {
        let balancer = balancer.clone();
        smol::spawn(async move { balancer.probe().await })
    });
    let ended = Arc::new(AtomicBool::new(false));
    let asking = smol::spawn({
        let ended = Arc::clone(&ended);
        let (operator, branches) = (stage.operator().await, mix.branches.iter());
        let branches = branches.map(|branch| branch.branch.clone()).collect();
        let addresses = fleet.lock().await.entry_addresses();
        ask_around(operator, addresses, branches, move || ended.load(Ordering::Relaxed))
    });
    let records = run_balanced(calls, balancer).await;
    slowing.await;
    for script in scripts {
        script.await;
    }
    drop(probes);
    ended.store(true, Ordering::Relaxed);
    let answers = asking.await;
    let direct = match direct {
        Some(direct) => direct.await,
        None => Vec::new(),
    };
    let config_log = stage.config_log().await.clone();
    let home_kill = stage.home_kill.lock().await.take();
    let notes = stage.notes;
    CourseOutcome { records, direct, phases, start, notes, answers, config_log, home_kill }
}

/// Makes one engine as slow as each phase says.
async fn slow_one(engine: Option<FakeEngine>, phases: Vec<TimedPhase>, start: ClockTime) {
    let Some(engine) = engine else { return };
    for timed in phases {
        let wait = start.after(timed.from).since(ClockTime::now());
        smol::Timer::after(wait).await;
        engine.set_slow_factor(timed.phase.slowness);
    }
}

fn note_latencies(report: &mut LoadReport, outcome: &CourseOutcome, fleet: &RunningFleet) {
    let input =
        CourseInput { records: &outcome.records, phases: &outcome.phases, start: outcome.start };
    note_course(report, &input, fleet);
    let direct = &outcome.direct;
    let firsts = direct.iter().filter_map(|answer| answer.first_token);
    report.first_token_ms.direct = LatencyFigures::of(firsts);
    report.whole_ms.direct = LatencyFigures::of(direct.iter().map(|answer| answer.whole));
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
