//! A model of gateways without a network, and an adversary that chooses the company, the order and the
//! moments of requests with a part that crashes upstreams.

mod adversary;
mod world;

use adversary::{MAX_LATE_RUNS, adversaries, play};
use world::CrashRule;

const SEEDS: u64 = 20;

/// Guards against a part that crashes upstreams on and on, and against sound requests that are refused
/// because of it, whatever company, order and moments an adversary chooses.
#[test]
fn chosen_company() {
    for (name, adversary) in adversaries() {
        for seed in 0..SEEDS {
            let figures = play(CrashRule::InCompany, adversary, seed);
            let detail = format!("{name}, seed {seed}: {figures:?}");
            assert!(figures.late_runs <= MAX_LATE_RUNS, "{detail}");
            assert!(2 * figures.late_sound_refused < figures.late_sound.max(1), "{detail}");
            // As few as the operators allow of sessions that are never served.
            assert!(25 * figures.sound_refused <= figures.sound, "{detail}");
        }
    }
}

/// Guards against a model that shows nothing: without company, the part that is recorded first explains
/// the others of its requests, and sound requests with it are refused for good.
#[test]
fn alone_refuses() {
    let same_company = adversaries().into_iter().find(|(name, _)| *name == "same company");
    let (_, adversary) = same_company.expect("an adversary");
    for seed in 0..SEEDS {
        let figures = play(CrashRule::Alone, adversary, seed);
        assert_eq!(figures.late_sound_refused, figures.late_sound, "seed {seed}: {figures:?}");
    }
}
