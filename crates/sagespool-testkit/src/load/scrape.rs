//! Reads the processes' own metrics, for values that no fake server sees, and the stored books.

use std::collections::{BTreeMap, BTreeSet};

use sagespool_ledger::{BOOK_COUNT, BookRecord, book_key};
use sagespool_types::{BookNumber, ClockTime, IncarnationId, InstanceName};
use trillium_client::Client;

use super::ControlRates;
use crate::fleet::RunningFleet;

const CONTROL_METRIC: &str = "sagespool_link_bytes_total{traffic=\"control\"}";

async fn metrics_of(client: &Client, address: std::net::SocketAddr) -> Option<String> {
    let mut conn = client.get(format!("http://{address}/metrics").as_str()).await.ok()?;
    conn.response_body().read_string().await.ok()
}

fn metric(text: &str, name: &str) -> Option<f64> {
    let line = text.lines().find(|line| line.starts_with(name))?;
    line.rsplit_once(' ')?.1.parse().ok()
}

/// Control bytes sent and received by each process up to a time.
pub(super) struct ControlReading {
    at: ClockTime,
    bytes: BTreeMap<InstanceName, f64>,
    entries: BTreeSet<InstanceName>,
}

impl ControlReading {
    /// Reads the counters of all running processes; those that do not answer are left out.
    pub(super) async fn of(fleet: &RunningFleet) -> Self {
        let client = Client::new(trillium_smol::ClientConfig::default());
        let mut bytes = BTreeMap::new();
        let mut entries = BTreeSet::new();
        for member in fleet.members.iter().filter(|member| member.process.is_some()) {
            let text = metrics_of(&client, member.http).await;
            let Some(count) = text.and_then(|text| metric(&text, CONTROL_METRIC)) else {
                continue;
            };
            bytes.insert(member.instance.clone(), count);
            if member.is_entry() {
                entries.insert(member.instance.clone());
            }
        }
        Self { at: ClockTime::now(), bytes, entries }
    }

    /// Mean bytes per second per process since an earlier reading, by role. A process that was
    /// restarted in between counts from its start.
    pub(super) fn rates_since(&self, earlier: &Self) -> ControlRates {
        let seconds = self.at.since(earlier.at).as_secs_f64();
        let rate_of = |is_wanted: &dyn Fn(&InstanceName) -> bool| {
            let wanted: Vec<_> = self.bytes.iter().filter(|(name, _)| is_wanted(name)).collect();
            let grown = wanted.iter().map(|(name, count)| {
                let before = earlier.bytes.get(*name).copied().unwrap_or_default();
                if **count < before { **count } else { **count - before }
            });
            grown.sum::<f64>() / seconds / wanted.len().max(1) as f64
        };
        ControlRates {
            node: rate_of(&|_| true),
            entry: rate_of(&|name| self.entries.contains(name)),
            sidecar: rate_of(&|name| !self.entries.contains(name)),
        }
    }
}

/// The number of grants in the books, not in doubt, whose holder is not a running entry.
pub(super) async fn orphaned_grants(fleet: &RunningFleet) -> usize {
    let client = Client::new(trillium_smol::ClientConfig::default());
    let mut running_incarnations = BTreeSet::new();
    for member in fleet.members.iter().filter(|member| member.is_entry()) {
        running_incarnations.extend(incarnation_of(&client, member.http).await);
    }
    let mut orphaned = 0;
    for book in (0..BOOK_COUNT).map(BookNumber) {
        let Some(held) = fleet.store.object(&book_key(book)) else {
            continue;
        };
        let Ok(record) = held.parse::<BookRecord>() else {
            continue;
        };
        for account in record.branches.values() {
            let grants = account.grants.iter();
            orphaned += grants
                .filter(|(id, grant)| !grant.in_doubt && !running_incarnations.contains(&id.holder))
                .count();
        }
    }
    orphaned
}

pub(super) async fn incarnation_of(
    client: &Client,
    address: std::net::SocketAddr,
) -> Option<IncarnationId> {
    let mut conn = client.get(format!("http://{address}/healthz").as_str()).await.ok()?;
    let text = conn.response_body().read_string().await.ok()?;
    text.split_whitespace().find_map(|word| word.strip_prefix("incarnation=")?.parse().ok())
}
