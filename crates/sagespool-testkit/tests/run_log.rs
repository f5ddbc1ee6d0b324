//! Queries of the run log: used tokens, running runs, and counts by marker and key.

use sagespool_messages::UpstreamKind;
use sagespool_testkit::{RunEnd, RunLog, RunMarker, RunStart};
use sagespool_types::{BranchName, ClockTime, TokenCount};

fn branch(name: &str) -> BranchName {
    name.parse().expect("a branch name")
}

fn start(marker: &str, prompt_tokens: u64) -> RunStart {
    RunStart {
        upstream: "engine-1".parse().expect("an upstream name"),
        kind: UpstreamKind::Engine,
        request: None,
        attempt: None,
        marker: RunMarker::find(marker),
        key: None,
        prompt_tokens: TokenCount(prompt_tokens),
        resumed_from: TokenCount::ZERO,
        arrived_at: ClockTime(0),
    }
}

#[test]
fn marker_texts() {
    let cases = [
        ("mark:ruwi-bids/17", Some(("ruwi-bids", 17))),
        ("Compare mark:ruwi-bids/17.", Some(("ruwi-bids", 17))),
        ("/status/mark:a/1?x=mark:b/2", Some(("a", 1))),
        ("remark: none; mark:a.b/03 x", Some(("a.b", 3))),
        ("mark:NOT/1 mark:yes/2", Some(("yes", 2))),
        ("mark:a/", None),
        ("mark:a/x", None),
        ("mark: a/1", None),
        ("nothing", None),
    ];
    for (text, expected) in cases {
        let found = RunMarker::find(text);
        let found = found.as_ref().map(|marker| (marker.branch.as_str(), marker.number));
        assert_eq!(found, expected, "{text}");
    }
    assert!("mark:a/1".parse::<RunMarker>().is_ok());
    assert!("a mark:a/1".parse::<RunMarker>().is_err());
}

#[test]
fn used_tokens() {
    // Two attempts at one request: the first crashes after 10 tokens, the second produces 20. A
    // branch's usage is the prompt of each started attempt plus the tokens produced by then.
    let log = RunLog::new();
    let first = log.start(start("mark:a/1", 100), ClockTime(1000));
    first.produced(TokenCount(2), ClockTime(1100));
    first.produced(TokenCount(10), ClockTime(1900));
    first.end(RunEnd::Crashed, ClockTime(2000));
    first.produced(TokenCount(99), ClockTime(2100));
    let second = log.start(start("mark:a/1", 100), ClockTime(3000));
    second.produced(TokenCount(20), ClockTime(4000));
    log.start(start("mark:b/1", 7), ClockTime(3000));

    let cases = [
        (999, 0, 0, 0),
        (1000, 100, 100, 100),
        (1099, 100, 100, 100),
        (1500, 101, 105, 110),
        (1900, 110, 110, 110),
        (2999, 110, 110, 110),
        (3500, 210, 210, 210),
        (4000, 230, 230, 230),
        (9000, 230, 230, 230),
    ];
    for (at, least, estimate, most) in cases {
        let used = log.used_at(&branch("a"), ClockTime(at));
        let found = (used.least.0, used.estimate.0, used.most.0);
        assert_eq!(found, (least, estimate, most), "at {at}");
    }
    assert_eq!(log.used_at(&branch("b"), ClockTime(9000)).most, TokenCount(7));
    assert_eq!(log.used_at(&branch("c"), ClockTime(9000)).most, TokenCount::ZERO);
}

#[test]
fn running_runs() {
    let log = RunLog::new();
    let first = log.start(start("mark:a/1", 1), ClockTime(10));
    let _second = log.start(start("mark:b/1", 1), ClockTime(20));
    let _third = log.start(start("no marker", 1), ClockTime(30));
    first.end(RunEnd::Finished, ClockTime(25));
    first.end(RunEnd::Crashed, ClockTime(99));
    for (at, numbers) in
        [(9, vec![]), (10, vec![0]), (24, vec![0, 1]), (25, vec![1]), (30, vec![1, 2])]
    {
        let running = log.running_at(ClockTime(at));
        let found: Vec<_> = running.iter().map(|run| run.number).collect();
        assert_eq!(found, numbers, "at {at}");
    }
    let running: Vec<_> = log.running().iter().map(|run| run.number).collect();
    assert_eq!(running, [1, 2]);
    assert_eq!(log.runs()[0].ended, Some((RunEnd::Finished, ClockTime(25))));
}

#[test]
fn counted_runs() {
    let log = RunLog::new();
    let service = |marker: &str, key: &str| {
        let key = Some(key.to_owned());
        RunStart { kind: UpstreamKind::Service, key, ..start(marker, 0) }
    };
    let shared = log.clone();
    shared.start(service("mark:a/1", "k1"), ClockTime(10));
    shared.start(service("mark:a/1", "k1"), ClockTime(20));
    shared.start(service("mark:a/2", "k2"), ClockTime(30));
    log.start(start("mark:a/2", 5), ClockTime(40));
    let counts: Vec<_> = log.runs_by_marker().into_iter().collect();
    let marker = |number| RunMarker { branch: branch("a"), number };
    assert_eq!(counts, [(marker(1), 2), (marker(2), 2)]);
    let counts: Vec<_> = log.runs_by_key().into_iter().collect();
    assert_eq!(counts, [("k1".to_owned(), 2), ("k2".to_owned(), 1)]);
    assert_eq!(log.runs_of(&marker(1)).len(), 2);
    assert_eq!(log.runs_of_key("k1").len(), 2);
    let calls: Vec<_> = [9, 20, 99].map(|at| log.calls_at(&branch("a"), ClockTime(at))).to_vec();
    assert_eq!(calls, [0, 2, 3]);
    assert_eq!(log.used_at(&branch("a"), ClockTime(99)).most, TokenCount(5));
}
