//! The scenarios as data: who serves, what is sent, and how that changes over time.

use std::time::Duration;

use sagespool_types::TokenCount;

use super::super::faults::FAULT_NAMES;

/// A deployment's size, where a scenario has its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSize {
    /// Entries, spread over the data centres.
    pub entries: u32,
    /// Engines, spread over the data centres.
    pub engines: u32,
}

/// What the engines are like.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineTraits {
    /// Requests at once.
    pub capacity: u32,
    /// Tokens a second of each request.
    pub token_rate: u64,
    /// Time to the first token where the prefix is cached.
    pub first_token: Duration,
    /// Time that each token of the prompt adds where it isn't.
    pub prompt_token: Duration,
    /// How old the load is that they report.
    pub load_lag: Duration,
    /// How often they make tokens.
    pub tick: Duration,
}

/// What the calls are like.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrafficTraits {
    /// Calls of a plain service, in thousandths.
    pub service_share: u32,
    /// Calls with a key, in thousandths.
    pub keyed_share: u32,
    /// Completions as events, in thousandths.
    pub stream_share: u32,
    /// The longest answer of most calls.
    pub longest_answer: u32,
    /// Calls with longer answers, in thousandths.
    pub long_share: u32,
    /// The longest of those.
    pub longest_long_answer: u32,
    /// Bytes of a prompt.
    pub prompt_bytes: usize,
    /// Different beginnings of prompts.
    pub prefixes: u32,
    /// How unevenly those are used; 1 for all alike.
    pub prefix_skew: i32,
    /// The deadline of a call.
    pub deadline: Duration,
}

/// A stretch of a scenario's time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadPhase {
    /// Its name in the report; phases of one name are judged together.
    pub name: &'static str,
    /// Its share of the scenario's time.
    pub share: f64,
    /// The rate of calls, as a multiple of the scenario's own.
    pub factor: f64,
    /// What the greedy branch sends, as a multiple of its usual part.
    pub greed: f64,
    /// How many times as long one engine takes.
    pub slowness: f64,
    /// Whether its calls count for the report's latencies.
    pub is_measured: bool,
}

/// A scenario.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScenarioPlan {
    /// Its name.
    pub name: &'static str,
    /// The deployment's size; none for as many as it says.
    pub size: Option<FleetSize>,
    /// The engines.
    pub engine: EngineTraits,
    /// The calls.
    pub traffic: TrafficTraits,
    /// Calls a second.
    pub rate: f64,
    /// How long it lasts.
    pub lasting: Duration,
    /// What each branch has prepaid.
    pub budget: TokenCount,
    /// Its course.
    pub course: &'static [LoadPhase],
    /// Whether a part of the calls also goes straight to the engines, for comparison.
    pub direct: bool,
}

/// The branch that is greedy in a phase with `greed` above 1.
pub const GREEDY_BRANCH: &str = "second";

const PLENTY: TokenCount = TokenCount(50_000_000);
/// In `dry` each branch has enough for some ten requests.
const DRY_BUDGET: TokenCount = TokenCount(1_500);
/// In scenarios with faults, budgets run out towards the end.
const FAULT_BUDGET: TokenCount = TokenCount(40_000);

const EVEN_PHASE: LoadPhase = LoadPhase {
    name: "even",
    share: 1.0,
    factor: 1.0,
    greed: 1.0,
    slowness: 1.0,
    is_measured: true,
};
/// The fleet learns its upstreams' speed and takes its first grants.
const WARM_UP: LoadPhase =
    LoadPhase { name: "warm-up", share: 0.2, is_measured: false, ..EVEN_PHASE };
/// Nothing is sent, and what waits drains.
const PAUSE: LoadPhase = LoadPhase { name: "pause", factor: 0.0, is_measured: false, ..EVEN_PHASE };

/// Quick engines that never are the bottleneck.
const QUICK_ENGINE: EngineTraits = EngineTraits {
    capacity: 64,
    token_rate: 500,
    first_token: Duration::from_millis(20),
    prompt_token: Duration::from_micros(20),
    load_lag: Duration::from_millis(200),
    tick: Duration::from_millis(5),
};

