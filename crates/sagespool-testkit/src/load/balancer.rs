//! The platform's balancer, as far as callers notice it: it stops sending to an entry that says
//! that it isn't ready.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use trillium_client::Client;

use crate::fleet::check_ready;

const PROBE_PERIOD: Duration = Duration::from_millis(200);
/// An entry that takes longer to answer its probe counts as not ready.
const PROBE_LIMIT: Duration = Duration::from_millis(1000);

struct BalancedEntry {
    address: SocketAddr,
    ready: AtomicBool,
}

/// The entries that callers are sent to. Clones share what is known of them.
#[derive(Clone)]
pub struct EntryBalancer {
    entries: Arc<[BalancedEntry]>,
}

impl EntryBalancer {
    /// A balancer that sends to every entry, until it is told to probe them.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        let entry = |address| BalancedEntry { address, ready: AtomicBool::new(true) };
        Self { entries: addresses.into_iter().map(entry).collect() }
    }

    /// Asks each entry's `/readyz` again and again, for as long as it is polled.
    pub async fn probe(&self) {
        loop {
            let probes = (0..self.entries.len()).map(|place| {
                let balancer = self.clone();
                smol::spawn(async move { balancer.probe_one(place).await })
            });
            for probe in probes.collect::<Vec<_>>() {
                probe.await;
            }
            smol::Timer::after(PROBE_PERIOD).await;
        }
    }

    async fn probe_one(&self, place: usize) {
        let entry = &self.entries[place];
        let client = Client::new(trillium_smol::ClientConfig::default()).without_keepalive();
        let is_ready = check_ready(&client, entry.address, PROBE_LIMIT).await.is_ok();
        entry.ready.store(is_ready, Ordering::Relaxed);
    }

    /// The entry at a place, or the next one that is ready; the one at the place if none is.
    pub fn pick(&self, place: usize) -> (usize, SocketAddr) {
        let count = self.entries.len();
        let places = (place..place + count).map(|place| place % count);
        let ready = |place: &usize| self.entries[*place].ready.load(Ordering::Relaxed);
        let chosen = places.clone().find(ready).unwrap_or(place % count);
        (chosen, self.entries[chosen].address)
    }
}
