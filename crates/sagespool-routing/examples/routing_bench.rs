//! Cost of routing decisions by the number of upstreams and branches.
//!
//! ```text
//! cargo run --release --example routing_bench
//! ```

use std::hint::black_box;
use std::time::{Duration, Instant};

use sagespool_messages::{LoadReport, MemberInfo, MemberRole, ServedUpstream, UpstreamKind};
use sagespool_routing::{
    AdmissionQueue, AttemptOutcome, AttemptResult, LimitRule, LimitScope, PlacementQuery,
    PolicyKind, QueuePolicy, QueueTicket, RequestLimits, RoutingPolicy, UpstreamTable,
};
use sagespool_types::{
    BranchName, ClockTime, ConfigVersion, IncarnationId, InstanceCapacity, ParseError, RequestId,
    ServiceName, TokenCount,
};

const UPSTREAMS: [u64; 4] = [10, 100, 1_000, 7_700];
const BRANCHES: [u64; 3] = [10, 1_000, 57_000];
const ROUNDS: u64 = 100_000;
/// Simulated time between two rounds.
const STEP: Duration = Duration::from_micros(200);

fn name<T: std::str::FromStr<Err = ParseError>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

fn member(number: u64, report: u64) -> MemberInfo {
    let load = LoadReport {
        number: report,
        running: (number * 7 + report) as u32 % 8,
        dispatched: report * 3,
        ..LoadReport::default()
    };
    let served = ServedUpstream {
        upstream: name(&format!("worker-{number}")),
        kind: UpstreamKind::Engine,
        service: name("sage-core"),
        models: vec![name("sage-large")],
        capacity: 8,
        healthy: true,
        load,
    };
    MemberInfo {
        instance: name(&format!("instance-{number}")),
        incarnation: IncarnationId(number),
        number: report,
        role: MemberRole::Sidecar,
        region: name("muscat"),
        centre: name(&format!("hall-{}", number % 4)),
        address: ([127, 0, 0, 1], 9000).into(),
        leaving: false,
        config: ConfigVersion(1),
        started_at: None,
        serves: Some(served),
        capacity: InstanceCapacity::default(),
    }
}

fn table(kind: PolicyKind, upstreams: u64) -> UpstreamTable {
    let policy = RoutingPolicy::builder().kind(kind).seed(1).build();
    let table = UpstreamTable::new(policy, name("hall-0"));
    table.set_entries(3);
    for number in 0..upstreams {
        table.observe(&member(number, 1), ClockTime::default());
    }
    table
}

/// Mean time per round in nanoseconds, without the warm-up rounds.
fn time(rounds: u64, mut round: impl FnMut(u64, ClockTime)) -> f64 {
    let at = |number: u64| ClockTime::default().after(STEP.saturating_mul(number as u32));
    for number in 0..rounds / 10 {
        round(number, at(number));
    }
    let start = Instant::now();
    for number in rounds / 10..rounds {
        round(number, at(number));
    }
    start.elapsed().as_nanos() as f64 / (rounds - rounds / 10) as f64
}

/// Time of one request: choice, start, first token and end.
fn time_choice(kind: PolicyKind, upstreams: u64, with_prefix: bool) -> f64 {
    let table = table(kind, upstreams);
    let mut running = std::collections::VecDeque::new();
    let service: ServiceName = name("sage-core");
    let result =
        AttemptResult { first_token: None, tokens: TokenCount(40), outcome: AttemptOutcome::Whole };
    time(ROUNDS, |number, now| {
        let prefix = with_prefix.then(|| u128::from(number * 31 % 997));
        let query = PlacementQuery::builder().service(service.clone()).maybe_prefix(prefix).build();
        let placement = black_box(table.choose(&query, now)).expect("one is usable");
        table.started(&placement, now);
        running.push_back((placement, now));
        if running.len() > upstreams.min(64) as usize * 4 {
            let (placement, started) = running.pop_front().expect("it isn't empty");
            table.first_token(&placement, now.since(started) / 4, now);
            table.ended(&placement, &result, now);
        }
    })
}

fn time_report(upstreams: u64) -> f64 {
    let table = table(PolicyKind::Sagespool, upstreams);
    let members: Vec<MemberInfo> = (0..upstreams).map(|number| member(number, 2)).collect();
    time(ROUNDS, |number, now| {
        let mut member = members[(number % upstreams) as usize].clone();
        member.serves.as_mut().expect("it serves").load.number = number + 2;
        table.observe(black_box(&member), now);
    })
}

fn time_concurrency(upstreams: u64) -> f64 {
    let table = table(PolicyKind::Sagespool, upstreams);
    let service: ServiceName = name("sage-core");
    time(ROUNDS, |_, now| {
        black_box(table.concurrency(&service, now));
    })
}

/// Time of one request through a queue with requests waiting: offer, end of another, release.
fn time_queue(branches: u64) -> f64 {
    let queue = AdmissionQueue::new(QueuePolicy::default());
    let service: ServiceName = name("sage-core");
    queue.set_limit(&service, 64);
    let names: Vec<BranchName> =
        (0..branches).map(|number| name(&format!("branch-{number}"))).collect();
    let mut running = std::collections::VecDeque::new();
    time(ROUNDS, |number, now| {
        let ticket = QueueTicket::builder()
            .request(RequestId(u128::from(number)))
            .service(service.clone())
            .branch(names[(number * 7919 % branches) as usize].clone())
            .priority((number % 3) as u8)
            .deadline(now.after(Duration::from_secs(3600)));
        if queue.offer(ticket.build(), now) == sagespool_routing::OfferOutcome::Admitted {
            running.push_back(RequestId(u128::from(number)));
        }
        if queue.depth(&service).waiting > 1000
            && let Some(request) = running.pop_front()
        {
            queue.ended(&service, request, now);
        }
        running.extend(black_box(queue.release(&service, now)).admitted);
    })
}

fn time_limits(branches: u64) -> f64 {
    let limits = RequestLimits::new();
    let rules: Vec<[LimitRule; 1]> = (0..branches)
        .map(|number| {
            let scope = LimitScope::Branch(name(&format!("branch-{number}")));
            [LimitRule { scope, running: Some(50), requests_per_second: Some(100) }]
        })
        .collect();
    time(ROUNDS, |number, now| {
        let rules = &rules[(number * 7919 % branches) as usize];
        if black_box(limits.admit(rules, now)).is_ok() {
            limits.ended(rules);
        }
    })
}

fn main() {
    println!("| a request: choose, start, first token, end; ns | 10 | 100 | 1,000 | 7,700 |");
    println!("|---|---:|---:|---:|---:|");
    let row = |label: &str, times: [f64; 4]| {
        let times = times.map(|time| format!("{time:.0}"));
        println!("| {label} | {} |", times.join(" | "));
    };
    for kind in PolicyKind::ALL {
        row(kind.as_str(), UPSTREAMS.map(|upstreams| time_choice(kind, upstreams, false)));
    }
    let prefixed = |upstreams| time_choice(PolicyKind::Sagespool, upstreams, true);
    row("sagespool with a prefix", UPSTREAMS.map(prefixed));
    row("a load report", UPSTREAMS.map(time_report));
    row("a concurrency limit", UPSTREAMS.map(time_concurrency));
    println!("\n| branches, ns | 10 | 1,000 | 57,000 |");
    println!("|---|---:|---:|---:|");
    for (label, run) in
        [("a request through the queue", time_queue as fn(u64) -> f64), ("a limit", time_limits)]
    {
        let times = BRANCHES.map(|branches| format!("{:.0}", run(branches)));
        println!("| {label} | {} |", times.join(" | "));
    }
}
