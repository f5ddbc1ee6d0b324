//! Load of many instances on an upstream that names a rate limit.
//!
//! An overloaded upstream names the requests per second that it accepts from all instances
//! together. Instances learn of the limit only from responses, each at another time. Limits change
//! between responses; responses are lost, delayed and reordered; instances restart, some are not
//! known to the others, and each of them has more requests than the limit allows.

use std::collections::VecDeque;
use std::time::Duration;

use sagespool_forward::{RateLimitChange, SenderSelector, UpstreamThrottle, WarmupPolicy};
use sagespool_types::{ClockTime, InstanceName, SendRate, UpstreamName};

const POLICY: WarmupPolicy = WarmupPolicy { overage: 1.5, slack: 5.0 };
/// Window over which upstreams count requests.
const COUNTING_WINDOW: Duration = Duration::from_secs(4);
/// Requests of an instance count from this time after it has received the current limit.
const REACTION_TIME: Duration = Duration::from_millis(500);
const STEP_MS: u64 = 20;
const RATES: [f64; 10] = [0.0, 0.1, 0.4, 0.5, 1.0, 1.2, 2.0, 3.5, 10.0, 60.0];

fn instance(number: usize) -> InstanceName {
    format!("gateway-{number}").parse().expect("valid name")
}

fn rate(per_second: f64) -> SendRate {
    SendRate::new(per_second).expect("valid rate")
}

struct Sender {
    selector: SenderSelector,
    throttle: UpstreamThrottle,
    /// The lowest limit received since the current one was first named, and when it was received.
    known_limit: Option<(f64, ClockTime)>,
    /// Fraction of the simulation steps at which it has a request.
    request_probability: f64,
}

impl Sender {
    fn new(number: usize, listed: usize, now: ClockTime) -> Self {
        let mut selector = SenderSelector::new(instance(number));
        selector.observe_listed((0..listed.max(number + 1)).map(instance), now);
        Self {
            selector,
            throttle: UpstreamThrottle::new(POLICY),
            known_limit: None,
            request_probability: 1.0,
        }
    }
}

/// A request on its way to the upstream, or its response on the way back.
struct RequestInFlight {
    sender: usize,
    chosen_at: ClockTime,
    due: ClockTime,
    stage: RequestStage,
}

#[derive(Clone, Copy, PartialEq)]
enum RequestStage {
    Connecting,
    Running,
    Answered { named: Option<f64> },
}

struct LimitSimulation {
    random: fastrand::Rng,
    now: ClockTime,
    name: UpstreamName,
    senders: Vec<Sender>,
    in_flight: Vec<RequestInFlight>,
    /// The limit that the upstream names now.
    named: Option<f64>,
    /// Start of the uninterrupted time with a limit.
    limited_since: ClockTime,
    /// Earlier limits, with the end of each.
    past_limits: VecDeque<(ClockTime, f64)>,
    /// Arrivals that count towards the limit.
    counted: VecDeque<ClockTime>,
    arrivals: usize,
    /// Whether instances exchange their rate limit status.
    exchanges_status: bool,
    /// Maximum response time, and the fraction of lost responses.
    max_response_ms: u64,
    loss_rate: f64,
}

