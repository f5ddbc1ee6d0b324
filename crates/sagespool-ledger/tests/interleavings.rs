//! Random interleavings of homes, a store, sidecars and entries, checked against invariants.

mod model;

use std::sync::atomic::{AtomicU64, Ordering};

use model::checks::{check_now, check_quiescent};
use model::step::Step;
use model::world::World;
use quickcheck::{Gen, QuickCheck};
use sagespool_ledger::BudgetMode;

/// Maximum number of steps in a run.
const MAX_STEPS: usize = 500;

/// One of the items, selected by a number.
fn pick<T: Clone>(items: &[T], choice: usize) -> Option<T> {
    items.get(choice % items.len().max(1)).cloned()
}

/// Raises in all runs: applied, acknowledged, and sealed by the next write.
static RAISES: [AtomicU64; 3] = [const { AtomicU64::new(0) }; 3];

fn run(mode: BudgetMode, steps: &[Step]) -> bool {
    let mut world = World::new(mode);
    for step in steps {
        world.take_step(step);
        check_now(&world);
    }
    check_quiescent(&mut world);
    let raises = world.store.raises;
    for (sum, count) in RAISES.iter().zip([raises.applied, raises.acknowledged, raises.sealed]) {
        sum.fetch_add(count, Ordering::Relaxed);
    }
    true
}

/// A number from the environment, for longer searches than the default.
fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn search(runs: u64, property: fn(Vec<Step>) -> bool) {
    let runs = setting("INTERLEAVING_RUNS", runs);
    let source = Gen::from_size_and_seed(MAX_STEPS, setting("INTERLEAVING_SEED", 1));
    QuickCheck::new().rng(source).tests(runs).max_tests(runs).quickcheck(property);
}

#[test]
fn faults_interleaved() {
    search(800, |steps| run(BudgetMode::Escrow, &steps));
    let [applied, acknowledged, sealed] = RAISES.each_ref().map(|sum| sum.load(Ordering::Relaxed));
    println!("raises landed={applied} heard={acknowledged} sealed={sealed}");
    assert!(
        acknowledged > 0 && applied > acknowledged && sealed > 0,
        "{applied} {acknowledged} {sealed}"
    );
}

#[test]
fn baselines_interleaved() {
    search(150, |steps| run(BudgetMode::EachRequest, &steps));
    search(150, |steps| run(BudgetMode::StaticSplit { entries: 2 }, &steps));
}
