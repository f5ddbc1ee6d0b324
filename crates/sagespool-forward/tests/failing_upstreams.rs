//! Upstreams that fail while they look well: who gets work, and when they are tried again.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::time::Duration;

use sagespool_forward::{
    LoadBalancer, PlacementPolicy, RequestProfile, SendOutcome, UpstreamRecord,
};
use sagespool_types::{CentreName, ClockTime};

fn centre() -> CentreName {
    "east".parse().unwrap()
}

fn upstreams() -> Vec<UpstreamRecord> {
    let upstream = |name: &str| UpstreamRecord {
        name: name.parse().unwrap(),
        born: None,
        service: "plain".parse().unwrap(),
        address: "127.0.0.1:9000".parse().unwrap(),
        centre: centre(),
        slots: 6,
        leaving: false,
        cold_left: Duration::ZERO,
    };
    ["i-1", "i-2", "i-3", "i-4"].map(upstream).to_vec()
}

/// Plays requests one after the other, 20 ms apart, and counts those that go to the first upstream.
fn play(board: &mut LoadBalancer, from_ms: u64, count: u64, bad: SendOutcome) -> u64 {
    let upstreams = upstreams();
    let centre = centre();
    let shape = RequestProfile { parts: &[], engine: None, centre: &centre, repeatable: true };
    let mut hits = 0;
    for step in 0..count {
        let now = ClockTime::from_millis(from_ms + step * 20);
        let ticket = board.choose(upstreams.iter(), shape, &[], now).unwrap();
        let first = ticket.upstream.name.as_str() == "i-1";
        hits += u64::from(first);
        let outcome = if first { bad } else { SendOutcome::Answered };
        board.finish(ticket, outcome, ClockTime::from_millis(from_ms + step * 20 + 15));
    }
    hits
}

/// One of four upstreams is cut off: connections to it break. After two of them it gets single
/// tries only, ever more seldom, in place of a quarter of all requests.
#[test]
fn cut_off_upstream() {
    let mut board = LoadBalancer::new(PlacementPolicy::default());
    let hits = play(&mut board, 1_000, 500, SendOutcome::Broken);
    assert!(hits <= 12, "{hits} of 500 requests went to the cut-off upstream");
}

/// It is well again: within a few seconds it has its share back.
#[test]
fn back_again() {
    let mut board = LoadBalancer::new(PlacementPolicy::default());
    play(&mut board, 1_000, 500, SendOutcome::Broken);
    play(&mut board, 11_000, 300, SendOutcome::Answered);
    let hits = play(&mut board, 17_000, 400, SendOutcome::Answered);
    assert!(hits >= 50, "{hits} of 400 requests went to the sound upstream");
}

/// All upstreams fail at once, which is more likely this side's own trouble: somebody gets the
/// request all the same.
#[test]
fn all_fail() {
    let mut board = LoadBalancer::new(PlacementPolicy::default());
    let upstreams = upstreams();
    let centre = centre();
    let shape = RequestProfile { parts: &[], engine: None, centre: &centre, repeatable: true };
    for step in 0..200 {
        let now = ClockTime::from_millis(1_000 + step * 20);
        let ticket = board.choose(upstreams.iter(), shape, &[], now);
        board.finish(ticket.unwrap(), SendOutcome::Broken, now);
    }
}

/// Guards against upstreams that never get a request, since another one answers within a millisecond.
#[test]
fn untried_upstreams() {
    let mut board = LoadBalancer::new(PlacementPolicy::default());
    let (upstreams, centre) = (upstreams(), centre());
    let shape = RequestProfile { parts: &[], engine: None, centre: &centre, repeatable: true };
    let mut chosen = std::collections::BTreeSet::new();
    for step in 0..1_000 {
        let now = ClockTime::from_millis(1_000 + step * 20);
        let ticket = board.choose(upstreams.iter(), shape, &[], now).unwrap();
        chosen.insert(ticket.upstream.name.clone());
        board.finish(ticket, SendOutcome::Answered, now.after(Duration::from_millis(1)));
    }
    assert_eq!(chosen.len(), upstreams.len(), "within 20 s");
}
