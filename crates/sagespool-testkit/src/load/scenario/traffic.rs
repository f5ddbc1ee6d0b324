//! Generates the calls of a scenario from its plan and a seed.

use std::time::Duration;

use super::ScenarioOptions;
use super::table::{GREEDY_BRANCH, LoadPhase, ScenarioPlan, TimedPhase};
use crate::load::{CallKind, PlanBuilder, PlannedCall, TrafficMix, plan_calls};

const POISON_CALLS: u64 = 3;
/// The rate of baseline calls, as a share of the scenario's rate.
const DIRECT_SHARE: f64 = 0.25;

/// A deployment's traffic with a scenario's parameters.
pub(super) fn scenario_mix(mix: &TrafficMix, plan: &ScenarioPlan) -> TrafficMix {
    let profile = plan.traffic;
    TrafficMix {
        service_share: profile.service_share,
        keyed_share: profile.keyed_share,
        stream_share: profile.stream_share,
        max_answer_tokens: profile.max_answer_tokens,
        long_share: profile.long_share,
        max_long_answer_tokens: profile.max_long_answer_tokens,
        prompt_bytes: profile.prompt_bytes,
        prefixes: profile.prefixes,
        prefix_skew: profile.prefix_skew,
        deadline: profile.deadline,
        ..mix.clone()
    }
}

/// Scale of the branches' weights, so that a weight can be multiplied by a fraction.
const WEIGHT_PARTS: u32 = 100;

/// A phase's traffic and rate: a greedy branch's calls are added to those of the others.
fn greedy_mix(mix: &TrafficMix, phase: &LoadPhase, rate: f64) -> (TrafficMix, f64) {
    let mut mix = mix.clone();
    for branch in &mut mix.branches {
        branch.weight *= WEIGHT_PARTS;
    }
    let before: u32 = mix.branches.iter().map(|branch| branch.weight).sum();
    let is_greedy = |name: &str| name == GREEDY_BRANCH;
    for branch in mix.branches.iter_mut().filter(|branch| is_greedy(branch.branch.as_str())) {
        branch.weight = (f64::from(branch.weight) * phase.greed) as u32;
    }
    let after: u32 = mix.branches.iter().map(|branch| branch.weight).sum();
    (mix, rate * phase.factor * f64::from(after) / f64::from(before.max(1)))
}

/// Generates the calls of scheduled phases; `rate` is that of a phase with factor 1.
pub fn phase_calls(
    builder: &mut PlanBuilder,
    mix: &TrafficMix,
    rate: f64,
    phases: &[TimedPhase],
) -> Vec<PlannedCall> {
    let mut calls = Vec::new();
    for timed in phases.iter().filter(|timed| timed.phase.factor > 0.0) {
        let (mix, rate) = greedy_mix(mix, &timed.phase, rate);
        calls.extend(plan_calls(builder, &mix, rate, timed.from, timed.duration));
    }
    calls
}

/// Generates the calls of a scenario, including those of the `poison` and `late-poison` faults.
pub(super) fn planned_calls(
    options: &ScenarioOptions,
    mix: &TrafficMix,
    rate: f64,
    phases: &[TimedPhase],
) -> Vec<PlannedCall> {
    let mut builder = PlanBuilder::new(options.seed);
    let mut calls = phase_calls(&mut builder, mix, rate, phases);
    let faults = options.all_faults();
    for (marker, length) in [("poison", 5), ("late-poison", 20)] {
        if !faults.iter().any(|fault| fault == marker) {
            continue;
        }
        let from = phases.last().map_or(Duration::ZERO, TimedPhase::until).mul_f64(0.3);
        for number in 0..POISON_CALLS {
            let at = from + Duration::from_millis(700 * number);
            calls.push(poison_call(&mut builder, mix, (marker, length), at));
        }
    }
    calls.sort_by_key(|call| call.at);
    calls
}

/// A request that crashes every engine that runs it, at once or after some tokens. The content is the same each time, the
/// idempotency key differs, and the entry is random.
fn poison_call(
    builder: &mut PlanBuilder,
    mix: &TrafficMix,
    (marker, length): (&str, u32),
    at: Duration,
) -> PlannedCall {
    let mut call = builder.call(mix, at);
    let model = mix.models[0].clone();
    call.kind = CallKind::Completion {
        model,
        prompt: format!("{marker}: a dossier that no engine survives. len:{length}"),
        max_tokens: 20,
        length,
        stream: true,
    };
    call.non_idempotent = false;
    call.key = Some(format!("{marker}-{}", call.marker.number));
    call
}

/// Generates baseline calls for the fake engines at a share of the rate.
pub(super) fn direct_calls(
    options: &ScenarioOptions,
    mix: &TrafficMix,
    rate: f64,
    duration: Duration,
) -> Vec<PlannedCall> {
    let mut builder = PlanBuilder::new(options.seed ^ 0xD1EC7);
    let mut mix = mix.clone();
    mix.service_share = 0;
    mix.stream_share = 1000;
    for branch in &mut mix.branches {
        branch.branch = "direct".parse().expect("the name is valid");
    }
    plan_calls(&mut builder, &mix, rate * DIRECT_SHARE, Duration::ZERO, duration)
}
