//! Upstreams that accept requests again after a restart or a drain.

mod support;

use sagespool_messages::MemberInfo;
use sagespool_routing::{PolicyKind, UpstreamTable};
use sagespool_types::IncarnationId;
use support::{at, member, name, query, run, send, table};

/// The upstream in the data centre of the table's entry, before and after its sidecar's restart.
const LOCAL: IncarnationId = IncarnationId(0);
const RESTARTED: IncarnationId = IncarnationId(2);
const REMOTE: IncarnationId = IncarnationId(1);
/// Time of an answer of a fast plain service.
const ANSWER_MS: u64 = 6;
/// Interval between two requests of one entry, long enough that nothing ever waits.
const GAP_MS: usize = 400;

fn remote() -> MemberInfo {
    MemberInfo { centre: name("rusayl"), ..member(REMOTE.0, 1, 0) }
}

/// Sends requests from one time to another; how many went to an upstream, and how many in all.
fn sent_to(table: &UpstreamTable, upstream: IncarnationId, from: u64, until: u64) -> (u32, u32) {
    let (mut sent, mut all) = (0, 0);
    for now in (from..until).step_by(GAP_MS) {
        let placement = send(table, &query(), at(now));
        run(table, &placement, ANSWER_MS, at(now));
        sent += u32::from(placement.sidecar == upstream);
        all += 1;
    }
    (sent, all)
}

// An operator drains the local one of a service's two upstreams, its sidecar is restarted, and it
// is undrained (`order-ended outcome=done`). If the service's assumed latency (200 ms) is averaged
// with the measured one (6 ms), the mean is 11 ms. The other upstream then appears faster than the
// mean, the restarted one without measurements does not, and every request crosses to the other
// data centre: 0 of 50 requests went to the restarted upstream.
#[test]
fn restarted_local_used() {
    let table = table(PolicyKind::Sagespool, 1);
    table.observe(&member(LOCAL.0, 1, 0), at(0));
    table.observe(&remote(), at(0));
    let (before, all) = sent_to(&table, LOCAL, 0, 10_000);
    assert!(before * 2 > all, "{before} of {all} before the drain");
    table.remove(LOCAL);
    sent_to(&table, REMOTE, 10_000, 20_000);
    table.observe(&member(RESTARTED.0, 1, 0), at(20_000));
    let (after, all) = sent_to(&table, RESTARTED, 20_000, 40_000);
    assert!(after * 2 > all, "{after} of {all} after the restart");
}
