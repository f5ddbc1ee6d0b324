//! Counts of in-flight requests that sidecars send with the events of a dispatch.

mod support;

use sagespool_routing::{AttemptOutcome, UpstreamTable};
use sagespool_types::{ClockTime, IncarnationId};
use support::{CAPACITY, at, end, idle_table, member, query, send};

const FULL: IncarnationId = IncarnationId(0);

/// How many of a number of consecutive requests go to the full upstream.
fn sent_to_full(table: &UpstreamTable, requests: usize, now: ClockTime) -> usize {
    let sends = (0..requests).filter(|_| {
        let placement = send(table, &query(), now);
        end(table, &placement, AttemptOutcome::Whole, now);
        placement.sidecar == FULL
    });
    sends.count()
}

/// Two upstreams reported as idle, with an own request at the first.
fn table_with_own() -> UpstreamTable {
    let table = idle_table(2, 1);
    table.set_entries(2);
    while send(&table, &query(), at(0)).sidecar != FULL {}
    table
}

// Another entry has just filled an engine, whose report is a second old and has it idle. By the
// report alone, this entry sends there too, and requests queue at the engine while another is idle.
// The sidecar's count, sent on the stream of an own request, shows the load.
#[test]
fn count_overrides_report() {
    let table = table_with_own();
    table.observe_in_flight(FULL, CAPACITY, at(100));
    assert_eq!(sent_to_full(&table, 10, at(110)), 0);
}

// A count that is long past must not keep requests away from an engine that is free again.
#[test]
fn old_count_fades() {
    let table = table_with_own();
    table.observe_in_flight(FULL, CAPACITY, at(100));
    let later = 60_000;
    for number in 0..2 {
        table.observe(&member(number, 2, 0), at(later));
    }
    assert!(sent_to_full(&table, 10, at(later + 10)) > 0);
}

// Own requests are in the sidecar's count and in the entry's own count. Counted twice, an engine
// that only this entry uses appears twice as full as it is, and half of its slots stay idle.
#[test]
fn own_counted_once() {
    let table = idle_table(2, 1);
    let mut at_first = 0;
    for _ in 0..CAPACITY {
        let placement = send(&table, &query(), at(0));
        if placement.sidecar == FULL {
            table.observe_in_flight(FULL, at_first, at(0));
            at_first += 1;
        }
    }
    assert_eq!(at_first, CAPACITY / 2);
}
