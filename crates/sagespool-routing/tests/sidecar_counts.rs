//! What sidecars tell of the requests that they have, with the events of a dispatch.

mod support;

use sagespool_routing::{AttemptOutcome, UpstreamTable};
use sagespool_types::{ClockTime, IncarnationId};
use support::{CAPACITY, at, end, idle_table, member, query, send};

const FULL: IncarnationId = IncarnationId(0);

/// How many of so many requests, one after the other, go to the full upstream.
fn sent_to_full(table: &UpstreamTable, requests: usize, now: ClockTime) -> usize {
    let sends = (0..requests).filter(|_| {
        let placement = send(table, &query(), now);
        end(table, &placement, AttemptOutcome::Whole, now);
        placement.sidecar == FULL
    });
    sends.count()
}

/// Two upstreams that their engines report as idle, and an own request at the first.
fn table_with_own() -> UpstreamTable {
    let table = idle_table(2, 1);
    table.set_entries(2);
    while send(&table, &query(), at(0)).sidecar != FULL {}
    table
}

// Another entry has just filled an engine. The engine's report is a second old and says that it is
// idle, so this entry sends there too: its callers wait in the engine's queue while another engine
// stands idle. The sidecar knew, and said so on the stream of a request that this entry has there.
#[test]
fn count_before_report() {
    let table = table_with_own();
    table.observe_in_flight(FULL, CAPACITY, at(100));
    assert_eq!(sent_to_full(&table, 10, at(110)), 0);
}

// A count that is long past says nothing of the present: the engine is free again, and an entry
// that goes on shunning it wastes its places.
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

// Own requests are in the sidecar's count and in the entry's own. Counted twice, an engine that
// only this entry uses looks twice as full as it is, and stands half idle.
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
