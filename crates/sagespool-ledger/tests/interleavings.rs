//! Random interleavings of homes, a store, sidecars and entries, against what must always hold.

mod model;

use std::sync::atomic::{AtomicU64, Ordering};

use model::checks::{check_now, check_quiet};
use model::step::Step;
use model::world::World;
use quickcheck::{Gen, QuickCheck};
use sagespool_ledger::BudgetMode;

/// Steps of the longest run.
const MOST_STEPS: usize = 500;

/// One of the items, chosen by a number.
fn pick<T: Clone>(items: &[T], choice: usize) -> Option<T> {
    items.get(choice % items.len().max(1)).cloned()
}

/// Raises in all runs: landed, heard of, and sealed by the next write.
static RAISES: [AtomicU64; 3] = [const { AtomicU64::new(0) }; 3];

fn run(mode: BudgetMode, steps: &[Step]) -> bool {
    let mut world = World::new(mode);
    for step in steps {
        world.take_step(step);
        check_now(&world);
    }
    check_quiet(&mut world);
    let raises = world.store.raises;
    for (sum, count) in RAISES.iter().zip([raises.landed, raises.heard, raises.sealed]) {
        sum.fetch_add(count, Ordering::Relaxed);
    }
    true
}

/// A number from the environment, for longer searches than the test's own.
fn setting(name: &str, usual: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(usual)
}

fn search(runs: u64, property: fn(Vec<Step>) -> bool) {
    let runs = setting("INTERLEAVING_RUNS", runs);
    let source = Gen::from_size_and_seed(MOST_STEPS, setting("INTERLEAVING_SEED", 1));
    QuickCheck::new().rng(source).tests(runs).max_tests(runs).quickcheck(property);
}

#[test]
fn faults_interleaved() {
    search(800, |steps| run(BudgetMode::Escrow, &steps));
    let [landed, heard, sealed] = RAISES.each_ref().map(|sum| sum.load(Ordering::Relaxed));
    println!("raises landed={landed} heard={heard} sealed={sealed}");
    assert!(heard > 0 && landed > heard && sealed > 0, "{landed} {heard} {sealed}");
}

#[test]
fn baselines_interleaved() {
    search(150, |steps| run(BudgetMode::EachRequest, &steps));
    search(150, |steps| run(BudgetMode::StaticSplit { entries: 2 }, &steps));
}
