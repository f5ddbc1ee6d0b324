//! What the fleet says of itself, for figures that no stand-in sees, and what the books hold.

use std::collections::BTreeSet;
use std::time::Duration;

use sagespool_ledger::{BOOK_COUNT, BookRecord, book_key};
use sagespool_types::{BookNumber, IncarnationId};
use trillium_client::Client;

use crate::fleet::RunningFleet;

const CONTROL_METRIC: &str = "sagespool_link_bytes_total{traffic=\"control\"}";
const MEASURED: Duration = Duration::from_secs(2);

async fn metrics_of(client: &Client, address: std::net::SocketAddr) -> Option<String> {
    let mut conn = client.get(format!("http://{address}/metrics").as_str()).await.ok()?;
    conn.response_body().read_string().await.ok()
}

fn metric(text: &str, name: &str) -> Option<f64> {
    let line = text.lines().find(|line| line.starts_with(name))?;
    line.rsplit_once(' ')?.1.parse().ok()
}

async fn control_bytes(fleet: &RunningFleet, client: &Client) -> f64 {
    let mut sum = 0.0;
    for member in fleet.members.iter().filter(|member| member.process.is_some()) {
        let text = metrics_of(client, member.http).await;
        sum += text.and_then(|text| metric(&text, CONTROL_METRIC)).unwrap_or_default();
    }
    sum
}

/// Control traffic of a process, sent and received, the mean over all and over two quiet seconds.
pub(super) async fn control_bytes_per_second(fleet: &RunningFleet) -> f64 {
    let client = Client::new(trillium_smol::ClientConfig::default());
    let before = control_bytes(fleet, &client).await;
    smol::Timer::after(MEASURED).await;
    let after = control_bytes(fleet, &client).await;
    let members = fleet.members.len().max(1) as f64;
    (after - before).max(0.0) / MEASURED.as_secs_f64() / members
}

/// Grants in the books of holders that aren't among the entries that run now, and not in doubt.
pub(super) async fn orphaned_grants(fleet: &RunningFleet) -> usize {
    let client = Client::new(trillium_smol::ClientConfig::default());
    let mut living = BTreeSet::new();
    for member in fleet.members.iter().filter(|member| member.is_entry()) {
        living.extend(incarnation_of(&client, member.http).await);
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
                .filter(|(id, grant)| !grant.in_doubt && !living.contains(&id.holder))
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
