//! Which instances send to an upstream that takes little.

use std::collections::HashMap;
use std::time::Duration;

use sagespool_types::{ClockTime, InstanceName, UpstreamName};

use crate::engine::{hash_text, mix};

/// Which instances there are, as far as senders are chosen among them.
///
/// Instances are remembered for longer than cuts last: in a cut, each instance would otherwise take
/// itself for the only one, and all would send.
#[derive(Debug)]
pub struct SenderSelector {
    own: InstanceName,
    /// Whether the others were ever listed.
    listed: bool,
    seen: HashMap<InstanceName, ClockTime>,
}

/// How many instances share what all may do, before this one has heard of others: the users' smallest
/// fleet has four.
pub const MIN_INSTANCES: usize = 4;
/// How long an instance that isn't heard of is remembered.
const REMEMBERED: Duration = Duration::from_secs(60);

impl SenderSelector {
    /// The panel of an instance that knows no other yet.
    pub fn new(own: InstanceName) -> Self {
        Self { own, listed: false, seen: HashMap::new() }
    }

    /// The panel of an instance that has no others beside it.
    pub fn alone(own: InstanceName) -> Self {
        Self { listed: true, ..Self::new(own) }
    }

    /// Notes all instances that the store has listed. Until it has, this instance is no sender: having
    /// just started, together with all others perhaps, it would take itself for the only one.
    pub fn observe_listed(
        &mut self,
        instances: impl Iterator<Item = InstanceName>,
        now: ClockTime,
    ) {
        self.listed = true;
        self.observe(instances, now);
    }

    /// Notes the instances that were heard of.
    pub fn observe(&mut self, instances: impl Iterator<Item = InstanceName>, now: ClockTime) {
        self.seen.extend(instances.map(|instance| (instance, now)));
        self.seen.retain(|_, seen| now.since(*seen) < REMEMBERED);
    }

    /// How many instances there are, this one among them.
    pub fn size(&self) -> usize {
        let others = self.seen.keys().filter(|other| **other != self.own).count();
        (others + 1).max(MIN_INSTANCES)
    }

    /// Whether this instance is one of so many that send to an upstream that takes little.
    pub fn is_sender(&self, upstream: &UpstreamName, senders: usize) -> bool {
        if !self.listed {
            return false;
        }
        let target = hash_text(upstream.as_str());
        let rank = |instance: &InstanceName| mix(target ^ hash_text(instance.as_str()));
        let own = rank(&self.own);
        let ahead = self.seen.keys().filter(|other| **other != self.own && rank(other) > own);
        ahead.count() < senders
    }
}
