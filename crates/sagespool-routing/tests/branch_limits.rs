//! Limits of branches, classes and upstreams.

use std::time::Duration;

use quickcheck::QuickCheck;
use sagespool_routing::{LimitRule, LimitScope, RequestLimits};
use sagespool_types::{BranchName, ClockTime, RefusalReason};

fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

fn scope(branch: &str) -> LimitScope {
    let branch: BranchName = branch.parse().expect("a valid name");
    LimitScope::Branch(branch)
}

fn rate(requests_per_second: u32) -> LimitRule {
    let requests_per_second = Some(requests_per_second);
    LimitRule { scope: scope("ruwi-bids"), running: None, requests_per_second }
}

fn running(running: u32) -> LimitRule {
    LimitRule { scope: scope("sohar-hub"), running: Some(running), requests_per_second: None }
}

#[test]
fn rate_enforced() {
    let limits = RequestLimits::new();
    let rules = [rate(10)];
    let passed = (0..40).filter(|_| limits.admit(&rules, at(0)).is_ok()).count();
    assert_eq!(passed, 10);
    let refusal = limits.admit(&rules, at(0)).expect_err("the rate is used up");
    assert_eq!(refusal.reason(), RefusalReason::LimitReached);
    assert_eq!(refusal.retry_after, Duration::from_millis(100));
    assert!(limits.admit(&rules, at(0).after(refusal.retry_after)).is_ok());
    assert!(limits.admit(&[rate(0)], at(90_000)).is_err());
}

#[test]
fn running_enforced() {
    let limits = RequestLimits::new();
    let rules = [running(2)];
    assert!(limits.admit(&rules, at(0)).is_ok());
    assert!(limits.admit(&rules, at(0)).is_ok());
    assert!(limits.admit(&rules, at(1)).is_err());
    limits.ended(&rules);
    assert!(limits.admit(&rules, at(2)).is_ok());
}

// A request passes its branch's limit and is refused by its class's. If it stayed counted for the
// branch, a full class would use up the limits of every branch that retries.
#[test]
fn refusal_counts_nothing() {
    let limits = RequestLimits::new();
    let class = LimitScope::Class("lookup".parse().expect("a valid name"));
    let full = LimitRule { scope: class.clone(), running: Some(0), requests_per_second: None };
    for step in 0..100 {
        let refusal = limits.admit(&[rate(5), running(1), full.clone()], at(step));
        assert_eq!(refusal.expect_err("the class is full").scope, class);
    }
    assert_eq!(limits.running(&scope("sohar-hub")), 0);
    let passed = (0..9).filter(|_| limits.admit(&[rate(5)], at(100)).is_ok()).count();
    assert_eq!(passed, 5);
}

// If each of three entries admitted the whole rate, the branch would get three times its limit.
#[test]
fn entries_share() {
    let entries = [(); 3].map(|()| RequestLimits::new());
    entries.iter().for_each(|limits| limits.set_entries(3));
    let mut passed = 0;
    for millis in 0..60_000 {
        let limits = &entries[millis as usize % 3];
        passed += u32::from(limits.admit(&[rate(10)], at(millis)).is_ok());
    }
    assert!((598..=612).contains(&passed), "{passed} in a minute at 10 a second");
    let most: u32 = entries
        .iter()
        .map(|limits| {
            (0..9).map(|_| u32::from(limits.admit(&[running(4)], at(0)).is_ok())).sum::<u32>()
        })
        .sum();
    assert!((4..=6).contains(&most), "{most} run at a limit of 4");
}

// A rule for one request a second over three entries refills in three seconds. Expiring its state
// sooner would grant a full allowance again, and the branch would get up to three times its rate.
#[test]
fn expiry_grants_no_allowance() {
    let limits = RequestLimits::new();
    limits.set_entries(3);
    let mut passed = 0;
    for step in 0..60 {
        passed += u32::from(limits.admit(&[rate(1)], at(step * 500)).is_ok());
        limits.ended(&[rate(1)]);
        limits.expire(at(step * 500 + 499));
    }
    assert!((10..=11).contains(&passed), "{passed} in 30 s");
}

#[test]
fn never_beyond_rate() {
    fn property(gaps: Vec<u16>, requests_per_second: u8) -> bool {
        let limits = RequestLimits::new();
        let rules = [rate(u32::from(requests_per_second))];
        let (mut now, mut passed) = (0, 0);
        for gap in gaps {
            now += u64::from(gap % 300);
            passed += u64::from(limits.admit(&rules, at(now)).is_ok());
        }
        let burst = u64::from(requests_per_second);
        passed <= burst + now * burst / 1000
    }
    QuickCheck::new().tests(500).quickcheck(property as fn(Vec<u16>, u8) -> bool);
}
