//! The exposition text of `/metrics`.

#![allow(clippy::unwrap_used)]

use std::collections::HashSet;
use std::time::Duration;

use sagespool_metrics::{DropCause, FleetMetrics, StoreCallKind};
use sagespool_types::{BranchName, ClassName, ConfigVersion, RefusalReason, TokenCount};

fn class(name: &str) -> ClassName {
    name.parse().unwrap()
}

fn branch(name: &str) -> BranchName {
    name.parse().unwrap()
}

#[track_caller]
fn assert_has(text: &str, line: &str) {
    assert!(text.lines().any(|found| found == line), "no line `{line}` in\n{text}");
}

#[test]
fn request_histograms() {
    let metrics = FleetMetrics::new();
    let (class, branch) = (class("lookup"), branch("ruwi-bids"));
    metrics.observe_first_token(&class, &branch, Duration::from_millis(3));
    metrics.observe_between_tokens(&class, &branch, Duration::from_millis(20));
    metrics.observe_whole(&class, &branch, Duration::from_secs(2));
    metrics.observe_queue_wait(&class, &branch, Duration::from_secs(100));

    let text = metrics.encode();
    assert_has(&text, "sagespool_first_token_seconds_bucket{le=\"0.002\",class=\"lookup\"} 0");
    assert_has(&text, "sagespool_first_token_seconds_bucket{le=\"0.004\",class=\"lookup\"} 1");
    assert_has(&text, "sagespool_branch_between_tokens_seconds_sum{branch=\"ruwi-bids\"} 0.02");
    assert_has(&text, "sagespool_branch_whole_seconds_count{branch=\"ruwi-bids\"} 1");
    assert_has(&text, "sagespool_queue_wait_seconds_bucket{le=\"65.536\",class=\"lookup\"} 0");
    assert_has(&text, "sagespool_queue_wait_seconds_count{class=\"lookup\"} 1");
    assert!(text.ends_with("# EOF\n"));
}

#[test]
fn event_counters() {
    let metrics = FleetMetrics::new();
    let branch = branch("hall-c-clerks");
    metrics.count_admitted(&class("draft"), &branch);
    metrics.count_refused(RefusalReason::BudgetUnreachable, &branch);
    metrics.count_rejected_caller();
    metrics.add_billed_tokens(&branch, TokenCount(120));
    metrics.add_billed_tokens(&branch, TokenCount(5));
    metrics.add_rerun_tokens(&branch, TokenCount(7));
    metrics.count_store_call(StoreCallKind::Conflict);
    metrics.count_dropped_answer(DropCause::CallerGone);

    let text = metrics.encode();
    assert_has(&text, "sagespool_admitted_total{class=\"draft\"} 1");
    assert_has(&text, "sagespool_branch_admitted_total{branch=\"hall-c-clerks\"} 1");
    assert_has(&text, "sagespool_refused_total{reason=\"budget-unreachable\"} 1");
    assert_has(&text, "sagespool_branch_refused_total{branch=\"hall-c-clerks\"} 1");
    assert_has(&text, "sagespool_rejected_callers_total 1");
    assert_has(&text, "sagespool_billed_tokens_total{branch=\"hall-c-clerks\"} 125");
    assert_has(&text, "sagespool_rerun_tokens_total{branch=\"hall-c-clerks\"} 7");
    assert_has(&text, "sagespool_store_calls_total{kind=\"conflict\"} 1");
    assert_has(&text, "sagespool_dropped_answers_total{cause=\"caller-gone\"} 1");
}

#[test]
fn state_gauges() {
    let metrics = FleetMetrics::new();
    metrics.set_in_flight(12);
    metrics.set_members(7);
    metrics.set_config_version(ConfigVersion(41));
    metrics.set_in_flight(3);

    let text = metrics.encode();
    assert_has(&text, "sagespool_in_flight 3");
    assert_has(&text, "sagespool_members 7");
    assert_has(&text, "sagespool_config_version 41");
}

#[test]
fn totals_never_decrease() {
    // Two concurrent scrapes read the link's totals, and the one with the older totals writes
    // last. A decreasing counter looks like a process restart and gives a peak in its rate.
    let metrics = FleetMetrics::new();
    metrics.set_link_bytes(900, 5000);
    metrics.set_link_bytes(800, 5100);
    metrics.set_store_calls(10, 4, 2);
    metrics.set_store_calls(9, 5, 2);

    let text = metrics.encode();
    assert_has(&text, "sagespool_link_bytes_total{traffic=\"control\"} 900");
    assert_has(&text, "sagespool_link_bytes_total{traffic=\"payload\"} 5100");
    assert_has(&text, "sagespool_store_calls_total{kind=\"read\"} 10");
    assert_has(&text, "sagespool_store_calls_total{kind=\"write\"} 5");
    assert_has(&text, "sagespool_store_calls_total{kind=\"watch\"} 2");
}

#[test]
fn bounded_branches() {
    // With a histogram for each branch ever seen, an entry that has served all 57,000 branches of
    // a fleet runs out of memory, and its scrape exceeds the scraper's timeout.
    let metrics = FleetMetrics::new();
    let class = class("lookup");
    for number in 0..1000 {
        let branch = branch(&format!("branch-{number}"));
        metrics.count_admitted(&class, &branch);
        metrics.observe_whole(&class, &branch, Duration::from_millis(5));
        metrics.add_billed_tokens(&branch, TokenCount(2));
    }
    metrics.add_billed_tokens(&branch("branch-199"), TokenCount(1));

    let text = metrics.encode();
    let labels: HashSet<&str> =
        text.split("branch=\"").skip(1).filter_map(|rest| rest.split('"').next()).collect();
    assert_eq!(labels.len(), 201);
    assert_has(&text, "sagespool_billed_tokens_total{branch=\"branch-199\"} 3");
    assert_has(&text, "sagespool_billed_tokens_total{branch=\"other\"} 1600");
    assert_has(&text, "sagespool_branch_whole_seconds_count{branch=\"other\"} 800");
}

#[test]
fn shared_counts() {
    let metrics = FleetMetrics::new();
    let (class, branch) = (class("lookup"), branch("ruwi-bids"));
    let timings = metrics.clone().timings(&class, &branch);
    timings.observe_between_tokens(Duration::from_millis(1));
    timings.observe_between_tokens(Duration::from_millis(1));
    assert_has(&metrics.encode(), "sagespool_between_tokens_seconds_count{class=\"lookup\"} 2");
}
