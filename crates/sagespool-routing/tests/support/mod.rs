//! Members and requests for the tests.
#![allow(dead_code)]

use std::str::FromStr;
use std::time::Duration;

use sagespool_messages::{LoadReport, MemberInfo, MemberRole, ServedUpstream, UpstreamKind};
use sagespool_routing::{
    AttemptOutcome, AttemptResult, PlacementQuery, PolicyKind, RoutingPolicy, UpstreamPlacement,
    UpstreamTable,
};
use sagespool_types::{
    ClockTime, ConfigVersion, IncarnationId, InstanceCapacity, ParseError, TokenCount,
};

pub const CAPACITY: u32 = 8;

pub fn name<T: FromStr<Err = ParseError>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

pub fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

/// Upstream `number` of the service `sage-core` in data centre `ghala`, with a load report.
pub fn member(number: u64, report: u64, running: u32) -> MemberInfo {
    let load = LoadReport { number: report, running, ..LoadReport::default() };
    let served = ServedUpstream {
        upstream: name(&format!("worker-{number}")),
        kind: UpstreamKind::Engine,
        service: name("sage-core"),
        models: vec![name("sage-large")],
        capacity: CAPACITY,
        healthy: true,
        load,
    };
    MemberInfo {
        instance: name(&format!("instance-{number}")),
        incarnation: IncarnationId(number),
        number: report,
        role: MemberRole::Sidecar,
        region: name("muscat"),
        centre: name("ghala"),
        address: ([127, 0, 0, 1], 9000 + number as u16).into(),
        leaving: false,
        config: ConfigVersion(1),
        started_at: None,
        serves: Some(served),
        capacity: InstanceCapacity::default(),
    }
}

pub fn table(kind: PolicyKind, seed: u64) -> UpstreamTable {
    let policy = RoutingPolicy::builder().kind(kind).seed(seed).build();
    UpstreamTable::new(policy, name("ghala"))
}

/// A table with `count` idle upstreams, numbered from 0.
pub fn idle_table(count: u64, seed: u64) -> UpstreamTable {
    let table = table(PolicyKind::Sagespool, seed);
    for number in 0..count {
        table.observe(&member(number, 1, 0), at(0));
    }
    table
}

pub fn query() -> PlacementQuery {
    PlacementQuery::builder().service(name("sage-core")).build()
}

pub fn query_for(prefix: u128) -> PlacementQuery {
    PlacementQuery::builder().service(name("sage-core")).prefix(prefix).build()
}

/// Chooses a placement and records its dispatch.
pub fn send(table: &UpstreamTable, query: &PlacementQuery, now: ClockTime) -> UpstreamPlacement {
    let placement = table.choose(query, now).expect("an upstream may take it");
    table.started(&placement, now);
    placement
}

pub fn end(
    table: &UpstreamTable,
    placement: &UpstreamPlacement,
    outcome: AttemptOutcome,
    now: ClockTime,
) {
    let result = AttemptResult { first_token: None, tokens: TokenCount::ZERO, outcome };
    table.ended(placement, &result, now);
}

/// Completes one request, with `first_token` milliseconds to its first token.
pub fn run(
    table: &UpstreamTable,
    placement: &UpstreamPlacement,
    first_token: u64,
    sent: ClockTime,
) {
    let latency = Duration::from_millis(first_token);
    table.first_token(placement, latency, sent.after(latency));
    end(table, placement, AttemptOutcome::Whole, sent.after(latency));
}
