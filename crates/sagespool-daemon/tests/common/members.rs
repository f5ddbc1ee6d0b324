//! What the processes say of themselves and of each other.

use std::io;
use std::net::SocketAddr;

use sagespool_testkit::fleet::RunningFleet;
use sagespool_testkit::load::CallRecord;
use sagespool_types::IncarnationId;

use super::{
    RawAnswer, TestFleet, account, completion, is_own_whole, record, send, spend, try_exchange,
    until, until_async, until_settled,
};

async fn read(address: SocketAddr, path: &'static str) -> io::Result<RawAnswer> {
    let request = format!("GET {path} HTTP/1.1\r\nhost: process\r\nconnection: close\r\n\r\n");
    smol::unblock(move || try_exchange(address, request.as_bytes())).await
}

/// A process's metric, by its whole name with labels; nothing while it doesn't serve.
pub async fn metric(fleet: &RunningFleet, place: usize, name: &str) -> Option<f64> {
    let answer = read(fleet.members[place].http, "/metrics").await.ok()?;
    let line = answer.body.lines().find(|line| line.split(' ').next() == Some(name))?;
    line.split(' ').nth(1)?.parse().ok()
}

/// Waits until every process that runs believes so many to be alive.
pub async fn until_joined(fleet: &RunningFleet, members: usize) {
    for place in 0..fleet.members.len() {
        if fleet.members[place].process.is_some() {
            until_knows(fleet, place, members).await;
        }
    }
}

/// Waits until a process believes so many to be alive.
pub async fn until_knows(fleet: &RunningFleet, place: usize, members: usize) {
    let what = format!("{} knows {members} members", fleet.members[place].instance);
    until_async(&what, async || {
        metric(fleet, place, "sagespool_members").await == Some(members as f64)
    })
    .await;
}

/// Waits until a process says that it is ready.
pub async fn until_ready(fleet: &RunningFleet, place: usize) {
    let what = format!("{} is ready", fleet.members[place].instance);
    let address = fleet.members[place].http;
    until_async(&what, async || {
        read(address, "/readyz").await.is_ok_and(|answer| answer.status == 200)
    })
    .await;
}

/// An entry's present incarnation.
pub async fn incarnation_of(fleet: &RunningFleet, entry: usize) -> IncarnationId {
    let answer = read(fleet.members[entry].http, "/healthz").await.expect("the entry answers");
    let word = answer.body.split_whitespace().find_map(|word| word.strip_prefix("incarnation="));
    word.and_then(|word| word.parse().ok()).expect("an entry names its incarnation")
}

/// The entries as they stand to a branch.
pub struct BranchHome {
    /// The home.
    pub home: usize,
    /// The home's incarnation.
    pub holder: IncarnationId,
    /// The other entry.
    pub other: usize,
    /// The call that showed it, for the judgement at the end.
    pub first: CallRecord,
}

/// The home of a branch. A call is paid for, and whoever then holds the branch's grant is the home.
pub async fn home_of(fleet: &TestFleet, name: &str) -> BranchHome {
    let entries = fleet.entries();
    let call = completion(name, 1);
    let sent = send(fleet, &call, entries[0]).await;
    assert!(is_own_whole(&sent), "{sent:?}");
    until("a home holds a grant", || !account(fleet, name).grants.is_empty()).await;
    let holder = account(fleet, name).grants.keys().map(|grant| grant.holder).next();
    let holder = holder.expect("there is a grant");
    let home = usize::from(incarnation_of(fleet, entries[0]).await != holder);
    let (home, other) = (entries[home], entries[1 - home]);
    BranchHome { home, holder, other, first: record(&call, [sent]) }
}

/// True if the grants of a branch in its book all belong to other incarnations.
pub fn holds_nothing(fleet: &RunningFleet, name: &str, holder: IncarnationId) -> bool {
    account(fleet, name).grants.keys().all(|grant| grant.holder != holder)
}

/// What the home of a branch holds unspent after [`warm_up`], at least.
pub const HELD: u64 = 150;

/// Spends through the home until it holds grants ahead of need, with all that was spent settled.
pub async fn warm_up(fleet: &TestFleet, entries: &BranchHome, name: &str) -> Vec<CallRecord> {
    let mut records = Vec::new();
    let mut cost = entries.first.call.whole_cost();
    for _ in 0..4 {
        let call = completion(name, 40);
        let sent = send(fleet, &call, entries.home).await;
        assert!(is_own_whole(&sent), "{sent:?}");
        cost += call.whole_cost();
        records.push(record(&call, [sent]));
    }
    until_settled(fleet, name, cost.0).await;
    let holds = || spend(fleet, name).granted.0 >= HELD;
    until("the home holds grants ahead of need", holds).await;
    records
}
