//! The scenarios as data: size of the fleet, engines, traffic, and phases.

use std::time::Duration;

use sagespool_types::TokenCount;

use super::super::faults::FAULT_NAMES;

/// Size of the fleet, where a scenario overrides the deployment's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSize {
    /// Entries, spread over the data centres.
    pub entries: u32,
    /// Engines, spread over the data centres.
    pub engines: u32,
}

/// Parameters of the fake engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpec {
    /// Concurrent requests.
    pub capacity: u32,
    /// Tokens per second of each request.
    pub token_rate: u64,
    /// Time to the first token with a cached prefix.
    pub first_token: Duration,
    /// Additional time per prompt token without a cached prefix.
    pub prompt_token: Duration,
    /// Age of the load that engines report.
    pub load_lag: Duration,
    /// Interval at which engines produce tokens.
    pub tick: Duration,
}

/// Parameters of the calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrafficProfile {
    /// Calls of a plain service, in thousandths.
    pub service_share: u32,
    /// Calls with an idempotency key, in thousandths.
    pub keyed_share: u32,
    /// Streamed completions, in thousandths of the completions.
    pub stream_share: u32,
    /// The longest normal answer, in tokens.
    pub max_answer_tokens: u32,
    /// Long answers, in thousandths.
    pub long_share: u32,
    /// The longest long answer, in tokens.
    pub max_long_answer_tokens: u32,
    /// Minimum length of a prompt, in bytes.
    pub prompt_bytes: usize,
    /// Number of distinct prompt prefixes.
    pub prefixes: u32,
    /// Skew of their use; 1 is uniform.
    pub prefix_skew: i32,
    /// The deadline of a call.
    pub deadline: Duration,
}

/// A phase of a scenario.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadPhase {
    /// Its name in the report; phases of one name share their statistics.
    pub name: &'static str,
    /// Its share of the scenario's time.
    pub share: f64,
    /// The rate of calls, as a multiple of the scenario's rate; 0 sends nothing.
    pub factor: f64,
    /// The greedy branch's calls, as a multiple of its usual number.
    pub greed: f64,
    /// Factor by which one engine is slowed down.
    pub slowness: f64,
    /// Whether its calls are included in the report's latencies.
    pub is_measured: bool,
}

/// The parameters of a scenario.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScenarioPlan {
    /// Its name on the command line.
    pub name: &'static str,
    /// Size of the fleet; none for the deployment's own.
    pub size: Option<FleetSize>,
    /// Parameters of the engines.
    pub engine: EngineSpec,
    /// Parameters of the calls.
    pub traffic: TrafficProfile,
    /// Calls per second.
    pub rate: f64,
    /// Duration of the traffic.
    pub duration: Duration,
    /// Prepaid tokens of each branch.
    pub budget: TokenCount,
    /// Its phases; their shares sum up to 1.
    pub phases: &'static [LoadPhase],
    /// Whether baseline calls are also sent directly to the engines.
    pub direct: bool,
}

/// The branch whose calls a phase's `greed` multiplies.
pub const GREEDY_BRANCH: &str = "second";

const AMPLE_BUDGET: TokenCount = TokenCount(50_000_000);
/// Enough for about ten requests per branch.
const DRY_BUDGET: TokenCount = TokenCount(1_500);
/// Runs out towards the end of scenarios with faults.
const FAULT_BUDGET: TokenCount = TokenCount(40_000);

const EVEN_PHASE: LoadPhase = LoadPhase {
    name: "even",
    share: 1.0,
    factor: 1.0,
    greed: 1.0,
    slowness: 1.0,
    is_measured: true,
};
/// Entries measure their upstreams' speed and get their first grants.
const WARM_UP: LoadPhase =
    LoadPhase { name: "warm-up", share: 0.2, is_measured: false, ..EVEN_PHASE };
/// No calls, so that the queues drain.
const PAUSE: LoadPhase = LoadPhase { name: "pause", factor: 0.0, is_measured: false, ..EVEN_PHASE };

/// Fast engines that are never the bottleneck.
const FAST_ENGINE: EngineSpec = EngineSpec {
    capacity: 64,
    token_rate: 500,
    first_token: Duration::from_millis(20),
    prompt_token: Duration::from_micros(20),
    load_lag: Duration::from_millis(200),
    tick: Duration::from_millis(5),
};

