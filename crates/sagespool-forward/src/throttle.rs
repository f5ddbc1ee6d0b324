//! Limits requests to upstreams that accept few: cold ones (after a start, or whenever they report
//! it), ones that name a rate limit, and ones that have requested backoff from this instance.
//!
//! A cold upstream accepts a few requests per second from all instances together and crashes above
//! that. Instances can't agree on shares in time, since some may be partitioned from the others.
//! Therefore only a few of them send at all: by rendezvous hashing over the instance names, each
//! instance determines without communication whether it is one of an upstream's senders.
//!
//! A named rate limit is divided in the same way, with a minimum interval between two requests of
//! each sender. The end of a limit shows only in responses. Other instances query each other for
//! it, and probe the upstream one after the other once they have had no update on the limit for a
//! long time.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use sagespool_types::{ClockTime, SendRate, UpstreamName};

use crate::sender_selector::SenderSelector;

mod rate_limit;
mod warmup;

use rate_limit::{MAX_SEND_INTERVAL, NamedLimit};
use warmup::{COLD_RATE_WINDOW, ColdShares};
pub use warmup::{WarmupPolicy, WarmupProfile};

/// Longest time between placement and dispatch, if a connection has to be opened first.
const MAX_CONNECT_DELAY: Duration = Duration::from_millis(300);

/// Other instances are queried about a limit that no response has confirmed for this long, for at
/// most `MAX_QUERIED` upstreams at once.
const STALE_AFTER: Duration = Duration::from_millis(1500);
const MAX_QUERIED: usize = 32;
/// How long the end of a limit is kept for queries of other instances.
const LIMIT_END_RETENTION: Duration = Duration::from_secs(60);
/// Upper bound of a backoff. A longer one would exclude the upstream for good.
const MAX_BACKOFF: Duration = Duration::from_secs(600);

/// How long the limit of an unlisted upstream is kept. Its entry may have lapsed in an outage of
/// the store.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

/// Upstreams with limited acceptance, and the requests that this instance has sent to them.
#[derive(Debug)]
pub struct UpstreamThrottle {
    policy: WarmupPolicy,
    upstreams: HashMap<UpstreamName, ThrottleState>,
}

#[derive(Debug, Default)]
struct ThrottleState {
    cold_until: ClockTime,
    limit: Option<NamedLimit>,
    /// Placement time of the newest request whose response named no limit any more.
    limit_ended: Option<ClockTime>,
    backoff: Option<BackoffPeriod>,
    sends: VecDeque<PlacedSend>,
}

/// A time in which an upstream wants no requests from this instance.
#[derive(Debug, Clone, Copy)]
struct BackoffPeriod {
    /// Start of the uninterrupted backoff.
    since: ClockTime,
    until: ClockTime,
}

/// An upstream's rate limit at a point in time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimitStatus {
    /// The limit; None if the upstream no longer names one.
    pub rate: Option<SendRate>,
    /// When this was the case.
    pub at: ClockTime,
}

/// Effect of a response, or of another instance's status, on an upstream's rate limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RateLimitChange {
    /// The limit is the same as before.
    Unchanged,
    /// The upstream names a new or different limit.
    Named(SendRate),
    /// The upstream no longer names a limit.
    Ended,
}

#[derive(Debug)]
struct PlacedSend {
    chosen_at: ClockTime,
    /// When the request was dispatched, or the latest time at which it is expected to be.
    dispatched_at: ClockTime,
    is_dispatched: bool,
}

impl ThrottleState {
    fn is_cold(&self, now: ClockTime) -> bool {
        now < self.cold_until
    }

    fn cold_admits(
        &self,
        name: &UpstreamName,
        shares: ColdShares,
        selector: &SenderSelector,
        now: ClockTime,
    ) -> bool {
        let recent = self
            .sends
            .iter()
            .filter(|send| now.since(send.dispatched_at) < COLD_RATE_WINDOW)
            .count();
        recent < shares.each && selector.is_sender(name, shares.senders)
    }

    /// Time until this instance may send the next request within the named limit. None if only
    /// other instances may send.
    fn limit_delay(
        &self,
        name: &UpstreamName,
        selector: &SenderSelector,
        now: ClockTime,
    ) -> Option<Duration> {
        let Some(limit) = self.limit else {
            return Some(Duration::ZERO);
        };
        let schedule = limit.schedule(selector.size());
        if !selector.is_sender(name, schedule.senders + limit.probers(now)) {
            return None;
        }
        let Some(newest) = self.last_dispatch() else {
            return Some(Duration::ZERO);
        };
        // The limit may have been lowered while no response arrives, so the interval grows with its
        // age.
        let stale_for = newest.since(limit.confirmed_at).min(MAX_SEND_INTERVAL);
        Some(newest.after(schedule.interval.max(stale_for)).since(now))
    }

    /// Remaining backoff.
    fn backoff_left(&self, now: ClockTime) -> Duration {
        self.backoff.map_or(Duration::ZERO, |backoff| backoff.until.since(now))
    }

