//! Selects the instances that send to an upstream that accepts few requests.

use std::collections::HashMap;
use std::time::Duration;

use sagespool_types::{ClockTime, InstanceName, UpstreamName};

use crate::prefix_cache::{hash_name, mix};

/// The instances among which senders are selected.
///
/// Instances are remembered for longer than network partitions last. Otherwise each instance of a
/// partition would consider itself the only one, and all of them would send.
#[derive(Debug)]
pub struct SenderSelector {
    own: InstanceName,
    /// Whether the store has listed the instances.
    listed: bool,
    seen: HashMap<InstanceName, ClockTime>,
}

/// The number of instances assumed before others are known. The smallest supported fleet has four.
pub const MIN_INSTANCES: usize = 4;
/// How long an instance is remembered after it was last observed.
const RETENTION: Duration = Duration::from_secs(60);

impl SenderSelector {
    /// Creates a selector that has observed no other instance.
    pub fn new(own: InstanceName) -> Self {
        Self { own, listed: false, seen: HashMap::new() }
    }

    /// Creates a selector for an instance that runs alone.
    pub fn alone(own: InstanceName) -> Self {
        Self { listed: true, ..Self::new(own) }
    }

    /// Notes all instances listed in the store. Before the first listing this instance is no
    /// sender: right after a start, perhaps of the whole fleet, it would consider itself the only
    /// one.
    pub fn observe_listed(
        &mut self,
        instances: impl Iterator<Item = InstanceName>,
        now: ClockTime,
    ) {
        self.listed = true;
        self.observe(instances, now);
    }

    /// Notes instances that were observed otherwise.
    pub fn observe(&mut self, instances: impl Iterator<Item = InstanceName>, now: ClockTime) {
        self.seen.extend(instances.map(|instance| (instance, now)));
        self.seen.retain(|_, seen| now.since(*seen) < RETENTION);
    }

    /// The number of instances, including this one.
    pub fn size(&self) -> usize {
        let others = self.seen.keys().filter(|other| **other != self.own).count();
        (others + 1).max(MIN_INSTANCES)
    }

    /// Whether this instance is one of the first `senders` instances in the upstream's rendezvous
    /// order.
    pub fn is_sender(&self, upstream: &UpstreamName, senders: usize) -> bool {
        if !self.listed {
            return false;
        }
        let target = hash_name(upstream.as_str());
        let rank = |instance: &InstanceName| mix(target ^ hash_name(instance.as_str()));
        let own = rank(&self.own);
        let ahead = self.seen.keys().filter(|other| **other != self.own && rank(other) > own);
        ahead.count() < senders
    }
}
