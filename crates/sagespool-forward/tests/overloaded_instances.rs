//! An instance whose processor is too slow for the load of its callers.
//!
//! The callers of a large account are bound to a small instance and send 1.2, 2 or 5 times its
//! capacity for six seconds. Without admission control all requests delay each other: all are late,
//! also those of other accounts, and long after the burst the instance still works on requests that
//! callers have abandoned. The test simulates a processor that runs ready tasks in turn, with the
//! real admission decision.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use sagespool_forward::{AdmissionController, ArrivedRequest};
use sagespool_types::{BranchName, ClockTime};

/// Processor time of one step of a request, in microseconds.
const STEP_US: u64 = 1_500;
/// Steps of a served request: header, measurement of the scheduling delay, body, budget,
/// connection, response header, events.
const STEPS: usize = 12;
/// The step after which a request waits for its upstream.
const DISPATCH_STEP: usize = 5;
/// The step that sends the first event to the caller.
const FIRST_EVENT_STEP: usize = 7;
const UPSTREAM_US: u64 = 60_000;
const EVENT_PAUSE_US: u64 = 30_000;
/// Cost of measuring the scheduling delay.
const MEASURE_US: u64 = 50;
const REFUSAL_US: u64 = 700;
const BURST_FROM_US: u64 = 4_000_000;
const BURST_UNTIL_US: u64 = 10_000_000;
const END_US: u64 = 20_000_000;
/// Load outside the burst, relative to the capacity.
const BASE_LOAD: f64 = 0.5;
const ACCOUNTS: u64 = 8;

#[derive(Debug, Clone, Copy, PartialEq)]
enum AdmissionMode {
    /// Everything is admitted.
    None,
    /// Limits the requests in flight.
    Queue(usize),
    /// The admission control under test.
    Admission,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum RequestOutcome {
    InTime,
    Late,
    Refused,
}

struct Request {
    arrived: u64,
    branch: usize,
    rank: u8,
    target: Duration,
    deadline: u64,
    step: usize,
    enqueued_at: u64,
    first_event: Option<u64>,
}

/// Outcome of a request, and the time until it was known.
struct CompletedRequest {
    arrived: u64,
    branch: usize,
    outcome: RequestOutcome,
    elapsed: u64,
}

struct Instance {
    mode: AdmissionMode,
    controller: AdmissionController,
    names: Vec<BranchName>,
    requests: Vec<Request>,
    ready: VecDeque<usize>,
    /// Requests that wait for their upstream, by the time of its response.
    waiting: BTreeMap<(u64, usize), ()>,
    in_flight: usize,
    completed: Vec<CompletedRequest>,
}

fn at(us: u64) -> ClockTime {
    ClockTime(1_000_000 + us)
}

impl Instance {
    fn new(mode: AdmissionMode) -> Self {
        let names = (0..ACCOUNTS).map(|number| format!("branch-{number}").parse().unwrap());
        Self {
            mode,
            controller: AdmissionController::default(),
            names: names.collect(),
            requests: Vec::new(),
            ready: VecDeque::new(),
            waiting: BTreeMap::new(),
            in_flight: 0,
            completed: Vec::new(),
        }
    }

    /// Runs one step of a request. Returns its processor time.
    fn step(&mut self, index: usize, now: u64) -> u64 {
        let step = self.requests[index].step;
        self.requests[index].step += 1;
        match step {
            0 => {
                self.requests[index].enqueued_at = now + STEP_US;
                self.ready.push_back(index);
                STEP_US
            }
            1 => self.admit(index, now),
            _ => self.serve(index, step, now),
        }
    }

    fn admit(&mut self, index: usize, now: u64) -> u64 {
        let request = &self.requests[index];
        let waited = Duration::from_micros(now - request.enqueued_at);
        self.controller.note_scheduling_delay(waited, at(now));
        let arrived = ArrivedRequest {
            branch: Some(&self.names[request.branch]),
            rank: request.rank,
            latency_target: request.target,
            time_left: Duration::from_micros(request.deadline.saturating_sub(now)),
        };
        let admitted = match self.mode {
            AdmissionMode::None => true,
            AdmissionMode::Queue(most) => self.in_flight < most,
            AdmissionMode::Admission => self.controller.admits(arrived, at(now)),
        };
        if !admitted {
            self.complete(index, RequestOutcome::Refused, now + MEASURE_US + REFUSAL_US);
            return MEASURE_US + REFUSAL_US;
        }
        self.in_flight += 1;
        self.controller.begin(&self.names[request.branch].clone());
        self.ready.push_back(index);
        MEASURE_US
    }

