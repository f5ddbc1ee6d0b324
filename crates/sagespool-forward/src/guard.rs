//! How much work upstreams get that take little: those that are cold, shortly after a start or whenever
//! they say so, those that name a limit, and those that have asked this instance for rest.
//!
//! A cold upstream takes a few requests a second from all instances together and crashes above that.
//! Instances can't agree on a share in time, some may be cut off from the others, so few of them send
//! at all: rendezvous hashing over the names of the instances tells each, without a word, whether it is
//! one of an upstream's senders.
//!
//! A named limit is divided in the same way, with a pause between two requests of each sender. Only an
//! answer tells of its end: the other instances ask each other, and try the upstream, one after the
//! other, once they have heard nothing of the limit for long.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use sagespool_types::{ClockTime, SendRate, UpstreamName};

use crate::senders::SenderSelector;

mod shares;
mod turns;

use shares::{SHARED_SECOND, SenderShares};
pub use shares::{WarmupPolicy, WarmupProfile};
use turns::{LONGEST_PAUSE, NamedLimit};

/// A request may leave this much later than its place was chosen, if a connection is opened first.
const LONGEST_OPENING: Duration = Duration::from_millis(300);

/// Others are asked about a limit of which no answer has told for so long, about so many at once.
const UNHEARD_AFTER: Duration = Duration::from_millis(1500);
const MOST_ASKED: usize = 32;
/// How long it is remembered for others that a limit has ended.
const END_KEPT: Duration = Duration::from_secs(60);
/// The longest rest that is granted: an upstream that asks for more would get nothing ever again.
const LONGEST_REST: Duration = Duration::from_secs(600);

/// How long the limit of an upstream is kept that isn't listed: its entry may have lapsed while the store
/// was away.
const KEPT_UNLISTED: Duration = Duration::from_secs(60);

/// The upstreams that are to be spared, as far as this instance knows, and what it sent to them.
#[derive(Debug)]
pub struct UpstreamThrottle {
    terms: WarmupPolicy,
    upstreams: HashMap<UpstreamName, GuardedUpstream>,
}

#[derive(Debug, Default)]
struct GuardedUpstream {
    cold_until: ClockTime,
    limit: Option<NamedLimit>,
    /// When the newest request left, or was about to, whose answer named no limit any more.
    limit_ended: Option<ClockTime>,
    rest: Option<AskedRest>,
    sends: VecDeque<GuardedSend>,
}

/// A time in which an upstream wants nothing from this instance.
#[derive(Debug, Clone, Copy)]
struct AskedRest {
    /// Since when it has rested without a break.
    since: ClockTime,
    until: ClockTime,
}

/// What is known of an upstream's limit, and as of when.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimitStatus {
    /// The limit; nothing if it names none any more.
    pub rate: Option<SendRate>,
    /// When that was so.
    pub at: ClockTime,
}

/// What an answer changed in what is known of its upstream's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RateLimitChange {
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
    /// When the request left, or is expected to at the latest.
    left: ClockTime,
    has_left: bool,
}

impl GuardedUpstream {
    fn is_cold(&self, now: ClockTime) -> bool {
        now < self.cold_until
    }

    fn cold_admits(
        &self,
        name: &UpstreamName,
        shares: SenderShares,
        panel: &SenderSelector,
        now: ClockTime,
    ) -> bool {
        let recent = self.sends.iter().filter(|send| now.since(send.left) < SHARED_SECOND).count();
        recent < shares.each && panel.is_sender(name, shares.senders)
    }

    /// How long until this instance may send one more request within the named limit; nothing if that
    /// is for others to do.
    fn limit_pause(
        &self,
        name: &UpstreamName,
        panel: &SenderSelector,
        now: ClockTime,
    ) -> Option<Duration> {
        let Some(limit) = self.limit else {
            return Some(Duration::ZERO);
        };
        let turns = limit.turns(panel.size());
        if !panel.is_sender(name, turns.senders + limit.triers(now)) {
            return None;
        }
        let Some(newest) = self.newest_left() else {
            return Some(Duration::ZERO);
        };
        // While nothing is answered the limit may have been lowered: pauses grow with its age.
        let unheard = newest.since(limit.told).min(LONGEST_PAUSE);
        Some(newest.after(turns.pause.max(unheard)).since(now))
    }

