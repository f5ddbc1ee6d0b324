//! How much work upstreams get that take little: those that are cold, shortly after a start or whenever
//! they say so, and those that name a limit.
//!
//! A cold upstream takes a few requests a second from all instances together and crashes above that.
//! Instances can't agree on a share in time, some may be cut off from the others, so few of them send
//! at all: rendezvous hashing over the names of the instances tells each, without a word, whether it is
//! one of an upstream's senders.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use sagespool_types::{ClockTime, SendRate, UpstreamName, derives};

use crate::senders::SenderPanel;

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

/// How long the limit of an upstream is kept that isn't listed: its entry may have lapsed while the store
/// was away.
const KEPT_UNLISTED: Duration = Duration::from_secs(60);

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

/// The upstreams that are to be spared, as far as this instance knows, and what it sent to them.
#[derive(Debug)]
pub struct SendGuard {
    terms: WarmupTerms,
    upstreams: HashMap<UpstreamName, GuardedUpstream>,
}

#[derive(Debug, Default)]
struct GuardedUpstream {
    cold_until: ClockTime,
    limit: Option<NamedLimit>,
    sends: VecDeque<GuardedSend>,
}

/// A limit that an upstream names in its answers.
#[derive(Debug, Clone, Copy)]
struct NamedLimit {
    rate: SendRate,
    /// When an answer named it last.
    told: ClockTime,
}

/// What an answer changed in what is known of its upstream's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    /// Nothing.
    Unchanged,
    /// It names a limit, or another than before.
    Named(SendRate),
    /// It names none any more.
    Ended,
}

#[derive(Debug)]
struct GuardedSend {
    chosen: ClockTime,
    /// When the request left, or the latest time at which it may.
    left: ClockTime,
}

impl GuardedUpstream {
    fn is_cold(&self, now: ClockTime) -> bool {
        now < self.cold_until
    }

    fn cold_admits(
        &self,
        name: &UpstreamName,
        shares: SenderShares,
        panel: &SenderPanel,
        now: ClockTime,
    ) -> bool {
        let recent = self.sends.iter().filter(|send| now.since(send.left) < LIMITED_SPAN).count();
        recent < shares.each && panel.is_sender(name, shares.senders)
    }
}

impl SendGuard {
    /// A guard that knows of no upstream that takes little.
    pub fn new(terms: WarmupTerms) -> Self {
        Self { terms, upstreams: HashMap::new() }
    }

    /// Notes that an upstream is cold for so long. Word of a shorter time, which may have been on its
    /// way for long, doesn't take back a longer one. True if it wasn't known to be cold.
    pub fn note_cold(&mut self, name: &UpstreamName, left: Duration, now: ClockTime) -> bool {
        let until = now.after(left);
        let is_news = !self.is_cold(name, now);
        let guarded = self.upstreams.entry(name.clone()).or_default();
        guarded.cold_until = guarded.cold_until.max(until);
        is_news
    }

    /// Whether an upstream is taken to be cold.
    pub fn is_cold(&self, name: &UpstreamName, now: ClockTime) -> bool {
        self.upstreams.get(name).is_some_and(|guarded| guarded.is_cold(now))
    }

    /// Notes the limit that an answer names, or that it names none. `chosen` is when the place of its
    /// request was chosen: the answer to one that left before the limit was named says nothing of its
    /// end.
    pub fn note_limit(
        &mut self,
        name: &UpstreamName,
        named: Option<SendRate>,
        chosen: ClockTime,
        now: ClockTime,
    ) -> LimitChange {
        let Some(rate) = named else {
            return self.end_limit(name, chosen);
        };
        let guarded = self.upstreams.entry(name.clone()).or_default();
        let before = guarded.limit.replace(NamedLimit { rate, told: now });
        match before.is_some_and(|before| before.rate == rate) {
            true => LimitChange::Unchanged,
            false => LimitChange::Named(rate),
        }
    }

    fn end_limit(&mut self, name: &UpstreamName, chosen: ClockTime) -> LimitChange {
        let Some(guarded) = self.upstreams.get_mut(name) else {
            return LimitChange::Unchanged;
        };
        if guarded.limit.is_none_or(|limit| chosen < limit.told) {
            return LimitChange::Unchanged;
        }
        guarded.limit = None;
        LimitChange::Ended
    }

    /// Whether this instance may send one more request there now.
    pub fn admits(
        &self,
        name: &UpstreamName,
        traits: Option<&WarmupTraits>,
        panel: &SenderPanel,
        now: ClockTime,
    ) -> bool {
        let Some(guarded) = self.upstreams.get(name) else {
            return true;
        };
        let Some(traits) = traits.filter(|_| guarded.is_cold(now)) else {
            return true;
        };
        guarded.cold_admits(name, divide(traits, self.terms), panel, now)
    }

    /// Counts a request whose place is chosen now.
    pub fn count_send(&mut self, name: &UpstreamName, now: ClockTime) {
        if let Some(guarded) = self.upstreams.get_mut(name) {
            guarded.sends.push_back(GuardedSend { chosen: now, left: now.after(LONGEST_OPENING) });
        }
    }

    /// Notes that the request whose place was chosen then leaves now.
    pub fn note_left(&mut self, name: &UpstreamName, chosen: ClockTime, now: ClockTime) {
        let sends = self.upstreams.get_mut(name).map(|guarded| &mut guarded.sends);
        let mut sends = sends.into_iter().flatten();
        if let Some(send) = sends.find(|send| send.chosen == chosen && send.left > now) {
            send.left = now;
        }
    }

    /// Forgets an upstream that is gone, or what its earlier run asked.
    pub fn forget(&mut self, name: &UpstreamName) {
        self.upstreams.remove(name);
    }

    /// Drops what need not be spared any more, and limits of upstreams that have long been gone.
    pub fn sweep(&mut self, is_listed: impl Fn(&UpstreamName) -> bool, now: ClockTime) {
        self.upstreams.retain(|name, guarded| {
            let told = guarded.limit.map(|limit| limit.told);
            let is_limited =
                told.is_some_and(|told| now.since(told) < KEPT_UNLISTED || is_listed(name));
            guarded.is_cold(now) || is_limited
        });
        for guarded in self.upstreams.values_mut() {
            guarded.sends.retain(|send| now.since(send.left) < LIMITED_SPAN);
        }
    }

    /// How many upstreams are taken to be cold.
    pub fn cold_count(&self, now: ClockTime) -> usize {
        self.upstreams.values().filter(|guarded| guarded.is_cold(now)).count()
    }

    /// How many upstreams name a limit.
    pub fn limited_count(&self) -> usize {
        self.upstreams.values().filter(|guarded| guarded.limit.is_some()).count()
    }
}
