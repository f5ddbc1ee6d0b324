//! Addresses from the instance list or the settings at which members may be found.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use sagespool_types::ClockTime;

const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(500);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);

#[derive(Debug, Clone, Copy)]
struct SeedRecord {
    retry_delay: Duration,
    next_try: ClockTime,
    from_settings: bool,
}

/// Addresses at which a member may be found.
#[derive(Debug, Default)]
pub(crate) struct SeedList {
    seeds: BTreeMap<SocketAddr, SeedRecord>,
}

impl SeedList {
    /// Replaces the listed addresses; those from the settings stay.
    pub(crate) fn set_listed(&mut self, addresses: &BTreeSet<SocketAddr>, now: ClockTime) {
        self.seeds.retain(|address, seed| seed.from_settings || addresses.contains(address));
        for address in addresses {
            self.insert(*address, false, now);
        }
    }

    /// Adds addresses from the settings.
    pub(crate) fn add_configured(&mut self, addresses: &[SocketAddr], now: ClockTime) {
        for address in addresses {
            self.insert(*address, true, now);
        }
    }

    fn insert(&mut self, address: SocketAddr, from_settings: bool, now: ClockTime) {
        let fresh = SeedRecord { retry_delay: INITIAL_RETRY_DELAY, next_try: now, from_settings };
        let seed = self.seeds.entry(address).or_insert(fresh);
        seed.from_settings |= from_settings;
    }

    /// Returns up to `limit` addresses that are due and aren't `known`, and doubles their retry
    /// delay.
    pub(crate) fn take_due(
        &mut self,
        limit: usize,
        now: ClockTime,
        known: impl Fn(&SocketAddr) -> bool,
    ) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        for (address, seed) in &mut self.seeds {
            if due.len() == limit {
                break;
            }
            if seed.next_try > now || known(address) {
                continue;
            }
            seed.next_try = now.after(seed.retry_delay);
            seed.retry_delay = (seed.retry_delay * 2).min(MAX_RETRY_DELAY);
            due.push(*address);
        }
        due
    }

    /// Resets the retry delay after a reply from an address.
    pub(crate) fn reset_backoff(&mut self, address: SocketAddr) {
        if let Some(seed) = self.seeds.get_mut(&address) {
            seed.retry_delay = INITIAL_RETRY_DELAY;
        }
    }

    /// True if `known` holds for every address.
    pub(crate) fn all_match(&self, known: impl Fn(&SocketAddr) -> bool) -> bool {
        self.seeds.keys().all(known)
    }

    /// True if there are no addresses.
    pub(crate) fn is_empty(&self) -> bool {
        self.seeds.is_empty()
    }
}
