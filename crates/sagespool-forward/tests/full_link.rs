//! An instance whose link is full: how long requests wait for it, which are refused, and which attempts are made.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::time::Duration;

use sagespool_forward::{AdmissionController, ArrivedRequest, ConnectBudget, LinkMeter};
use sagespool_types::{ByteCount, ClockTime, UpstreamName};

const MBPS: f64 = 10.0;
const BODY: ByteCount = ByteCount(17_000);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

fn at(ms: u64) -> ClockTime {
    ClockTime::from_millis(10_000 + ms)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn upstream(number: u64) -> UpstreamName {
    format!("upstream-{number}").parse().unwrap()
}

#[test]
fn announced_bodies() {
    let mut meter = LinkMeter::new(Some(MBPS));
    assert_eq!(meter.wait(at(0)), Duration::ZERO);
    (0..50).for_each(|_| meter.announce(BODY));
    // 850 kB at 1.25 MB/s.
    assert_eq!(meter.wait(at(0)), ms(680));
    (0..50).for_each(|_| meter.settle(BODY));
    assert_eq!(meter.wait(at(0)), Duration::ZERO);
}

#[test]
fn written_bytes() {
    let mut meter = LinkMeter::new(Some(MBPS));
    (0..50).for_each(|_| meter.write(BODY, at(0)));
    assert_eq!(meter.wait(at(0)), ms(680));
    assert_eq!(meter.wait(at(400)), ms(280));
    assert_eq!(meter.wait(at(700)), Duration::ZERO);
}

#[test]
fn slow_connects() {
    let mut meter = LinkMeter::new(Some(MBPS));
    (0..4).for_each(|number| meter.note_connect(ms(200 + number), at(number)));
    assert_eq!(meter.wait(at(10)), ms(190));
    assert_eq!(meter.wait(at(2000)), Duration::ZERO, "the burst may be over");
    // One connection that is opened at once shows that the others are slow by their upstreams.
    (0..3).for_each(|number| meter.note_connect(ms(200), at(3000 + number)));
    meter.note_connect(ms(3), at(3010));
    assert_eq!(meter.wait(at(3020)), Duration::ZERO);
}

#[test]
fn unknown_rate() {
    let mut meter = LinkMeter::new(None);
    (0..1000).for_each(|_| meter.announce(BODY));
    (0..10).for_each(|_| meter.note_connect(ms(300), at(0)));
    assert_eq!(meter.wait(at(0)), Duration::ZERO);
}

#[test]
fn refused_by_head() {
    let controller = AdmissionController::default();
    let request = |target, rank| ArrivedRequest {
        branch: None,
        rank,
        latency_target: ms(target),
        time_left: ms(10_000),
    };
    let (lookup, plan) = (request(150, 2), request(1500, 2));
    assert!(controller.admits_link_wait(lookup, ms(50)));
    assert!(!controller.admits_link_wait(lookup, ms(70)));
    assert!(controller.admits_link_wait(plan, ms(590)));
    assert!(!controller.admits_link_wait(plan, ms(610)));
    // The most urgent rank is refused last.
    assert!(controller.admits_link_wait(request(1500, 0), ms(890)));
    let late = ArrivedRequest { time_left: ms(100), ..plan };
    assert!(!controller.admits_link_wait(late, ms(110)));
}

/// Attempts that requests make in five seconds in which no connection can be opened. Ten requests arrive each
/// 100 ms, and each has ten seconds.
fn attempts_on_full_link(admits: impl Fn(&ConnectBudget, u32, ClockTime) -> bool) -> u64 {
    let mut budget = ConnectBudget::default();
    let mut attempts = 0;
    // The time of each request's next attempt, and how many it has made.
    let mut waiting: Vec<(u64, u32)> = Vec::new();
    for now in (0..5000).step_by(10) {
        if now % 100 == 0 {
            waiting.extend((0..10).map(|_| (now, 0)));
        }
        let (due, later): (Vec<_>, Vec<_>) =
            waiting.into_iter().partition(|(time, _)| *time <= now);
        waiting = later;
        for (_, made) in due {
            if made > 0 {
                budget.note_failed(&upstream(attempts % 38), at(now));
                if !admits(&budget, made, at(now)) {
                    continue;
                }
            }
            attempts += 1;
            let pause = budget.pause(made).as_millis() as u64;
            waiting.push((now + CONNECT_TIMEOUT.as_millis() as u64 + pause, made + 1));
        }
    }
    attempts
}

#[test]
fn unsent_attempts() {
    // Guards against attempts without bound on a link that is full, which they make fuller.
    let unbounded = attempts_on_full_link(|_, _, _| true);
    let bounded = attempts_on_full_link(ConnectBudget::admits);
    assert!(unbounded > 3000, "{unbounded}");
    // One attempt for each of the 500 requests, and a further one until the fault shows.
    assert!(bounded <= 550, "{bounded}");
}

#[test]
fn ended_upstreams() {
    // Guards against refusing requests at a sound instance while some upstreams have ended.
    let mut budget = ConnectBudget::default();
    for round in 0..100u64 {
        let now = at(round * 10);
        budget.note_connected(now);
        budget.note_connected(now);
        budget.note_failed(&upstream(round % 4), now);
        assert!(budget.admits(3, now), "round {round}");
    }
    assert!(!budget.admits(4, at(1000)));
}

#[test]
fn one_dead_upstream() {
    let mut budget = ConnectBudget::default();
    (0..30).for_each(|number| budget.note_failed(&upstream(1), at(number)));
    assert!(!budget.is_own_fault(at(30)));
    (0..10).for_each(|number| budget.note_failed(&upstream(number), at(31)));
    assert!(budget.is_own_fault(at(31)));
    assert!(!budget.is_own_fault(at(1500)), "old failures tell nothing");
}
