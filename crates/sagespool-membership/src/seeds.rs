//! Addresses to try, from the instance list or the settings.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use sagespool_types::ClockTime;

const FIRST_WAIT: Duration = Duration::from_millis(500);
const LONGEST_WAIT: Duration = Duration::from_secs(30);

#[derive(Debug, Clone, Copy)]
struct SeedRecord {
    wait: Duration,
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
    pub(crate) fn listed(&mut self, addresses: &BTreeSet<SocketAddr>, now: ClockTime) {
        self.seeds.retain(|address, seed| seed.from_settings || addresses.contains(address));
        for address in addresses {
            self.insert(*address, false, now);
        }
    }

    /// Adds addresses from the settings.
    pub(crate) fn settings(&mut self, addresses: &[SocketAddr], now: ClockTime) {
        for address in addresses {
            self.insert(*address, true, now);
        }
    }

    fn insert(&mut self, address: SocketAddr, from_settings: bool, now: ClockTime) {
        let fresh = SeedRecord { wait: FIRST_WAIT, next_try: now, from_settings };
        let seed = self.seeds.entry(address).or_insert(fresh);
        seed.from_settings |= from_settings;
    }

    /// Up to `most` addresses whose time has come and which `known` doesn't
    /// rule out. Each is tried again after twice the time.
    pub(crate) fn due(
        &mut self,
        most: usize,
        now: ClockTime,
        known: impl Fn(&SocketAddr) -> bool,
    ) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        for (address, seed) in &mut self.seeds {
            if due.len() == most {
                break;
            }
            if seed.next_try > now || known(address) {
                continue;
            }
            seed.next_try = now.after(seed.wait);
            seed.wait = (seed.wait * 2).min(LONGEST_WAIT);
            due.push(*address);
        }
        due
    }

    /// A member answered there.
    pub(crate) fn answered(&mut self, address: SocketAddr) {
        if let Some(seed) = self.seeds.get_mut(&address) {
            seed.wait = FIRST_WAIT;
        }
    }

    /// True if every address is one that `known` says is a member's.
    pub(crate) fn are_all(&self, known: impl Fn(&SocketAddr) -> bool) -> bool {
        self.seeds.keys().all(known)
    }

    /// True if no address is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.seeds.is_empty()
    }
}
