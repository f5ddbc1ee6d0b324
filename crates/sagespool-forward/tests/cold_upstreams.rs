//! Load of many instances on upstreams that have just started.
//!
//! Half of a service's engines crash at once and restart cold and idle. To each instance they look
//! like the best choice, but each accepts only a few requests per second from all instances
//! together and crashes above that. The instances don't communicate; some are partitioned, some
//! have just started, and some are not known to the others yet.

use std::collections::VecDeque;
use std::time::Duration;

use sagespool_forward::{SenderSelector, UpstreamThrottle, WarmupPolicy, WarmupProfile};
use sagespool_types::{ClockTime, InstanceName, UpstreamName};

const POLICY: WarmupPolicy = WarmupPolicy { overage: 1.5, slack: 5.0 };
const SECOND: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(5);

fn profile() -> WarmupProfile {
    WarmupProfile { span: Duration::from_secs(3), per_second: 6.6 }
}

/// Maximum requests per second from all instances together.
fn limit(profile: &WarmupProfile, policy: WarmupPolicy) -> usize {
    (profile.per_second * policy.overage + policy.slack) as usize
}

fn instance(number: usize) -> InstanceName {
    format!("gateway-{number}").parse().expect("valid name")
}

fn upstream(number: usize) -> UpstreamName {
    format!("i-{number}").parse().expect("valid name")
}

struct Sender {
    selector: SenderSelector,
    throttle: UpstreamThrottle,
}

/// `listed` instances that have observed each other, and `newcomers` that observe all instances but
/// are unknown to the listed ones.
fn fleet(listed: usize, newcomers: usize, now: ClockTime) -> Vec<Sender> {
    let known = || (0..listed).map(instance);
    let all = || (0..listed + newcomers).map(instance);
    (0..listed + newcomers)
        .map(|number| {
            let mut selector = SenderSelector::new(instance(number));
            match number < listed {
                true => selector.observe_listed(known(), now),
                false => selector.observe_listed(all(), now),
            }
            Sender { selector, throttle: UpstreamThrottle::new(POLICY) }
        })
        .collect()
}

/// Requests that reach one cold upstream if every instance sends as much and as early as it may.
#[derive(Debug, Default)]
struct ColdTraffic {
    /// Largest number of requests dispatched within a second.
    max_per_second: usize,
    total: usize,
}

fn simulate(seed: u64, instances: usize, newcomers: usize, policy: WarmupPolicy) -> ColdTraffic {
    let mut random = fastrand::Rng::with_seed(seed);
    let profile = profile();
    let name = upstream(random.usize(0..1_000));
    let mut now = ClockTime::from_millis(1_000);
    let mut senders = fleet(instances, newcomers, now);
    for sender in &mut senders {
        sender.throttle = UpstreamThrottle::new(policy);
        sender.throttle.note_cold(&name, profile.span, now);
    }
    let end = now.after(profile.span);
    // Requests that wait for a connection: sender, placement and dispatch.
    let mut connecting: Vec<(usize, ClockTime, ClockTime)> = Vec::new();
    let mut dispatched: VecDeque<ClockTime> = VecDeque::new();
    let mut traffic = ColdTraffic::default();
    while now < end {
        for (number, sender) in senders.iter_mut().enumerate() {
            if random.f64() < 0.3
                && sender.throttle.admits(&name, Some(&profile), &sender.selector, now)
            {
                sender.throttle.count_placement(&name, now);
                let connect_ms = if random.bool() { 0 } else { random.u64(0..300) };
                connecting.push((number, now, now.after(Duration::from_millis(connect_ms))));
            }
        }
        for (number, chosen_at, at) in connecting.extract_if(.., |(_, _, at)| *at <= now) {
            senders[number].throttle.note_dispatched(&name, chosen_at, at);
            dispatched.push_back(at);
            traffic.total += 1;
        }
        dispatched.make_contiguous().sort_unstable();
        while dispatched.front().is_some_and(|at| now.since(*at) >= SECOND) {
            dispatched.pop_front();
        }
        traffic.max_per_second = traffic.max_per_second.max(dispatched.len());
        now = now.after(STEP);
    }
    traffic
}