    fn serve(&mut self, index: usize, step: usize, now: u64) -> u64 {
        let done = now + STEP_US;
        if step == FIRST_EVENT_STEP {
            self.requests[index].first_event = Some(done);
        }
        let request = &self.requests[index];
        // Callers disconnect at their deadline, and the rest of the request is dropped.
        if step + 1 == STEPS || done > request.deadline {
            let target = request.arrived + request.target.as_micros() as u64;
            let in_time = request.first_event.is_some_and(|first| first <= target);
            let outcome = if in_time { RequestOutcome::InTime } else { RequestOutcome::Late };
            self.in_flight -= 1;
            let name = self.names[request.branch].clone();
            self.controller.end(&name);
            self.complete(index, outcome, done);
        } else if step == DISPATCH_STEP {
            self.waiting.insert((done + UPSTREAM_US, index), ());
        } else if step >= FIRST_EVENT_STEP {
            self.waiting.insert((done + EVENT_PAUSE_US, index), ());
        } else {
            self.ready.push_back(index);
        }
        STEP_US
    }

    fn complete(&mut self, index: usize, outcome: RequestOutcome, now: u64) {
        let Request { arrived, branch, .. } = self.requests[index];
        self.completed.push(CompletedRequest { arrived, branch, outcome, elapsed: now - arrived });
    }
}

/// Simulates all traffic with `overload` times the capacity during the burst, and a processor that
/// is `slowdown` times slower.
fn simulate(mode: AdmissionMode, overload: f64, slowdown: f64) -> Vec<CompletedRequest> {
    fastrand::seed(7);
    let work_us = (STEPS as u64 - 1) * STEP_US + MEASURE_US;
    let mut instance = Instance::new(mode);
    let (mut now, mut next) = (0u64, 0u64);
    loop {
        while next <= now && next < END_US {
            let in_burst = (BURST_FROM_US..BURST_UNTIL_US).contains(&next);
            let load = if in_burst { overload } else { BASE_LOAD };
            // The excess load comes from the large account, whose callers stick to this instance.
            let from_large = in_burst && fastrand::f64() > BASE_LOAD / overload;
            let branch = if from_large { 0 } else { fastrand::u64(0..ACCOUNTS) as usize };
            let (rank, target, limit) =
                [(0, 800, 4_000), (1, 1_000, 8_000), (2, 300, 3_000)][fastrand::usize(0..3)];
            instance.requests.push(Request {
                arrived: next,
                branch,
                rank,
                target: Duration::from_millis(target),
                deadline: next + limit * 1_000,
                step: 0,
                enqueued_at: 0,
                first_event: None,
            });
            instance.ready.push_back(instance.requests.len() - 1);
            let mean = work_us as f64 * slowdown / load;
            next += (-fastrand::f64().max(1e-9).ln() * mean) as u64;
        }
        while let Some(((due, index), ())) = instance.waiting.pop_first() {
            if due > now {
                instance.waiting.insert((due, index), ());
                break;
            }
            instance.ready.push_back(index);
        }
        if let Some(index) = instance.ready.pop_front() {
            now += (instance.step(index, now) as f64 * slowdown) as u64;
            continue;
        }
        let due = instance.waiting.first_key_value().map(|((due, _), ())| *due);
        match due.into_iter().chain((next < END_US).then_some(next)).min() {
            Some(soonest) => now = soonest.max(now + 1),
            None => return instance.completed,
        }
    }
}

struct Summary {
    /// Requests per second of the burst that were served in time.
    served: f64,
    /// Fraction of the burst's requests of all other accounts that were served in time.
    others_in_time: f64,
    /// 99th percentile of the time to a refusal.
    refusal_ms: f64,
    /// Time from the end of the burst until every request is served in time again.
    recovery_ms: f64,
    /// Refusals outside the burst and the second after it.
    false_refusals: usize,
}

fn summary(completed: &[CompletedRequest]) -> Summary {
    let burst = |completed: &&CompletedRequest| {
        (BURST_FROM_US..BURST_UNTIL_US).contains(&completed.arrived)
    };
    let in_time = |completed: &&CompletedRequest| completed.outcome == RequestOutcome::InTime;
    let served = completed.iter().filter(burst).filter(in_time).count();
    let others: Vec<&CompletedRequest> =
        completed.iter().filter(burst).filter(|completed| completed.branch != 0).collect();
    let others_served = others.iter().copied().filter(|completed| in_time(completed)).count();
    let refused = completed.iter().filter(|completed| completed.outcome == RequestOutcome::Refused);
    let mut elapsed: Vec<u64> = refused.map(|completed| completed.elapsed).collect();
    elapsed.sort_unstable();
    let slowest = elapsed.get(elapsed.len() * 99 / 100).copied().unwrap_or(0);
    let after = completed
        .iter()
        .filter(|completed| completed.arrived >= BURST_UNTIL_US && !in_time(completed));
    let last = after.map(|completed| completed.arrived).max().unwrap_or(BURST_UNTIL_US);
    let outside_burst = |completed: &&CompletedRequest| {
        completed.arrived < BURST_FROM_US || completed.arrived > BURST_UNTIL_US + 1_000_000
    };
    let false_refusals = completed
        .iter()
        .filter(outside_burst)
        .filter(|completed| completed.outcome == RequestOutcome::Refused)
        .count();
    Summary {
        served: served as f64 / 6.0,
        others_in_time: others_served as f64 / others.len() as f64,
        refusal_ms: slowest as f64 / 1_000.0,
        recovery_ms: (last - BURST_UNTIL_US) as f64 / 1_000.0,
        false_refusals,
    }
}

fn table() -> Vec<(f64, AdmissionMode, Summary)> {
    let mut rows = Vec::new();
    for overload in [1.2, 2.0, 5.0] {
        for mode in [AdmissionMode::None, AdmissionMode::Queue(256), AdmissionMode::Admission] {
            rows.push((overload, mode, summary(&simulate(mode, overload, 1.0))));
        }
    }
    for (overload, mode, summary) in &rows {
        println!(
            "{overload} {mode:?}: {:.1} served in time per second, {:.3} of other accounts' requests, \
             refusals within {:.0} ms, recovered after {:.0} ms, {} refused outside the burst",
            summary.served,
            summary.others_in_time,
            summary.refusal_ms,
            summary.recovery_ms,
            summary.false_refusals
        );
    }
    rows
}

/// Single late wake-ups, as after a TLS handshake or a freeze, on an idle instance. They must not
/// cause refusals.
#[test]
fn single_late_wakeups() {
    let branch: BranchName = "branch-1".parse().unwrap();
    let mut controller = AdmissionController::default();
    for round in 1..20 {
        let now = ClockTime::from_millis(round * 700);
        controller.note_scheduling_delay(Duration::from_millis(40), now);
        let request = ArrivedRequest {
            branch: Some(&branch),
            rank: 2,
            latency_target: Duration::from_millis(300),
            time_left: Duration::from_millis(3_000),
        };
        assert!(controller.admits(request, now), "round {round}");
    }
}

/// Limit on the time to a refusal, as a part of the shortest latency target: another instance can
/// still respond in time.
const REFUSAL_LIMIT_MS: f64 = 100.0;
/// At five times the capacity, refusals alone take most of the processor. The limit is the shortest
/// latency target.
const OVERLOAD_REFUSAL_LIMIT_MS: f64 = 300.0;

/// Refusals come while callers can still use another instance, and the instance recovers within a
/// second after the burst.
#[test]
fn prompt_refusals() {
    for (overload, mode, summary) in table() {
        if mode != AdmissionMode::Admission {
            continue;
        }
        let refusal_limit_ms =
            if overload > 2.0 { OVERLOAD_REFUSAL_LIMIT_MS } else { REFUSAL_LIMIT_MS };
        assert!(
            summary.refusal_ms <= refusal_limit_ms,
            "overload {overload}: refused after {} ms",
            summary.refusal_ms
        );
        assert!(
            summary.recovery_ms <= 1_000.0,
            "overload {overload}: recovered after {} ms",
            summary.recovery_ms
        );
        assert_eq!(summary.false_refusals, 0, "overload {overload}");
    }
}

/// The processor serves requests that are still wanted, and other accounts keep being served: at
/// each load more than without admission control, and than with a bounded queue.
#[test]
fn other_accounts_served() {
    let rows = table();
    for (overload, mode, summary) in &rows {
        if *mode != AdmissionMode::Admission {
            continue;
        }
        for (other, baseline_mode, baseline) in &rows {
            if other != overload || *baseline_mode == AdmissionMode::Admission {
                continue;
            }
            assert!(
                summary.served > baseline.served,
                "overload {overload}, compared to {baseline_mode:?}"
            );
            assert!(
                summary.others_in_time > baseline.others_in_time * 2.0,
                "overload {overload}, compared to {baseline_mode:?}"
            );
        }
    }
}