impl LimitSimulation {
    fn new(seed: u64, instances: usize, newcomers: usize) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let now = ClockTime::from_millis(1_000);
        let name = format!("i-{}", random.u32(..)).parse().expect("valid name");
        let senders =
            (0..instances + newcomers).map(|number| Sender::new(number, instances, now)).collect();
        Self {
            random,
            now,
            name,
            senders,
            in_flight: Vec::new(),
            named: None,
            limited_since: now,
            past_limits: VecDeque::new(),
            counted: VecDeque::new(),
            arrivals: 0,
            exchanges_status: false,
            max_response_ms: 40,
            loss_rate: 0.0,
        }
    }

    fn set_limit(&mut self, named: Option<f64>) {
        if let Some(previous) = self.named {
            self.past_limits.push_back((self.now, previous));
        } else {
            self.limited_since = self.now;
        }
        self.named = named;
    }

    /// Maximum arrivals per window; None if no limit is in effect.
    fn allowed(&self) -> Option<usize> {
        let recent =
            self.past_limits.iter().filter(|(until, _)| self.now.since(*until) <= COUNTING_WINDOW);
        let highest = recent.map(|(_, rate)| *rate).fold(self.named?, f64::max);
        Some((highest * COUNTING_WINDOW.as_secs_f64() * 1.5 + 5.0) as usize)
    }

    fn step(&mut self) {
        self.now = self.now.after(Duration::from_millis(STEP_MS));
        self.send();
        if self.exchanges_status {
            self.exchange_status();
        }
        let now = self.now;
        for request in
            self.in_flight.extract_if(.., |request| request.due <= now).collect::<Vec<_>>()
        {
            self.advance(request);
        }
        self.check();
    }

    /// Each instance queries another one about once per second.
    fn exchange_status(&mut self) {
        for number in 0..self.senders.len() {
            if self.random.u64(0..1_000) >= STEP_MS {
                continue;
            }
            let queried = self.random.usize(0..self.senders.len());
            for name in self.senders[number].throttle.stale_rate_limits(self.now) {
                if let Some(status) = self.senders[queried].throttle.rate_limit_status(&name) {
                    self.senders[number].throttle.merge_rate_limit(&name, status);
                }
            }
        }
    }

    fn send(&mut self) {
        for (number, sender) in self.senders.iter_mut().enumerate() {
            if self.random.f64() >= sender.request_probability {
                continue;
            }
            if !sender.throttle.admits(&self.name, None, &sender.selector, self.now) {
                continue;
            }
            sender.throttle.count_placement(&self.name, self.now);
            let connect_ms = if self.random.bool() { 0 } else { self.random.u64(0..300) };
            let due = self.now.after(Duration::from_millis(connect_ms));
            let (sender, chosen_at) = (number, self.now);
            self.in_flight.push(RequestInFlight {
                sender,
                chosen_at,
                due,
                stage: RequestStage::Connecting,
            });
        }
    }

    fn advance(&mut self, request: RequestInFlight) {
        let RequestInFlight { sender, chosen_at, .. } = request;
        match request.stage {
            RequestStage::Connecting => {
                let throttle = &mut self.senders[sender].throttle;
                if throttle.blocks_dispatch(&self.name, chosen_at, self.now) {
                    return;
                }
                throttle.note_dispatched(&self.name, chosen_at, self.now);
                self.arrive(sender);
                let due = self
                    .now
                    .after(Duration::from_millis(self.random.u64(1..=self.max_response_ms)));
                self.in_flight.push(RequestInFlight {
                    sender,
                    chosen_at,
                    due,
                    stage: RequestStage::Running,
                });
            }
            RequestStage::Running if self.random.f64() < self.loss_rate => {}
            RequestStage::Running => {
                let stage = RequestStage::Answered { named: self.named };
                let due = self.now.after(Duration::from_millis(self.random.u64(0..=60)));
                self.in_flight.push(RequestInFlight { sender, chosen_at, due, stage });
            }
            RequestStage::Answered { named } => {
                let receiver = &mut self.senders[sender];
                receiver.throttle.note_rate_limit(&self.name, named.map(rate), chosen_at, self.now);
                let Some(named) = named else {
                    return;
                };
                // A response from an earlier limit period, which has ended, doesn't count for the
                // new one.
                if self.named.is_some() && chosen_at >= self.limited_since {
                    let is_known = receiver.known_limit.is_some_and(|(known, _)| known <= named);
                    receiver.known_limit =
                        if is_known { receiver.known_limit } else { Some((named, self.now)) };
                }
            }
        }
    }

    fn arrive(&mut self, sender: usize) {
        let Some(named) = self.named else {
            return;
        };
        self.arrivals += 1;
        let known_limit = self.senders[sender].known_limit.filter(|(known, _)| *known <= named);
        if known_limit.is_some_and(|(_, received_at)| self.now.since(received_at) >= REACTION_TIME)
        {
            self.counted.push_back(self.now);
        }
    }

    fn check(&mut self) {
        let now = self.now;
        while self.counted.front().is_some_and(|at| now.since(*at) > COUNTING_WINDOW) {
            self.counted.pop_front();
        }
        if let Some(allowed) = self.allowed() {
            let most = self.counted.len();
            assert!(most <= allowed, "{most} requests in 4 s, limit is {allowed}, at {now}");
        }
    }

    /// A restarted instance has no state, and is not checked against limits that it has not
    /// received.
    fn restart(&mut self, number: usize, listed: usize) {
        self.in_flight.retain(|request| request.sender != number);
        let request_probability = self.senders[number].request_probability;
        self.senders[number] =
            Sender { request_probability, ..Sender::new(number, listed, self.now) };
    }

    fn run_for(&mut self, span: Duration) {
        let end = self.now.after(span);
        while self.now < end {
            self.step();
        }
    }
}

/// Simulates limits that change, end and begin again, with restarts in between.
fn simulate(seed: u64, instances: usize) {
    let newcomers = usize::from(seed.is_multiple_of(3));
    let mut simulation = LimitSimulation::new(seed, instances, newcomers);
    simulation.exchanges_status = simulation.random.bool();
    simulation.max_response_ms = [40, 400, 1_500][simulation.random.usize(0..3)];
    simulation.loss_rate = [0.0, 0.1, 0.5][simulation.random.usize(0..3)];
    for sender in &mut simulation.senders {
        sender.request_probability = [1.0, 0.3, 0.02][simulation.random.usize(0..3)];
    }
    for _ in 0..6 {
        let named = RATES[simulation.random.usize(0..RATES.len())];
        let ends = simulation.random.f64() < 0.2;
        simulation.set_limit((!ends).then_some(named));
        if ends {
            simulation.counted.clear();
            for sender in &mut simulation.senders {
                sender.known_limit = None;
            }
        }
        let span = Duration::from_millis(simulation.random.u64(1_000..12_000));
        simulation.run_for(span);
        if simulation.random.bool() {
            let number = simulation.random.usize(0..simulation.senders.len());
            simulation.restart(number, instances);
        }
    }
}

