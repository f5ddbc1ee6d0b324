//! The calls of a scenario, from its plan and a seed.

use std::time::Duration;

use super::ScenarioOptions;
use super::table::{GREEDY_BRANCH, LoadPhase, ScenarioPlan, TimedPhase};
use crate::load::{CallKind, PlanBuilder, PlannedCall, TrafficMix, plan_calls};

const POISON_CALLS: u64 = 3;
/// Calls that go straight to the engines, as a share of the rate.
const DIRECT_SHARE: f64 = 0.25;

/// A deployment's traffic with a scenario's own traits.
pub(super) fn shaped(mix: &TrafficMix, plan: &ScenarioPlan) -> TrafficMix {
    let traits = plan.traffic;
    TrafficMix {
        service_share: traits.service_share,
        keyed_share: traits.keyed_share,
        stream_share: traits.stream_share,
        longest_answer: traits.longest_answer,
        long_share: traits.long_share,
        longest_long_answer: traits.longest_long_answer,
        prompt_bytes: traits.prompt_bytes,
        prefixes: traits.prefixes,
        prefix_skew: traits.prefix_skew,
        deadline: traits.deadline,
        ..mix.clone()
    }
}

/// Parts that branches' weights are counted in, so that a branch may send a fraction more.
const WEIGHT_PARTS: u32 = 100;

/// A phase's traffic and its rate: a greedy branch's calls come on top of all others'.
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

/// The calls of a course, at a rate for phases of factor 1.
pub fn course_calls(
    builder: &mut PlanBuilder,
    mix: &TrafficMix,
    rate: f64,
    phases: &[TimedPhase],
) -> Vec<PlannedCall> {
    let mut calls = Vec::new();
    for timed in phases.iter().filter(|timed| timed.phase.factor > 0.0) {
        let (mix, rate) = greedy_mix(mix, &timed.phase, rate);
        calls.extend(plan_calls(builder, &mix, rate, timed.from, timed.lasting));
    }
    calls
}

/// The calls of a scenario, with those that its faults bring.
pub(super) fn planned_calls(
    options: &ScenarioOptions,
    mix: &TrafficMix,
    rate: f64,
    phases: &[TimedPhase],
) -> Vec<PlannedCall> {
    let mut builder = PlanBuilder::new(options.seed);
    let mut calls = course_calls(&mut builder, mix, rate, phases);
    if options.all_faults().iter().any(|fault| fault == "poison") {
        let from = phases.last().map_or(Duration::ZERO, TimedPhase::until).mul_f64(0.3);
        for number in 0..POISON_CALLS {
            let at = from + Duration::from_millis(700 * number);
            calls.push(poison_call(&mut builder, mix, at));
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

/// Calls of the same kind for the stand-ins themselves, at a part of the rate.
pub(super) fn direct_calls(
    options: &ScenarioOptions,
    mix: &TrafficMix,
    rate: f64,
    lasting: Duration,
) -> Vec<PlannedCall> {
    let mut builder = PlanBuilder::new(options.seed ^ 0xD1EC7);
    let mut mix = mix.clone();
    mix.service_share = 0;
    mix.stream_share = 1000;
    for branch in &mut mix.branches {
        branch.branch = "direct".parse().expect("the name is valid");
    }
    plan_calls(&mut builder, &mix, rate * DIRECT_SHARE, Duration::ZERO, lasting)
}