    /// Time until this instance may send the next request. None if only other instances may send.
    fn send_delay(
        &self,
        name: &UpstreamName,
        selector: &SenderSelector,
        now: ClockTime,
    ) -> Option<Duration> {
        let limited = self.limit_delay(name, selector, now)?;
        Some(limited.max(self.backoff_left(now)))
    }

    fn last_dispatch(&self) -> Option<ClockTime> {
        self.sends.iter().map(|send| send.dispatched_at).max()
    }
}

impl UpstreamThrottle {
    /// Creates a throttle that limits no upstream yet.
    pub fn new(policy: WarmupPolicy) -> Self {
        Self { policy, upstreams: HashMap::new() }
    }

    /// Notes that an upstream is cold for `left`. A shorter time doesn't replace a longer one,
    /// since it may have been delayed in transit. True if the upstream wasn't known to be cold.
    pub fn note_cold(&mut self, name: &UpstreamName, left: Duration, now: ClockTime) -> bool {
        let until = now.after(left);
        let is_new = !self.is_cold(name, now);
        let throttled = self.upstreams.entry(name.clone()).or_default();
        throttled.cold_until = throttled.cold_until.max(until);
        is_new
    }

    /// Whether an upstream is assumed to be cold.
    pub fn is_cold(&self, name: &UpstreamName, now: ClockTime) -> bool {
        self.upstreams.get(name).is_some_and(|throttled| throttled.is_cold(now))
    }

    /// Notes the rate limit that a response names, or that it names none. `chosen_at` is the
    /// placement time of its request: a response to a request placed before the limit was last
    /// named doesn't prove that the limit has ended.
    pub fn note_rate_limit(
        &mut self,
        name: &UpstreamName,
        named: Option<SendRate>,
        chosen_at: ClockTime,
        now: ClockTime,
    ) -> RateLimitChange {
        let Some(rate) = named else {
            return self.end_limit(name, chosen_at);
        };
        let throttled = self.upstreams.entry(name.clone()).or_default();
        let since = throttled.limit.map_or(now, |limit| limit.since);
        let before = throttled.limit.replace(NamedLimit { rate, since, confirmed_at: now });
        if before.is_none() {
            // The request whose response named the limit counts as the first one within it.
            throttled.sends.push_back(PlacedSend {
                chosen_at,
                dispatched_at: now,
                is_dispatched: true,
            });
        }
        match before.is_some_and(|before| before.rate == rate) {
            true => RateLimitChange::Unchanged,
            false => RateLimitChange::Named(rate),
        }
    }

    fn end_limit(&mut self, name: &UpstreamName, chosen_at: ClockTime) -> RateLimitChange {
        let Some(throttled) = self.upstreams.get_mut(name) else {
            return RateLimitChange::Unchanged;
        };
        if throttled.limit.is_none_or(|limit| chosen_at < limit.confirmed_at) {
            return RateLimitChange::Unchanged;
        }
        throttled.limit = None;
        throttled.limit_ended = Some(chosen_at);
        RateLimitChange::Ended
    }

    /// Upstreams whose limit no response has confirmed for a while.
    pub fn stale_rate_limits(&self, now: ClockTime) -> Vec<UpstreamName> {
        let is_stale = |throttled: &ThrottleState| {
            throttled.limit.is_some_and(|limit| now.since(limit.confirmed_at) > STALE_AFTER)
        };
        let names = self.upstreams.iter().filter(|(_, throttled)| is_stale(throttled));
        names.map(|(name, _)| name.clone()).take(MAX_QUERIED).collect()
    }

    /// The limit of an upstream. None if it never named one.
    pub fn rate_limit_status(&self, name: &UpstreamName) -> Option<RateLimitStatus> {
        let throttled = self.upstreams.get(name)?;
        match throttled.limit {
            Some(limit) => Some(RateLimitStatus { rate: Some(limit.rate), at: limit.confirmed_at }),
            None => throttled.limit_ended.map(|at| RateLimitStatus { rate: None, at }),
        }
    }

    /// Merges another instance's status of an upstream whose limit is known here, if it is newer.
    pub fn merge_rate_limit(
        &mut self,
        name: &UpstreamName,
        status: RateLimitStatus,
    ) -> RateLimitChange {
        let Some(throttled) = self.upstreams.get_mut(name) else {
            return RateLimitChange::Unchanged;
        };
        let Some(limit) = throttled.limit.filter(|limit| limit.confirmed_at < status.at) else {
            return RateLimitChange::Unchanged;
        };
        let Some(rate) = status.rate else {
            throttled.limit = None;
            throttled.limit_ended = Some(status.at);
            return RateLimitChange::Ended;
        };
        throttled.limit = Some(NamedLimit { rate, confirmed_at: status.at, ..limit });
        if limit.rate == rate { RateLimitChange::Unchanged } else { RateLimitChange::Named(rate) }
    }

