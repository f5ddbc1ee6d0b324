//! Compares the routing policies in a discrete-event simulation of engines.
//!
//! Entries use this package's policies. Engines batch up to their capacity at one token rate and
//! cache some prefixes; load reports arrive late or not at all. Networks, processes and faults of
//! the fleet are not simulated.
//!
//! ```text
//! cargo run --release --example policy_compare
//! cargo run --release --example policy_compare -- slow-upstream entries=10 seeds=5
//! ```

mod model;
mod scenario;

use model::{Figures, Model, percentile};
use sagespool_routing::PolicyKind;
use scenario::Scenario;

fn compare(scenario: &Scenario) {
    println!(
        "\n{} (load {}, {} entries, {} engines of {}, reports every {:?} + {:?}, {} seeds)",
        scenario.name,
        scenario.load,
        scenario.entries,
        scenario.engines,
        scenario.capacity,
        scenario.report_every,
        scenario.report_lag,
        scenario.seeds
    );
    println!(
        "| policy | p50 ms | p99 ms, each seed | hits % | first engine % | runs a request | refused % | failed % |"
    );
    println!("|---|---:|---:|---:|---:|---:|---:|---:|");
    for kind in PolicyKind::ALL {
        let runs = (1..=scenario.seeds).map(|seed| Model::new(scenario, kind, seed).run());
        let mut runs: Vec<Figures> = runs.collect();
        let medians: f64 = runs.iter_mut().map(|run| percentile(&mut run.first_tokens, 0.5)).sum();
        let tails: Vec<String> = runs
            .iter_mut()
            .map(|run| format!("{:.0}", percentile(&mut run.first_tokens, 0.99)))
            .collect();
        let sum = |part: fn(&Figures) -> u64| runs.iter().map(part).sum::<u64>() as f64;
        let all = sum(|run| run.runs);
        let arrived = sum(|run| run.arrived);
        println!(
            "| {kind} | {:.0} | {} | {:.1} | {:.1} | {:.3} | {:.2} | {:.2} |",
            medians / runs.len() as f64,
            tails.join(", "),
            100.0 * sum(|run| run.hits) / all,
            100.0 * sum(|run| run.first_engine_runs) / sum(|run| run.disturbed),
            all / (arrived - sum(|run| run.refused)),
            100.0 * sum(|run| run.refused) / arrived,
            100.0 * sum(|run| run.failed) / arrived,
        );
    }
}

/// Compares the latency of other branches when one sends ten times its share.
fn compare_noise(scenario: &Scenario) {
    println!("\nnoisy-branch: first tokens of the nine other branches, ms");
    println!(
        "| load without the noise | noise | queue | p50 | p99, each seed | refused of all % |"
    );
    println!("|---:|---:|---|---:|---:|---:|");
    for load in [0.4, 0.6, 0.7] {
        for (noise, queue) in [(1.0, true), (10.0, true), (10.0, false)] {
            let scenario = Scenario { load, noise, queue, ..scenario.clone() };
            let kind = PolicyKind::Sagespool;
            let runs = (1..=scenario.seeds).map(|seed| Model::new(&scenario, kind, seed).run());
            let mut runs: Vec<Figures> = runs.collect();
            let medians: f64 =
                runs.iter_mut().map(|run| percentile(&mut run.other_branches, 0.5)).sum();
            let tails = runs.iter_mut().map(|run| percentile(&mut run.other_branches, 0.99));
            let tails: Vec<String> = tails.map(|tail| format!("{tail:.0}")).collect();
            let refused: u64 = runs.iter().map(|run| run.refused).sum();
            let arrived: u64 = runs.iter().map(|run| run.arrived).sum();
            println!(
                "| {load} | {noise} | {queue} | {:.0} | {} | {:.1} |",
                medians / runs.len() as f64,
                tails.join(", "),
                100.0 * refused as f64 / arrived as f64,
            );
        }
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let (settings, names): (Vec<_>, Vec<_>) =
        arguments.iter().partition(|argument| argument.contains('='));
    for mut scenario in Scenario::all() {
        if !names.is_empty() && !names.iter().any(|name| *name == scenario.name) {
            continue;
        }
        for (key, value) in settings.iter().filter_map(|setting| setting.split_once('=')) {
            scenario.set(key, value);
        }
        if scenario.name == "noisy-branch" {
            compare_noise(&scenario);
        } else {
            compare(&scenario);
        }
    }
}