/// Guards against instances that each keep to their share and together exceed the limit.
#[test]
fn limit_kept() {
    for (instances, seeds) in [(1, 60), (4, 400), (12, 60), (26, 12), (68, 2)] {
        for seed in 0..seeds {
            let outcome = std::panic::catch_unwind(|| simulate(seed, instances));
            assert!(outcome.is_ok(), "seed {seed}, {instances} instances");
        }
    }
}

/// Guards against an upstream that gets far fewer requests than it accepts.
#[test]
fn limit_used() {
    for instances in [4, 12, 68] {
        for per_second in [0.4, 1.0, 1.2, 3.5, 10.0] {
            let mut simulation = LimitSimulation::new(7, instances, 0);
            simulation.set_limit(Some(per_second));
            simulation.run_for(Duration::from_secs(6));
            let arrivals_before = simulation.arrivals;
            simulation.run_for(Duration::from_secs(20));
            let taken = (simulation.arrivals - arrivals_before) as f64 / 20.0;
            assert!(
                taken >= per_second / 2.0,
                "{taken} of {per_second} requests per second, {instances} instances"
            );
        }
    }
}

/// Guards against an instance that never sends again, because only a response reveals the end of a
/// limit.
#[test]
fn limit_end_detected() {
    for instances in [4, 26] {
        let mut simulation = LimitSimulation::new(11, instances, 0);
        simulation.set_limit(Some(0.4));
        simulation.run_for(Duration::from_secs(6));
        simulation.set_limit(None);
        simulation.run_for(Duration::from_secs(30 + 8 * instances as u64));
        let limited =
            simulation.senders.iter().filter(|sender| sender.throttle.limited_count() > 0);
        assert_eq!(limited.count(), 0, "{instances} instances");
    }
}

/// Guards against a fleet in which most instances refuse requests long after a limit has ended.
#[test]
fn limit_end_spreads() {
    let mut simulation = LimitSimulation::new(13, 68, 0);
    simulation.exchanges_status = true;
    simulation.set_limit(Some(1.0));
    simulation.run_for(Duration::from_secs(6));
    simulation.set_limit(None);
    simulation.run_for(Duration::from_secs(20));
    let limited = simulation.senders.iter().filter(|sender| sender.throttle.limited_count() > 0);
    assert_eq!(limited.count(), 0);
}

/// Guards against the response to an earlier request that ends a limit, and against dispatch of a
/// request that was placed before the limit was named.
#[test]
fn order_of_responses() {
    let name: UpstreamName = "i-1".parse().expect("valid name");
    let mut throttle = UpstreamThrottle::new(POLICY);
    let [first, second, named_at, third] = [1_000, 1_100, 1_200, 1_300].map(ClockTime::from_millis);
    assert_eq!(throttle.note_rate_limit(&name, None, first, named_at), RateLimitChange::Unchanged);
    let named = throttle.note_rate_limit(&name, Some(rate(1.0)), first, named_at);
    assert_eq!(named, RateLimitChange::Named(rate(1.0)));
    assert!(throttle.blocks_dispatch(&name, second, named_at));
    assert!(!throttle.blocks_dispatch(&name, third, third));
    let later = third.after(Duration::from_millis(100));
    assert_eq!(throttle.note_rate_limit(&name, None, second, later), RateLimitChange::Unchanged);
    assert_eq!(
        throttle.note_rate_limit(&name, Some(rate(1.0)), third, later),
        RateLimitChange::Unchanged
    );
    let after = later.after(Duration::from_millis(1));
    assert_eq!(throttle.note_rate_limit(&name, None, after, after), RateLimitChange::Ended);
    assert!(throttle.next_send_delay(&name, &SenderSelector::new(instance(1)), after).is_none());
}

/// Guards against invalid rates.
#[test]
fn rates_parsed() {
    for invalid in ["", "-1", "NaN", "inf", "1e400", "1,2", "soon", "0x10", "1 2"] {
        assert!(invalid.parse::<SendRate>().is_err(), "{invalid}");
    }
    for (text, per_second) in [("0", 0.0), ("-0", 0.0), (" 1.2 ", 1.2), ("1e3", 1000.0)] {
        assert_eq!(text.parse::<SendRate>().expect("valid rate").per_second(), per_second);
    }
    let pause = rate(0.0).interval(Duration::from_secs(30));
    assert_eq!(pause, Duration::from_secs(30));
}
