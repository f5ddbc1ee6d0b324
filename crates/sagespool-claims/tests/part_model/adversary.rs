//! What an adversary does with requests that hold a part that crashes upstreams.

use std::collections::BTreeSet;
use std::time::Duration;

use fastrand::Rng;
use sagespool_types::ContentDigest;

use crate::world::{CrashRule, ModelFigures, ModelRequest, ModelWorld};

const STEP: Duration = Duration::from_millis(50);
const STEPS: usize = 400;
/// Steps in which only bad requests come.
const ALONE_STEPS: usize = 80;
/// Runs of a part that are allowed after its fifth crash and some time.
pub const MAX_LATE_RUNS: usize = 3;

/// What the adversary does.
#[derive(Debug, Clone, Copy)]
pub struct Adversary {
    gateways: usize,
    /// Sound requests at each step.
    sound: usize,
    bad_parts: u64,
    /// True if bad requests always have the same other parts, and come alone at first.
    same_company: bool,
    /// Chance at each step that an upstream ends for another reason.
    other_crashes: f64,
    /// Share of the messages between gateways that are lost.
    lost: f64,
}

const PLAIN: Adversary = Adversary {
    gateways: 4,
    sound: 5,
    bad_parts: 1,
    same_company: false,
    other_crashes: 0.0,
    lost: 0.0,
};

/// What is played, with its name.
pub fn adversaries() -> Vec<(&'static str, Adversary)> {
    vec![
        ("plain", PLAIN),
        ("same company", Adversary { same_company: true, ..PLAIN }),
        ("two parts", Adversary { bad_parts: 2, ..PLAIN }),
        ("other crashes", Adversary { other_crashes: 0.05, ..PLAIN }),
        (
            "same company, other crashes",
            Adversary { same_company: true, other_crashes: 0.05, ..PLAIN },
        ),
        ("lost messages", Adversary { lost: 0.3, ..PLAIN }),
        ("large", Adversary { gateways: 60, sound: 20, ..PLAIN }),
        (
            "large, two parts, other crashes",
            Adversary { gateways: 60, sound: 20, bad_parts: 2, other_crashes: 0.05, ..PLAIN },
        ),
    ]
}

fn part(id: u64) -> ContentDigest {
    ContentDigest::of_part(id)
}

/// A prompt's shared parts: one of few, and one of many.
fn draw_sound(rng: &mut Rng) -> BTreeSet<ContentDigest> {
    [part(100 + rng.u64(0..8)), part(200 + rng.u64(0..70))].into()
}

fn draw_bad(rng: &mut Rng, adversary: Adversary) -> BTreeSet<ContentDigest> {
    let mut parts = match adversary.same_company {
        true => [part(100), part(200)].into(),
        false => draw_sound(rng),
    };
    parts.insert(part(rng.u64(0..adversary.bad_parts)));
    parts
}

/// Plays an adversary.
pub fn play(rule: CrashRule, adversary: Adversary, seed: u64) -> ModelFigures {
    let mut rng = Rng::with_seed(seed);
    let mut world = ModelWorld::start(rule, adversary.gateways, 12, adversary.lost, seed);
    for step in 0..STEPS {
        world.advance(STEP);
        if rng.f64() < adversary.other_crashes {
            world.crash(rng.usize(0..12));
        }
        if rng.f64() < 0.15 {
            let parts = draw_bad(&mut rng, adversary);
            let request = ModelRequest { parts, is_bad: true };
            world.send(rng.usize(0..adversary.gateways), request, STEP);
        }
        if adversary.same_company && step < ALONE_STEPS {
            continue;
        }
        for _ in 0..adversary.sound {
            let parts = match adversary.same_company {
                true => [part(100), part(200)].into(),
                false => draw_sound(&mut rng),
            };
            let request = ModelRequest { parts, is_bad: false };
            let duration = Duration::from_millis(rng.u64(100..1500));
            world.send(rng.usize(0..adversary.gateways), request, duration);
        }
    }
    world.figures
}