/// Engines that are the bottleneck: a request occupies one of eight slots for a second on average,
/// so that waiting for a slot takes longer than scheduling delays on a busy machine.
const BOTTLENECK_ENGINE: EngineSpec = EngineSpec {
    capacity: 8,
    token_rate: 20,
    first_token: Duration::from_millis(50),
    prompt_token: Duration::from_micros(200),
    load_lag: Duration::from_millis(200),
    tick: Duration::from_millis(20),
};

const MIXED_TRAFFIC: TrafficProfile = TrafficProfile {
    service_share: 200,
    keyed_share: 600,
    stream_share: 600,
    max_answer_tokens: 24,
    long_share: 0,
    max_long_answer_tokens: 24,
    prompt_bytes: 200,
    prefixes: 50,
    prefix_skew: 1,
    deadline: Duration::from_secs(20),
};

/// Streams of 19 tokens on average; one in ten has up to 120.
const STREAM_TRAFFIC: TrafficProfile = TrafficProfile {
    service_share: 0,
    stream_share: 1000,
    keyed_share: 0,
    max_answer_tokens: 28,
    long_share: 100,
    max_long_answer_tokens: 120,
    prompt_bytes: 400,
    prefixes: 2000,
    deadline: Duration::from_secs(60),
    ..MIXED_TRAFFIC
};

const STEADY: ScenarioPlan = ScenarioPlan {
    name: "steady",
    size: None,
    engine: FAST_ENGINE,
    traffic: TrafficProfile { keyed_share: 300, ..MIXED_TRAFFIC },
    rate: 200.0,
    duration: Duration::from_secs(20),
    budget: AMPLE_BUDGET,
    phases: &[EVEN_PHASE],
    direct: true,
};

/// The plan of scenarios named after a fault, except [`FAULT_PLANS`].
const FAULTED: ScenarioPlan = ScenarioPlan {
    name: "faulted",
    traffic: MIXED_TRAFFIC,
    rate: 60.0,
    budget: FAULT_BUDGET,
    direct: false,
    ..STEADY
};

/// Streams of up to three seconds while processes and upstreams leave and return.
const ROLLING_RESTART: ScenarioPlan = ScenarioPlan {
    name: "rolling-restart",
    engine: EngineSpec { token_rate: 100, ..FAST_ENGINE },
    traffic: TrafficProfile { long_share: 100, max_long_answer_tokens: 300, ..MIXED_TRAFFIC },
    rate: 40.0,
    duration: Duration::from_secs(60),
    budget: AMPLE_BUDGET,
    ..FAULTED
};

const DRAIN: ScenarioPlan =
    ScenarioPlan { name: "drain", duration: Duration::from_secs(70), ..ROLLING_RESTART };

/// Long enough for each kind of late order at each engine.
const STALE_ORDER: ScenarioPlan = ScenarioPlan {
    name: "stale-order",
    rate: 30.0,
    duration: Duration::from_secs(40),
    budget: AMPLE_BUDGET,
    ..FAULTED
};

const OPERATORS_RACE: ScenarioPlan = ScenarioPlan {
    name: "operators-race",
    rate: 30.0,
    duration: Duration::from_secs(30),
    budget: AMPLE_BUDGET,
    ..FAULTED
};

/// Scenarios named after a fault that have their own plan.
const FAULT_PLANS: [ScenarioPlan; 4] = [ROLLING_RESTART, DRAIN, STALE_ORDER, OPERATORS_RACE];

const DRY: ScenarioPlan = ScenarioPlan { name: "dry", rate: 80.0, budget: DRY_BUDGET, ..FAULTED };

/// Twelve engines of eight slots, each occupied for 0.95 s on average, have a capacity of 100
/// requests per second.
const ROUTED: ScenarioPlan = ScenarioPlan {
    name: "routed",
    size: Some(FleetSize { entries: 3, engines: 12 }),
    engine: BOTTLENECK_ENGINE,
    traffic: STREAM_TRAFFIC,
    rate: 82.0,
    duration: Duration::from_secs(50),
    budget: AMPLE_BUDGET,
    phases: &[WARM_UP, LoadPhase { share: 0.8, ..EVEN_PHASE }],
    direct: false,
};

