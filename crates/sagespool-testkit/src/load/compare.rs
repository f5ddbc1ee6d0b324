//! A table that compares runs of one scenario and seed under several policies.

use std::fmt::Write;

use super::LoadReport;

/// One line per run. `p99 ratio` is the first run's 99th percentile of the first token divided by
/// that of the line's run; `hits ratio` is the first run's prefix hits divided by the line's.
pub fn comparison_table(reports: &[LoadReport]) -> String {
    let mut table = String::from(
        "policy, answered, first token p50 ms, p99 ms, p99 ratio, prefix hits, hits ratio, \
         machine load\n",
    );
    let Some(first) = reports.first() else { return table };
    for report in reports {
        let tokens = report.first_token_ms.routed;
        let p99_ratio = first.first_token_ms.routed.p99 / tokens.p99;
        let hits_ratio = first.prefix_hits as f64 / report.prefix_hits.max(1) as f64;
        let load = report.machine_load.iter().map(|load| format!("{load:.0}"));
        let load: Vec<String> = load.collect();
        let written = writeln!(
            table,
            "{}, {}/{}, {:.0}, {:.0}, {p99_ratio:.2}, {}, {hits_ratio:.2}, {}",
            report.policy,
            report.answered,
            report.requests,
            tokens.p50,
            tokens.p99,
            report.prefix_hits,
            load.join("-"),
        );
        written.expect("writing to a String does not fail");
    }
    table
}
