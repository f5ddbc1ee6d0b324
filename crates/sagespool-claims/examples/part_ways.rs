//! Plays the model of parts that crash upstreams with both ways to count their crashes, on the same
//! seeds, and prints what came of them.
//!
//!     cargo run --release -p sagespool-claims --example part_ways -- 60

#[path = "../tests/part_model/adversary.rs"]
mod adversary;
#[path = "../tests/part_model/world.rs"]
mod world;

use adversary::{MAX_LATE_RUNS, adversaries, play};
use world::CrashRule;

const DEFAULT_SEEDS: u64 = 20;

fn main() {
    let seeds = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let seeds = seeds.unwrap_or(DEFAULT_SEEDS);
    for (name, adversary) in adversaries() {
        for rule in [CrashRule::Alone, CrashRule::InCompany] {
            let (mut late, mut starved, mut refused, mut sound, mut crashes) = (0, 0, 0, 0, 0);
            for seed in 0..seeds {
                let figures = play(rule, adversary, seed);
                late += usize::from(figures.late_runs > MAX_LATE_RUNS);
                starved += usize::from(2 * figures.late_sound_refused > figures.late_sound.max(1));
                refused += figures.sound_refused;
                sound += figures.sound;
                crashes += figures.crashes;
            }
            println!(
                "{name}, {rule:?}: late runs in {late} of {seeds} plays, half of the sound requests \
                 refused in {starved}; {refused} of {sound} refused, {crashes} crashes"
            );
        }
    }
}