/// Engines that are the bottleneck: a request holds one of eight places for a second on
/// average, so that waiting for a place takes longer than any process is held up on a busy
/// machine.
const BUSY_ENGINE: EngineTraits = EngineTraits {
    capacity: 8,
    token_rate: 20,
    first_token: Duration::from_millis(50),
    prompt_token: Duration::from_micros(200),
    load_lag: Duration::from_millis(200),
    tick: Duration::from_millis(20),
};

const MIXED_TRAFFIC: TrafficTraits = TrafficTraits {
    service_share: 200,
    keyed_share: 600,
    stream_share: 600,
    longest_answer: 24,
    long_share: 0,
    longest_long_answer: 24,
    prompt_bytes: 200,
    prefixes: 50,
    prefix_skew: 1,
    deadline: Duration::from_secs(20),
};

/// Streams of 19 tokens on average, one in ten of them up to 120.
const STREAM_TRAFFIC: TrafficTraits = TrafficTraits {
    service_share: 0,
    stream_share: 1000,
    keyed_share: 0,
    longest_answer: 28,
    long_share: 100,
    longest_long_answer: 120,
    prompt_bytes: 400,
    prefixes: 2000,
    deadline: Duration::from_secs(60),
    ..MIXED_TRAFFIC
};

const STEADY: ScenarioPlan = ScenarioPlan {
    name: "steady",
    size: None,
    engine: QUICK_ENGINE,
    traffic: TrafficTraits { keyed_share: 300, ..MIXED_TRAFFIC },
    rate: 200.0,
    lasting: Duration::from_secs(20),
    budget: PLENTY,
    course: &[EVEN_PHASE],
    direct: true,
};

/// Scenarios that are named like a fault have this plan, but for [`FAULT_PLANS`].
const FAULTED: ScenarioPlan = ScenarioPlan {
    name: "faulted",
    traffic: MIXED_TRAFFIC,
    rate: 60.0,
    budget: FAULT_BUDGET,
    direct: false,
    ..STEADY
};

/// Streams of up to three seconds run while processes and upstreams leave and come back.
const LEAVING: ScenarioPlan = ScenarioPlan {
    name: "rolling-restart",
    engine: EngineTraits { token_rate: 100, ..QUICK_ENGINE },
    traffic: TrafficTraits { long_share: 100, longest_long_answer: 300, ..MIXED_TRAFFIC },
    rate: 40.0,
    lasting: Duration::from_secs(60),
    budget: PLENTY,
    ..FAULTED
};

const DRAIN: ScenarioPlan =
    ScenarioPlan { name: "drain", lasting: Duration::from_secs(70), ..LEAVING };

/// Long enough for each way of being late at each engine.
const STALE_ORDER: ScenarioPlan = ScenarioPlan {
    name: "stale-order",
    rate: 30.0,
    lasting: Duration::from_secs(40),
    budget: PLENTY,
    ..FAULTED
};

const OPERATORS_RACE: ScenarioPlan = ScenarioPlan {
    name: "operators-race",
    rate: 30.0,
    lasting: Duration::from_secs(30),
    budget: PLENTY,
    ..FAULTED
};

/// Scenarios that are named like a fault and have a plan of their own.
const FAULT_PLANS: [ScenarioPlan; 4] = [LEAVING, DRAIN, STALE_ORDER, OPERATORS_RACE];

const DRY: ScenarioPlan = ScenarioPlan { name: "dry", rate: 80.0, budget: DRY_BUDGET, ..FAULTED };

/// Twelve engines of eight places, each held for 0.95 s on average, run 100 requests a second.
const ROUTED: ScenarioPlan = ScenarioPlan {
    name: "routed",
    size: Some(FleetSize { entries: 3, engines: 12 }),
    engine: BUSY_ENGINE,
    traffic: STREAM_TRAFFIC,
    rate: 82.0,
    lasting: Duration::from_secs(50),
    budget: PLENTY,
    course: &[WARM_UP, LoadPhase { share: 0.8, ..EVEN_PHASE }],
    direct: false,
};

