//! The calls that the load tool's scenarios generate.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sagespool_testkit::load::{
    BranchTraffic, CallKind, GREEDY_BRANCH, PlanBuilder, PlannedCall, SCENARIO_NAMES, TimedPhase,
    TrafficMix, phase_calls, scenario_plan, schedule_phases,
};
use sagespool_testkit::prefix_digest;

fn mix(prefixes: u32) -> TrafficMix {
    let branch = |name: &str| BranchTraffic {
        branch: name.parse().expect("a name"),
        token: String::new(),
        weight: 1,
    };
    TrafficMix::builder()
        .branches(vec![branch("first"), branch(GREEDY_BRANCH), branch("third")])
        .models(vec!["small".parse().expect("a name")])
        .prefixes(prefixes)
        .entries(2)
        .build()
}

fn phases_of(name: &str) -> Vec<TimedPhase> {
    let plan = scenario_plan(name).expect("a scenario");
    schedule_phases(plan.phases, plan.duration)
}

fn calls_in<'a>(calls: &'a [PlannedCall], timed: &TimedPhase) -> Vec<&'a PlannedCall> {
    calls.iter().filter(|call| (timed.from..timed.until()).contains(&call.at)).collect()
}

#[test]
fn phase_durations() {
    for name in SCENARIO_NAMES {
        let plan = scenario_plan(name).expect("a scenario");
        let last = phases_of(name).last().unwrap().until();
        let missing = plan.duration.abs_diff(last);
        assert!(missing < Duration::from_millis(1), "{name} lasts {last:?} of {:?}", plan.duration);
    }
}

#[test]
fn shared_prefixes() {
    // A call's unique marker within the part of the prompt that keys the engines' caches makes
    // every prefix distinct, and then no policy has any cache hits.
    let mut builder = PlanBuilder::new(1);
    let calls = phase_calls(&mut builder, &mix(7), 100.0, &phases_of("steady"));
    let prompts = calls.iter().filter_map(|call| match &call.kind {
        CallKind::Completion { prompt, .. } => Some(prompt),
        CallKind::Service { .. } => None,
    });
    let digests: BTreeSet<u128> = prompts.map(|prompt| prefix_digest(prompt)).collect();
    assert_eq!(digests.len(), 7);
}

#[test]
fn surge_factor() {
    let phases = phases_of("surge");
    let calls = phase_calls(&mut PlanBuilder::new(1), &mix(7), 50.0, &phases);
    let rates: BTreeMap<&str, f64> = phases
        .iter()
        .map(|timed| {
            let sent = calls_in(&calls, timed).len() as f64;
            (timed.phase.name, sent / timed.duration.as_secs_f64())
        })
        .collect();
    let factor = rates["surge"] / rates["normal"];
    assert!((4.0..6.0).contains(&factor), "{rates:?}");
    let surge = phases.iter().find(|timed| timed.phase.name == "surge").unwrap();
    assert_eq!(surge.duration, Duration::from_secs(20));
}

#[test]
fn greedy_branch() {
    let phases = phases_of("noisy-branch");
    let calls = phase_calls(&mut PlanBuilder::new(1), &mix(7), 60.0, &phases);
    let rate_of = |timed: &TimedPhase, branch: &str| {
        let own = calls_in(&calls, timed).into_iter();
        let sent = own.filter(|call| call.branch().as_str() == branch).count();
        sent as f64 / timed.duration.as_secs_f64()
    };
    let phase = |name: &str| phases.iter().find(|timed| timed.phase.name == name).unwrap();
    let (calm, noisy) = (phase("calm"), phase("noisy"));
    let greed = rate_of(noisy, GREEDY_BRANCH) / rate_of(calm, GREEDY_BRANCH);
    assert!((8.0..12.0).contains(&greed), "{greed}");
    let others = rate_of(noisy, "first") / rate_of(calm, "first");
    assert!((0.8..1.25).contains(&others), "{others}");
}