    /// Notes that an upstream wants no requests from this instance for `backoff`. A shorter time
    /// doesn't replace a longer one. True if no backoff was in effect.
    pub fn note_backoff(&mut self, name: &UpstreamName, backoff: Duration, now: ClockTime) -> bool {
        if backoff.is_zero() {
            return false;
        }
        let until = now.after(backoff.min(MAX_BACKOFF));
        let throttled = self.upstreams.entry(name.clone()).or_default();
        let before = throttled.backoff.filter(|before| now < before.until);
        throttled.backoff = Some(BackoffPeriod {
            since: before.map_or(now, |before| before.since),
            until: before.map_or(until, |before| before.until.max(until)),
        });
        before.is_none()
    }

    /// Whether this instance may send one more request to the upstream now.
    pub fn admits(
        &self,
        name: &UpstreamName,
        profile: Option<&WarmupProfile>,
        selector: &SenderSelector,
        now: ClockTime,
    ) -> bool {
        let Some(throttled) = self.upstreams.get(name) else {
            return true;
        };
        let profile = profile.filter(|_| throttled.is_cold(now));
        let admits_cold = profile.is_none_or(|profile| {
            throttled.cold_admits(name, ColdShares::of(profile, self.policy), selector, now)
        });
        admits_cold && throttled.send_delay(name, selector, now) == Some(Duration::ZERO)
    }

    /// Whether a request placed at `chosen_at` must not be dispatched any more: the upstream may
    /// have named a limit or a backoff while the request waited for a connection.
    pub fn blocks_dispatch(
        &self,
        name: &UpstreamName,
        chosen_at: ClockTime,
        now: ClockTime,
    ) -> bool {
        let Some(throttled) = self.upstreams.get(name) else {
            return false;
        };
        let limited = throttled.limit.is_some_and(|limit| limit.since > chosen_at);
        let backs_off = throttled
            .backoff
            .is_some_and(|backoff| backoff.since > chosen_at && now < backoff.until);
        limited || backs_off
    }

    /// Time until an upstream with a limit or a backoff accepts a request again, from this instance
    /// or, failing that, from another one. None if it has neither.
    pub fn next_send_delay(
        &self,
        name: &UpstreamName,
        selector: &SenderSelector,
        now: ClockTime,
    ) -> Option<Duration> {
        let throttled = self.upstreams.get(name)?;
        let backs_off = !throttled.backoff_left(now).is_zero();
        let others = throttled.limit.map(|limit| limit.rate.interval(MAX_SEND_INTERVAL));
        let is_throttled = backs_off || others.is_some();
        is_throttled
            .then(|| throttled.send_delay(name, selector, now).or(others).unwrap_or_default())
    }

    /// Counts a request that is placed now.
    pub fn count_placement(&mut self, name: &UpstreamName, now: ClockTime) {
        if let Some(throttled) = self.upstreams.get_mut(name) {
            let dispatched_at = now.after(MAX_CONNECT_DELAY);
            throttled.sends.push_back(PlacedSend {
                chosen_at: now,
                dispatched_at,
                is_dispatched: false,
            });
        }
    }

    /// Notes that the request placed at `chosen_at` is dispatched now.
    pub fn note_dispatched(&mut self, name: &UpstreamName, chosen_at: ClockTime, now: ClockTime) {
        let sends = self.upstreams.get_mut(name).map(|throttled| &mut throttled.sends);
        let mut sends = sends.into_iter().flatten();
        if let Some(send) = sends.find(|send| send.chosen_at == chosen_at && !send.is_dispatched) {
            send.dispatched_at = now;
            send.is_dispatched = true;
        }
    }

    /// Drops the state of an upstream that was removed or has restarted.
    pub fn forget(&mut self, name: &UpstreamName) {
        self.upstreams.remove(name);
    }

    /// Drops expired state, and limits of upstreams that have long been unlisted.
    pub fn sweep(&mut self, is_listed: impl Fn(&UpstreamName) -> bool, now: ClockTime) {
        self.upstreams.retain(|name, throttled| {
            let confirmed_at = throttled.limit.map(|limit| limit.confirmed_at);
            let is_limited = confirmed_at.is_some_and(|confirmed_at| {
                now.since(confirmed_at) < UNLISTED_RETENTION || is_listed(name)
            });
            let ended_recently =
                throttled.limit_ended.is_some_and(|at| now.since(at) < LIMIT_END_RETENTION);
            throttled.is_cold(now)
                || is_limited
                || ended_recently
                || !throttled.backoff_left(now).is_zero()
        });
        for throttled in self.upstreams.values_mut() {
            let newest = throttled.last_dispatch();
            throttled.sends.retain(|send| {
                now.since(send.dispatched_at) < COLD_RATE_WINDOW
                    || Some(send.dispatched_at) == newest
            });
        }
    }

    /// Upstreams that are assumed to be cold.
    pub fn cold_count(&self, now: ClockTime) -> usize {
        self.upstreams.values().filter(|throttled| throttled.is_cold(now)).count()
    }

    /// Upstreams that want no requests from this instance for now.
    pub fn backoff_count(&self, now: ClockTime) -> usize {
        self.upstreams.values().filter(|throttled| !throttled.backoff_left(now).is_zero()).count()
    }

    /// Upstreams that name a rate limit.
    pub fn limited_count(&self) -> usize {
        self.upstreams.values().filter(|throttled| throttled.limit.is_some()).count()
    }
}
