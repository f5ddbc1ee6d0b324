//! A model of the platform's load balancer: it skips entries whose readiness probe fails.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use trillium_client::Client;

use crate::fleet::check_ready;

const PROBE_PERIOD: Duration = Duration::from_millis(200);
/// An entry that answers its probe later than this counts as not ready.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1000);

struct BalancedEntry {
    address: SocketAddr,
    ready: AtomicBool,
}

/// The entries that receive calls. Clones share the readiness state.
#[derive(Clone)]
pub struct EntryBalancer {
    entries: Arc<[BalancedEntry]>,
}

impl EntryBalancer {
    /// Treats every entry as ready until [`Self::probe`] runs.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        let entry = |address| BalancedEntry { address, ready: AtomicBool::new(true) };
        Self { entries: addresses.into_iter().map(entry).collect() }
    }

    /// Probes `/readyz` of each entry periodically; never returns.
    pub async fn probe(&self) {
        loop {
            let probes = (0..self.entries.len()).map(|index| {
                let balancer = self.clone();
                smol::spawn(async move { balancer.probe_one(index).await })
            });
            for probe in probes.collect::<Vec<_>>() {
                probe.await;
            }
            smol::Timer::after(PROBE_PERIOD).await;
        }
    }

    async fn probe_one(&self, index: usize) {
        let entry = &self.entries[index];
        let client = Client::new(trillium_smol::ClientConfig::default()).without_keepalive();
        let is_ready = check_ready(&client, entry.address, PROBE_TIMEOUT).await.is_ok();
        entry.ready.store(is_ready, Ordering::Relaxed);
    }

    /// The first ready entry from an index on, wrapping around; the entry at the index if none is
    /// ready.
    pub fn pick(&self, index: usize) -> (usize, SocketAddr) {
        let count = self.entries.len();
        let indices = (index..index + count).map(|index| index % count);
        let ready = |index: &usize| self.entries[*index].ready.load(Ordering::Relaxed);
        let chosen = indices.clone().find(ready).unwrap_or(index % count);
        (chosen, self.entries[chosen].address)
    }
}
