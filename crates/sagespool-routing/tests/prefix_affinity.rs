//! Placement of prompts where their prefix is probably cached.

mod support;

use std::time::Duration;

use sagespool_routing::{CacheEvent, CacheEventKind, PolicyKind, RoutingPolicy, UpstreamTable};
use sagespool_types::IncarnationId;
use support::{CAPACITY, at, idle_table, member, name, query, query_for, run, send, table};

/// An upstream other than the ring's first for the prefix.
fn not_first_on_ring(table: &UpstreamTable, prefix: u128) -> u64 {
    let on_ring = table.choose(&query_for(prefix), at(1)).expect("idle").sidecar.0;
    (on_ring + 1) % 5
}

// Three entries receive prompts with the same prefix. If each used only its own history, each would
// warm another engine's cache, and every engine's cache would fill with all prefixes.
#[test]
fn entries_agree() {
    let tables = [idle_table(9, 1), idle_table(9, 2), idle_table(9, 3)];
    for prefix in 0..200u128 {
        let to = tables.each_ref().map(|table| table.choose(&query_for(prefix), at(1)));
        let to = to.map(|placement| placement.expect("idle").sidecar);
        assert!(to[0] == to[1] && to[1] == to[2], "prefix {prefix} goes to {to:?}");
    }
}

// All prompts have the same prefix. Affinity alone would queue them all on one engine.
#[test]
fn busy_holder_skipped() {
    let table = idle_table(3, 1);
    let mut counts = [0; 3];
    for _ in 0..18 {
        counts[send(&table, &query_for(7), at(1)).sidecar.0 as usize] += 1;
    }
    assert!(counts.iter().all(|count| (3..=CAPACITY).contains(count)), "{counts:?}");
}

#[test]
fn events_direct_placement() {
    let table = idle_table(5, 1);
    let holder = not_first_on_ring(&table, 9);
    // The event is the only evidence for the holder, and the ring's first upstream is made busy.
    let on_ring = table.choose(&query_for(9), at(1)).expect("idle").sidecar.0;
    table.observe(&member(on_ring, 2, CAPACITY), at(2));
    let stored = CacheEvent { number: 5, kind: CacheEventKind::Stored, prefix: 9 };
    table.cache_event(IncarnationId(holder), &stored, at(3));
    let placement = table.choose(&query_for(9), at(4)).expect("idle");
    assert_eq!((placement.sidecar.0, placement.is_cached), (holder, true));
    let evicted = CacheEvent { number: 9, kind: CacheEventKind::Evicted, prefix: 9 };
    table.cache_event(IncarnationId(holder), &evicted, at(9_000));
    let is_cached = (0..20).any(|_| {
        let placement = table.choose(&query_for(9), at(9_001)).expect("idle");
        placement.is_cached && placement.sidecar.0 == holder
    });
    assert!(!is_cached);
}

// An engine evicts a prefix, the entry sends the next prompt with it to that engine, and the engine
// stores it again. The eviction event arrives only then; applying it would send the third prompt
// elsewhere. Duplicate events, or events out of order, must not undo newer ones.
#[test]
fn late_eviction_ignored() {
    let table = idle_table(5, 1);
    let placement = send(&table, &query_for(3), at(1_000));
    run(&table, &placement, 100, at(1_000));
    let sidecar = placement.sidecar;
    let evicted = CacheEvent { number: 2, kind: CacheEventKind::Evicted, prefix: 3 };
    table.cache_event(sidecar, &evicted, at(1_500));
    assert!(table.choose(&query_for(3), at(1_600)).expect("idle").is_cached);
    let stale = CacheEvent { number: 1, kind: CacheEventKind::Evicted, prefix: 3 };
    table.cache_event(sidecar, &stale, at(60_000));
    assert!(table.choose(&query_for(3), at(60_001)).expect("idle").is_cached);
}

#[test]
fn evidence_expires() {
    let policy = RoutingPolicy::builder().prefix_expiry(Duration::from_secs(60)).max_prefixes(100);
    let table = UpstreamTable::new(policy.build(), name("ghala"));
    table.observe(&member(0, 1, 0), at(0));
    let placement = send(&table, &query_for(1), at(0));
    run(&table, &placement, 100, at(0));
    assert!(table.choose(&query_for(1), at(59_000)).expect("idle").is_cached);
    // Choosing counts as sending, and would renew the evidence.
    assert!(!table.choose(&query_for(1), at(200_000)).expect("idle").is_cached);
    for prefix in 1_000..1_200 {
        table.choose(&query_for(prefix), at(200_001)).expect("idle");
    }
    assert!(!table.choose(&query_for(1), at(200_002)).expect("idle").is_cached);
}

#[test]
fn baselines_ignore_prefixes() {
    let table = table(PolicyKind::LeastReportedLoad, 1);
    table.observe(&member(0, 1, 0), at(0));
    table.observe(&member(1, 1, 1), at(0));
    let to = (0..50u128).map(|prefix| send(&table, &query_for(prefix), at(1)).sidecar.0);
    assert!(to.into_iter().all(|number| number == 0));
    assert_eq!(send(&table, &query(), at(1)).sidecar.0, 0);
}