/// Guards against instances that each send a little to a cold upstream and together crash it.
#[test]
fn limit_held() {
    for (instances, seeds) in [(1, 40), (4, 100), (26, 30), (100, 3), (300, 1)] {
        for seed in 0..seeds {
            let traffic = simulate(seed, instances, usize::from(seed % 3 == 0), POLICY);
            let max_per_second = limit(&profile(), POLICY);
            assert!(
                traffic.max_per_second <= max_per_second,
                "seed {seed}, {instances} instances: {traffic:?}"
            );
        }
    }
}

/// Guards against policies so narrow that one request of each sender exceeds the limit.
#[test]
fn narrow_policy() {
    for (overage, slack) in [(0.0, 0.0), (0.1, 0.0), (0.3, 0.0), (0.5, 0.0), (1.0, 0.0), (1.0, 1.0)]
    {
        let policy = WarmupPolicy { overage, slack };
        for seed in 0..4 {
            let traffic = simulate(seed, 40, usize::from(seed % 2 == 0), policy);
            assert!(
                traffic.max_per_second <= limit(&profile(), policy),
                "{policy:?}, seed {seed}: {traffic:?}"
            );
        }
    }
}

/// Guards against cold upstreams that get no requests although they have some capacity. With all
/// upstreams of a service cold, none would be served.
#[test]
fn cold_capacity_used() {
    for instances in [4, 26, 100] {
        let total: usize = (0..4).map(|seed| simulate(seed, instances, 0, POLICY).total).sum();
        let each_second = total as f64 / 4.0 / profile().span.as_secs_f64();
        assert!(each_second >= profile().per_second, "{instances} instances: {each_second}");
    }
}

/// Guards against a partition in which each instance observes no other and considers itself the
/// only sender.
#[test]
fn long_partition() {
    let start = ClockTime::from_millis(1_000);
    let name = upstream(7);
    let mut senders = fleet(26, 0, start);
    let count =
        |senders: &[Sender]| senders.iter().filter(|s| s.selector.is_sender(&name, 6)).count();
    assert_eq!(count(&senders), 6);
    let later = start.after(Duration::from_secs(12));
    for (number, sender) in senders.iter_mut().enumerate() {
        sender.selector.observe(std::iter::once(instance(number)), later);
    }
    assert_eq!(count(&senders), 6);
}

/// Guards against a fleet that restarts as a whole beside cold upstreams. No instance has observed
/// the others before the store has listed them.
#[test]
fn fresh_instances() {
    let now = ClockTime::from_millis(1_000);
    let mut selector = SenderSelector::new(instance(1));
    selector.observe(std::iter::once(instance(1)), now);
    assert!(!selector.is_sender(&upstream(1), 6));
    selector.observe_listed((0..4).map(instance), now);
    assert!(selector.is_sender(&upstream(1), 6));
}

/// Guards against a delayed report of a shorter cold time that ends the restriction too early, and
/// against a restriction that never ends.
#[test]
fn late_cold_report() {
    let now = ClockTime::from_millis(1_000);
    let mut throttle = UpstreamThrottle::new(POLICY);
    let name = upstream(1);
    assert!(throttle.note_cold(&name, Duration::from_secs(3), now));
    assert!(!throttle.note_cold(&name, Duration::from_secs(1), now));
    assert!(throttle.is_cold(&name, now.after(Duration::from_millis(2_900))));
    let warm = now.after(Duration::from_secs(3));
    assert!(!throttle.is_cold(&name, warm));
    let selector = SenderSelector::new(instance(1));
    assert!(throttle.admits(&name, Some(&profile()), &selector, warm));
    // An upstream may become cold again at any time.
    assert!(throttle.note_cold(&name, Duration::from_secs(3), warm));
    assert!(!throttle.admits(&name, Some(&profile()), &selector, warm));
}