/// Engines report their load with a lag of two seconds.
const LAGGING_LOAD: ScenarioPlan = ScenarioPlan {
    name: "lagging-load",
    engine: EngineSpec { load_lag: Duration::from_secs(2), ..BOTTLENECK_ENGINE },
    ..ROUTED
};

/// One engine takes five times as long as the others.
const SLOW_UPSTREAM: ScenarioPlan = ScenarioPlan {
    name: "slow-upstream",
    rate: 60.0,
    phases: &[WARM_UP, LoadPhase { name: "slow", share: 0.8, slowness: 5.0, ..EVEN_PHASE }],
    ..ROUTED
};

/// Five times the normal load for twenty seconds, which is 5 % above the engines' capacity.
const SURGE: ScenarioPlan = ScenarioPlan {
    name: "surge",
    rate: 19.0,
    duration: Duration::from_secs(50),
    phases: &[
        LoadPhase { name: "normal", share: 0.2, is_measured: false, ..EVEN_PHASE },
        LoadPhase { name: "surge", share: 0.4, factor: 5.0, ..EVEN_PHASE },
        LoadPhase { name: "after", share: 0.4, is_measured: false, ..EVEN_PHASE },
    ],
    ..ROUTED
};

/// One branch sends ten times its usual calls, which alone exceeds the engines' capacity. The calm
/// phases before and after are the baseline.
const NOISY_BRANCH: ScenarioPlan = ScenarioPlan {
    name: "noisy-branch",
    traffic: TrafficProfile { deadline: Duration::from_secs(10), ..STREAM_TRAFFIC },
    rate: 40.0,
    duration: Duration::from_secs(120),
    phases: &[
        LoadPhase { share: 0.1, ..WARM_UP },
        LoadPhase { name: "calm", share: 0.2, ..EVEN_PHASE },
        LoadPhase { name: "noisy", share: 0.35, greed: 10.0, ..EVEN_PHASE },
        LoadPhase { share: 0.1, ..PAUSE },
        LoadPhase { name: "calm", share: 0.25, ..EVEN_PHASE },
    ],
    ..ROUTED
};

/// Long prompts with shared prefixes, more of them than one engine's cache holds.
const PREFIX_REUSE: ScenarioPlan = ScenarioPlan {
    name: "prefix-reuse",
    traffic: TrafficProfile { prompt_bytes: 4000, prefixes: 500, prefix_skew: 2, ..STREAM_TRAFFIC },
    rate: 60.0,
    ..ROUTED
};

/// All scenarios except those named after a fault.
const PLANS: [ScenarioPlan; 7] =
    [STEADY, DRY, LAGGING_LOAD, SLOW_UPSTREAM, SURGE, NOISY_BRANCH, PREFIX_REUSE];

/// Names of all scenarios except those named after a fault.
pub const SCENARIO_NAMES: [&str; PLANS.len()] = names();

const fn names() -> [&'static str; PLANS.len()] {
    let mut names = [""; PLANS.len()];
    let mut index = 0;
    while index < PLANS.len() {
        names[index] = PLANS[index].name;
        index += 1;
    }
    names
}

/// The plan of a scenario; none if the name is unknown.
pub fn scenario_plan(name: &str) -> Option<ScenarioPlan> {
    if FAULT_NAMES.contains(&name) {
        let own = FAULT_PLANS.into_iter().find(|plan| plan.name == name);
        return Some(own.unwrap_or(FAULTED));
    }
    PLANS.into_iter().find(|plan| plan.name == name)
}

/// A phase with its start and duration.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TimedPhase {
    /// The phase's parameters.
    pub phase: LoadPhase,
    /// When it begins, relative to the start of the traffic.
    pub from: Duration,
    /// How long it lasts.
    pub duration: Duration,
}

impl TimedPhase {
    /// When it ends, relative to the start of the traffic.
    pub fn until(&self) -> Duration {
        self.from + self.duration
    }
}

/// Schedules phases one after the other over a duration, by their shares.
pub fn schedule_phases(phases: &[LoadPhase], duration: Duration) -> Vec<TimedPhase> {
    let mut from = Duration::ZERO;
    let timed = phases.iter().map(|phase| {
        let timed = TimedPhase { phase: *phase, from, duration: duration.mul_f64(phase.share) };
        from = timed.until();
        timed
    });
    timed.collect()
}
