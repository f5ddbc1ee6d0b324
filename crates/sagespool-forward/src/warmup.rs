//! How much work upstreams get that are cold: shortly after a start, or whenever they say so.
//!
//! A cold upstream takes a few requests a second from all instances together and crashes above that.
//! Instances can't agree on a share in time, some may be cut off from the others, so few of them send
//! at all: rendezvous hashing over the names of the instances tells each, without a word, whether it is
//! one of an upstream's senders.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use sagespool_types::{ClockTime, InstanceName, UpstreamName, derives};

use crate::engine::{hash_text, mix};

derives! { record;
    /// What a service's upstreams bear while they are cold.
    pub struct WarmupTraits {
        /// How long an upstream stays cold after a start.
        pub span: Duration,
        /// Requests that a cold one takes in a second.
        pub per_second: f64,
    }
}

/// What all instances together may send to a cold upstream in a second: its own figure times
/// `overage`, and `slack` beside.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmupTerms {
    /// Factor on what a cold upstream takes.
    pub overage: f64,
    /// Requests beside that.
    pub slack: f64,
}

/// Instances that send to one cold upstream.
const MOST_SENDERS: usize = 6;
/// An instance that hasn't heard of a newcomer yet may take itself for a sender in its place. With so
/// many senders too many the limit still holds.
const SPARE_SENDERS: usize = 1;
/// The span for which the limit holds, wherever it begins.
const LIMITED_SPAN: Duration = Duration::from_secs(1);
/// A request may leave this much later than its place was chosen, if a connection is opened first.
const LONGEST_OPENING: Duration = Duration::from_millis(300);

/// How the limit of a cold upstream is divided.
#[derive(Debug, Clone, Copy, PartialEq)]
struct SenderShares {
    senders: usize,
    /// Requests of each sender in a second.
    each: usize,
}

fn divide(traits: &WarmupTraits, terms: WarmupTerms) -> SenderShares {
    let limit = (traits.per_second * terms.overage + terms.slack) as usize;
    let each = (limit / (MOST_SENDERS + SPARE_SENDERS)).max(1);
    let senders = (limit / each).saturating_sub(SPARE_SENDERS).min(MOST_SENDERS);
    SenderShares { senders, each }
}

/// Which instances there are, as far as senders are chosen among them.
///
/// Instances are remembered for longer than cuts last: in a cut, each instance would otherwise take
/// itself for the only one, and all would send.
#[derive(Debug)]
pub struct SenderPanel {
    own: InstanceName,
    /// Whether the others were ever listed.
    listed: bool,
    seen: HashMap<InstanceName, ClockTime>,
}

/// How long an instance that isn't heard of is remembered.
const REMEMBERED: Duration = Duration::from_secs(60);

impl SenderPanel {
    /// The panel of an instance that knows no other yet.
    pub fn new(own: InstanceName) -> Self {
        Self { own, listed: false, seen: HashMap::new() }
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

    /// Whether this instance is one of so many that send to a cold upstream.
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

/// The cold upstreams that this instance knows of, and what it sent to them.
#[derive(Debug)]
pub struct WarmupGuard {
    terms: WarmupTerms,
    cold: HashMap<UpstreamName, ColdUpstream>,
}

#[derive(Debug, Default)]
struct ColdUpstream {
    until: ClockTime,
    sends: VecDeque<ColdSend>,
}

#[derive(Debug)]
struct ColdSend {
    chosen: ClockTime,
    /// When the request left, or the latest time at which it may.
    left: ClockTime,
}

impl WarmupGuard {
    /// A guard that knows of no cold upstream.
    pub fn new(terms: WarmupTerms) -> Self {
        Self { terms, cold: HashMap::new() }
    }

    /// Notes that an upstream is cold for so long. Word of a shorter time, which may have been on its
    /// way for long, doesn't take back a longer one. True if it wasn't known to be cold.
    pub fn note_cold(&mut self, name: &UpstreamName, left: Duration, now: ClockTime) -> bool {
        let until = now.after(left);
        let is_news = !self.is_cold(name, now);
        let cold = self.cold.entry(name.clone()).or_default();
        cold.until = cold.until.max(until);
        is_news
    }

    /// Whether an upstream is taken to be cold.
    pub fn is_cold(&self, name: &UpstreamName, now: ClockTime) -> bool {
        self.cold.get(name).is_some_and(|cold| now < cold.until)
    }

    /// Whether this instance may send one more request there now.
    pub fn admits(
        &self,
        name: &UpstreamName,
        traits: &WarmupTraits,
        panel: &SenderPanel,
        now: ClockTime,
    ) -> bool {
        let Some(cold) = self.cold.get(name).filter(|cold| now < cold.until) else {
            return true;
        };
        let shares = divide(traits, self.terms);
        let recent = cold.sends.iter().filter(|send| now.since(send.left) < LIMITED_SPAN).count();
        recent < shares.each && panel.is_sender(name, shares.senders)
    }

    /// Counts a request whose place is chosen now.
    pub fn count_send(&mut self, name: &UpstreamName, now: ClockTime) {
        if let Some(cold) = self.cold.get_mut(name) {
            cold.sends.push_back(ColdSend { chosen: now, left: now.after(LONGEST_OPENING) });
        }
    }

    /// Notes that the request whose place was chosen then leaves now.
    pub fn note_left(&mut self, name: &UpstreamName, chosen: ClockTime, now: ClockTime) {
        let sends = self.cold.get_mut(name).map(|cold| &mut cold.sends);
        let mut sends = sends.into_iter().flatten();
        if let Some(send) = sends.find(|send| send.chosen == chosen && send.left > now) {
            send.left = now;
        }
    }

    /// Drops what has become warm.
    pub fn sweep(&mut self, now: ClockTime) {
        self.cold.retain(|_, cold| now < cold.until);
        for cold in self.cold.values_mut() {
            cold.sends.retain(|send| now.since(send.left) < LIMITED_SPAN);
        }
    }

    /// The upstreams that are taken to be cold.
    pub fn count(&self, now: ClockTime) -> usize {
        self.cold.values().filter(|cold| now < cold.until).count()
    }
}
