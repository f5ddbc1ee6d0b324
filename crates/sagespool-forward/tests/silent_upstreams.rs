//! Upstreams that fall silent with requests under way.
//!
//! The load is that of the users' document engines at one instance: a request each 20 ms, of which
//! some may run once only; an answer begins after some 40 ms, and callers give up after 2.4 s.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::time::Duration;

use sagespool_forward::{
    LoadBalancer, PlacedAttempt, PlacementPolicy, RequestProfile, SendOutcome, UpstreamRecord,
};
use sagespool_types::{CentreName, ClockTime};

const PACE_MS: u64 = 20;
const ANSWER: Duration = Duration::from_millis(40);
const CALLERS_WAIT: Duration = Duration::from_millis(2400);
/// Of so many requests one may go to another upstream after a failure.
const REPEATABLE_EACH: u64 = 4;
/// How long a repeatable request waits for the head of its answer.
const REPEAT_AFTER: Duration = Duration::from_millis(450);

fn upstreams() -> Vec<UpstreamRecord> {
    let upstream = |name: &str| UpstreamRecord {
        name: name.parse().unwrap(),
        born: None,
        service: "engines".parse().unwrap(),
        address: "127.0.0.1:9000".parse().unwrap(),
        centre: "east".parse().unwrap(),
        slots: 64,
        leaving: false,
        cold_left: Duration::ZERO,
    };
    ["i-1", "i-2", "i-3", "i-4", "i-5", "i-6"].map(upstream).to_vec()
}

/// Requests that go to an upstream that has gone dark, by whether they could be repeated.
#[derive(Debug, Default)]
struct LostRequests {
    repeatable: u64,
    once: u64,
}

struct OpenRequest {
    ticket: PlacedAttempt,
    ends: ClockTime,
    outcome: SendOutcome,
}

/// Plays ten seconds; `i-1` says nothing from the start.
fn play(repeatable_each: u64) -> LostRequests {
    let centre: CentreName = "east".parse().unwrap();
    let mut board = LoadBalancer::new(PlacementPolicy::default());
    let upstreams = upstreams();
    let mut open: Vec<OpenRequest> = Vec::new();
    let mut lost = LostRequests::default();
    for step in 0..500 {
        let now = ClockTime::from_millis(1_000 + step * PACE_MS);
        for request in open.extract_if(.., |request| request.ends <= now) {
            board.finish(request.ticket, request.outcome, request.ends);
        }
        let repeatable = repeatable_each > 0 && step % repeatable_each == 0;
        let shape = RequestProfile { parts: &[], engine: None, centre: &centre, repeatable };
        let ticket = board.choose(upstreams.iter(), shape, &[], now).unwrap();
        let (wait, outcome) = match (ticket.upstream.name.as_str(), repeatable) {
            ("i-1", true) => (REPEAT_AFTER, SendOutcome::Broken),
            ("i-1", false) => (CALLERS_WAIT, SendOutcome::Cancelled),
            _ => (ANSWER, SendOutcome::Answered),
        };
        if ticket.upstream.name.as_str() == "i-1" {
            *(if repeatable { &mut lost.repeatable } else { &mut lost.once }) += 1;
        }
        open.push(OpenRequest { ticket, ends: now.after(wait), outcome });
    }
    lost
}

/// An engine loses power; its connections stay open. Requests that may run once wait there until
/// their callers leave, which told nothing of the engine: it got new ones all the time. Now it is
/// left out as soon as nothing is heard of it, and tried again with requests that can go elsewhere.
#[test]
fn dark_engine() {
    let lost = play(REPEATABLE_EACH);
    assert!(lost.once <= 12, "{lost:?}");
    assert!(lost.repeatable <= 8, "{lost:?}");
}

/// Where no request can be repeated, the engine is tried with others all the same, more seldom.
#[test]
fn nothing_repeatable() {
    let lost = play(0);
    assert!((2..=20).contains(&lost.once), "{lost:?}");
}

/// A long prompt delays an engine's first event beyond all measure, while the streams beside it go
/// on: it is slow, not dark.
#[test]
fn slow_engine() {
    let centre: CentreName = "east".parse().unwrap();
    let mut board = LoadBalancer::new(PlacementPolicy::default());
    let only = &upstreams()[..1];
    let shape = RequestProfile { parts: &[], engine: None, centre: &centre, repeatable: false };
    let at = ClockTime::from_millis;
    let long = board.choose(only.iter(), shape, &[], at(1_000)).unwrap();
    let mut stream = board.choose(only.iter(), shape, &[], at(1_000)).unwrap();
    board.note_first_event(&mut stream, at(1_040));
    for step in 0..30 {
        board.note_progress(&stream, at(1_040 + step * 100));
    }
    board.finish(long, SendOutcome::Cancelled, at(4_000));
    // Had it counted as a failure, two of them would eject the engine; it takes new work.
    let again = board.choose(only.iter(), shape, &[], at(4_010)).unwrap();
    board.finish(again, SendOutcome::Broken, at(4_020));
    let two = upstreams();
    let chosen = (0..400).filter(|step| {
        let ticket = board.choose(two[..2].iter(), shape, &[], at(4_030 + step)).unwrap();
        ticket.upstream.name.as_str() == "i-1"
    });
    assert!(chosen.count() > 0);
}