/// What engines report is two seconds old before anybody can see it.
const LAGGING_LOAD: ScenarioPlan = ScenarioPlan {
    name: "lagging-load",
    engine: EngineTraits { load_lag: Duration::from_secs(2), ..BUSY_ENGINE },
    ..ROUTED
};

/// One of the engines takes five times as long as the others.
const SLOW_UPSTREAM: ScenarioPlan = ScenarioPlan {
    name: "slow-upstream",
    rate: 60.0,
    course: &[WARM_UP, LoadPhase { name: "slow", share: 0.8, slowness: 5.0, ..EVEN_PHASE }],
    ..ROUTED
};

/// Five times the normal load for twenty seconds, which is 5 % more than the engines can do.
const SURGE: ScenarioPlan = ScenarioPlan {
    name: "surge",
    rate: 19.0,
    lasting: Duration::from_secs(50),
    course: &[
        LoadPhase { name: "normal", share: 0.2, is_measured: false, ..EVEN_PHASE },
        LoadPhase { name: "surge", share: 0.4, factor: 5.0, ..EVEN_PHASE },
        LoadPhase { name: "after", share: 0.4, is_measured: false, ..EVEN_PHASE },
    ],
    ..ROUTED
};

/// One branch sends ten times its part, which alone is more than the engines can do. The calm
/// time before and after is the run without it.
const NOISY_BRANCH: ScenarioPlan = ScenarioPlan {
    name: "noisy-branch",
    traffic: TrafficTraits { deadline: Duration::from_secs(10), ..STREAM_TRAFFIC },
    rate: 40.0,
    lasting: Duration::from_secs(120),
    course: &[
        LoadPhase { share: 0.1, ..WARM_UP },
        LoadPhase { name: "calm", share: 0.2, ..EVEN_PHASE },
        LoadPhase { name: "noisy", share: 0.35, greed: 10.0, ..EVEN_PHASE },
        LoadPhase { share: 0.1, ..PAUSE },
        LoadPhase { name: "calm", share: 0.25, ..EVEN_PHASE },
    ],
    ..ROUTED
};

/// Long prompts with shared beginnings, more of them than one engine can keep.
const PREFIX_REUSE: ScenarioPlan = ScenarioPlan {
    name: "prefix-reuse",
    traffic: TrafficTraits { prompt_bytes: 4000, prefixes: 500, prefix_skew: 2, ..STREAM_TRAFFIC },
    rate: 60.0,
    ..ROUTED
};

/// Every scenario but those that are named like a fault.
const PLANS: [ScenarioPlan; 7] =
    [STEADY, DRY, LAGGING_LOAD, SLOW_UPSTREAM, SURGE, NOISY_BRANCH, PREFIX_REUSE];

/// The scenarios by name, but for those that are named like a fault.
pub const SCENARIO_NAMES: [&str; PLANS.len()] = names();

const fn names() -> [&'static str; PLANS.len()] {
    let mut names = [""; PLANS.len()];
    let mut place = 0;
    while place < PLANS.len() {
        names[place] = PLANS[place].name;
        place += 1;
    }
    names
}

/// The plan of a scenario; none if nothing is called so.
pub fn scenario_plan(name: &str) -> Option<ScenarioPlan> {
    if FAULT_NAMES.contains(&name) {
        let own = FAULT_PLANS.into_iter().find(|plan| plan.name == name);
        return Some(own.unwrap_or(FAULTED));
    }
    PLANS.into_iter().find(|plan| plan.name == name)
}

/// A phase with its place in time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TimedPhase {
    /// What happens.
    pub phase: LoadPhase,
    /// When it begins, from the start of the traffic.
    pub from: Duration,
    /// How long it lasts.
    pub lasting: Duration,
}

impl TimedPhase {
    /// When it ends.
    pub fn until(&self) -> Duration {
        self.from + self.lasting
    }
}

/// A course laid out over a time.
pub fn lay_out(course: &[LoadPhase], lasting: Duration) -> Vec<TimedPhase> {
    let mut from = Duration::ZERO;
    let timed = course.iter().map(|phase| {
        let timed = TimedPhase { phase: *phase, from, lasting: lasting.mul_f64(phase.share) };
        from = timed.until();
        timed
    });
    timed.collect()
}
