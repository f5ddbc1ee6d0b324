//! Reads metrics, readiness and incarnations from processes.

use std::io;
use std::net::SocketAddr;

use sagespool_testkit::fleet::RunningFleet;
use sagespool_testkit::load::CallRecord;
use sagespool_types::IncarnationId;

use super::{
    RawResponse, TestFleet, account, completion, is_own_whole, record, send, spend, try_exchange,
    wait_until, wait_until_async, wait_until_settled,
};

async fn read(address: SocketAddr, path: &'static str) -> io::Result<RawResponse> {
    let request = format!("GET {path} HTTP/1.1\r\nhost: process\r\nconnection: close\r\n\r\n");
    smol::unblock(move || try_exchange(address, request.as_bytes())).await
}

/// A metric of a process, by its full name with labels. `None` if the process doesn't answer or lacks it.
pub async fn metric(fleet: &RunningFleet, index: usize, name: &str) -> Option<f64> {
    let answer = read(fleet.members[index].http, "/metrics").await.ok()?;
    let line = answer.body.lines().find(|line| line.split(' ').next() == Some(name))?;
    line.split(' ').nth(1)?.parse().ok()
}

/// Waits until every running process counts `members` live members.
pub async fn wait_until_joined(fleet: &RunningFleet, members: usize) {
    for index in 0..fleet.members.len() {
        if fleet.members[index].process.is_some() {
            wait_until_member_count(fleet, index, members).await;
        }
    }
}

/// Waits until a process counts `members` live members.
pub async fn wait_until_member_count(fleet: &RunningFleet, index: usize, members: usize) {
    let what = format!("{} counts {members} members", fleet.members[index].instance);
    wait_until_async(&what, async || {
        metric(fleet, index, "sagespool_members").await == Some(members as f64)
    })
    .await;
}

/// Waits until a process reports that it is ready.
pub async fn wait_until_ready(fleet: &RunningFleet, index: usize) {
    let what = format!("{} is ready", fleet.members[index].instance);
    let address = fleet.members[index].http;
    wait_until_async(&what, async || {
        read(address, "/readyz").await.is_ok_and(|answer| answer.status == 200)
    })
    .await;
}

/// An entry's current incarnation.
pub async fn incarnation_of(fleet: &RunningFleet, entry: usize) -> IncarnationId {
    let answer = read(fleet.members[entry].http, "/healthz").await.expect("the entry answers");
    let incarnation =
        answer.body.split_whitespace().find_map(|field| field.strip_prefix("incarnation="));
    incarnation.and_then(|text| text.parse().ok()).expect("/healthz has the incarnation")
}

/// The two entries by their roles for a branch.
pub struct BranchHome {
    /// Member index of the home.
    pub home: usize,
    /// The home's incarnation.
    pub holder: IncarnationId,
    /// Member index of the other entry.
    pub other: usize,
    /// The call that created the grant, for [`assert_guarantees`](super::assert_guarantees).
    pub first: CallRecord,
}

/// Finds the home of a branch: sends a call, and takes the holder of the resulting grant.
pub async fn home_of(fleet: &TestFleet, name: &str) -> BranchHome {
    let entries = fleet.entries();
    let call = completion(name, 1);
    let sent = send(fleet, &call, entries[0]).await;
    assert!(is_own_whole(&sent), "{sent:?}");
    wait_until("a home holds a grant", || !account(fleet, name).grants.is_empty()).await;
    let holder = account(fleet, name).grants.keys().map(|grant| grant.holder).next();
    let holder = holder.expect("there is a grant");
    let home = usize::from(incarnation_of(fleet, entries[0]).await != holder);
    let (home, other) = (entries[home], entries[1 - home]);
    BranchHome { home, holder, other, first: record(&call, [sent]) }
}

/// Whether an incarnation holds no grant of a branch in its book.
pub fn holds_no_grants(fleet: &RunningFleet, name: &str, holder: IncarnationId) -> bool {
    account(fleet, name).grants.keys().all(|grant| grant.holder != holder)
}

/// Unspent tokens that the home of a branch holds at least after [`build_up_grants`].
pub const MIN_HELD_TOKENS: u64 = 150;

/// Spends through the home until it holds grants ahead of need and all charges are settled.
pub async fn build_up_grants(
    fleet: &TestFleet,
    entries: &BranchHome,
    name: &str,
) -> Vec<CallRecord> {
    let mut records = Vec::new();
    let mut cost = entries.first.call.whole_cost();
    for _ in 0..4 {
        let call = completion(name, 40);
        let sent = send(fleet, &call, entries.home).await;
        assert!(is_own_whole(&sent), "{sent:?}");
        cost += call.whole_cost();
        records.push(record(&call, [sent]));
    }
    wait_until_settled(fleet, name, cost.0).await;
    let holds = || spend(fleet, name).granted.0 >= MIN_HELD_TOKENS;
    wait_until("the home holds grants ahead of need", holds).await;
    records
}