    /// How long the upstream still wants nothing.
    fn rest_left(&self, now: ClockTime) -> Duration {
        self.rest.map_or(Duration::ZERO, |rest| rest.until.since(now))
    }

    /// How long until this instance may send one more request; nothing if that is for others to do.
    fn pause(
        &self,
        name: &UpstreamName,
        panel: &SenderSelector,
        now: ClockTime,
    ) -> Option<Duration> {
        let limited = self.limit_pause(name, panel, now)?;
        Some(limited.max(self.rest_left(now)))
    }

    fn newest_left(&self) -> Option<ClockTime> {
        self.sends.iter().map(|send| send.left).max()
    }
}

impl UpstreamThrottle {
    /// A guard that knows of no upstream that takes little.
    pub fn new(terms: WarmupPolicy) -> Self {
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
    pub fn note_rate_limit(
        &mut self,
        name: &UpstreamName,
        named: Option<SendRate>,
        chosen: ClockTime,
        now: ClockTime,
    ) -> RateLimitChange {
        let Some(rate) = named else {
            return self.end_limit(name, chosen);
        };
        let guarded = self.upstreams.entry(name.clone()).or_default();
        let since = guarded.limit.map_or(now, |limit| limit.since);
        let before = guarded.limit.replace(NamedLimit { rate, since, told: now });
        if before.is_none() {
            // The request that brought the word has had the first turn.
            guarded.sends.push_back(GuardedSend { chosen, left: now, has_left: true });
        }
        match before.is_some_and(|before| before.rate == rate) {
            true => RateLimitChange::Unchanged,
            false => RateLimitChange::Named(rate),
        }
    }

    fn end_limit(&mut self, name: &UpstreamName, chosen: ClockTime) -> RateLimitChange {
        let Some(guarded) = self.upstreams.get_mut(name) else {
            return RateLimitChange::Unchanged;
        };
        if guarded.limit.is_none_or(|limit| chosen < limit.told) {
            return RateLimitChange::Unchanged;
        }
        guarded.limit = None;
        guarded.limit_ended = Some(chosen);
        RateLimitChange::Ended
    }

    /// The limited upstreams of which no answer has told for a while.
    pub fn stale_rate_limits(&self, now: ClockTime) -> Vec<UpstreamName> {
        let is_unheard = |guarded: &GuardedUpstream| {
            guarded.limit.is_some_and(|limit| now.since(limit.told) > UNHEARD_AFTER)
        };
        let names = self.upstreams.iter().filter(|(_, guarded)| is_unheard(guarded));
        names.map(|(name, _)| name.clone()).take(MOST_ASKED).collect()
    }

    /// What this instance knows of an upstream's limit; nothing if it never named one.
    pub fn rate_limit_status(&self, name: &UpstreamName) -> Option<RateLimitStatus> {
        let guarded = self.upstreams.get(name)?;
        match guarded.limit {
            Some(limit) => Some(RateLimitStatus { rate: Some(limit.rate), at: limit.told }),
            None => guarded.limit_ended.map(|at| RateLimitStatus { rate: None, at }),
        }
    }

    /// Takes another instance's word on an upstream whose limit is known here, if it is newer.
    pub fn merge_rate_limit(
        &mut self,
        name: &UpstreamName,
        word: RateLimitStatus,
    ) -> RateLimitChange {
        let Some(guarded) = self.upstreams.get_mut(name) else {
            return RateLimitChange::Unchanged;
        };
        let Some(limit) = guarded.limit.filter(|limit| limit.told < word.at) else {
            return RateLimitChange::Unchanged;
        };
        let Some(rate) = word.rate else {
            guarded.limit = None;
            guarded.limit_ended = Some(word.at);
            return RateLimitChange::Ended;
        };
        guarded.limit = Some(NamedLimit { rate, told: word.at, ..limit });
        if limit.rate == rate { RateLimitChange::Unchanged } else { RateLimitChange::Named(rate) }
    }

    /// Notes that an upstream wants nothing from this instance for so long. A shorter time doesn't take
    /// back a longer one. True if it didn't rest before.
    pub fn note_backoff(&mut self, name: &UpstreamName, rest: Duration, now: ClockTime) -> bool {
        if rest.is_zero() {
            return false;
        }
        let until = now.after(rest.min(LONGEST_REST));
        let guarded = self.upstreams.entry(name.clone()).or_default();
        let before = guarded.rest.filter(|before| now < before.until);
        guarded.rest = Some(AskedRest {
            since: before.map_or(now, |before| before.since),
            until: before.map_or(until, |before| before.until.max(until)),
        });
        before.is_none()
    }

    /// Whether this instance may send one more request there now.
    pub fn admits(
        &self,
        name: &UpstreamName,
        traits: Option<&WarmupProfile>,
        panel: &SenderSelector,
        now: ClockTime,
    ) -> bool {
        let Some(guarded) = self.upstreams.get(name) else {
            return true;
        };
        let traits = traits.filter(|_| guarded.is_cold(now));
        let bears_cold = traits.is_none_or(|traits| {
            guarded.cold_admits(name, SenderShares::of(traits, self.terms), panel, now)
        });
        bears_cold && guarded.pause(name, panel, now) == Some(Duration::ZERO)
    }

    /// Whether a request whose place was chosen then must not leave any more: the upstream has named a
    /// limit or asked for rest since, as it may while the request waits for a connection.
    pub fn blocks_dispatch(&self, name: &UpstreamName, chosen: ClockTime, now: ClockTime) -> bool {
        let Some(guarded) = self.upstreams.get(name) else {
            return false;
        };
        let limited = guarded.limit.is_some_and(|limit| limit.since > chosen);
        let rests = guarded.rest.is_some_and(|rest| rest.since > chosen && now < rest.until);
        limited || rests
    }

    /// How long until an upstream that names a limit or rests takes a request again, from this instance
    /// or else from another one. Nothing if it does neither.
    pub fn next_send_delay(
        &self,
        name: &UpstreamName,
        panel: &SenderSelector,
        now: ClockTime,
    ) -> Option<Duration> {
        let guarded = self.upstreams.get(name)?;
        let rests = !guarded.rest_left(now).is_zero();
        let others = guarded.limit.map(|limit| limit.rate.interval(LONGEST_PAUSE));
        let is_spared = rests || others.is_some();
        is_spared.then(|| guarded.pause(name, panel, now).or(others).unwrap_or_default())
    }

    /// Counts a request whose place is chosen now.
    pub fn count_placement(&mut self, name: &UpstreamName, now: ClockTime) {
        if let Some(guarded) = self.upstreams.get_mut(name) {
            let left = now.after(LONGEST_OPENING);
            guarded.sends.push_back(GuardedSend { chosen: now, left, has_left: false });
        }
    }

    /// Notes that the request whose place was chosen then leaves now.
    pub fn note_dispatched(&mut self, name: &UpstreamName, chosen: ClockTime, now: ClockTime) {
        let sends = self.upstreams.get_mut(name).map(|guarded| &mut guarded.sends);
        let mut sends = sends.into_iter().flatten();
        if let Some(send) = sends.find(|send| send.chosen == chosen && !send.has_left) {
            send.left = now;
            send.has_left = true;
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
            let is_news = guarded.limit_ended.is_some_and(|at| now.since(at) < END_KEPT);
            guarded.is_cold(now) || is_limited || is_news || !guarded.rest_left(now).is_zero()
        });
        for guarded in self.upstreams.values_mut() {
            let newest = guarded.newest_left();
            guarded
                .sends
                .retain(|send| now.since(send.left) < SHARED_SECOND || Some(send.left) == newest);
        }
    }

    /// How many upstreams are taken to be cold.
    pub fn cold_count(&self, now: ClockTime) -> usize {
        self.upstreams.values().filter(|guarded| guarded.is_cold(now)).count()
    }

    /// How many upstreams want nothing from this instance.
    pub fn backoff_count(&self, now: ClockTime) -> usize {
        self.upstreams.values().filter(|guarded| !guarded.rest_left(now).is_zero()).count()
    }

    /// How many upstreams name a limit.
    pub fn limited_count(&self) -> usize {
        self.upstreams.values().filter(|guarded| guarded.limit.is_some()).count()
    }
}
