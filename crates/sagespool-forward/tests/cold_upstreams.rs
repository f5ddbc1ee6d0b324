//! The load of many instances on upstreams that have just started.
//!
//! Half of the engines of a service crash at once and come back cold and idle. To each instance they
//! look like the best place for its next request, while each takes a few requests a second from all
//! instances together and crashes above that. Instances don't ask each other; some are cut off, some
//! have just started, and some are new to the others.

use std::collections::VecDeque;
use std::time::Duration;

use sagespool_forward::{SenderSelector, UpstreamThrottle, WarmupPolicy, WarmupProfile};
use sagespool_types::{ClockTime, InstanceName, UpstreamName};

const TERMS: WarmupPolicy = WarmupPolicy { overage: 1.5, slack: 5.0 };
const SECOND: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(5);

fn traits() -> WarmupProfile {
    WarmupProfile { span: Duration::from_secs(3), per_second: 6.6 }
}

/// The most that all instances may send in a second.
fn limit(traits: &WarmupProfile, terms: WarmupPolicy) -> usize {
    (traits.per_second * terms.overage + terms.slack) as usize
}

fn instance(number: usize) -> InstanceName {
    format!("gateway-{number}").parse().expect("a name")
}

fn upstream(number: usize) -> UpstreamName {
    format!("i-{number}").parse().expect("a name")
}

struct Sender {
    panel: SenderSelector,
    guard: UpstreamThrottle,
}

/// Instances that know all that were listed, and perhaps newcomers that the others don't know.
fn fleet(listed: usize, newcomers: usize, now: ClockTime) -> Vec<Sender> {
    let old = || (0..listed).map(instance);
    let all = || (0..listed + newcomers).map(instance);
    (0..listed + newcomers)
        .map(|number| {
            let mut panel = SenderSelector::new(instance(number));
            match number < listed {
                true => panel.observe_listed(old(), now),
                false => panel.observe_listed(all(), now),
            }
            Sender { panel, guard: UpstreamThrottle::new(TERMS) }
        })
        .collect()
}

/// What came of everybody's wish to send to one cold upstream, as much and as early as possible.
#[derive(Debug, Default)]
struct ColdSecond {
    /// The most requests that left within a second.
    most: usize,
    all: usize,
}

fn play(seed: u64, instances: usize, newcomers: usize, terms: WarmupPolicy) -> ColdSecond {
    let mut random = fastrand::Rng::with_seed(seed);
    let traits = traits();
    let name = upstream(random.usize(0..1_000));
    let mut now = ClockTime::from_millis(1_000);
    let mut senders = fleet(instances, newcomers, now);
    for sender in &mut senders {
        sender.guard = UpstreamThrottle::new(terms);
        sender.guard.note_cold(&name, traits.span, now);
    }
    let end = now.after(traits.span);
    // Requests that wait for a connection, and when they leave.
    let mut opening: Vec<(usize, ClockTime, ClockTime)> = Vec::new();
    let mut left: VecDeque<ClockTime> = VecDeque::new();
    let mut seen = ColdSecond::default();
    while now < end {
        for (number, sender) in senders.iter_mut().enumerate() {
            if random.f64() < 0.3 && sender.guard.admits(&name, Some(&traits), &sender.panel, now) {
                sender.guard.count_placement(&name, now);
                let pause = if random.bool() { 0 } else { random.u64(0..300) };
                opening.push((number, now, now.after(Duration::from_millis(pause))));
            }
        }
        for (number, chosen, at) in opening.extract_if(.., |(_, _, at)| *at <= now) {
            senders[number].guard.note_dispatched(&name, chosen, at);
            left.push_back(at);
            seen.all += 1;
        }
        left.make_contiguous().sort_unstable();
        while left.front().is_some_and(|at| now.since(*at) >= SECOND) {
            left.pop_front();
        }
        seen.most = seen.most.max(left.len());
        now = now.after(STEP);
    }
    seen
}

/// Guards against instances that each send a little to a cold upstream, and crash it together.
#[test]
fn limit_held() {
    for (instances, seeds) in [(1, 40), (4, 100), (26, 30), (100, 3), (300, 1)] {
        for seed in 0..seeds {
            let seen = play(seed, instances, usize::from(seed % 3 == 0), TERMS);
            let most = limit(&traits(), TERMS);
            assert!(seen.most <= most, "seed {seed}, {instances} instances: {seen:?}");
        }
    }
}

/// Guards against terms so narrow that one request of each sender is already too much.
#[test]
fn narrow_terms() {
    for (overage, slack) in [(0.0, 0.0), (0.1, 0.0), (0.3, 0.0), (0.5, 0.0), (1.0, 0.0), (1.0, 1.0)]
    {
        let terms = WarmupPolicy { overage, slack };
        for seed in 0..4 {
            let seen = play(seed, 40, usize::from(seed % 2 == 0), terms);
            assert!(seen.most <= limit(&traits(), terms), "{terms:?}, seed {seed}: {seen:?}");
        }
    }
}

/// Guards against cold upstreams that get nothing though they could carry a part of the load: with a
/// whole service cold, nothing would be served.
#[test]
fn work_carried() {
    for instances in [4, 26, 100] {
        let all: usize = (0..4).map(|seed| play(seed, instances, 0, TERMS).all).sum();
        let each_second = all as f64 / 4.0 / traits().span.as_secs_f64();
        assert!(each_second >= traits().per_second, "{instances} instances: {each_second}");
    }
}

/// Guards against a cut in which each instance hears nobody and takes itself for the only sender.
#[test]
fn long_cut() {
    let start = ClockTime::from_millis(1_000);
    let name = upstream(7);
    let mut senders = fleet(26, 0, start);
    let count = |senders: &[Sender]| senders.iter().filter(|s| s.panel.is_sender(&name, 6)).count();
    assert_eq!(count(&senders), 6);
    let later = start.after(Duration::from_secs(12));
    for (number, sender) in senders.iter_mut().enumerate() {
        sender.panel.observe(std::iter::once(instance(number)), later);
    }
    assert_eq!(count(&senders), 6);
}

/// Guards against a fleet that was killed and starts anew beside cold upstreams: nobody knows the others
/// before the store has listed them.
#[test]
fn fresh_instances() {
    let now = ClockTime::from_millis(1_000);
    let mut panel = SenderSelector::new(instance(1));
    panel.observe(std::iter::once(instance(1)), now);
    assert!(!panel.is_sender(&upstream(1), 6));
    panel.observe_listed((0..4).map(instance), now);
    assert!(panel.is_sender(&upstream(1), 6));
}

/// Guards against late word of a short rest that ends the caution too early, and against caution that
/// never ends.
#[test]
fn late_word() {
    let now = ClockTime::from_millis(1_000);
    let mut guard = UpstreamThrottle::new(TERMS);
    let name = upstream(1);
    assert!(guard.note_cold(&name, Duration::from_secs(3), now));
    assert!(!guard.note_cold(&name, Duration::from_secs(1), now));
    assert!(guard.is_cold(&name, now.after(Duration::from_millis(2_900))));
    let warm = now.after(Duration::from_secs(3));
    assert!(!guard.is_cold(&name, warm));
    let panel = SenderSelector::new(instance(1));
    assert!(guard.admits(&name, Some(&traits()), &panel, warm));
    // It may turn cold again at any moment.
    assert!(guard.note_cold(&name, Duration::from_secs(3), warm));
    assert!(!guard.admits(&name, Some(&traits()), &panel, warm));
}
